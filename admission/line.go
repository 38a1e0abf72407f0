package admission

import (
	"cmp"
	"slices"
	"time"

	"bluebellhold/id"
)

// Rank orders requests by urgency; lower values go first and the organisation's value goes before the route's.
type Rank struct {
	Organisation int
	Route        int
}

func (r Rank) compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Organisation, other.Organisation), cmp.Compare(r.Route, other.Route))
}

// Waiter is a request that waits for an upstream.
type Waiter struct {
	Request id.Request
	Rank    Rank
	// OnTime is the last moment at which a start still meets the route's objective.
	OnTime time.Time
	// Expires is when the request is given up.
	Expires time.Time
}

// Line holds the requests of one service that wait.
type Line struct {
	waiters []Waiter
	rate    rate
}

// Len returns the number of waiting requests.
func (l *Line) Len() int { return len(l.waiters) }

// Add appends a request to the line.
func (l *Line) Add(w Waiter) {
	l.waiters = append(l.waiters, w)
}

// Remove takes a request out of the line.
func (l *Line) Remove(request id.Request) {
	l.waiters = slices.DeleteFunc(l.waiters, func(w Waiter) bool { return w.Request == request })
}

// Order sorts the line and returns it: by rank, then those that can still be on time before those that cannot, then
// by what ends first. The slice is valid until the next change.
func (l *Line) Order(now time.Time) []Waiter {
	slices.SortStableFunc(l.waiters, func(a, b Waiter) int {
		if c := a.Rank.compare(b.Rank); c != 0 {
			return c
		}
		aLate, bLate := now.After(a.OnTime), now.After(b.OnTime)
		switch {
		case aLate != bLate && bLate:
			return -1
		case aLate != bLate:
			return 1
		case aLate:
			return a.Expires.Compare(b.Expires)
		}
		return a.OnTime.Compare(b.OnTime)
	})
	return l.waiters
}

// Expired removes and returns the requests whose time is over.
func (l *Line) Expired(now time.Time) []Waiter {
	var expired []Waiter
	l.waiters = slices.DeleteFunc(l.waiters, func(w Waiter) bool {
		if now.Before(w.Expires) {
			return false
		}
		expired = append(expired, w)
		return true
	})
	return expired
}
