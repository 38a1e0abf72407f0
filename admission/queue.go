package admission

import (
	"cmp"
	"slices"
	"time"

	"bluebellhold/id"
)

// Priority orders requests by urgency; lower values go first and the organisation's value goes before the route's.
type Priority struct {
	Organisation int
	Route        int
}

func (p Priority) compare(other Priority) int {
	return cmp.Or(cmp.Compare(p.Organisation, other.Organisation), cmp.Compare(p.Route, other.Route))
}

// QueuedRequest is a request that waits for an upstream.
type QueuedRequest struct {
	Request  id.Request
	Priority Priority
	// LatestStart is the last moment at which a start still meets the route's objective.
	LatestStart time.Time
	// Expires is when the request is given up.
	Expires time.Time
}

// Queue holds the requests of one service that wait.
type Queue struct {
	requests  []QueuedRequest
	startRate startRate
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.requests) }

// Add appends a request to the line.
func (q *Queue) Add(r QueuedRequest) {
	q.requests = append(q.requests, r)
}

// Remove takes a request out of the line.
func (q *Queue) Remove(request id.Request) {
	q.requests = slices.DeleteFunc(q.requests, func(r QueuedRequest) bool { return r.Request == request })
}

// Sort sorts the line and returns it: by rank, then those that can still be on time before those that cannot, then
// by what ends first. The slice is valid until the next change.
func (q *Queue) Sort(now time.Time) []QueuedRequest {
	slices.SortStableFunc(q.requests, func(a, b QueuedRequest) int {
		if c := a.Priority.compare(b.Priority); c != 0 {
			return c
		}
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
	})
	return q.requests
}

// RemoveExpired removes and returns the requests whose time is over.
func (q *Queue) RemoveExpired(now time.Time) []QueuedRequest {
	var expired []QueuedRequest
	q.requests = slices.DeleteFunc(q.requests, func(r QueuedRequest) bool {
		if now.Before(r.Expires) {
			return false
		}
		expired = append(expired, r)
		return true
	})
	return expired
}
