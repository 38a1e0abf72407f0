package balance

import (
	"time"

	"bluebellhold/id"
)

const (
	// maxProbesPerCall limits the upstreams that one call of NextProbes returns.
	maxProbesPerCall = 2

	// probeLeadTime is how long before the end of an unhealthy period a probe is due. A failed probe extends the period,
	// so that no request is lost to an upstream that has not recovered.
	probeLeadTime = 500 * time.Millisecond
)

// NextProbes returns at most two upstreams to be probed now: those without an outcome for the probe interval and those
// whose unhealthy period is about to end. The instance reports the outcome with RecordProbe.
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

// RecordProbe records the outcome of a probe. A success does not end an unhealthy period early, because an upstream may
// respond to probes and still crash on requests; a failure extends the period.
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
