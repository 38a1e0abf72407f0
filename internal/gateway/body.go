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

// streamedBody streams a caller's body. A read fails if the caller sends nothing for the stall timeout.
type streamedBody struct {
	*exchange
	// prefix is the part of the body that was read in advance.
	prefix      []byte
	remaining   id.Bytes
	mu          sync.Mutex
	atEOF       bool
	readStarted atomic.Bool
	stopped     atomic.Bool
	// failed is set if the caller's body broke off, stalled or exceeded the limit. interrupted is set if stop ended a
	// blocked read, which makes the server cancel the request's context as if the caller had disconnected.
	failed      atomic.Bool
	interrupted atomic.Bool
}

// Read reads a part of the body.
//
// No read deadline remains set after EOF: the server continues to read in order to detect a disconnect, and would take
// an expired deadline for one.
func (b *streamedBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.atEOF {
		return 0, io.EOF
	}
	if b.stopped.Load() {
		// The transport may read again after the attempt has ended, when only the server may set the read deadline.
		return 0, &AttemptEndedError{}
	}
	b.readStarted.Store(true)
	if len(b.prefix) > 0 {
		n := copy(p, b.prefix)
		b.prefix = b.prefix[n:]
		b.remaining -= id.Bytes(n)
		return n, nil
	}
	_ = b.controller.SetReadDeadline(time.Now().Add(b.gateway.stallTimeout))
	if b.stopped.Load() {
		return 0, &AttemptEndedError{}
	}
	n, err := b.r.Body.Read(p)
	b.remaining -= id.Bytes(n)
	switch {
	case b.remaining < 0:
		err = &BodyTooLargeError{Limit: b.gateway.maxBody}
	case err == nil:
		return n, nil
	case err == io.EOF:
		b.atEOF = true
		_ = b.controller.SetReadDeadline(time.Time{})
		return n, err
	case b.stopped.Load() && errors.Is(err, os.ErrDeadlineExceeded):
		b.interrupted.Store(true)
		return n, &AttemptEndedError{}
	}
	b.failed.Store(true)
	return n, &CallerError{Cause: err}
}

// stop interrupts a read that is blocked on the caller and prevents further reads. It does not block.
//
// The transport reports a failed attempt only after its read of the body has returned, so a caller that sends nothing
// would otherwise occupy the upstream's slot.
func (b *streamedBody) stop() {
	b.stopped.Store(true)
	if b.mu.TryLock() {
		b.mu.Unlock()
		return
	}
	// A deadline in the past unblocks the read.
	_ = b.controller.SetReadDeadline(time.Unix(1, 0))
}

// finish stops the body and waits for a read in progress to return, because the server uses the connection afterwards.
func (b *streamedBody) finish() {
	b.stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodyAtEOF = b.atEOF
}

// Close does nothing, because the server owns the body.
func (b *streamedBody) Close() error {
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

// CallerError reports a caller whose body broke off, stalled or was too large, or that does not read its response.
type CallerError struct {
	Cause error
}

// Error names the cause.
func (e *CallerError) Error() string {
	return "gateway: the exchange with the caller failed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CallerError) Unwrap() error {
	return e.Cause
}

// isCallerError reports whether an attempt failed because of its caller, which says nothing about the upstream.
func isCallerError(err error) bool {
	var callerErr *CallerError
	return errors.As(err, &callerErr)
}

func isTimeout(ctx context.Context, err error) bool {
	var netErr net.Error
	return ctx.Err() == context.DeadlineExceeded || errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &netErr) && netErr.Timeout())
}
