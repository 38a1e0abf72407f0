package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhold/id"
)

// hashString hashes a name once, so that scoring a pair takes a few instructions.
func hashString(text string) uint64 {
	return xxhash.Sum64String(text)
}

// combineHashes mixes two hashes into one that looks independent of both.
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

// unitHash combines two hashes into a number between 0 and 1.
func unitHash(a, b uint64) float64 {
	return (float64(combineHashes(a, b)>>11) + 0.5) / (1 << 53)
}

// ranking holds the two upstreams with the highest scores for an object, in descending order.
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

// objectRankings holds the ranked upstreams of an object, as seen from one region and data centre.
type objectRankings struct {
	// sameRegion ranks the upstreams of this region, otherRegions those of all others.
	sameRegion, otherRegions ranking
	// sameDataCentre ranks the upstreams of this data centre.
	sameDataCentre ranking
	// localityHash is a number between 0 and 1; the object has its home in this region if it is below the region's
	// local share.
	localityHash float64
	// dataCentreHomes holds the upstream with the highest score of each data centre of this region.
	dataCentreHomes []*upstream
	// shiftHash is a number between 0 and 1 that is independent of localityHash; objects below the shift of their route
	// are served in another region than usually.
	shiftHash float64
}

// maxCachedRankings bounds the objects whose rankings are cached.
const maxCachedRankings = 4096

// resetRankings forgets the rankings, since the upstreams have changed.
func (c *Chooser) resetRankings() {
	c.objectCount = c.countObjects()
	c.rankings = make(map[string]*objectRankings)
}

// countObjects returns the number of objects that this instance gets requests for.
func (c *Chooser) countObjects() int { return max(len(c.rankings), c.objectCount) }

// maxObjectsPerUpstream is the number of objects for which an upstream may be the home of its data centre beside that of
// the region. Upstreams remember some 25 objects or more, and one that gets requests for more finds most of them cold.
const maxObjectsPerUpstream = 24

// remembersCopies reports whether the upstreams of a data centre remember all objects, which then have a home there.
func (c *Chooser) remembersCopies(dataCentre id.DataCentre) bool {
	upstreams := 0
	for _, u := range c.ordered {
		if u.DataCentre == dataCentre {
			upstreams++
		}
	}
	return c.countObjects() <= maxObjectsPerUpstream*upstreams
}

// rankUpstreams returns the rankings for an object, which are cached until the list of upstreams changes.
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
	region := hashString(string(c.config.Region))
	rankings := &objectRankings{localityHash: unitHash(object, region), shiftHash: unitHash(object, ^region)}
	for _, u := range c.ordered {
		if c.evacuated[u.DataCentre] || !req.Allows(u.Region) {
			continue
		}
		if u.Region != c.config.Region {
			// Requests that are restricted to some regions run there together with those of the regions' own callers.
			if len(req.Regions) > 0 || c.isFarHome(u) {
				rankings.otherRegions.add(object, u)
			}
			continue
		}
		rankings.sameRegion.add(object, u)
		rankings.addDataCentreHome(object, u)
		if u.DataCentre == c.config.DataCentre {
			rankings.sameDataCentre.add(object, u)
		}
	}
	if len(req.Regions) == 0 {
		c.preferSameRegion(object, &rankings.otherRegions)
	}
	c.rankings[key] = rankings
	return rankings
}

// candidate is an upstream that a request may be sent to. The home is expected to have the object in its cache, since
// the other instances of the region send requests for it there as well.
type candidate struct {
	*upstream
	isHome bool
	// penalty is added to the cost of a candidate other than the home.
	penalty time.Duration
}

// candidates returns the upstreams for an object: its home in this region, a second one there that takes the overflow
// of the home, and one in another region in case this one has too few slots. Large responses also have a home in this
// data centre, since their transfer costs more than the cache memory of another copy.
//
// If this region has too few slots for its demand, a fixed fraction of its objects has its home elsewhere.
//
// An object is requested mostly from one region, so a second upstream in another region is not expected to have it in
// its cache.
func (c *Chooser) candidates(now time.Time, req Request, stats *routeStats) []candidate {
	c.refreshFarHomes(now)
	if c.features.Speed {
		return c.predictedCandidates(now, req, stats)
	}
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
	if c.isServedHere(rankings, req) {
		add(rankings.sameRegion.upstreams[0], 0)
		add(rankings.sameRegion.upstreams[1], affinityPenalty)
		add(rankings.otherRegions.upstreams[0], affinityPenalty)
	} else {
		add(rankings.otherRegions.upstreams[0], 0)
		add(rankings.sameRegion.upstreams[0], regionReturnPenalty)
	}
	isFarOverflow := c.features.Plan && len(out) > 0 && out[0].Region != c.config.Region
	if len(out) < minCandidates || isFarOverflow {
		add(rankings.otherRegions.upstreams[1], affinityPenalty)
	}
	if c.isPlannedAway(rankings, req) {
		c.waiveTransferCosts(out, stats)
		c.candidateBuffer = out
		return out
	}
	if local := rankings.sameDataCentre.upstreams[0]; (req.IsBulk || stats.size > bulkResponseBytes) && local != nil && local.isPastBackoff(now) {
		out = append(out, candidate{upstream: local, isHome: true})
	}
	c.candidateBuffer = out
	return out
}

const (
	// minCandidates is the number of candidates below which a second one in another region is added.
	minCandidates = 2
	// maxCandidates is the initial capacity of the candidate buffer.
	maxCandidates = 5
	// bulkResponseBytes is the average size above which the responses of a route count as large.
	bulkResponseBytes = 32_000
)

// isPastBackoff reports whether the upstream has not failed, or its backoff is over.
func (u *upstream) isPastBackoff(now time.Time) bool {
	return u.consecutiveFailures == 0 || !now.Before(u.retryAt)
}

// localShareStep is the change of the local share with each heartbeat: a third of the fraction of a region's requests
// that may move to another region within 2 s.
const localShareStep = 0.05

// assumedCapacityRatio is the ratio of a region's slots to its demand that is assumed before the demand is known, if
// all regions have the same number of slots.
const assumedCapacityRatio = 0.75

// assumeLocalShare sets the local share before the demand is known, from this region's fraction of all slots. Regions
// are assumed to have the same demand.
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

// AdjustLocalShare moves the local share by one step towards the target, which is the fraction of objects that this
// region has the slots for. Differences below half a step are ignored.
func (c *Chooser) AdjustLocalShare(target float64) {
	c.isDemandKnown = true
	switch steps := (target - c.localShare) / localShareStep; {
	case steps > 0.5:
		c.localShare = min(c.localShare+localShareStep, 1)
	case steps < -0.5:
		c.localShare = max(c.localShare-localShareStep, 0)
	}
}

// LocalShare returns the fraction of objects whose home is in this region.
func (c *Chooser) LocalShare() float64 { return c.localShare }

// RestoreLocalShare sets the local share to its value before a restart.
func (c *Chooser) RestoreLocalShare(share float64) {
	c.localShare, c.isDemandKnown = share, true
}

// UsableSlots returns the slots of the region's upstreams that are neither evacuated nor in backoff.
func (c *Chooser) UsableSlots(now time.Time, region id.Region) id.Slots {
	var slots id.Slots
	for _, u := range c.ordered {
		if u.Region == region && !c.evacuated[u.DataCentre] && u.isPastBackoff(now) {
			slots += u.Slots
		}
	}
	return slots
}

// WarmProcessingTime returns the processing time of a request of the route at an upstream that has its object in its
// cache.
func (c *Chooser) WarmProcessingTime(req Request) time.Duration {
	return c.stats(req).warm
}

// OccupiedTime returns the average time for which a request of the route occupies a slot.
func (c *Chooser) OccupiedTime(req Request) time.Duration {
	if stats := c.stats(req); c.features.Speed && stats.occupied > 0 {
		return stats.occupied
	}
	return c.stats(req).warm
}
