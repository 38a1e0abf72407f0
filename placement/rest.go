package placement

import (
	"maps"
	"time"

	"bluebellhold/id"
)

// maxRest bounds the rest that an upstream gets, so that a wrong number does not take it away for good.
const maxRest = 10 * time.Minute

// rest is the time for which one process of an upstream wants no requests of this instance.
type rest struct {
	incarnation id.Incarnation
	until       time.Time
}

// observeRest records the rest that an upstream has asked for; zero means none.
func (c *Chooser) observeRest(now time.Time, u *upstream, asked time.Duration) {
	if asked > 0 {
		until := now.Add(min(asked, maxRest))
		if u.rest == nil {
			u.rest = &rest{incarnation: u.Incarnation}
			c.rests[u.ID] = u.rest
		}
		if until.After(u.rest.until) {
			u.rest.until = until
		}
		return
	}
	if u.rest != nil && !now.Before(u.rest.until) {
		delete(c.rests, u.ID)
		u.rest = nil
	}
}

// reattachRests keeps the rests of upstreams whose process has not changed, also of those that were missing from the list
// for a while.
func (c *Chooser) reattachRests(now time.Time) {
	maps.DeleteFunc(c.rests, func(name id.Upstream, r *rest) bool {
		u := c.upstreams[name]
		return u == nil && !now.Before(r.until) || u != nil && u.Incarnation != r.incarnation
	})
	for name, u := range c.upstreams {
		u.rest = c.rests[name]
	}
}

// isResting reports whether the upstream wants no request now. After its rest it gets one at a time until it has answered
// one, since it may ask for more.
func (u *upstream) isResting(now time.Time) bool {
	return u.rest != nil && (now.Before(u.rest.until) || u.inFlight() > 0)
}

// chooseResting returns the upstream whose rest ends first, for a request for which all others are ruled out.
func (c *Chooser) chooseResting(now time.Time, req Request, stats *routeStats) (Choice, bool) {
	var first *upstream
	for _, u := range c.ordered {
		if u.isResting(now) && c.isAllowed(now, u, req) && (first == nil || u.rest.until.Before(first.rest.until)) {
			first = u
		}
	}
	if first == nil {
		return Choice{}, false
	}
	choice, _ := c.estimate(now, candidate{upstream: first}, req, stats, 1)
	choice.HasCapacity = false
	if wait := first.rest.until.Sub(now); wait > 0 {
		choice.EstimatedLatency += wait
	}
	if first.rest.until.After(choice.NotBefore) {
		choice.NotBefore = first.rest.until
	}
	return choice, true
}
