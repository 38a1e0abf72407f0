package balance

import (
	"sort"
	"time"

	"bluebellhold/id"
)

// Health is the health of an upstream by the outcomes that this instance observed.
type Health struct {
	Draining       bool      `json:"draining"`
	Unhealthy      bool      `json:"unhealthy"`
	Ejected        bool      `json:"ejected"`        // gets no requests outside panic mode
	UnhealthyUntil time.Time `json:"until,omitzero"` // zero if healthy
	ErrorRate      float64   `json:"trouble"`        // fraction of bad outcomes, a moving average as of the last outcome
}

// Health returns the health of an upstream; an unknown one is reported as draining.
func (c *Chooser) Health(name id.Upstream) Health {
	u := c.upstreams[name]
	if u == nil {
		return Health{Draining: true}
	}
	h := &u.health
	return Health{
		Draining: !u.acceptsNew(), Unhealthy: !h.unhealthyUntil.IsZero(), Ejected: h.ejected,
		UnhealthyUntil: h.unhealthyUntil, ErrorRate: h.errorRate,
	}
}

// Dump is a snapshot of a Chooser for operators.
type Dump struct {
	PanicMode bool           `json:"panic"` // health is ignored
	Upstreams []UpstreamDump `json:"upstreams"`
}

// UpstreamDump is a snapshot of one upstream.
type UpstreamDump struct {
	Upstream         id.Upstream   `json:"upstream"`
	Region           id.Region     `json:"region"`
	DataCentre       id.DataCentre `json:"datacentre"`
	Slots            id.Slots      `json:"slots"`
	InFlight         int           `json:"running"`
	Exclusive        bool          `json:"alone"`
	ReportedInFlight float64       `json:"reported"` // requests in flight of all instances, a moving average
	ReportedAt       time.Time     `json:"at,omitzero"`
	SlowStartEnd     time.Time     `json:"warm,omitzero"`
	MeanServiceTime  time.Duration `json:"took"`
	Health           Health        `json:"health"`
}

// Dump returns a snapshot with the upstreams sorted by name.
func (c *Chooser) Dump() Dump {
	d := Dump{PanicMode: c.panicMode, Upstreams: make([]UpstreamDump, 0, len(c.upstreams))}
	for _, u := range c.upstreams {
		d.Upstreams = append(d.Upstreams, UpstreamDump{
			Upstream: u.ID, Region: u.Region, DataCentre: u.DataCentre, Slots: u.Slots, InFlight: u.inFlight,
			Exclusive: u.exclusive, ReportedInFlight: u.load.inFlight, ReportedAt: u.load.measuredAt,
			SlowStartEnd: u.slowStartEnd, MeanServiceTime: u.health.meanServiceTime, Health: c.Health(u.ID),
		})
	}
	sort.Slice(d.Upstreams, func(i, j int) bool { return d.Upstreams[i].Upstream < d.Upstreams[j].Upstream })
	return d
}
