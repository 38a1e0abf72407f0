package placement

import (
	"slices"
	"time"

	"bluebellhold/allotment"
	"bluebellhold/id"
)

// Upstream describes one server of the service.
type Upstream struct {
	ID         id.Upstream
	Region     id.Region
	DataCentre id.DataCentre
	Slots      id.Slots
	// Incarnation changes when the upstream restarts under the same id.
	Incarnation id.Incarnation
	// ColdUntil is when its cache counts as warm; until then the cold rate applies.
	ColdUntil time.Time
}

// Load is the load that an upstream reports in a response.
type Load struct {
	Running id.Slots
	Waiting id.Slots
	Slots   id.Slots
	// Work is how long work takes at the upstream at this moment, as a multiple of the usual time; zero means that the
	// upstream does not say.
	Work WorkFactor
}

// WorkFactor is a processing time as a multiple of the usual one.
type WorkFactor float64

// upstream is the state that one instance keeps for an upstream.
type upstream struct {
	Upstream
	hash uint64
	// attempts are the requests of this instance in flight at the upstream.
	attempts []attempt
	// otherLoad is the load from other instances as of otherLoadAt.
	otherLoad   float64
	otherLoadAt time.Time
	// estimate is the state of the feature Even.
	estimate loadEstimate
	// slowdown is the measured processing time divided by the expected one.
	slowdown   float64
	slowdownAt time.Time
	// consecutiveFailures counts attempts in a row that did not reach the upstream. After the first, nothing is sent
	// before retryAt, and then one request at a time.
	consecutiveFailures int
	retryAt             time.Time
	// errorRate is the decaying fraction of attempts that were shed or broken.
	errorRate   float64
	errorRateAt time.Time
	// coldShare is this instance's share of the cold rate; holdsColdShare is false if other instances hold all of it.
	coldShare      allotment.SlidingWindow
	holdsColdShare bool
	// assumedColdUntil is when an upstream that could not be reached no longer counts as cold.
	assumedColdUntil time.Time
	// readmittedColdUntil is when an upstream whose data centre was evacuated no longer counts as cold, unless its row says so.
	readmittedColdUntil time.Time
	// limit is the limit that the upstream named; nil if there has been none.
	limit *rateLimit
	// rest is the rest that the upstream asked for; nil if it has answered since.
	rest *rest
	// processingTimes holds the expected processing time of each object that the upstream handled.
	processingTimes map[objectKey]sample
	// warmingSince holds the time of the first request in flight for an object that the upstream was not known to have
	// in its cache.
	warmingSince map[objectKey]time.Time
	// queued counts this instance's requests that wait for the upstream.
	queued int
	// idle are the connections to it that are probably open.
	idle  idleConnections
	speed upstreamSpeed
}

// attempt is a request in flight.
type attempt struct {
	sentAt          time.Time
	expectedLatency time.Duration
}

// overdueFactor is the multiple of its expected latency above which a request in flight indicates a slow upstream;
// processing times vary by a sixth, and a request may queue behind a few others.
const overdueFactor = 2.0

// overdueRatio returns the highest ratio of age to expected latency among the requests in flight, and 1 if none is
// overdue.
func (u *upstream) overdueRatio(now time.Time) float64 {
	highest := overdueFactor
	for _, a := range u.attempts {
		highest = max(highest, float64(now.Sub(a.sentAt))/float64(max(a.expectedLatency, time.Millisecond)))
	}
	if highest <= overdueFactor {
		return 1
	}
	return min(highest, maxSlowdown)
}

// removeAttempt removes a request that has ended from those in flight.
func (u *upstream) removeAttempt(c Choice) {
	for i, a := range u.attempts {
		if a.sentAt.Equal(c.sentAt) {
			u.attempts = slices.Delete(u.attempts, i, i+1)
			return
		}
	}
}

func (u *upstream) inFlight() int { return len(u.attempts) }

type sample struct {
	processing time.Duration
	at         time.Time
}
