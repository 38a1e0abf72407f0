package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bluebellhold/id"
)

// ServiceLoad is the load of the upstreams of a service as instances of a group have observed it.
type ServiceLoad struct {
	// Mean is the mean number of requests that run or wait for each slot.
	Mean float64
	// Upstreams are those whose load differs most from the mean.
	Upstreams []UpstreamLoad
}

// UpstreamLoad is the load that one process of an upstream has reported in a response.
type UpstreamLoad struct {
	Upstream    id.Upstream
	Incarnation id.Incarnation
	// Load is the number of requests that run or wait.
	Load float64
	// Age is the time since the response.
	Age time.Duration
}

const (
	// MaxObservedUpstreams bounds the upstreams in a ServiceLoad.
	MaxObservedUpstreams = 16
	// minObservedDeviation is the least deviation from the mean, in requests per slot, that is passed on.
	minObservedDeviation = 0.25
	// minNewsAge is how much newer a report must be than the known one. The time that a message takes makes it look newer.
	minNewsAge = 20 * time.Millisecond
)

// IsValid reports whether the figures are possible, which those of other instances need not be.
func (l ServiceLoad) IsValid() bool {
	return l.Mean >= 0 && !math.IsInf(l.Mean, 0) && len(l.Upstreams) <= MaxObservedUpstreams
}

// IsValid reports whether the figures are possible, which those of other instances need not be.
func (l UpstreamLoad) IsValid() bool {
	return l.Load >= 0 && !math.IsInf(l.Load, 0) && l.Age >= 0
}

// ObservedLoad returns what this instance knows of the load of the upstreams, with what others have passed on or without
// it. It returns false if that is nothing.
func (c *Chooser) ObservedLoad(now time.Time, withPassedOn bool) (ServiceLoad, bool) {
	if !c.features.Even {
		return ServiceLoad{}, false
	}
	mean, ok := c.ownMeanLoad(now)
	if !ok {
		return ServiceLoad{}, false
	}
	type deviation struct {
		u    *upstream
		load float64
	}
	var deviations []deviation
	for _, u := range c.ordered {
		age := now.Sub(u.estimate.reportedAt)
		if u.estimate.reportedAt.IsZero() || age < 0 || age > loadReportTTL || u.estimate.isPassedOn && !withPassedOn {
			continue
		}
		if d := math.Abs(u.estimate.reported/max(float64(u.Slots), 1) - mean); d >= minObservedDeviation {
			deviations = append(deviations, deviation{u, d})
		}
	}
	slices.SortStableFunc(deviations, func(a, b deviation) int { return cmp.Compare(b.load, a.load) })
	observed := ServiceLoad{Mean: mean}
	for _, d := range deviations[:min(len(deviations), MaxObservedUpstreams)] {
		observed.Upstreams = append(observed.Upstreams, UpstreamLoad{
			Upstream: d.u.ID, Incarnation: d.u.Incarnation, Load: d.u.estimate.reported, Age: now.Sub(d.u.estimate.reportedAt),
		})
	}
	return observed, true
}

// ownMeanLoad returns the mean load per slot according to this instance's own reports.
func (c *Chooser) ownMeanLoad(now time.Time) (float64, bool) {
	var busy, slots float64
	for _, u := range c.ordered {
		age := now.Sub(u.estimate.reportedAt)
		if u.estimate.isPassedOn || u.estimate.reportedAt.IsZero() || age > loadReportTTL {
			continue
		}
		weight := decay(age, meanLoadHalfLife)
		busy, slots = busy+weight*u.estimate.reported, slots+weight*max(float64(u.Slots), 1)
	}
	return busy / max(slots, math.SmallestNonzeroFloat64), slots > 0
}

// MergeLoad records what other instances have observed, as far as it is possible and newer than what is known. The
// figures are bounded like those of upstreams.
func (c *Chooser) MergeLoad(now time.Time, observed ServiceLoad) {
	if !c.features.Even {
		return
	}
	if !observed.IsValid() {
		c.load.counts.Ignored++
		return
	}
	for _, l := range observed.Upstreams {
		u := c.upstreams[l.Upstream]
		switch {
		case u == nil || u.Incarnation != l.Incarnation || l.Age > loadReportTTL:
			continue
		case !l.IsValid():
			c.load.counts.Ignored++
			continue
		}
		at := now.Add(-l.Age)
		if at.Sub(u.estimate.reportedAt) < minNewsAge {
			continue
		}
		c.load.counts.Merged++
		u.estimate.isPassedOn = true
		u.observeReport(at, min(l.Load, maxLoadFactor*max(float64(u.Slots), 1)))
	}
}

// SetGroupLoad sets the mean load per slot that the group has observed. It counts for loadReportTTL.
func (c *Chooser) SetGroupLoad(now time.Time, mean float64) {
	if mean >= 0 && !math.IsInf(mean, 0) {
		c.load.group, c.load.groupAt = min(mean, maxLoadFactor), now
	}
}

// LoadDump is the estimated load of the upstreams of a service, for diagnosis.
//
// The field names appear in the log line "even: load", so renaming one changes that line.
type LoadDump struct {
	// Means are the mean loads per slot by region, and Group that of the group, zero if there is none.
	Means map[id.Region]float64 `json:"means"`
	Group float64               `json:"group"`
	// Room is the number of requests per slot that upstreams let wait.
	Room   float64    `json:"room"`
	Counts LoadCounts `json:"counts"`
	// Busiest are the upstreams with the highest estimates per slot.
	Busiest []UpstreamEstimate `json:"busiest"`
}

// UpstreamEstimate is the estimated load of one upstream.
type UpstreamEstimate struct {
	Upstream id.Upstream `json:"upstream"`
	Load     float64     `json:"load"`
	Slots    id.Slots    `json:"slots"`
	// Age is that of the last report, and Pace the time between two requests of this instance while it is full.
	Age  time.Duration `json:"age"`
	Pace time.Duration `json:"pace"`
}

// dumpedUpstreams is the number of upstreams in a LoadDump.
const dumpedUpstreams = 3

// DumpLoad returns the estimated load, and false while the feature Even is off.
func (c *Chooser) DumpLoad(now time.Time) (LoadDump, bool) {
	if !c.features.Even {
		return LoadDump{}, false
	}
	c.meanLoad(now, c.config.Region)
	d := LoadDump{Means: c.load.means, Room: c.load.room, Counts: c.load.counts}
	if now.Sub(c.load.groupAt) < loadReportTTL {
		d.Group = c.load.group
	}
	for _, u := range c.ordered {
		e := UpstreamEstimate{Upstream: u.ID, Load: c.estimateLoad(now, u), Slots: u.Slots, Pace: c.pace(now, u)}
		if !u.estimate.reportedAt.IsZero() {
			e.Age = now.Sub(u.estimate.reportedAt)
		}
		d.Busiest = append(d.Busiest, e)
	}
	slices.SortStableFunc(d.Busiest, func(a, b UpstreamEstimate) int {
		return cmp.Compare(b.Load/max(float64(b.Slots), 1), a.Load/max(float64(a.Slots), 1))
	})
	d.Busiest = d.Busiest[:min(len(d.Busiest), dumpedUpstreams)]
	return d, true
}
