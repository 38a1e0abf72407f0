package placement

import (
	"time"

	"bluebellhold/id"
)

const (
	// workWeight is the weight of a new sample of work, so that about ten samples carry the average.
	averageWeight = 0.1
	// warmPrior is the part of the expected cold work that a warm request is assumed to need before any sample.
	assumedWarmRatio = 0.4
)

// class holds the measured work of one route at this service.
type routeStats struct {
	// cold is the work of requests whose object the upstream was not expected to know, repeat of those it was.
	cold, warm, home time.Duration
	// size is the average size of an answer.
	size float64
	// counts holds the number of answers by familiarity.
	counts [cacheWarm + 1]uint64
}

func newRouteStats(expected time.Duration) *routeStats {
	warm := time.Duration(float64(expected) * assumedWarmRatio)
	return &routeStats{cold: expected, warm: warm, home: (warm + expected) / 2}
}

// familiarity says what an instance expects of an upstream and an object.
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
	// The first samples count for more than the assumption before them.
	weight := max(averageWeight, 1/float64(s.counts[state]))
	*average += time.Duration(weight * float64(processing-*average))
}

func (s *routeStats) observeSize(size id.Bytes) {
	s.size += averageWeight * (float64(size) - s.size)
}
