package balance

import (
	"time"

	"bluebellhold/id"
)

// outcomeWeight is the weight of one outcome in the running mean of bad outcomes: an eighth lets a few outcomes
// decide and a single one matter little.
const outcomeWeight = 1.0 / 8

// Outcome says how a request on an upstream ended.
type Outcome interface{ outcome() }

// Succeeded means that the upstream gave a whole answer.
type Succeeded struct{}

// Shed means that the upstream refused the request without running it.
type Shed struct{}

// Failed means that the upstream answered with a failure of its own or not in time.
type Failed struct{}

// ConnectionFailed means that the connection broke or could not be made.
type ConnectionFailed struct{}

// Cancelled means that the caller gave up; it says nothing about the upstream.
type Cancelled struct{}

func (Succeeded) outcome()        {}
func (Shed) outcome()             {}
func (Failed) outcome()           {}
func (ConnectionFailed) outcome() {}
func (Cancelled) outcome()        {}

// health is what own outcomes say about one upstream.
type health struct {
	errorRate            float64 // running mean of bad outcomes as of the time badAt
	errorRateAt          time.Time
	consecutiveFailures  int       // in a row
	lastOutcome          time.Time // last own outcome or probe
	nextProbe            time.Time // not due for a probe before
	unhealthyUntil       time.Time // unhealthy until; zero if healthy
	ejected              bool      // excluded from the choice; not all unhealthy upstreams are
	down                 bool      // unhealthy and without a success since
	consecutiveEjections int       // in a row, for the back-off
	ejectionsResetAt     time.Time // when the count of ejections starts anew
	meanServiceTime      time.Duration
}

// trouble returns the running mean of bad outcomes, which halves in each recovery time.
func (h *health) decayedErrorRate(now time.Time, recovery time.Duration) float64 {
	if h.errorRate == 0 {
		return 0
	}
	return h.errorRate * decay(now.Sub(h.errorRateAt), recovery)
}

func (h *health) updateErrorRate(now time.Time, recovery time.Duration, sample float64) {
	mean := h.decayedErrorRate(now, recovery)
	h.errorRate, h.errorRateAt = mean+(sample-mean)*outcomeWeight, now
	h.lastOutcome = now
}

// RecordStart reports that a request was sent to the upstream that Choose returned.
func (c *Chooser) RecordStart(_ time.Time, name id.Upstream) {
	u := c.upstreams[name]
	if u == nil {
		return
	}
	if c.pendingExclusive == u {
		u.exclusive, c.pendingExclusive = true, nil
	}
	u.running++
	c.updatePartition(u)
}

// RecordOutcome reports the outcome of a request that was started; took is the time since its start.
func (c *Chooser) RecordOutcome(now time.Time, name id.Upstream, o Outcome, serviceTime time.Duration) {
	u := c.upstreams[name]
	if u == nil || u.running == 0 {
		return
	}
	u.running--
	u.exclusive = u.exclusive && u.running > 0
	if _, ok := o.(Succeeded); ok {
		u.health.meanServiceTime += (serviceTime - u.health.meanServiceTime) / 8
	}
	c.applyOutcome(now, u, o)
	c.updatePartition(u)
	c.deleteIfDrained(u)
}

// judge takes an outcome of a request or probe into the upstream's health.
func (c *Chooser) applyOutcome(now time.Time, u *upstream, o Outcome) {
	h := &u.health
	switch o.(type) {
	case Succeeded:
		h.updateErrorRate(now, c.config.OutcomeHalfLife, 0)
		h.consecutiveFailures, h.down = 0, false
	case Shed:
		// It is full, whatever its reports say.
		h.updateErrorRate(now, c.config.OutcomeHalfLife, 1)
		u.load.running = max(u.load.running, float64(u.limit()))
		c.setOthersLoad(u, max(u.load.othersRunning, float64(u.limit()-u.running)), now)
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

// eject marks u as unhealthy. The requests that one death ends together count as one.
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
	// Up to a quarter more, so that several upstreams or instances don't return at the same moment.
	backoff += time.Duration(c.random.Int64N(int64(backoff)/4 + 1))
	h.unhealthyUntil = now.Add(backoff)
	h.ejectionsResetAt = h.unhealthyUntil.Add(max(backoff, c.config.SlowStart))
	c.reviewHealth(now)
}

// expire ends the unhealthy states whose time has come.
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

// recover ends an unhealthy state. The upstream has probably been restarted, so it starts slowly.
func (c *Chooser) recoverIfDue(now time.Time, u *upstream) {
	h := &u.health
	if h.unhealthyUntil.IsZero() || now.Before(h.unhealthyUntil) {
		return
	}
	h.unhealthyUntil, h.ejected = time.Time{}, false
	u.slowStartEnd = now.Add(c.config.SlowStart)
}
