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

func (r Priority) compare(other Priority) int {
	return cmp.Or(cmp.Compare(r.Organisation, other.Organisation), cmp.Compare(r.Route, other.Route))
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
	waiters []QueuedRequest
	rate    rate
}

// Len returns the number of waiting requests.
func (l *Queue) Len() int { return len(l.waiters) }

// Add appends a request to the line.
func (l *Queue) Add(w QueuedRequest) {
	l.waiters = append(l.waiters, w)
}

// Remove takes a request out of the line.
func (l *Queue) Remove(request id.Request) {
	l.waiters = slices.DeleteFunc(l.waiters, func(w QueuedRequest) bool { return w.Request == request })
}

// Sort sorts the line and returns it: by rank, then those that can still be on time before those that cannot, then
// by what ends first. The slice is valid until the next change.
func (l *Queue) Sort(now time.Time) []QueuedRequest {
	slices.SortStableFunc(l.waiters, func(a, b QueuedRequest) int {
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
	return l.waiters
}

// RemoveExpired removes and returns the requests whose time is over.
func (l *Queue) RemoveExpired(now time.Time) []QueuedRequest {
	var expired []QueuedRequest
	l.waiters = slices.DeleteFunc(l.waiters, func(w QueuedRequest) bool {
		if now.Before(w.Expires) {
			return false
		}
		expired = append(expired, w)
		return true
	})
	return expired
}
