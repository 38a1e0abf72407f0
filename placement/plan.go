package placement

import (
	"time"

	"bluebellhold/id"
)

// isServedHere reports whether the home of the request's object is in this region.
func (c *Chooser) isServedHere(rankings *objectRankings, req Request) bool {
	if c.features.Plan {
		if rankings.otherRegions.upstreams[0] == nil {
			return true
		}
		if share, ok := c.plannedShares[req.Route]; ok {
			return rankings.localityHash < share
		}
	}
	return rankings.localityHash < c.localShare
}

// isPlannedAway reports whether a plan says that the request's object is served in another region.
func (c *Chooser) isPlannedAway(rankings *objectRankings, req Request) bool {
	_, isPlanned := c.plannedShares[req.Route]
	return c.features.Plan && isPlanned && len(req.Regions) == 0 && !c.isServedHere(rankings, req)
}

// waiveTransferCosts cancels the transfer costs of candidates in other regions for an object that the plan serves there.
// The plan has weighed the transfer already; the cost would keep large responses in a region that has no slots for them.
func (c *Chooser) waiveTransferCosts(candidates []candidate, stats *routeStats) {
	for i, u := range candidates {
		if u.Region != c.config.Region {
			candidates[i].penalty -= c.transferCost(u.upstream, stats)
		}
	}
}

// SetPlannedShares sets the fractions of the objects of each route whose home is in this region. The local share applies
// to routes that are missing.
func (c *Chooser) SetPlannedShares(shares map[id.Route]float64) { c.plannedShares = shares }

// kilobyteTransferTime is the time for a kilobyte on the slowest links of instances, which have 10 Mbit/s.
const kilobyteTransferTime = 800 * time.Microsecond

// FarLatency returns the expected latency of a request of the route in another region with a warm cache, given the size of
// its body and whether it needs a new connection, which takes another round trip.
func (c *Chooser) FarLatency(req Request, body id.Bytes, isNewConnection bool) time.Duration {
	stats := c.stats(req)
	var rtt time.Duration
	count := 0
	for u := range c.far.members {
		rtt += c.rtt(u)
		count++
	}
	rtt /= time.Duration(max(count, 1))
	if count == 0 {
		rtt = assumedCrossRegionRTT
	}
	if isNewConnection {
		rtt *= 2
	}
	return rtt + stats.warm + time.Duration((stats.size+float64(body))/1000*float64(kilobyteTransferTime))
}

// HasLargeResponses reports whether the responses of the route are large, so that their transfer between regions costs
// much.
func (c *Chooser) HasLargeResponses(req Request) bool {
	return req.IsBulk || c.stats(req).size > bulkResponseBytes
}

// FarHomes returns the number and the slots of the upstreams of other regions that are homes of objects of this region.
func (c *Chooser) FarHomes(now time.Time) (count int, slots id.Slots) {
	c.refreshFarHomes(now)
	for u := range c.far.members {
		count++
		slots += u.Slots
	}
	return count, slots
}
