package admission

import (
	"time"
)

const (
	// rateWindow is the time over which starts are counted; it holds some tens of starts at the users' rates and
	// follows a change of capacity within a second or two.
	rateWindow = time.Second
	// leastRate is the rate of starts per second that is assumed when nothing has started lately.
	minStartRate = 2.0
)

// rate measures how many requests of a service start per second, over the last full window and the current one.
type startRate struct {
	windowStart       time.Time
	current, previous float64
}

func (r *startRate) add(now time.Time) {
	r.advance(now)
	r.current++
}

func (r *startRate) advance(now time.Time) {
	switch age := now.Sub(r.windowStart); {
	case age < rateWindow:
	case age < 2*rateWindow:
		r.previous, r.current, r.windowStart = r.current, 0, r.windowStart.Add(rateWindow)
	default:
		r.previous, r.current, r.windowStart = 0, 0, now
	}
}

func (r *startRate) perSecond(now time.Time) float64 {
	r.advance(now)
	elapsed := float64(now.Sub(r.windowStart)) / float64(rateWindow)
	return max((r.current+r.previous*(1-elapsed))/rateWindow.Seconds(), minStartRate)
}

// RecordStart counts a request that left the line or started without waiting.
func (q *Queue) RecordStart(now time.Time) {
	q.startRate.add(now)
}

// EstimateWait predicts how long a new request of the rank would wait, from those that go ahead of it and the rate at which
// requests have started.
func (q *Queue) EstimateWait(now time.Time, priority Priority) time.Duration {
	ahead := 0
	for _, queued := range q.requests {
		if queued.Priority.compare(priority) <= 0 {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / q.startRate.perSecond(now) * float64(time.Second))
}

// The bounds of the time after which a rejected caller should come back. The shortest lets a few requests finish, the
// longest keeps the caller within its deadline of seconds.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// RetryAt says when a rejected request should come back: when what waits now has started, spread by the fraction
// spread in [0,1) so that callers that were rejected together do not return together.
func (q *Queue) RetryAt(now time.Time, jitter float64) time.Time {
	delay := time.Duration(float64(len(q.requests)+1) / q.startRate.perSecond(now) * float64(time.Second))
	delay += time.Duration(jitter * float64(delay+minRetryDelay))
	return now.Add(min(max(delay, minRetryDelay), maxRetryDelay))
}
