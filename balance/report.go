package balance

import (
	"time"

	"bluebellhold/id"
)

const (
	// Weights of a report in the moving average. A rise has more weight than a fall, so that headroom is conservative.
	riseWeight = 0.5
	fallWeight = 0.25

	// freshHalfLives is the age in half-lives up to which Headroom does not discount a report. Reports arrive at least
	// once a second, and the headroom would otherwise fall between any two of them.
	freshHalfLives = 2

	// maxReported bounds the figures of a report, so that impossible ones are forgotten soon.
	maxReported = 10_000
)

// Load is an upstream's report of its own load.
type Load struct {
	Running int
	Slots   id.Slots      // zero if not reported
	Age     time.Duration // time since the upstream measured it
}

// load is the load of one upstream according to its reports.
type load struct {
	measuredAt     time.Time // time of the newest report, as measured, or of a newer shed request; zero if there is none
	known          bool
	inFlight       float64  // moving average over reports, of all instances
	othersInFlight float64  // the same without this instance's requests
	othersPerSlot  float64  // othersRunning per slot, as included in the region's sum
	slots          id.Slots // from the newest report; zero if not reported
}

// RecordLoad records a load report, unless it is older than the last one.
func (c *Chooser) RecordLoad(now time.Time, name id.Upstream, l Load) {
	u := c.upstreams[name]
	l.Running, l.Slots = min(max(l.Running, 0), maxReported), min(max(l.Slots, 0), maxReported)
	at := now.Add(-max(l.Age, 0))
	if u == nil || u.load.known && at.Before(u.load.measuredAt) {
		return
	}
	inFlight := float64(l.Running)
	if u.load.known {
		inFlight = ewma(u.load.inFlight, inFlight)
	}
	others := ewma(u.load.othersInFlight, max(0, float64(l.Running-u.inFlight)))
	u.load.inFlight, u.load.slots, u.load.known = inFlight, l.Slots, true
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

// setOthersLoad sets the load of other instances on u and updates the region's sum.
func (c *Chooser) setOthersLoad(u *upstream, others float64, at time.Time) {
	c.subtractRegionLoad(u)
	u.load.othersInFlight, u.load.measuredAt = others, at
	c.updateRegionLoad(u)
}

func (c *Chooser) subtractRegionLoad(u *upstream) {
	u.region.othersPerSlotSum -= u.load.othersPerSlot
	u.load.othersPerSlot = 0
}

func (c *Chooser) updateRegionLoad(u *upstream) {
	u.region.othersPerSlotSum -= u.load.othersPerSlot
	u.load.othersPerSlot = u.load.othersInFlight / float64(max(u.Slots, 1))
	u.region.othersPerSlotSum += u.load.othersPerSlot
}

// Headroom is the spare capacity of a region.
type Headroom struct {
	Slots    id.Slots `json:"slots"`   // configured slots of upstreams that accept new requests
	InFlight float64  `json:"running"` // moving average of the requests in flight
	Spare    float64  `json:"spare"`   // slots for which more requests can be admitted safely
	Stale    int      `json:"stale"`   // number of upstreams without a fresh report
}

// Headroom returns the headroom of a region: the slots of its upstreams less the moving average of requests in flight.
//
// Without fresh reports the spare slots decay towards Config.HeadroomFloor and don't rise. An upstream that has become
// unhealthy has no spare slots until a request succeeds on it, or until a report or a successful probe after the unhealthy
// period.
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
		inFlight := max(u.load.inFlight, float64(u.inFlight))
		total.Slots += u.Slots
		total.InFlight += inFlight
		age := now.Sub(u.load.measuredAt) - freshHalfLives*c.config.LoadHalfLife
		if !u.load.known || age > 0 {
			total.Stale++
		}
		if u.health.down {
			continue
		}
		spare := max(0, float64(u.limit())-inFlight)
		estimate := min(spare, c.config.HeadroomFloor*float64(u.Slots))
		if u.load.known {
			estimate += (spare - estimate) * decay(age, c.config.LoadHalfLife)
		}
		total.Spare += estimate
	}
	return total
}
