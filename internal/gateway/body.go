package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"bluebellhold/id"
)

// stallingBody streams a caller's body and gives up a caller that sends nothing for the stall timeout.
type stallingBody struct {
	*exchange
	left id.Bytes
}

// Read reads a part of the body.
func (b *stallingBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(time.Now().Add(stallTimeout))
	n, err := b.r.Body.Read(p)
	b.left -= id.Bytes(n)
	if b.left < 0 {
		return n, &CallerError{Cause: &SizeError{Limit: b.gateway.maxBody}}
	}
	if err != nil && err != io.EOF {
		return n, &CallerError{Cause: err}
	}
	return n, err
}

// Close leaves the body to the server, which owns it.
func (b *stallingBody) Close() error {
	return nil
}

// SizeError reports a body that is larger than the limit.
type SizeError struct {
	Limit id.Bytes
}

// Error describes the failure.
func (e *SizeError) Error() string {
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
	return ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) || (errors.As(err, &failure) && failure.Timeout())
}
