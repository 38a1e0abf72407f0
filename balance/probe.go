package balance

import (
	"time"

	"bluebellhold/id"
)

const (
	// probesAtOnce bounds the probes of one call.
	maxProbesPerCall = 2

	// probeAhead is how long before the end of an ejection a probe is due: a failed one prolongs the ejection, so that
	// no request is spent on finding out.
	probeLeadTime = 500 * time.Millisecond
)

// NextProbes returns a few upstreams to be probed now, those whose last own outcome or probe is too long ago and those
// whose ejection is about to end; the caller reports the outcome with RecordProbe.
func (c *Chooser) NextProbes(now time.Time) []id.Upstream {
	var due []id.Upstream
	for range c.configured {
		c.probeCursor = (c.probeCursor + 1) % len(c.configured)
		u := c.configured[c.probeCursor]
		if !u.acceptsNew() || now.Before(u.health.nextProbe) || now.Before(c.probeDueAt(u)) {
			continue
		}
		u.health.nextProbe = now.Add(min(c.config.ProbeInterval, c.config.BaseEjectionTime))
		due = append(due, u.ID)
		if len(due) == maxProbesPerCall {
			break
		}
	}
	return due
}

func (c *Chooser) probeDueAt(u *upstream) time.Time {
	if !u.health.unhealthyUntil.IsZero() {
		return u.health.unhealthyUntil.Add(-probeLeadTime)
	}
	return u.health.lastOutcome.Add(c.config.ProbeInterval)
}

// RecordProbe reports the outcome of a probe. A success does not end an ejection early, because an upstream may answer
// probes and still die of requests; a failure prolongs it.
func (c *Chooser) RecordProbe(now time.Time, name id.Upstream, o Outcome) {
	u := c.upstreams[name]
	if u == nil {
		return
	}
	u.health.lastOutcome = now
	switch o.(type) {
	case Succeeded:
		u.health.down = u.health.down && now.Before(u.health.unhealthyUntil)
	case Failed, ConnectionFailed:
		u.health.unhealthyUntil = time.Time{}
		c.markUnhealthy(now, u)
	}
}
