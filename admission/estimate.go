package admission

import (
	"time"
)

const (
	// rateWindow is the window over which starts are counted; it holds some tens of starts at the users' rates and
	// follows a change of capacity within a second or two.
	rateWindow = time.Second
	// minStartRate is the rate in starts per second that is assumed when nothing has started recently.
	minStartRate = 2.0
)

// startRate measures the rate at which requests start, as a sliding window over the previous and the current counter.
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

// RecordStart counts a request that was sent to an upstream, whether it was queued before or not.
func (q *Queue) RecordStart(now time.Time) {
	q.startRate.add(now)
}

// EstimateWait estimates the wait of a new request, from the number of requests ahead of it and the rate at which
// requests start.
func (q *Queue) EstimateWait(now time.Time, priority Priority) time.Duration {
	ahead := 0
	for _, queued := range q.requests {
		if queued.Priority.Compare(priority) <= 0 {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / q.startRate.perSecond(now) * float64(time.Second))
}

// The bounds of the delay after which a refused request should be retried. The minimum lets a few requests finish, the
// maximum keeps the retry within the caller's deadline of a few seconds.
const (
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// RetryAt returns when a refused request should be retried: when the requests in the queue are expected to have
// started, plus a jitter given as a fraction in [0,1), so that requests that were refused together are not retried
// together.
func (q *Queue) RetryAt(now time.Time, jitter float64) time.Time {
	delay := time.Duration(float64(len(q.requests)+1) / q.startRate.perSecond(now) * float64(time.Second))
	delay += time.Duration(jitter * float64(delay+minRetryDelay))
	return now.Add(min(max(delay, minRetryDelay), maxRetryDelay))
}
