package balance

import (
	"time"

	"bluebellhold/id"
)

const (
	// probesAtOnce bounds the probes of one call.
	probesAtOnce = 2

	// probeAhead is how long before the end of an ejection a probe is due: a failed one prolongs the ejection, so that
	// no request is spent on finding out.
	probeAhead = 500 * time.Millisecond
)

// NextProbes returns a few upstreams to be probed now, those whose last own outcome or probe is too long ago and those
// whose ejection is about to end; the caller reports the outcome with RecordProbe.
func (c *Chooser) NextProbes(now time.Time) []id.Upstream {
	var due []id.Upstream
	for range c.list {
		c.probed = (c.probed + 1) % len(c.list)
		u := c.list[c.probed]
		if !u.open() || now.Before(u.health.probe) || now.Before(c.probeAt(u)) {
			continue
		}
		u.health.probe = now.Add(min(c.config.ProbeInterval, c.config.BaseEjectionTime))
		due = append(due, u.ID)
		if len(due) == probesAtOnce {
			break
		}
	}
	return due
}

func (c *Chooser) probeAt(u *upstream) time.Time {
	if !u.health.until.IsZero() {
		return u.health.until.Add(-probeAhead)
	}
	return u.health.outcome.Add(c.config.ProbeInterval)
}

// RecordProbe reports the outcome of a probe. A success does not end an ejection early, because an upstream may answer
// probes and still die of requests; a failure prolongs it.
func (c *Chooser) RecordProbe(now time.Time, name id.Upstream, o Outcome) {
	u := c.upstreams[name]
	if u == nil {
		return
	}
	u.health.outcome = now
	switch o.(type) {
	case Succeeded:
		u.health.down = u.health.down && now.Before(u.health.until)
	case Failed, ConnectionFailed:
		u.health.until = time.Time{}
		c.eject(now, u)
	}
}
