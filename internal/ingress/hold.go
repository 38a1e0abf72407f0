package ingress

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/drain"
	"bluebellhold/internal/entry"
	"bluebellhold/internal/memory"
)

const (
	// Bodies and responses may use 1/payloadMemoryDivisor of the memory limit. The rest is for the program, its other
	// allocations until they are collected, and bytes that have not been read.
	payloadMemoryDivisor = 2
	// bodyReadTimeout bounds the time that a caller takes to send its body. No request may take longer.
	bodyReadTimeout = time.Minute
	// bodyStallTimeout bounds the time in which a caller sends nothing of its body.
	bodyStallTimeout = 10 * time.Second
	// stalledWriteTimeout bounds the time to write a response of no size, and minWriteRate is the rate in bytes per second
	// at which a caller must read at least.
	stalledWriteTimeout = 5 * time.Second
	minWriteRate        = 32 << 10
)

// callerBody reads the body of a caller, which must not stall.
type callerBody struct {
	*exchange
	controller *http.ResponseController
	deadline   time.Time

	// mu guards the fields below and the read deadline of the connection.
	mu sync.Mutex
	// isCutShort is set when a stop gives up the bodies that have not arrived whole, and isDone once this one has been read.
	isCutShort, isDone bool
}

// Read reads a part of the body.
func (b *callerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	deadline := time.Now().Add(bodyStallTimeout)
	switch {
	case b.isCutShort:
		// What has arrived is still read.
		deadline = pastDeadline
	case b.deadline.Before(deadline):
		deadline = b.deadline
	}
	b.setReadDeadline(deadline)
	b.mu.Unlock()
	return b.r.Body.Read(p)
}

// cutShort ends a read that waits for the caller.
func (b *callerBody) cutShort() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isDone {
		b.isCutShort = true
		b.setReadDeadline(pastDeadline)
	}
}

// finish removes the read deadline, since net/http watches the connection for its end while the request is served. It
// reports whether the read was cut short, after which net/http may take the caller for gone.
func (b *callerBody) finish() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.isDone = true
	b.setReadDeadline(time.Time{})
	return b.isCutShort
}

// setReadDeadline sets the read deadline of the connection. The caller holds mu.
func (b *callerBody) setReadDeadline(t time.Time) {
	if err := b.controller.SetReadDeadline(t); err != nil {
		b.log.Debug("callers: setting the read deadline failed", "error", err)
	}
}

// pastDeadline makes reads fail at once.
var pastDeadline = time.Unix(1, 0)

// readCountedBody reads the body into memory that is counted ahead. It refuses the request and returns false if the body is
// invalid, or exceeds the limit or the memory.
func (x *exchange) readCountedBody(limit id.Bytes, from memory.Requester) bool {
	reader := &callerBody{
		exchange: x, controller: http.NewResponseController(x.w), deadline: time.Now().Add(bodyReadTimeout),
	}
	stopWatching := context.AfterFunc(x.bodiesEnded, reader.cutShort)
	defer stopWatching()
	body, err := x.memory.ReadBody(x.r.Context(), reader, id.Bytes(x.r.ContentLength), limit, from)
	var short *memory.ShortError
	var large *memory.TooLargeError
	switch {
	case errors.As(err, new(*drain.EvictedError)):
		x.w.Header().Set("Connection", "close")
		x.refuse(entry.Refusal{Code: entry.CodeOverloaded, RetryAt: x.memory.ReturnAt(id.Bytes(max(x.r.ContentLength, 0)))})
	case errors.As(err, &large):
		x.refuse(entry.Refusal{Code: entry.CodeInvalidBody})
	case errors.As(err, &short):
		// What has not been read of the body stays on the connection.
		x.w.Header().Set("Connection", "close")
		x.refuse(entry.Refusal{Code: entry.CodeOverloaded, RetryAt: x.memory.ReturnAt(short.Size)})
	case err != nil:
		x.refuseBody()
	default:
		x.body = body
		x.isReadCutShort = reader.finish()
		return true
	}
	return false
}

// refuseBody refuses a request whose body could not be read.
func (x *exchange) refuseBody() {
	// What has not been read of the body stays on the connection.
	x.w.Header().Set("Connection", "close")
	if x.bodiesEnded.Err() != nil {
		x.refuse(entry.Refusal{Code: entry.CodeStopping, RetryAt: time.Now()})
		return
	}
	x.refuse(entry.Refusal{Code: entry.CodeInvalidBody, MayHaveRun: true})
}

// attemptWithin makes an attempt if there is memory for the expected response. If there is none, nothing is sent, and the
// request is refused.
func (x *exchange) attemptWithin(d entry.Dispatch) entry.AttemptOutcome {
	reserved, ok := x.memory.Reserve(x.r.Context(), d.Diagnostics.Route, d.Priority, x.joinedSize())
	if !ok {
		x.isMemoryShort = true
		x.requestLog.logMemoryShort(x, d)
		// The reducer withdraws a request whose caller is gone instead of trying another upstream.
		x.Post(entry.CallerDisconnected{Request: x.requestID})
		return entry.NothingSent{IsStaleConnection: true}
	}
	x.reserved = reserved
	outcome := x.attempt(d)
	response := id.Bytes(-1)
	if answered, ok := outcome.(entry.Answered); ok {
		response = answered.Size
	}
	x.memory.EndReservation(x.reserved, d.Diagnostics.Route, response)
	x.reserved = 0
	return outcome
}

// releaseMemory ends the counting of the request's body and response.
func (x *exchange) releaseMemory() {
	x.body.Release()
	if x.response != nil {
		x.response.body.Release()
	}
}

// memoryRefusal returns the refusal of a request for which there was no memory: with the real cause and a retry time. That
// it has not run is known to the reducer.
func (x *exchange) memoryRefusal(r entry.Refusal) entry.Refusal {
	if x.isMemoryShort && r.Code == entry.CodeNoUpstream {
		r.Code, r.RetryAt = entry.CodeOverloaded, x.memory.ReturnAt(id.Bytes(x.body.Len()))
	}
	return r
}

// responseWriteTimeout bounds the time to write a response of a size.
func responseWriteTimeout(size int) time.Duration {
	return min(stalledWriteTimeout+time.Duration(size)*time.Second/minWriteRate, writeTimeout)
}
