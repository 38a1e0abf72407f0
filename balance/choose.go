package balance

import (
	"math"
	"slices"
	"time"

	"bluebellhold/id"
)

const (
	// redraws bounds how often a draw is repeated because the upstream is cold or had bad outcomes.
	maxDraws = 3

	// leastShare keeps a trickle of requests on an upstream with bad outcomes, so that its recovery is noticed.
	minWeight = 0.02
)

// Criteria says what a request needs.
type Criteria struct {
	// Regions are the allowed regions in order of preference; a later one is used only if no upstream of an earlier
	// one may get a request.
	Regions []id.Region
	// Exclude lists upstreams that are not to be used, for example because the request was shed there.
	Exclude []id.Upstream
	// Exclusive demands an upstream on which this instance runs nothing, and on which it runs nothing else until the
	// request has finished.
	Exclusive bool
}

// Choose returns the upstream for a request or false if none may get it.
//
// The caller calls Started directly afterwards, before the next call of Choose, if it sends the request.
func (c *Chooser) Choose(now time.Time, criteria Criteria) (id.Upstream, bool) {
	c.reviewIfDue(now)
	c.pendingExclusive = nil
	for _, name := range criteria.Regions {
		r := c.regions[name]
		if r == nil {
			continue
		}
		if u := c.chooseInRegion(now, r, criteria); u != nil {
			if criteria.Exclusive {
				c.pendingExclusive = u
			}
			return u.ID, true
		}
	}
	return "", false
}

func (c *Chooser) chooseInRegion(now time.Time, r *region, criteria Criteria) *upstream {
	candidates := r.members[:r.partitionEnds[partitionBusy]]
	if criteria.Exclusive {
		candidates = r.members[:r.partitionEnds[partitionIdle]]
	}
	a := c.draw(now, candidates, criteria.Exclude, nil)
	if a == nil {
		return nil
	}
	b := c.draw(now, candidates, criteria.Exclude, a)
	if b == nil || c.cost(now, a) <= c.cost(now, b) {
		return a
	}
	return b
}

// draw returns a random candidate, preferring those with a full share.
func (c *Chooser) draw(now time.Time, candidates []*upstream, exclude []id.Upstream, other *upstream) *upstream {
	var u *upstream
	for range maxDraws {
		u = c.pickRandom(candidates, exclude, other)
		if u == nil || c.panicMode {
			return u
		}
		if weight := c.weight(now, u); weight >= 1 || c.random.Float64() < weight {
			return u
		}
	}
	return u
}

// pick returns a random candidate that is not excluded, or the next one after it.
func (c *Chooser) pickRandom(candidates []*upstream, exclude []id.Upstream, other *upstream) *upstream {
	if len(candidates) == 0 {
		return nil
	}
	start := c.random.IntN(len(candidates))
	for i := range min(len(candidates), len(exclude)+2) {
		u := candidates[(start+i)%len(candidates)]
		if u != other && !slices.Contains(exclude, u.ID) {
			return u
		}
	}
	return nil
}

// share is the part of the usual draws that u gets: less while it is cold and less after bad outcomes.
func (c *Chooser) weight(now time.Time, u *upstream) float64 {
	return c.slowStartFactor(now, u) * c.healthFactor(now, u)
}

// warmth rises linearly during the slow start.
func (c *Chooser) slowStartFactor(now time.Time, u *upstream) float64 {
	remaining := u.slowStartEnd.Sub(now)
	if remaining <= 0 {
		return 1
	}
	return max(minWeight, 1-float64(remaining)/float64(c.config.SlowStart))
}

// confidence falls with the square of the part of outcomes that were good.
func (c *Chooser) healthFactor(now time.Time, u *upstream) float64 {
	successRate := 1 - u.health.decayedErrorRate(now, c.config.OutcomeHalfLife)
	return max(minWeight, successRate*successRate)
}

// cost compares upstreams: requests per slot, counting the new one, and more after bad outcomes.
func (c *Chooser) cost(now time.Time, u *upstream) float64 {
	load := (float64(u.running)+1)/float64(max(u.limit(), 1)) + c.estimateOthersPerSlot(now, u)
	if c.panicMode {
		return load
	}
	return load / c.healthFactor(now, u)
}

// others estimates what others run on u per slot. With the age of the report it tends to the mean of the region, so
// that an upstream does not appear idle because its reports have stopped.
func (c *Chooser) estimateOthersPerSlot(now time.Time, u *upstream) float64 {
	regionMean := u.region.othersPerSlotSum / float64(len(u.region.members))
	return regionMean + (u.load.othersPerSlot-regionMean)*decay(now.Sub(u.load.measuredAt), c.config.LoadHalfLife)
}

// decay returns the factor that is one half after each half-life.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
