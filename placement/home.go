package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhold/id"
)

// hashText hashes a name once, so that scoring a pair costs a few instructions.
func hashString(text string) uint64 {
	return xxhash.Sum64String(text)
}

// mix combines two hashes into one that looks independent of both.
func combineHashes(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// score ranks an upstream for an object by weighted rendezvous hashing; the highest score wins.
func score(object uint64, u *upstream) float64 {
	return -max(float64(u.Slots), 1) / math.Log(unitHash(object, u.hash))
}

// unit combines two hashes into a number between 0 and 1.
func unitHash(a, b uint64) float64 {
	return (float64(combineHashes(a, b)>>11) + 0.5) / (1 << 53)
}

// ranking holds the upstreams that rank first for an object, the best one first.
type ranking struct {
	upstreams [2]*upstream
	scores    [2]float64
}

func (r *ranking) add(object uint64, u *upstream) {
	switch s := score(object, u); {
	case r.upstreams[0] == nil || s > r.scores[0]:
		r.upstreams[1], r.scores[1] = r.upstreams[0], r.scores[0]
		r.upstreams[0], r.scores[0] = u, s
	case r.upstreams[1] == nil || s > r.scores[1]:
		r.upstreams[1], r.scores[1] = u, s
	}
}

// place is where an object is settled, as seen from one region.
type objectRankings struct {
	// regional ranks the upstreams of the own region, remote those of the others.
	sameRegion, otherRegions ranking
	// near ranks the upstreams of the own data centre.
	sameDataCentre ranking
	// lot is a number between 0 and 1 that decides whether the object is among those that the own region keeps.
	localityHash float64
}

// placesKept bounds the objects whose places are kept.
const maxCachedRankings = 4096

// place ranks the upstreams for an object once; the ranking holds until the list of upstreams changes.
func (c *Chooser) rankUpstreams(req Request) *objectRankings {
	key := req.Object
	for _, region := range req.Regions {
		key += "/" + string(region)
	}
	if known := c.rankings[key]; known != nil {
		return known
	}
	if len(c.rankings) >= maxCachedRankings {
		clear(c.rankings)
	}
	object := hashString(req.Object)
	rankings := &objectRankings{localityHash: unitHash(object, hashString(string(c.config.Region)))}
	for _, u := range c.ordered {
		if c.evacuated[u.DataCentre] || !req.allows(u.Region) {
			continue
		}
		if u.Region != c.config.Region {
			rankings.otherRegions.add(object, u)
			continue
		}
		rankings.sameRegion.add(object, u)
		if u.DataCentre == c.config.DataCentre {
			rankings.sameDataCentre.add(object, u)
		}
	}
	c.rankings[key] = rankings
	return rankings
}

// candidate is an upstream that an object may run on; at its home the object is expected to be known, since the other
// instances of the region send its requests there as well.
type candidate struct {
	*upstream
	isHome bool
	// bias is how much later the object may finish at its home.
	penalty time.Duration
}

// candidates returns the upstreams for an object: its home in the own region, a second one there that takes what the
// home has no room for, and one in another region in case the own one has too few slots. Large answers also have a home
// in the own data centre, since their transfer counts for more than the memory that it takes.
//
// If the own region has too few slots for its demand, a fixed part of its objects has its home elsewhere.
//
// An object is asked for in one region mostly, so a place in another region is not expected to know it.
func (c *Chooser) candidates(now time.Time, req Request, stats *routeStats) []candidate {
	rankings := c.rankUpstreams(req)
	out := c.candidateBuffer[:0]
	add := func(u *upstream, penalty time.Duration) {
		if u == nil || !u.isPastBackoff(now) {
			return
		}
		if len(out) == 0 {
			penalty = 0
		}
		out = append(out, candidate{upstream: u, isHome: len(out) == 0, penalty: penalty})
	}
	if rankings.localityHash < c.localShare {
		add(rankings.sameRegion.upstreams[0], 0)
		add(rankings.sameRegion.upstreams[1], affinityPenalty)
		add(rankings.otherRegions.upstreams[0], affinityPenalty)
	} else {
		add(rankings.otherRegions.upstreams[0], 0)
		add(rankings.sameRegion.upstreams[0], regionReturnPenalty)
	}
	if len(out) < minCandidates {
		add(rankings.otherRegions.upstreams[1], affinityPenalty)
	}
	if near := rankings.sameDataCentre.upstreams[0]; (req.IsBulk || stats.size > bulkAnswerBytes) && near != nil && near.isPastBackoff(now) {
		out = append(out, candidate{upstream: near, isHome: true})
	}
	c.candidateBuffer = out
	return out
}

const (
	// leastCandidates is the number of candidates below which a second one in another region is added.
	minCandidates = 2
	// mostCandidates is the capacity for candidates.
	maxCandidates = 5
	// bulkSize is the average size of an answer in bytes above which it counts as large.
	bulkAnswerBytes = 32_000
)

// isReachable reports whether the upstream is not in the pause after a failure.
func (u *upstream) isPastBackoff(now time.Time) bool {
	return u.consecutiveFailures == 0 || !now.Before(u.retryAt)
}

// keepStep is the step in which the part of the objects that stay in the region changes with each heartbeat: a third of
// the part of a region's requests that may change the region within 2 s.
const localShareStep = 0.05

// startRoom is how many times its even part of the demand a region is assumed to have the slots for before the demand is
// known, if the slots are spread evenly.
const assumedCapacityRatio = 0.75

// assumeKept sets the part of the objects that the own region keeps before its demand is known, from its part of the
// slots. Regions are assumed to have the same demand.
func (c *Chooser) assumeLocalShare() {
	var own, all id.Slots
	regions := make(map[id.Region]bool)
	for _, u := range c.ordered {
		all += u.Slots
		regions[u.Region] = true
		if u.Region == c.config.Region {
			own += u.Slots
		}
	}
	c.localShare = min(assumedCapacityRatio*float64(own)*float64(len(regions))/float64(max(all, 1)), 1)
}

// AdjustLocalShare sets the part of the objects that the own region has the slots for; it moves there by one step a call, and
// ignores changes below half a step.
func (c *Chooser) AdjustLocalShare(target float64) {
	c.isDemandKnown = true
	switch steps := (target - c.localShare) / localShareStep; {
	case steps > 0.5:
		c.localShare = min(c.localShare+localShareStep, 1)
	case steps < -0.5:
		c.localShare = max(c.localShare-localShareStep, 0)
	}
}

// LocalShare returns the part of the objects that have their home in the own region.
func (c *Chooser) LocalShare() float64 { return c.localShare }

// RestoreLocalShare sets the part of the objects that have their home in the own region to what it was before a restart.
func (c *Chooser) RestoreLocalShare(share float64) {
	c.localShare, c.isDemandKnown = share, true
}

// UsableSlots returns the slots of the region's upstreams that may get work.
func (c *Chooser) UsableSlots(now time.Time, region id.Region) id.Slots {
	var slots id.Slots
	for _, u := range c.ordered {
		if u.Region == region && !c.evacuated[u.DataCentre] && u.isPastBackoff(now) {
			slots += u.Slots
		}
	}
	return slots
}

// WarmProcessingTime returns the time that a request of the class takes at an upstream that knows its object.
func (c *Chooser) WarmProcessingTime(req Request) time.Duration {
	return c.stats(req).warm
}
