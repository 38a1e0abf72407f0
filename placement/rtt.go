package placement

import (
	"time"

	"bluebellhold/id"
)

// The round-trip times assumed before any measurement; the farthest regions today are 110 ms apart.
const (
	assumedSameRegionRTT  = 2 * time.Millisecond
	assumedCrossRegionRTT = 100 * time.Millisecond
	// rttWeight is the weight of a new sample in the moving average.
	rttWeight = 0.2
)

// rtt returns the measured or assumed round-trip time to an upstream.
func (c *Chooser) rtt(u *upstream) time.Duration {
	if measured, ok := c.rtts[u.Region]; ok {
		return measured
	}
	if u.Region == c.config.Region {
		return assumedSameRegionRTT
	}
	return assumedCrossRegionRTT
}

// ObserveRTT records the time of a connect to an upstream of the region, which takes one round trip.
func (c *Chooser) ObserveRTT(region id.Region, rtt time.Duration) {
	known, ok := c.rtts[region]
	if !ok {
		c.rtts[region] = rtt
		return
	}
	c.rtts[region] = known + time.Duration(rttWeight*float64(rtt-known))
}
