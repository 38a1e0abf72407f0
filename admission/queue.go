package admission

import (
	"cmp"
	"slices"
	"time"

	"bluebellhold/id"
)

// Priority orders requests by urgency; lower values go first, and the organisation's value takes precedence over the
// route's.
type Priority struct {
	Organisation int
	Route        int
}

// Compare returns a negative number if p is more urgent than the other priority, and zero if they are equal.
func (p Priority) Compare(other Priority) int {
	return cmp.Or(cmp.Compare(p.Organisation, other.Organisation), cmp.Compare(p.Route, other.Route))
}

// QueuedRequest is a request that waits for an upstream.
type QueuedRequest struct {
	Request      id.Request
	Priority     Priority
	Organisation id.Organisation
	// QueuedAt is when the request was queued.
	QueuedAt time.Time
	// Digest is equal in a retry of the same request.
	Digest id.Digest
	// HasPlace is set if the request has returned for the place that it was given when it was refused.
	HasPlace bool
	// LatestReturn is the latest time at which its caller can usefully retry it, and GivesUp when the caller gives up.
	LatestReturn, GivesUp time.Time
	// Work is the expected processing time, which fair queueing charges to the organisation.
	Work time.Duration
	// LatestStart is the latest start that still meets the route's latency objective.
	LatestStart time.Time
	// Expires is when the request is removed unserved.
	Expires time.Time
}

// Queue holds the waiting requests of one service and measures the rate at which requests start.
type Queue struct {
	requests  []QueuedRequest
	startRate startRate
	// fairness is nil while fair queueing is off; see fair.go.
	fairness *fairness
}

// Waiting is the requests of one priority that wait.
type Waiting struct {
	Priority Priority
	Requests int
	// Age is how long the oldest of them has waited.
	Age time.Duration
}

// Waiting returns the waiting requests by priority, the most urgent first.
func (q *Queue) Waiting(now time.Time) []Waiting {
	var list []Waiting
	for _, r := range q.requests {
		i := slices.IndexFunc(list, func(w Waiting) bool { return w.Priority == r.Priority })
		if i < 0 {
			i = len(list)
			list = append(list, Waiting{Priority: r.Priority})
		}
		list[i].Requests++
		list[i].Age = max(list[i].Age, now.Sub(r.QueuedAt))
	}
	slices.SortFunc(list, func(a, b Waiting) int { return a.Priority.Compare(b.Priority) })
	return list
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.requests) }

// Add appends a request to the queue.
func (q *Queue) Add(r QueuedRequest) {
	if q.fairness != nil {
		q.fairness.add(r, q.requests)
	}
	q.requests = append(q.requests, r)
}

// Remove removes a request from the queue.
func (q *Queue) Remove(request id.Request) {
	q.requests = slices.DeleteFunc(q.requests, func(r QueuedRequest) bool { return r.Request == request })
	q.forgetIdleClasses()
}

// Sort sorts the queue and returns it: by priority, then requests that can still meet their objective before late ones,
// then by the latest start, or by expiry among late ones. With fair queueing, this is the order within an organisation, and
// organisations of one priority take turns in proportion to their work. The slice is valid until the next change.
func (q *Queue) Sort(now time.Time) []QueuedRequest {
	if q.fairness != nil {
		q.requests = q.fairness.sort(now, q.requests)
		return q.requests
	}
	slices.SortStableFunc(q.requests, func(a, b QueuedRequest) int {
		return cmp.Or(a.Priority.Compare(b.Priority), compareUrgency(now, a, b))
	})
	return q.requests
}

// compareUrgency orders requests of one priority that can still meet their objective before late ones, then by the latest
// start, or by expiry among late ones.
func compareUrgency(now time.Time, a, b QueuedRequest) int {
	aLate, bLate := now.After(a.LatestStart), now.After(b.LatestStart)
	switch {
	case aLate != bLate && bLate:
		return -1
	case aLate != bLate:
		return 1
	case aLate:
		return a.Expires.Compare(b.Expires)
	}
	return a.LatestStart.Compare(b.LatestStart)
}

// RemoveExpired removes and returns the expired requests.
func (q *Queue) RemoveExpired(now time.Time) []QueuedRequest {
	var expired []QueuedRequest
	q.requests = slices.DeleteFunc(q.requests, func(r QueuedRequest) bool {
		if now.Before(r.Expires) {
			return false
		}
		expired = append(expired, r)
		return true
	})
	if len(expired) > 0 {
		q.forgetIdleClasses()
	}
	return expired
}
