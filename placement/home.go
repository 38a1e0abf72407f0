package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhold/id"
)

// hashText hashes a name once, so that scoring a pair costs a few instructions.
func hashText(text string) uint64 {
	return xxhash.Sum64String(text)
}

// mix combines two hashes into one that looks independent of both.
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// score ranks an upstream for an object by weighted rendezvous hashing; the highest score wins.
func score(object uint64, u *upstream) float64 {
	unit := (float64(mix(object, u.hash)>>11) + 0.5) / (1 << 53)
	return -max(float64(u.Slots), 1) / math.Log(unit)
}

// site is the upstreams of one region, or of one data centre, that may get work.
type site struct {
	upstreams []*upstream
}

// setSites groups the upstreams whose data centres are open by region, and those of the own data centre.
func (c *Chooser) setSites() {
	byRegion := make(map[id.Region]int)
	c.regions, c.near = nil, site{}
	for _, u := range c.ordered {
		if c.closed[u.DataCentre] {
			continue
		}
		i, ok := byRegion[u.Region]
		if !ok {
			i = len(c.regions)
			byRegion[u.Region] = i
			c.regions = append(c.regions, site{})
		}
		c.regions[i].upstreams = append(c.regions[i].upstreams, u)
		if u.DataCentre == c.config.DataCentre {
			c.near.upstreams = append(c.near.upstreams, u)
		}
	}
}

// homes returns the upstreams that an object is settled on: one in each region, so that a request that finds no room at
// the near one finds a warm one farther away. Large answers also have a home in the own data centre, since their
// transfer counts for more than the memory that it takes.
func (c *Chooser) homes(now time.Time, w Want, cl *class) []*upstream {
	object := hashText(w.Object)
	homes := make([]*upstream, 0, len(c.regions)+1)
	for _, s := range c.regions {
		if u := s.first(now, object); u != nil {
			homes = append(homes, u)
		}
	}
	if w.IsBulk || cl.size > bulkSize {
		if u := c.near.first(now, object); u != nil {
			homes = append(homes, u)
		}
	}
	return homes
}

// bulkSize is the average size of an answer above which it counts as large.
const bulkSize = 32_000

// first returns the upstream of the site that ranks first for an object, without those that are known to fail.
func (s *site) first(now time.Time, object uint64) *upstream {
	var best *upstream
	var most float64
	for _, u := range s.upstreams {
		if u.failures > 0 && now.Before(u.retryAt) {
			continue
		}
		if points := score(object, u); best == nil || points > most {
			best, most = u, points
		}
	}
	return best
}
