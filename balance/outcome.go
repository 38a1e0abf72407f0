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
	bad       float64 // running mean of bad outcomes as of the time badAt
	badAt     time.Time
	failures  int       // in a row
	outcome   time.Time // last own outcome or probe
	probe     time.Time // not due for a probe before
	until     time.Time // unhealthy until; zero if healthy
	ejected   bool      // excluded from the choice; not all unhealthy upstreams are
	down      bool      // unhealthy and without a success since
	ejections int       // in a row, for the back-off
	forgive   time.Time // when the count of ejections starts anew
	took      time.Duration
}

// trouble returns the running mean of bad outcomes, which halves in each recovery time.
func (h *health) trouble(now time.Time, recovery time.Duration) float64 {
	if h.bad == 0 {
		return 0
	}
	return h.bad * decay(now.Sub(h.badAt), recovery)
}

func (h *health) record(now time.Time, recovery time.Duration, bad float64) {
	mean := h.trouble(now, recovery)
	h.bad, h.badAt = mean+(bad-mean)*outcomeWeight, now
	h.outcome = now
}

// RecordStart reports that a request was sent to the upstream that Choose returned.
func (c *Chooser) RecordStart(_ time.Time, name id.Upstream) {
	u := c.upstreams[name]
	if u == nil {
		return
	}
	if c.alone == u {
		u.alone, c.alone = true, nil
	}
	u.running++
	c.place(u)
}

// RecordOutcome reports the outcome of a request that was started; took is the time since its start.
func (c *Chooser) RecordOutcome(now time.Time, name id.Upstream, o Outcome, took time.Duration) {
	u := c.upstreams[name]
	if u == nil || u.running == 0 {
		return
	}
	u.running--
	u.alone = u.alone && u.running > 0
	if _, ok := o.(Succeeded); ok {
		u.health.took += (took - u.health.took) / 8
	}
	c.judge(now, u, o)
	c.place(u)
	c.discard(u)
}

// judge takes an outcome of a request or probe into the upstream's health.
func (c *Chooser) judge(now time.Time, u *upstream, o Outcome) {
	h := &u.health
	switch o.(type) {
	case Succeeded:
		h.record(now, c.config.OutcomeHalfLife, 0)
		h.failures, h.down = 0, false
	case Shed:
		// It is full, whatever its reports say.
		h.record(now, c.config.OutcomeHalfLife, 1)
		u.load.running = max(u.load.running, float64(u.limit()))
		c.setLoad(u, max(u.load.others, float64(u.limit()-u.running)), now)
	case Failed:
		h.record(now, c.config.OutcomeHalfLife, 1)
		h.failures++
		if h.failures >= c.config.ConsecutiveFailures {
			c.eject(now, u)
		}
	case ConnectionFailed:
		h.record(now, c.config.OutcomeHalfLife, 1)
		h.bad = 1
		c.eject(now, u)
	}
}

// eject marks u as unhealthy. The requests that one death ends together count as one.
func (c *Chooser) eject(now time.Time, u *upstream) {
	h := &u.health
	h.failures, h.down = 0, true
	if now.Before(h.until) {
		return
	}
	if now.After(h.forgive) {
		h.ejections = 0
	}
	backoff := c.config.MaxEjectionTime
	if h.ejections < 16 {
		backoff = min(backoff, c.config.BaseEjectionTime<<h.ejections)
	}
	h.ejections++
	// Up to a quarter more, so that several upstreams or instances don't return at the same moment.
	backoff += time.Duration(c.random.Int64N(int64(backoff)/4 + 1))
	h.until = now.Add(backoff)
	h.forgive = h.until.Add(max(backoff, c.config.SlowStart))
	c.reviewHealth(now)
}

// expire ends the unhealthy states whose time has come.
func (c *Chooser) expire(now time.Time) {
	if !c.review.IsZero() && !now.Before(c.review) {
		c.reviewHealth(now)
	}
}

// reviewHealth decides which unhealthy upstreams are ejected and whether health is ignored. It runs only when an
// upstream's health or the configuration changes.
func (c *Chooser) reviewHealth(now time.Time) {
	open, unhealthy, ejected := 0, 0, 0
	c.review = time.Time{}
	for _, u := range c.list {
		c.recover(now, u)
		if !u.open() {
			u.health.ejected = false
			continue
		}
		open++
		if u.health.until.IsZero() {
			continue
		}
		unhealthy++
		if u.health.ejected {
			ejected++
		}
		if c.review.IsZero() || u.health.until.Before(c.review) {
			c.review = u.health.until
		}
	}
	allowed := open / 3
	for _, u := range c.list {
		h := &u.health
		switch {
		case h.ejected && ejected > allowed:
			h.ejected = false
			ejected--
		case !h.ejected && u.open() && !h.until.IsZero() && ejected < allowed:
			h.ejected = true
			ejected++
		}
	}
	c.panicking = float64(unhealthy) > c.config.PanicThreshold*float64(open)
	for _, u := range c.list {
		c.place(u)
	}
}

// recover ends an unhealthy state. The upstream has probably been restarted, so it starts slowly.
func (c *Chooser) recover(now time.Time, u *upstream) {
	h := &u.health
	if h.until.IsZero() || now.Before(h.until) {
		return
	}
	h.until, h.ejected = time.Time{}, false
	u.warm = now.Add(c.config.SlowStart)
}
