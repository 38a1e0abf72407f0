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
	// shorterRTTWeight is the weight of a sample below the average, and maxRTTRatio bounds one above it as a multiple of
	// the average: a connect takes longer than a round trip if the upstream is slow to accept it, but never less.
	shorterRTTWeight = 0.5
	maxRTTRatio      = 1.25
)

// rtt returns the measured or assumed round-trip time to an upstream.
func (c *Chooser) rtt(u *upstream) time.Duration {
	return c.regionRTT(u.Region)
}

func (c *Chooser) regionRTT(region id.Region) time.Duration {
	if measured, ok := c.rtts[region]; ok {
		return measured
	}
	if region == c.config.Region {
		return assumedSameRegionRTT
	}
	return assumedCrossRegionRTT
}

// ObserveRTT records the time of a connect to an upstream of the region, which takes one round trip.
func (c *Chooser) ObserveRTT(region id.Region, rtt time.Duration) {
	if c.features.Speed {
		c.observeShortestRTT(region, rtt)
		return
	}
	known, ok := c.rtts[region]
	if !ok {
		c.rtts[region] = rtt
		return
	}
	c.rtts[region] = known + time.Duration(rttWeight*float64(rtt-known))
}

// observeShortestRTT moves the estimate quickly towards a shorter connect and slowly towards a longer one, so that slow
// accepts hardly change it.
func (c *Chooser) observeShortestRTT(region id.Region, rtt time.Duration) {
	known := c.regionRTT(region)
	weight := rttWeight
	if rtt < known {
		weight = shorterRTTWeight
	}
	rtt = min(max(rtt, 0), time.Duration(maxRTTRatio*float64(known))+time.Millisecond)
	c.rtts[region] = known + time.Duration(weight*float64(rtt-known))
}
