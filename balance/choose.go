package balance

import (
	"math"
	"slices"
	"time"

	"bluebellhold/id"
)

const (
	// maxDraws limits the draws of one candidate; a draw is repeated if the upstream's weight rejects it.
	maxDraws = 3

	// minWeight keeps a few requests on an upstream with bad outcomes, so that its recovery is detected.
	minWeight = 0.02
)

// Criteria describes the upstreams that are eligible for a request.
type Criteria struct {
	// Regions are the allowed regions in order of preference; a later one is used only if no upstream of an earlier
	// one is eligible.
	Regions []id.Region
	// Exclude lists ineligible upstreams, for example because they shed the request.
	Exclude []id.Upstream
	// Exclusive requires an upstream on which this instance runs no request, and on which it runs no other until the
	// request has finished.
	Exclusive bool
}

// Choose returns the upstream for a request, or false if none is eligible.
//
// If the instance sends the request, it must call RecordStart before the next call of Choose.
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

// draw returns a random candidate, with less probability for those of lower weight.
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

// pickRandom returns a random candidate, or the next one after it if the candidate is excluded.
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

// weight is the probability of accepting u when it is drawn; slow start and bad outcomes reduce it.
func (c *Chooser) weight(now time.Time, u *upstream) float64 {
	return c.slowStartFactor(now, u) * c.healthFactor(now, u)
}

// slowStartFactor rises linearly to 1 during the slow start.
func (c *Chooser) slowStartFactor(now time.Time, u *upstream) float64 {
	remaining := u.slowStartEnd.Sub(now)
	if remaining <= 0 {
		return 1
	}
	return max(minWeight, 1-float64(remaining)/float64(c.config.SlowStart))
}

// healthFactor is the square of the success rate.
func (c *Chooser) healthFactor(now time.Time, u *upstream) float64 {
	successRate := 1 - u.health.decayedErrorRate(now, c.config.OutcomeHalfLife)
	return max(minWeight, successRate*successRate)
}

// cost is the load of u in requests per slot, including the new one, divided by the health factor.
func (c *Chooser) cost(now time.Time, u *upstream) float64 {
	load := (float64(u.inFlight)+1)/float64(max(u.limit(), 1)) + c.estimateOthersPerSlot(now, u)
	if c.panicMode {
		return load
	}
	return load / c.healthFactor(now, u)
}

// estimateOthersPerSlot estimates the requests per slot that other instances run on u. As the report ages, the estimate
// converges to the mean of the region, so that an upstream does not appear idle because its reports have stopped.
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
