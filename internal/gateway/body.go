package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"bluebellhold/id"
)

// stallingBody streams a caller's body and gives up a caller that sends nothing for the stall timeout.
type stallingBody struct {
	*exchange
	// start is the part of the body that was read before.
	start   []byte
	left    id.Bytes
	m       sync.Mutex
	isEnded bool
	touched atomic.Bool
	stopped atomic.Bool
	// failed is set if the caller broke off the body or sent too much; woken is set if stop ended a read, which makes
	// the server cancel the request's context as if the caller had gone.
	failed atomic.Bool
	woken  atomic.Bool
}

// Read reads a part of the body.
//
// No deadline stays set after the end: the server goes on reading to see whether the caller leaves, and would take
// the deadline for that.
func (b *stallingBody) Read(p []byte) (int, error) {
	b.m.Lock()
	defer b.m.Unlock()
	if b.isEnded {
		return 0, io.EOF
	}
	if b.stopped.Load() {
		// The transport may read again after the attempt; the deadline then belongs to the server.
		return 0, &AttemptEndedError{}
	}
	b.touched.Store(true)
	if len(b.start) > 0 {
		n := copy(p, b.start)
		b.start = b.start[n:]
		b.left -= id.Bytes(n)
		return n, nil
	}
	_ = b.control.SetReadDeadline(time.Now().Add(b.gateway.stallTimeout))
	if b.stopped.Load() {
		return 0, &AttemptEndedError{}
	}
	n, err := b.r.Body.Read(p)
	b.left -= id.Bytes(n)
	switch {
	case b.left < 0:
		err = &BodyTooLargeError{Limit: b.gateway.maxBody}
	case err == nil:
		return n, nil
	case err == io.EOF:
		b.isEnded = true
		_ = b.control.SetReadDeadline(time.Time{})
		return n, err
	case b.stopped.Load() && errors.Is(err, os.ErrDeadlineExceeded):
		b.woken.Store(true)
		return n, &AttemptEndedError{}
	}
	b.failed.Store(true)
	return n, &CallerError{Cause: err}
}

// stop ends a read that is waiting for the caller and prevents further ones; it does not wait.
//
// The transport reports a failed attempt only after its read of the body has returned, so a caller that sends
// nothing would otherwise hold the upstream's slot.
func (b *stallingBody) stop() {
	b.stopped.Store(true)
	if b.m.TryLock() {
		b.m.Unlock()
		return
	}
	_ = b.control.SetReadDeadline(time.Unix(1, 0))
}

// finish stops the body and waits until nothing reads it, because the server uses the connection afterwards.
func (b *stallingBody) finish() {
	b.stop()
	b.m.Lock()
	defer b.m.Unlock()
	b.ended = b.isEnded
}

// Close leaves the body to the server, which owns it.
func (b *stallingBody) Close() error {
	return nil
}

// AttemptEndedError reports a read of a caller's body whose attempt has ended.
type AttemptEndedError struct{}

// Error describes the failure.
func (e *AttemptEndedError) Error() string {
	return "gateway: the attempt ended before the caller's body was read"
}

// BodyTooLargeError reports a body that is larger than the limit.
type BodyTooLargeError struct {
	Limit id.Bytes
}

// Error describes the failure.
func (e *BodyTooLargeError) Error() string {
	return "gateway: the request's body is larger than the limit"
}

// CallerError reports a caller that broke off its request or does not take its answer.
type CallerError struct {
	Cause error
}

// Error names the cause.
func (e *CallerError) Error() string {
	return "gateway: the caller broke off: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CallerError) Unwrap() error {
	return e.Cause
}

// isCallersFault reports whether an attempt failed because of its caller, which says nothing about the upstream.
func isCallersFault(err error) bool {
	var failure *CallerError
	return errors.As(err, &failure)
}

func isTimeout(ctx context.Context, err error) bool {
	var failure net.Error
	return ctx.Err() == context.DeadlineExceeded || errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &failure) && failure.Timeout())
}
