package queue

import (
	"strconv"
	"time"

	"bluebellhold/id"
	"bluebellhold/note"
)

// FullError reports that the organisation has reached its current limit of waiting items in the class.
type FullError struct {
	Organisation id.Organisation
	Class        note.Class
	Waiting      int
	Limit        int
}

// Error returns a message with the number of waiting items and the limit.
func (e *FullError) Error() string {
	return "queue: organisation " + string(e.Organisation) + " has " + strconv.Itoa(e.Waiting) +
		" waiting requests of class " + string(e.Class) + ", allowed are " + strconv.Itoa(e.Limit)
}

// DeadlineError reports that the estimated start of a request is not before its deadline.
type DeadlineError struct {
	Deadline       time.Time
	EstimatedStart time.Time
}

// Error returns a message with the time by which the estimated start misses the deadline.
func (e *DeadlineError) Error() string {
	return "queue: the estimated start is " + e.EstimatedStart.Sub(e.Deadline).String() + " after the deadline"
}

// DuplicateError reports a request that is already queued.
type DuplicateError struct {
	Request id.Request
}

// Error returns a message with the request's number.
func (e *DuplicateError) Error() string {
	return "queue: request " + strconv.FormatUint(uint64(e.Request), 10) + " is in the queue already"
}
