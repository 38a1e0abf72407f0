package placement

import (
	"time"

	"bluebellhold/id"
)

// The round trips assumed before one has been measured; the farthest regions today are 110 ms apart.
const (
	assumedRegional = 2 * time.Millisecond
	assumedRemote   = 100 * time.Millisecond
	// pathWeight is the weight of a new measurement of a round trip.
	pathWeight = 0.2
)

// path returns the round trip to an upstream.
func (c *Chooser) path(u *upstream) time.Duration {
	if measured, ok := c.paths[u.Region]; ok {
		return measured
	}
	if u.Region == c.config.Region {
		return assumedRegional
	}
	return assumedRemote
}

// ObserveRTT records how long it took to connect to an upstream, which is one round trip.
func (c *Chooser) ObserveRTT(region id.Region, took time.Duration) {
	known, ok := c.paths[region]
	if !ok {
		c.paths[region] = took
		return
	}
	c.paths[region] = known + time.Duration(pathWeight*float64(took-known))
}
