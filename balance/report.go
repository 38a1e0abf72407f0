package balance

import (
	"time"

	"bluebellhold/id"
)

const (
	// A rise of the reported load is followed faster than a fall, so that headroom errs on the safe side.
	riseWeight = 0.5
	fallWeight = 0.25

	// freshReports is the age in half-lives up to which Headroom takes a report as it is. Reports come at least once a
	// second; without this the headroom would fall between any two of them.
	freshHalfLives = 2
)

// Load is an upstream's report of its own load.
type Load struct {
	Running int
	Slots   id.Slots      // zero if not reported
	Age     time.Duration // time since the upstream measured it
}

// load is what reports say about one upstream.
type load struct {
	measuredAt    time.Time // when the newest report was measured; zero if there is none
	known         bool
	running       float64  // smoothed, of all callers
	othersRunning float64  // smoothed, without this instance
	othersPerSlot float64  // others per slot, as counted in the region's sum
	slots         id.Slots // as reported
}

// RecordLoad takes a load report; one that is older than the last is ignored.
func (c *Chooser) RecordLoad(now time.Time, name id.Upstream, l Load) {
	u := c.upstreams[name]
	at := now.Add(-max(l.Age, 0))
	if u == nil || u.load.known && at.Before(u.load.measuredAt) {
		return
	}
	running := float64(max(l.Running, 0))
	if u.load.known {
		running = ewma(u.load.running, running)
	}
	others := ewma(u.load.othersRunning, max(0, float64(l.Running-u.running)))
	u.load.running, u.load.slots, u.load.known = running, max(l.Slots, 0), true
	c.setOthersLoad(u, others, at)
	if !now.Before(u.health.unhealthyUntil) {
		u.health.down = false
	}
	c.updatePartition(u)
}

func ewma(old, value float64) float64 {
	if value > old {
		return old + (value-old)*riseWeight
	}
	return old + (value-old)*fallWeight
}

// setLoad sets what others run on u and keeps the region's sum.
func (c *Chooser) setOthersLoad(u *upstream, others float64, at time.Time) {
	c.subtractRegionLoad(u)
	u.load.othersRunning, u.load.measuredAt = others, at
	c.updateRegionLoad(u)
}

func (c *Chooser) subtractRegionLoad(u *upstream) {
	u.region.othersPerSlotSum -= u.load.othersPerSlot
	u.load.othersPerSlot = 0
}

func (c *Chooser) updateRegionLoad(u *upstream) {
	u.region.othersPerSlotSum -= u.load.othersPerSlot
	u.load.othersPerSlot = u.load.othersRunning / float64(max(u.Slots, 1))
	u.region.othersPerSlotSum += u.load.othersPerSlot
}

// Headroom is the spare capacity of a region.
type Headroom struct {
	Slots   id.Slots `json:"slots"`   // configured, of upstreams that may get requests
	Running float64  `json:"running"` // smoothed
	Spare   float64  `json:"spare"`   // slots that may safely be promised
	Stale   int      `json:"stale"`   // upstreams without fresh reports
}

// Headroom returns the spare slots of a region: those configured less the smoothed running requests.
//
// Without fresh reports it falls towards the floor and does not rise. Ejected upstreams, and those without a success
// or report since, are not counted.
func (c *Chooser) Headroom(now time.Time, name id.Region) Headroom {
	var total Headroom
	r := c.regions[name]
	if r == nil {
		return total
	}
	for _, u := range r.members {
		if !u.acceptsNew() {
			continue
		}
		running := max(u.load.running, float64(u.running))
		total.Slots += u.Slots
		total.Running += running
		age := now.Sub(u.load.measuredAt) - freshHalfLives*c.config.LoadHalfLife
		if !u.load.known || age > 0 {
			total.Stale++
		}
		if u.health.down {
			continue
		}
		spare := max(0, float64(u.limit())-running)
		estimate := min(spare, c.config.HeadroomFloor*float64(u.Slots))
		if u.load.known {
			estimate += (spare - estimate) * decay(age, c.config.LoadHalfLife)
		}
		total.Spare += estimate
	}
	return total
}
