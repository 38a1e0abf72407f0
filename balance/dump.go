package balance

import (
	"sort"
	"time"

	"bluebellhold/id"
)

// Health is what own outcomes say about an upstream.
type Health struct {
	Draining       bool      `json:"draining"`
	Unhealthy      bool      `json:"unhealthy"`
	Ejected        bool      `json:"ejected"`        // gets no requests, unless most upstreams are unhealthy
	UnhealthyUntil time.Time `json:"until,omitzero"` // end of the unhealthy state
	ErrorRate      float64   `json:"trouble"`        // part of recent outcomes that were bad, as of the last one
}

// Health returns the health of an upstream; one that is not configured is draining.
func (c *Chooser) Health(name id.Upstream) Health {
	u := c.upstreams[name]
	if u == nil {
		return Health{Draining: true}
	}
	h := &u.health
	return Health{Draining: !u.acceptsNew(), Unhealthy: !h.unhealthyUntil.IsZero(), Ejected: h.ejected, UnhealthyUntil: h.unhealthyUntil, ErrorRate: h.errorRate}
}

// Dump is the state of a Chooser for operators.
type Dump struct {
	PanicMode bool           `json:"panic"` // health is ignored
	Upstreams []UpstreamDump `json:"upstreams"`
}

// UpstreamDump is the state of one upstream.
type UpstreamDump struct {
	Upstream        id.Upstream   `json:"upstream"`
	Region          id.Region     `json:"region"`
	DataCentre      id.DataCentre `json:"datacentre"`
	Slots           id.Slots      `json:"slots"`
	Running         int           `json:"running"`
	Exclusive       bool          `json:"alone"`
	ReportedRunning float64       `json:"reported"` // smoothed running requests of all callers
	ReportedAt      time.Time     `json:"at,omitzero"`
	SlowStartEnd    time.Time     `json:"warm,omitzero"` // end of the slow start
	MeanServiceTime time.Duration `json:"took"`
	Health          Health        `json:"health"`
}

// Dump returns a copy of the state, upstreams in the order of their names.
func (c *Chooser) Dump() Dump {
	d := Dump{PanicMode: c.panicMode, Upstreams: make([]UpstreamDump, 0, len(c.upstreams))}
	for _, u := range c.upstreams {
		d.Upstreams = append(d.Upstreams, UpstreamDump{
			Upstream: u.ID, Region: u.Region, DataCentre: u.DataCentre, Slots: u.Slots, Running: u.running,
			Exclusive: u.exclusive, ReportedRunning: u.load.running, ReportedAt: u.load.measuredAt, SlowStartEnd: u.slowStartEnd, MeanServiceTime: u.health.meanServiceTime,
			Health: c.Health(u.ID),
		})
	}
	sort.Slice(d.Upstreams, func(i, j int) bool { return d.Upstreams[i].Upstream < d.Upstreams[j].Upstream })
	return d
}
