package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhold/id"
)

const (
	// objectsPerUpstream is the number of objects that are settled on one upstream. Upstreams remember 25 to 50; the
	// rest is for objects that spill over and for uneven hashing.
	objectsPerUpstream = 12
	// copiesPerRegion is the largest number of homes of an object in one region; the second takes what the first has no
	// room for.
	copiesPerRegion = 1
	// objectSeenFor is how long an object counts after its last request.
	objectSeenFor = 10 * time.Second
	// objectsChange is the relative change of the number of objects that is followed; smaller ones would move homes
	// for nothing.
	objectsChange = 0.2
)

// hashText hashes a name once, so that scoring a pair costs a few instructions.
func hashText(text string) uint64 {
	return xxhash.Sum64String(text)
}

// unit combines two hashes into a number between 0 and 1 that looks independent of both.
func unit(a, b uint64) float64 {
	return (float64(mix(a, b)>>11) + 0.5) / (1 << 53)
}

func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// score ranks candidates for an object by weighted rendezvous hashing; the highest score wins.
func score(object, candidate uint64, weight float64) float64 {
	return -max(weight, 1) / math.Log(unit(object, candidate))
}

// objects counts the objects that requests have concerned lately.
type objects struct {
	seen map[objectKey]time.Time
	// count is the number that homes are computed from, and zero until requests have been seen for long enough.
	count   int
	since   time.Time
	sweptAt time.Time
}

type objectKey struct {
	class  id.Route
	object string
}

// sweepEvery is the pace at which objects that nobody asks for are forgotten.
const sweepEvery = time.Second

func (o *objects) see(now time.Time, key objectKey) {
	if o.seen == nil {
		o.seen = make(map[objectKey]time.Time)
		o.since = now
	}
	o.seen[key] = now
	if now.Sub(o.sweptAt) < sweepEvery {
		return
	}
	o.sweptAt = now
	for k, at := range o.seen {
		if now.Sub(at) > objectSeenFor {
			delete(o.seen, k)
		}
	}
	if now.Sub(o.since) >= objectSeenFor && math.Abs(float64(len(o.seen)-o.count)) > objectsChange*float64(o.count) {
		o.count = len(o.seen)
	}
}

// site is the upstreams of one region.
type site struct {
	region id.Region
	hash   uint64
	// upstreams are those whose data centres are open.
	upstreams []*upstream
}

// sites groups the upstreams by region, in the order of the upstreams.
func (c *Chooser) sites() []site {
	var sites []site
	for _, u := range c.ordered {
		i := 0
		for i < len(sites) && sites[i].region != u.Region {
			i++
		}
		if i == len(sites) {
			sites = append(sites, site{region: u.Region, hash: hashText(string(u.Region))})
		}
		if !c.closed[u.DataCentre] {
			sites[i].upstreams = append(sites[i].upstreams, u)
		}
	}
	return sites
}

// homes returns the upstreams that an object is settled on.
//
// A region whose upstreams can remember all objects has a home for each of them, and a second one if there is room for
// twice as many. In a smaller region only a part of the objects has a home; the others live elsewhere. An object without
// any home gets one in the region that rendezvous hashing ranks first.
func (c *Chooser) homes(now time.Time, w Want) []*upstream {
	if w.Object == "" {
		return nil
	}
	object := hashText(w.Object)
	homes := make([]*upstream, 0, 2*copiesPerRegion)
	var fallback *site
	var best float64
	for i := range c.regions {
		s := &c.regions[i]
		if len(s.upstreams) == 0 || !w.allows(s.region) {
			continue
		}
		room := c.room(s)
		if unit(object, s.hash) < room {
			homes = s.top(now, object, min(max(int(room), 1), copiesPerRegion), homes)
		}
		if points := score(object, s.hash, float64(len(s.upstreams))); fallback == nil || points > best {
			fallback, best = s, points
		}
	}
	if len(homes) == 0 && fallback != nil {
		homes = fallback.top(now, object, 1, homes)
	}
	return homes
}

// room is the number of times that the region's upstreams can remember all objects. Until the objects have been counted
// it is assumed that they just fit into all regions together: homes that are added later cost less than homes that are
// given up.
func (c *Chooser) room(s *site) float64 {
	if c.objects.count == 0 {
		return float64(len(s.upstreams)) / float64(max(len(c.ordered), 1))
	}
	return float64(len(s.upstreams)*objectsPerUpstream) / float64(c.objects.count)
}

// top appends the n upstreams of the site that rank first for an object, without those that are known to fail.
func (s *site) top(now time.Time, object uint64, n int, homes []*upstream) []*upstream {
	var first, second *upstream
	var most, next float64
	for _, u := range s.upstreams {
		if u.failures > 0 && now.Before(u.retryAt) {
			continue
		}
		switch points := score(object, u.hash, float64(u.Slots)); {
		case first == nil || points > most:
			second, next = first, most
			first, most = u, points
		case second == nil || points > next:
			second, next = u, points
		}
	}
	if first != nil {
		homes = append(homes, first)
	}
	if second != nil && n > 1 {
		homes = append(homes, second)
	}
	return homes
}
