package placement

import (
	"time"

	"bluebellhold/id"
)

// The round trips assumed before one has been measured; the farthest regions today are 110 ms apart.
const (
	assumedSameRegionRTT  = 2 * time.Millisecond
	assumedCrossRegionRTT = 100 * time.Millisecond
	// pathWeight is the weight of a new measurement of a round trip.
	rttWeight = 0.2
)

// path returns the round trip to an upstream.
func (c *Chooser) rtt(u *upstream) time.Duration {
	if measured, ok := c.rtts[u.Region]; ok {
		return measured
	}
	if u.Region == c.config.Region {
		return assumedSameRegionRTT
	}
	return assumedCrossRegionRTT
}

// ObserveRTT records how long it took to connect to an upstream, which is one round trip.
func (c *Chooser) ObserveRTT(region id.Region, rtt time.Duration) {
	known, ok := c.rtts[region]
	if !ok {
		c.rtts[region] = rtt
		return
	}
	c.rtts[region] = known + time.Duration(rttWeight*float64(rtt-known))
}
