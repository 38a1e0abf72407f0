package admission

import (
	"time"
)

const (
	// rateWindow is the time over which starts are counted; it holds some tens of starts at the users' rates and
	// follows a change of capacity within a second or two.
	rateWindow = time.Second
	// leastRate is the rate of starts per second that is assumed when nothing has started lately.
	leastRate = 2.0
)

// rate measures how many requests of a service start per second, over the last full window and the current one.
type rate struct {
	from          time.Time
	current, last float64
}

func (r *rate) count(now time.Time) {
	r.roll(now)
	r.current++
}

func (r *rate) roll(now time.Time) {
	switch age := now.Sub(r.from); {
	case age < rateWindow:
	case age < 2*rateWindow:
		r.last, r.current, r.from = r.current, 0, r.from.Add(rateWindow)
	default:
		r.last, r.current, r.from = 0, 0, now
	}
}

func (r *rate) perSecond(now time.Time) float64 {
	r.roll(now)
	part := float64(now.Sub(r.from)) / float64(rateWindow)
	return max((r.current+r.last*(1-part))/rateWindow.Seconds(), leastRate)
}

// RecordStart counts a request that left the line or started without waiting.
func (l *Queue) RecordStart(now time.Time) {
	l.rate.count(now)
}

// EstimateWait predicts how long a new request of the rank would wait, from those that go ahead of it and the rate at which
// requests have started.
func (l *Queue) EstimateWait(now time.Time, r Priority) time.Duration {
	ahead := 0
	for _, w := range l.waiters {
		if w.Priority.compare(r) <= 0 {
			ahead++
		}
	}
	return time.Duration(float64(ahead) / l.rate.perSecond(now) * float64(time.Second))
}

// The bounds of the time after which a rejected caller should come back. The shortest lets a few requests finish, the
// longest keeps the caller within its deadline of seconds.
const (
	shortestReturn = 50 * time.Millisecond
	longestReturn  = time.Second
)

// RetryAt says when a rejected request should come back: when what waits now has started, spread by the fraction
// spread in [0,1) so that callers that were rejected together do not return together.
func (l *Queue) RetryAt(now time.Time, spread float64) time.Time {
	wait := time.Duration(float64(len(l.waiters)+1) / l.rate.perSecond(now) * float64(time.Second))
	wait += time.Duration(spread * float64(wait+shortestReturn))
	return now.Add(min(max(wait, shortestReturn), longestReturn))
}
