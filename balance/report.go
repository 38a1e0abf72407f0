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
	freshReports = 2
)

// Load is an upstream's report of its own load.
type Load struct {
	Running int
	Slots   id.Slots      // zero if not reported
	Age     time.Duration // time since the upstream measured it
}

// load is what reports say about one upstream.
type load struct {
	at      time.Time // when the newest report was measured; zero if there is none
	known   bool
	running float64  // smoothed, of all callers
	others  float64  // smoothed, without this instance
	perSlot float64  // others per slot, as counted in the region's sum
	slots   id.Slots // as reported
}

// RecordLoad takes a load report; one that is older than the last is ignored.
func (c *Chooser) RecordLoad(now time.Time, name id.Upstream, l Load) {
	u := c.upstreams[name]
	at := now.Add(-max(l.Age, 0))
	if u == nil || u.load.known && at.Before(u.load.at) {
		return
	}
	running := float64(max(l.Running, 0))
	if u.load.known {
		running = smooth(u.load.running, running)
	}
	others := smooth(u.load.others, max(0, float64(l.Running-u.running)))
	u.load.running, u.load.slots, u.load.known = running, max(l.Slots, 0), true
	c.setLoad(u, others, at)
	if !now.Before(u.health.until) {
		u.health.down = false
	}
	c.place(u)
}

func smooth(old, value float64) float64 {
	if value > old {
		return old + (value-old)*riseWeight
	}
	return old + (value-old)*fallWeight
}

// setLoad sets what others run on u and keeps the region's sum.
func (c *Chooser) setLoad(u *upstream, others float64, at time.Time) {
	c.unload(u)
	u.load.others, u.load.at = others, at
	c.reload(u)
}

func (c *Chooser) unload(u *upstream) {
	u.region.load -= u.load.perSlot
	u.load.perSlot = 0
}

func (c *Chooser) reload(u *upstream) {
	u.region.load -= u.load.perSlot
	u.load.perSlot = u.load.others / float64(max(u.Slots, 1))
	u.region.load += u.load.perSlot
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
	var sum Headroom
	r := c.regions[name]
	if r == nil {
		return sum
	}
	for _, u := range r.members {
		if !u.open() {
			continue
		}
		running := max(u.load.running, float64(u.running))
		sum.Slots += u.Slots
		sum.Running += running
		age := now.Sub(u.load.at) - freshReports*c.config.LoadHalfLife
		if !u.load.known || age > 0 {
			sum.Stale++
		}
		if u.health.down {
			continue
		}
		spare := max(0, float64(u.limit())-running)
		floor := min(spare, c.config.HeadroomFloor*float64(u.Slots))
		if u.load.known {
			floor += (spare - floor) * decay(age, c.config.LoadHalfLife)
		}
		sum.Spare += floor
	}
	return sum
}
