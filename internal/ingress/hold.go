package ingress

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
)

// readHeldBody is readBody with the feature Held: it takes memory for a body before reading it.
func (x *exchange) readHeldBody(limit int64) bool {
	// A stop has set an earlier deadline.
	if x.bodiesEnded.Err() == nil {
		if err := http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(bodyReadTimeout)); err != nil {
			x.log.Debug("callers: setting the read deadline failed", "error", err)
		}
	}
	var body bytes.Buffer
	err := x.fillBody(&body, limit)
	var short *MemoryShortError
	switch {
	case errors.As(err, &short):
		// What has not been read of the body stays on the connection.
		x.w.Header().Set("Connection", "close")
		x.refuse(entry.Refusal{Code: entry.CodeOverloaded, RetryAt: time.Now().Add(memoryRetryDelay)})
	case err != nil:
		x.refuseBody()
	case limit > 0 && int64(body.Len()) > limit:
		x.refuse(entry.Refusal{Code: entry.CodeInvalidBody})
	default:
		x.body = body.Bytes()
		// net/http watches the connection for its end while the request is served.
		if err := http.NewResponseController(x.w).SetReadDeadline(time.Time{}); err != nil {
			x.log.Debug("callers: clearing the read deadline failed", "error", err)
		}
		return true
	}
	return false
}

// fillBody reads the body in steps for which there is memory, up to one byte more than limit.
func (x *exchange) fillBody(body *bytes.Buffer, limit int64) error {
	if n := x.r.ContentLength; n > 0 {
		if !x.holdBody(id.Bytes(n + bytes.MinRead)) {
			return &MemoryShortError{Size: id.Bytes(n)}
		}
		body.Grow(int(n) + bytes.MinRead)
		_, err := body.ReadFrom(x.r.Body)
		return err
	}
	for limit <= 0 || int64(body.Len()) <= limit {
		// The buffer doubles as it grows, and holds both copies meanwhile.
		if !x.holdBody(2 * bodyReadStep) {
			return &MemoryShortError{Size: bodyReadStep}
		}
		n, err := body.ReadFrom(io.LimitReader(x.r.Body, int64(bodyReadStep)))
		if err != nil || n < int64(bodyReadStep) {
			return err
		}
	}
	return nil
}

func (x *exchange) holdBody(size id.Bytes) bool {
	if !x.memory.holdBody(x.r.Context(), size) {
		return false
	}
	x.bodyHeld += size
	return true
}

// attemptWithin makes an attempt if there is memory for the expected response. If there is none, nothing is sent, and the
// request is refused.
func (x *exchange) attemptWithin(d entry.Dispatch) entry.AttemptOutcome {
	if !x.isHeld {
		return x.attempt(d)
	}
	reserved, ok := x.memory.reserve(d.Diagnostics.Route, d.Priority, id.Bytes(len(x.body)))
	if !ok {
		x.isMemoryShort = true
		x.requestLog.logMemoryShort(x, d)
		// The reducer withdraws a request whose caller is gone instead of trying another upstream.
		x.Post(entry.CallerDisconnected{Request: x.requestID})
		return entry.NothingSent{IsStaleConnection: true}
	}
	outcome := x.attempt(d)
	if answered, ok := outcome.(entry.Answered); ok {
		x.memory.observeResponse(d.Diagnostics.Route, answered.Size)
	} else {
		x.releaseResponse()
	}
	x.memory.endReservation(reserved)
	return outcome
}

// holdResponse counts memory for a response that is being read, or gives back what it does not need.
func (x *exchange) holdResponse(size id.Bytes) {
	if x.isHeld {
		x.memory.hold(size)
		x.responseHeld += size
	}
}

func (x *exchange) releaseResponse() {
	x.memory.release(x.responseHeld)
	x.responseHeld = 0
}

func (x *exchange) releaseBody() {
	x.memory.release(x.bodyHeld)
	x.bodyHeld = 0
}

// memoryRefusal returns the refusal of a request for which there was no memory: with the real cause and a retry time. That
// it has not run is known to the reducer.
func (x *exchange) memoryRefusal(r entry.Refusal) entry.Refusal {
	if x.isMemoryShort && r.Code == entry.CodeNoUpstream {
		r.Code, r.RetryAt = entry.CodeOverloaded, time.Now().Add(memoryRetryDelay)
	}
	return r
}

// responseWriteTimeout bounds the time to write a response of a size.
func (x *exchange) responseWriteTimeout(size int) time.Duration {
	if !x.isHeld {
		return writeTimeout
	}
	return min(heldWriteTimeout+time.Duration(size)*time.Second/heldWriteRate, writeTimeout)
}

// MemoryShortError reports that there is no memory for a part of a body.
type MemoryShortError struct {
	Size id.Bytes
}

// Error describes the error.
func (e *MemoryShortError) Error() string { return "ingress: no memory for a request body" }
