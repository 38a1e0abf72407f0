package placement

import (
	"time"

	"bluebellhold/id"
)

// RouteDump is the average processing time of one route by the expected state of the cache.
type RouteDump struct {
	Cold time.Duration `json:"cold"`
	Home time.Duration `json:"home"`
	Warm time.Duration `json:"repeat"`
	// ColdCount, HomeCount and WarmCount are the numbers of measured answers by expected state of the cache.
	ColdCount uint64 `json:"strangers"`
	HomeCount uint64 `json:"homes"`
	WarmCount uint64 `json:"repeats"`
}

// DumpRoutes returns the measurements of each route.
func (c *Chooser) DumpRoutes() map[id.Route]RouteDump {
	out := make(map[id.Route]RouteDump, len(c.routes))
	for name, stats := range c.routes {
		out[name] = RouteDump{
			Cold: stats.cold, Home: stats.home, Warm: stats.warm,
			ColdCount: stats.counts[cacheCold], HomeCount: stats.counts[cacheHome], WarmCount: stats.counts[cacheWarm],
		}
	}
	return out
}
