package balance

import (
	"time"

	"bluebellhold/id"
)

// outcomeWeight is the weight of one outcome in the moving average of the error rate. With an eighth, a few outcomes
// dominate the average while a single one has little effect.
const outcomeWeight = 1.0 / 8

// Outcome is the result of a request or a probe on an upstream.
type Outcome interface{ outcome() }

// Succeeded means that the upstream sent a complete response.
type Succeeded struct{}

// Shed means that the upstream reported that it did not run the request. It wants no further request of this instance for
// the time Rest.
type Shed struct{ Rest time.Duration }

// Failed means that the upstream responded with a server error or timed out.
type Failed struct{}

// ConnectionFailed means that the connection broke or could not be established.
type ConnectionFailed struct{}

// Cancelled means that the caller cancelled the request; it does not affect the upstream's health.
type Cancelled struct{}

func (Succeeded) outcome()        {}
func (Shed) outcome()             {}
func (Failed) outcome()           {}
func (ConnectionFailed) outcome() {}
func (Cancelled) outcome()        {}

// health is the health of one upstream by the outcomes that this instance observed.
type health struct {
	errorRate            float64 // moving average of bad outcomes as of errorRateAt
	errorRateAt          time.Time
	consecutiveFailures  int
	lastOutcome          time.Time // last outcome of a request or probe
	nextProbe            time.Time // earliest time of the next probe
	unhealthyUntil       time.Time // zero if healthy
	ejected              bool      // excluded from the choice outside panic mode; a subset of the unhealthy upstreams
	down                 bool      // no sign of recovery since it became unhealthy
	consecutiveEjections int       // for the backoff
	ejectionsResetAt     time.Time // when consecutiveEjections restarts at zero
	meanServiceTime      time.Duration
}

// decayedErrorRate returns the error rate at the time now; it halves in each half-life.
func (h *health) decayedErrorRate(now time.Time, halfLife time.Duration) float64 {
	if h.errorRate == 0 {
		return 0
	}
	return h.errorRate * decay(now.Sub(h.errorRateAt), halfLife)
}

func (h *health) updateErrorRate(now time.Time, halfLife time.Duration, sample float64) {
	mean := h.decayedErrorRate(now, halfLife)
	h.errorRate, h.errorRateAt = mean+(sample-mean)*outcomeWeight, now
	h.lastOutcome = now
}

// RecordStart records that a request was sent to the upstream that Choose returned.
func (c *Chooser) RecordStart(_ time.Time, name id.Upstream) {
	u := c.upstreams[name]
	if u == nil {
		return
	}
	if c.pendingExclusive == u {
		u.exclusive, c.pendingExclusive = true, nil
	}
	u.inFlight++
	c.updatePartition(u)
}

// RecordOutcome records the outcome of a request that was started; serviceTime is the time since its start.
func (c *Chooser) RecordOutcome(now time.Time, name id.Upstream, o Outcome, serviceTime time.Duration) {
	u := c.upstreams[name]
	if u == nil || u.inFlight == 0 {
		return
	}
	u.inFlight--
	u.exclusive = u.exclusive && u.inFlight > 0
	if _, ok := o.(Succeeded); ok {
		u.health.meanServiceTime += (serviceTime - u.health.meanServiceTime) / 8
	}
	c.applyOutcome(now, u, o)
	c.updatePartition(u)
	c.deleteIfDrained(u)
}

// applyOutcome updates the health and load of u with the outcome of a request.
func (c *Chooser) applyOutcome(now time.Time, u *upstream, o Outcome) {
	h := &u.health
	switch o := o.(type) {
	case Succeeded:
		h.updateErrorRate(now, c.config.OutcomeHalfLife, 0)
		h.consecutiveFailures, h.down = 0, false
	case Shed:
		// It has no free slot, even if its reports show some.
		h.updateErrorRate(now, c.config.OutcomeHalfLife, 1)
		u.load.inFlight = max(u.load.inFlight, float64(u.limit()))
		c.setOthersLoad(u, max(u.load.othersInFlight, float64(u.limit()-u.inFlight)), now)
		c.rest(now, u, o.Rest)
	case Failed:
		h.updateErrorRate(now, c.config.OutcomeHalfLife, 1)
		h.consecutiveFailures++
		if h.consecutiveFailures >= c.config.ConsecutiveFailures {
			c.markUnhealthy(now, u)
		}
	case ConnectionFailed:
		h.updateErrorRate(now, c.config.OutcomeHalfLife, 1)
		h.errorRate = 1
		c.markUnhealthy(now, u)
	}
}

// maxRest bounds the rest that an upstream gets, so that a wrong number does not take it away for good.
const maxRest = 10 * time.Minute

// rest excludes an upstream from new requests for the time that it asked for. It gets a slow start afterwards, so that not
// all requests return at once.
func (c *Chooser) rest(now time.Time, u *upstream, asked time.Duration) {
	until := now.Add(min(asked, maxRest))
	if asked <= 0 || !until.After(u.restUntil) {
		return
	}
	u.restUntil = until
	c.reviewHealth(now)
}

// RestUntil returns when the first upstream ends its rest, and false unless all upstreams that the configuration allows
// rest.
func (c *Chooser) RestUntil(now time.Time) (time.Time, bool) {
	c.reviewIfDue(now)
	var first time.Time
	for _, u := range c.configured {
		switch {
		case u.acceptsNew():
			return time.Time{}, false
		case !u.restUntil.IsZero() && !u.Draining && (first.IsZero() || u.restUntil.Before(first)):
			first = u.restUntil
		}
	}
	return first, !first.IsZero()
}

// markUnhealthy starts an unhealthy period with exponential backoff. Requests that fail during the period don't extend it,
// so that all failures of one crash count as one.
func (c *Chooser) markUnhealthy(now time.Time, u *upstream) {
	h := &u.health
	h.consecutiveFailures, h.down = 0, true
	if now.Before(h.unhealthyUntil) {
		return
	}
	if now.After(h.ejectionsResetAt) {
		h.consecutiveEjections = 0
	}
	backoff := c.config.MaxEjectionTime
	if h.consecutiveEjections < 16 {
		backoff = min(backoff, c.config.BaseEjectionTime<<h.consecutiveEjections)
	}
	h.consecutiveEjections++
	// The jitter of up to a quarter keeps upstreams and instances from returning at the same time.
	backoff += time.Duration(c.random.Int64N(int64(backoff)/4 + 1))
	h.unhealthyUntil = now.Add(backoff)
	h.ejectionsResetAt = h.unhealthyUntil.Add(max(backoff, c.config.SlowStart))
	c.reviewHealth(now)
}

// ForgetFailures makes all upstreams healthy again, since their failures were those of the caller's own links.
func (c *Chooser) ForgetFailures(now time.Time) {
	for _, u := range c.configured {
		u.health = health{lastOutcome: now, meanServiceTime: u.health.meanServiceTime}
	}
	c.reviewHealth(now)
}

// reviewIfDue ends the unhealthy periods that have expired.
func (c *Chooser) reviewIfDue(now time.Time) {
	if !c.nextReview.IsZero() && !now.Before(c.nextReview) {
		c.reviewHealth(now)
	}
}

// reviewHealth decides which unhealthy upstreams are ejected and whether health is ignored. It runs only when an
// upstream's health or the configuration changes.
func (c *Chooser) reviewHealth(now time.Time) {
	accepting, unhealthy, ejected := 0, 0, 0
	c.nextReview = time.Time{}
	for _, u := range c.configured {
		c.recoverIfDue(now, u)
		if !u.restUntil.IsZero() && (c.nextReview.IsZero() || u.restUntil.Before(c.nextReview)) {
			c.nextReview = u.restUntil
		}
		if !u.acceptsNew() {
			u.health.ejected = false
			continue
		}
		accepting++
		if u.health.unhealthyUntil.IsZero() {
			continue
		}
		unhealthy++
		if u.health.ejected {
			ejected++
		}
		if c.nextReview.IsZero() || u.health.unhealthyUntil.Before(c.nextReview) {
			c.nextReview = u.health.unhealthyUntil
		}
	}
	maxEjected := accepting / 3
	for _, u := range c.configured {
		h := &u.health
		switch {
		case h.ejected && ejected > maxEjected:
			h.ejected = false
			ejected--
		case !h.ejected && u.acceptsNew() && !h.unhealthyUntil.IsZero() && ejected < maxEjected:
			h.ejected = true
			ejected++
		}
	}
	c.panicMode = float64(unhealthy) > c.config.PanicThreshold*float64(accepting)
	for _, u := range c.configured {
		c.updatePartition(u)
	}
}

// recoverIfDue ends an expired rest, and an expired unhealthy period. After that, the upstream has probably been restarted, so it gets a slow start.
func (c *Chooser) recoverIfDue(now time.Time, u *upstream) {
	h := &u.health
	if !u.restUntil.IsZero() && !now.Before(u.restUntil) {
		u.restUntil, u.slowStartEnd = time.Time{}, now.Add(c.config.SlowStart)
	}
	if h.unhealthyUntil.IsZero() || now.Before(h.unhealthyUntil) {
		return
	}
	h.unhealthyUntil, h.ejected = time.Time{}, false
	u.slowStartEnd = now.Add(c.config.SlowStart)
}
