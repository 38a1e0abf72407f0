package placement

import (
	"slices"
	"time"

	"bluebellhold/allotment"
	"bluebellhold/id"
)

// Upstream describes one server instance of the service.
type Upstream struct {
	ID         id.Upstream
	Region     id.Region
	DataCentre id.DataCentre
	Slots      id.Slots
	// Incarnation changes when the upstream restarts under the same id.
	Incarnation id.Incarnation
	// ColdUntil is when its caches are warm; until then it tolerates only the cold rate.
	ColdUntil time.Time
}

// Load is what an upstream says about itself in an answer.
type Load struct {
	Running id.Slots
	Waiting id.Slots
	Slots   id.Slots
}

// upstream is what one instance knows about an upstream.
type upstream struct {
	Upstream
	hash uint64
	// sends are the requests that this instance has sent there and that have not ended.
	attempts []attempt
	// others is the load that other instances put on it, as of othersAt.
	otherLoad   float64
	otherLoadAt time.Time
	// slowness is the measured work divided by the expected work.
	slowdown   float64
	slowdownAt time.Time
	// failures counts failed sends in a row; after one, nothing is sent before retryAt, then one request at a time.
	consecutiveFailures int
	retryAt             time.Time
	// shed is a decaying share of sends that were rejected.
	errorRate   float64
	errorRateAt time.Time
	// cold is this instance's part of the cold rate, and mayCold is false where other instances hold all parts.
	coldShare      allotment.Share
	holdsColdShare bool
	// maybeColdUntil is how long an upstream that came back after a failure is treated as cold.
	assumedColdUntil time.Time
	// works holds the last measured work per object.
	processingTimes map[objectKey]sample
	// warming holds when this instance sent the first request for an object that the upstream was not known to remember.
	warmingSince map[objectKey]time.Time
	// waiting counts this instance's requests that wait for the upstream.
	queued int
}

// send is a request in flight.
type attempt struct {
	sentAt          time.Time
	expectedLatency time.Duration
}

// overdueAfter is the multiple of its expected time after which an unanswered request counts as a sign of slowness;
// work varies by a sixth, and a request may wait for a few others.
const overdueFactor = 2.0

// overdue returns how many times its expected time the most overdue request has taken so far, and 1 if none is overdue.
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

// ended takes a request out of those in flight.
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
