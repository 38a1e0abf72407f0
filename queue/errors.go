package queue

import (
	"strconv"
	"time"

	"bluebellhold/id"
	"bluebellhold/note"
)

// FullError reports that the organisation has as many items of the class in the queue as it may have at present.
type FullError struct {
	Organisation id.Organisation
	Class        note.Class
	Waiting      int
	Limit        int
}

// Error gives the organisation's number of items and its bound.
func (e *FullError) Error() string {
	return "queue: organisation " + string(e.Organisation) + " has " + strconv.Itoa(e.Waiting) +
		" waiting requests of class " + string(e.Class) + ", allowed are " + strconv.Itoa(e.Limit)
}

// DeadlineError reports that a request would not be started before its deadline.
type DeadlineError struct {
	Deadline       time.Time
	EstimatedStart time.Time // when the request would be started, by estimate
}

// Error gives the lateness of the estimated start.
func (e *DeadlineError) Error() string {
	return "queue: the estimated start is " + e.EstimatedStart.Sub(e.Deadline).String() + " after the deadline"
}

// DuplicateError reports a request that waits already.
type DuplicateError struct {
	Request id.Request
}

// Error names the request.
func (e *DuplicateError) Error() string {
	return "queue: request " + strconv.FormatUint(uint64(e.Request), 10) + " is in the queue already"
}
