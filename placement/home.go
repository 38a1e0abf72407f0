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
	c.regions, c.near, c.settled = nil, site{}, make(map[string]*settled)
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

// ranking holds the upstreams of a site that rank first for an object.
type ranking [2]*upstream

// settled holds where an object belongs: the ranking of each region, and that of the own data centre.
type settled struct {
	regions []ranking
	near    ranking
}

// settle ranks the upstreams for an object once; the ranking holds until the list of upstreams changes.
func (c *Chooser) settle(name string) *settled {
	if known := c.settled[name]; known != nil {
		return known
	}
	if len(c.settled) >= settledKept {
		clear(c.settled)
	}
	object := hashText(name)
	s := &settled{regions: make([]ranking, len(c.regions)), near: c.near.rank(object)}
	for i := range c.regions {
		s.regions[i] = c.regions[i].rank(object)
	}
	c.settled[name] = s
	return s
}

// settledKept bounds the objects whose rankings are kept.
const settledKept = 4096

// homes returns the upstreams that an object is settled on: one in each region, so that a request that finds no room at
// the near one finds a warm one farther away. Large answers also have a home in the own data centre, since their
// transfer counts for more than the memory that it takes.
func (c *Chooser) homes(now time.Time, w Want, cl *class) []*upstream {
	s := c.settle(w.Object)
	homes := make([]*upstream, 0, len(s.regions)+1)
	for _, r := range s.regions {
		if u := r.first(now); u != nil {
			homes = append(homes, u)
		}
	}
	if w.IsBulk || cl.size > bulkSize {
		if u := s.near.first(now); u != nil {
			homes = append(homes, u)
		}
	}
	return homes
}

// bulkSize is the average size of an answer above which it counts as large.
const bulkSize = 32_000

// rank returns the upstreams of the site with the highest scores for an object.
func (s *site) rank(object uint64) ranking {
	var best ranking
	var points [2]float64
	for _, u := range s.upstreams {
		switch p := score(object, u); {
		case best[0] == nil || p > points[0]:
			best[1], points[1] = best[0], points[0]
			best[0], points[0] = u, p
		case best[1] == nil || p > points[1]:
			best[1], points[1] = u, p
		}
	}
	return best
}

// first returns the first upstream of the ranking that is not known to fail.
func (r *ranking) first(now time.Time) *upstream {
	for _, u := range r {
		if u != nil && (u.failures == 0 || !now.Before(u.retryAt)) {
			return u
		}
	}
	return nil
}
