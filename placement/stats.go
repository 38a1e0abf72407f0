package placement

import (
	"time"

	"bluebellhold/id"
)

const (
	// averageWeight is the weight of a new sample in the moving averages, which cover about ten samples.
	averageWeight = 0.1
	// assumedWarmRatio is the ratio of warm to cold processing time that is assumed before any sample.
	assumedWarmRatio = 0.4
)

// routeStats holds the measurements of one route at this service.
type routeStats struct {
	// cold, warm and home are the average processing times by expected state of the cache.
	cold, warm, home time.Duration
	// size is the average size of a response in bytes.
	size float64
	// counts holds the number of samples by expected state of the cache.
	counts [cacheWarm + 1]uint64
	// shift moves objects between regions, and transfers holds the measured transfer times to other regions. bodySize is
	// the average size of the body of an upload.
	shift     routeShift
	transfers map[id.Region]*transferTime
	bodySize  float64
	// nearCounts holds the number of samples from this region by expected state of the cache.
	nearCounts [cacheWarm + 1]uint64
	// occupied is the average time for which a request occupies a slot: with spells of slow upstreams, long requests and
	// cold caches, which the other averages leave out.
	occupied time.Duration
	// newConnections says how often requests to other regions find no open connection.
	newConnections newConnectionRatio
}

func newRouteStats(expected time.Duration) *routeStats {
	warm := time.Duration(float64(expected) * assumedWarmRatio)
	return &routeStats{cold: expected, warm: warm, home: (warm + expected) / 2}
}

// cacheState is what an instance expects of an upstream's cache for an object: cacheWarm if the upstream handled the
// object for this instance recently, cacheHome if it is the home, where other instances send requests for the object as
// well, and cacheCold otherwise.
type cacheState int

const (
	cacheCold cacheState = iota
	cacheHome
	cacheWarm
)

func (s *routeStats) observe(state cacheState, processing time.Duration) {
	s.counts[state]++
	average := &s.cold
	switch state {
	case cacheWarm:
		average = &s.warm
	case cacheHome:
		average = &s.home
	}
	// The first samples outweigh the initial assumption.
	weight := max(averageWeight, 1/float64(s.counts[state]))
	*average += time.Duration(weight * float64(processing-*average))
}

// occupiedWeight is the weight of a new sample in the time for which a request occupies a slot. Long requests are rare, so
// it covers more samples than the other averages.
const occupiedWeight = 0.03

func (s *routeStats) observeOccupied(processing time.Duration) {
	if s.occupied == 0 {
		s.occupied = s.warm
	}
	s.occupied += time.Duration(occupiedWeight * float64(processing-s.occupied))
}

func (s *routeStats) observeSize(size id.Bytes) {
	s.size += averageWeight * (float64(size) - s.size)
}
