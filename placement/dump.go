package placement

import (
	"time"

	"bluebellhold/id"
)

// RouteDump is the average processing time of one route by the expected state of the cache.
//
// The field names appear in the log line "instance: service", so renaming one changes that line.
type RouteDump struct {
	Cold   time.Duration `json:"cold"`
	Home   time.Duration `json:"home"`
	Repeat time.Duration `json:"repeat"`
	// Strangers, Homes and Repeats count the measured responses with an expected cold cache, at home and with a
	// warm cache.
	Strangers uint64 `json:"strangers"`
	Homes     uint64 `json:"homes"`
	Repeats   uint64 `json:"repeats"`
}

// DumpRoutes returns the measurements of each route.
func (c *Chooser) DumpRoutes() map[id.Route]RouteDump {
	out := make(map[id.Route]RouteDump, len(c.routes))
	for name, stats := range c.routes {
		out[name] = RouteDump{
			Cold: stats.cold, Home: stats.home, Repeat: stats.warm,
			Strangers: stats.counts[cacheCold], Homes: stats.counts[cacheHome], Repeats: stats.counts[cacheWarm],
		}
	}
	return out
}
