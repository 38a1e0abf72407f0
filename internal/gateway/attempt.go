package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"bluebellhold/claim"
	"bluebellhold/id"
	"bluebellhold/internal/answer"
	"bluebellhold/internal/memory"
	"bluebellhold/internal/steering"
	"bluebellhold/internal/tcp"
	"bluebellhold/retry"
)

var copyBufferPool = sync.Pool{New: func() any { return new([32 << 10]byte) }}

// attempt is one attempt to run the request of an exchange on an upstream; a Dispatch effect starts it.
type attempt struct {
	*exchange
	dispatch     steering.Dispatch
	guard        sendGuard
	ctx          context.Context
	bodyStream   *streamedBody
	ended        bool
	linkUsed     id.Bytes
	linkReserved id.Bytes
}

// dispatch runs one attempt and reports whether the exchange has ended.
func (x *exchange) dispatch(d steering.Dispatch) bool {
	a := &attempt{exchange: x, dispatch: d, guard: sendGuard{dispatchBy: d.DispatchBy}}
	parent := x.r.Context()
	if d.StoreResponse {
		// The response is stored for replay, so the attempt continues when the caller disconnects.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, d.Deadline)
	defer cancel()
	a.ctx = withGuard(context.WithValue(ctx, upstreamKey{}, d.Upstream), &a.guard)
	defer a.finishBodyStream()
	defer a.ensureEnded()
	response, err := a.roundTrip()
	if err != nil {
		a.end(a.classifyError(err, false))
		return false
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headerOutcome) == string(steering.NotRun) {
		_, _ = io.CopyN(io.Discard, response.Body, int64(MaxBufferedBody))
		a.guard.end()
		a.end(steering.Shed{Rest: retry.ParseAfter(response.Header.Get("Retry-After")), MayHaveRun: a.guard.reused.Load()})
		return false
	}
	return a.forwardResponse(response)
}

// roundTrip sends the request. If nothing was sent on a reused connection, it retries on another one, because an
// upstream may close an idle connection at any time.
func (a *attempt) roundTrip() (*http.Response, error) {
	for {
		a.startBodyStream()
		stop := a.relieveWhileWaiting()
		response, err := a.checkResponse(a.gateway.transportFor(a.dispatch).RoundTrip(a.upstreamRequest()))
		stop()
		var deadlineErr *DispatchDeadlineError
		if err == nil || a.guard.sent.Load() || a.bodyReadStarted() || !a.guard.reused.Swap(false) ||
			errors.As(err, &deadlineErr) || a.ctx.Err() != nil {
			return response, err
		}
	}
}

// connectionPatience is how long a request waits for a connection to an upstream before a stalled client makes room for it.
const connectionPatience = 200 * time.Millisecond

// relieveWhileWaiting evicts stalled clients while the attempt waits for a connection, since callers that don't read their
// responses occupy those to the upstream. The returned function ends that.
func (a *attempt) relieveWhileWaiting() (stop func()) {
	var timer *time.Timer
	var mu sync.Mutex
	isStopped := false
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(connectionPatience, func() {
		mu.Lock()
		defer mu.Unlock()
		if !isStopped && a.guard.conn.Load() == nil {
			a.gateway.relieve()
			timer.Reset(connectionPatience)
		}
	})
	return func() {
		mu.Lock()
		defer mu.Unlock()
		isStopped = true
		timer.Stop()
	}
}

// checkResponse rejects responses that must not be forwarded: one that began before the request was sent belongs to another
// request, and one without the status of an answer is none. Nothing that follows on their connection is read.
func (a *attempt) checkResponse(response *http.Response, err error) (*http.Response, error) {
	if err != nil {
		return nil, err
	}
	if !a.guard.earlyResponse.Load() && answer.IsFinal(response) {
		return response, nil
	}
	_ = a.guard.conn.Load().Close()
	_ = response.Body.Close()
	return nil, &UnexpectedResponseError{Status: response.StatusCode}
}

// UnexpectedResponseError reports a response that belongs to no request or whose status is not that of a final response.
// Status is zero if the response was not read.
type UnexpectedResponseError struct {
	Status int
}

// Error names the status.
func (e *UnexpectedResponseError) Error() string {
	return "gateway: unexpected response with status " + strconv.Itoa(e.Status)
}

// startBodyStream prepares to stream a body that is not fully in memory. It may be called again as long as nothing has
// been read from the stream.
func (a *attempt) startBodyStream() {
	if a.bodyBuffered {
		return
	}
	a.bodyStream = &streamedBody{exchange: a.exchange, prefix: a.body.Bytes(), remaining: a.gateway.maxBody}
	a.guard.stopBody = a.bodyStream.stop
	// An upstream may respond before it has read the whole body.
	_ = a.controller.EnableFullDuplex()
}

func (a *attempt) finishBodyStream() {
	if a.bodyStream != nil {
		a.bodyStream.finish()
	}
}

func (a *attempt) bodyReadStarted() bool {
	return a.bodyStream != nil && a.bodyStream.readStarted.Load()
}

func (a *attempt) end(e steering.AttemptOutcome) {
	a.ended = true
	a.gateway.engine.Post(steering.AttemptEnded{
		Request: a.requestID, Outcome: e, BodyConsumed: a.bodyStream != nil && (a.bodyReadStarted() || a.guard.sent.Load()),
		IsConnected: a.guard.connected.Load(),
	})
}

// ensureEnded ends an attempt that a panic interrupted, so that its slot is freed. The attempt counts as cancelled,
// because the panic is not a failure of the upstream.
func (a *attempt) ensureEnded() {
	if !a.ended {
		a.end(steering.Cancelled{})
	}
}

func (a *attempt) upstreamRequest() *http.Request {
	request := (&http.Request{
		Method: a.r.Method,
		URL: &url.URL{
			Scheme:     "http",
			Host:       a.dispatch.Address,
			Path:       a.decodedPath,
			RawPath:    a.escapedPath,
			RawQuery:   a.r.URL.RawQuery,
			ForceQuery: a.r.URL.ForceQuery,
		},
		Host:       a.dispatch.Address,
		Header:     upstreamHeader(a.r.Header, a.secret),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}).WithContext(a.ctx)
	remaining := max(time.Until(a.dispatch.Deadline).Milliseconds(), 1)
	request.Header.Set(headerRequestTimeout, strconv.FormatInt(remaining, 10))
	a.setBody(request)
	return request
}

// setBody sets the body in a way that prevents the transport from retrying the request.
//
// net/http retries a request with an Idempotency-Key header on a new connection if it can obtain the body again. An
// opaque body without GetBody prevents that; the reducer decides on retries.
func (a *attempt) setBody(request *http.Request) {
	switch {
	case a.bodyStream != nil:
		request.Body = a.bodyStream
		request.ContentLength = a.r.ContentLength
	case len(a.body.Bytes()) > 0:
		request.Body = io.NopCloser(bytes.NewReader(a.body.Bytes()))
		request.ContentLength = int64(len(a.body.Bytes()))
	case a.dispatch.StoreResponse:
		request.Body = io.NopCloser(bytes.NewReader(nil))
	}
}

// classifyError returns the outcome of an attempt that failed with err.
func (a *attempt) classifyError(err error, forwarded bool) steering.AttemptOutcome {
	a.bodyFailed = a.bodyStream != nil && a.bodyStream.failed.Load()
	switch {
	case a.bodyFailed || isCallerError(err) || a.isCallerDisconnected():
		return steering.Cancelled{}
	case !a.guard.sent.Load():
		return steering.NothingSent{
			DispatchExpired: errors.As(err, new(*DispatchDeadlineError)), IsHelperFailed: errors.As(err, new(*TunnelError)),
		}
	case isTimeout(a.ctx, err):
		return steering.TimedOut{ResponseStarted: forwarded}
	default:
		return steering.Broken{ResponseStarted: forwarded}
	}
}

// isCallerDisconnected reports whether the caller has disconnected and the attempt depends on it.
func (a *attempt) isCallerDisconnected() bool {
	return !a.dispatch.StoreResponse && a.r.Context().Err() != nil && (a.bodyStream == nil || !a.bodyStream.interrupted.Load())
}

// forwardResponse forwards an upstream's response to the caller and reports whether the exchange has ended.
func (a *attempt) forwardResponse(response *http.Response) bool {
	prefix, complete, err := a.readBodyPrefix(response)
	if err != nil {
		a.end(a.classifyError(err, false))
		return false
	}
	if complete {
		a.guard.end()
		// The attempt ends before the response is written, so that a slow caller does not occupy the upstream's slot.
		a.end(steering.Answered{Response: a.storedResponse(response, prefix, false), Size: id.Bytes(len(prefix))})
		a.observeLatency()
		a.finishBodyStream()
		a.setResponseDeadline()
		a.forwardHeader(response)
		_, _ = a.w.Write(prefix)
		return true
	}
	a.streamResponse(response, prefix)
	return true
}

// readBodyPrefix reads as much of the response body as fits into the buffer and reports whether that is all of it. Without
// memory for more, the rest is streamed.
func (a *attempt) readBodyPrefix(response *http.Response) (prefix []byte, complete bool, err error) {
	limit := MaxBufferedBody
	if a.dispatch.StoreResponse {
		limit = MaxStoredResponse
	}
	if response.ContentLength > int64(limit) {
		return nil, false, nil
	}
	a.response.Release()
	length := id.Bytes(response.ContentLength)
	if response.Body == http.NoBody {
		length = 0
	}
	complete, err = a.response.Fill(a.ctx, response.Body, length, limit+1, memory.Requester{IsKnown: true})
	if errors.As(err, new(*memory.ShortError)) {
		return a.response.Bytes(), false, nil
	}
	if err != nil {
		return nil, false, err
	}
	return a.response.Bytes(), complete && id.Bytes(len(a.response.Bytes())) <= limit, nil
}

func (a *attempt) storedResponse(response *http.Response, body []byte, truncated bool) claim.Response {
	if !a.dispatch.StoreResponse {
		return claim.Response{}
	}
	header := response.Header.Clone()
	removeHopByHopHeaders(header)
	return claim.Response{Status: response.StatusCode, Header: header, Body: body, Truncated: truncated}
}

func (a *attempt) forwardHeader(response *http.Response) {
	a.responseStarted = true
	copyResponseHeader(a.w.Header(), response.Header)
	a.w.WriteHeader(response.StatusCode)
}

// streamResponse streams a response that is larger than the buffer. If it breaks off, the caller's connection is closed.
func (a *attempt) streamResponse(response *http.Response, prefix []byte) {
	a.forwardHeader(response)
	size, err := a.copyBody(response.Body, prefix)
	if err != nil {
		a.end(a.classifyError(err, true))
		a.abortResponse()
	}
	a.guard.end()
	a.end(steering.Answered{Response: a.storedResponse(response, nil, true), Size: size})
	a.observeLatency()
}

// abortResponse closes the caller's connection in the middle of a response; it always panics with http.ErrAbortHandler.
// Before HTTP/1.1, where the end of the connection may delimit the response, it resets the connection, because a regular
// close would make the truncated response look complete.
func (x *exchange) abortResponse() {
	if x.r.ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := x.controller.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	tcp.Abort(conn)
	panic(http.ErrAbortHandler)
}

func (a *attempt) copyBody(body io.Reader, prefix []byte) (id.Bytes, error) {
	buffer := copyBufferPool.Get().(*[32 << 10]byte)
	defer copyBufferPool.Put(buffer)
	size := id.Bytes(len(prefix))
	if err := a.forwardChunk(prefix); err != nil {
		return size, err
	}
	for {
		n, err := body.Read(buffer[:])
		size += id.Bytes(n)
		if writeErr := a.forwardChunk(buffer[:n]); writeErr != nil {
			return size, writeErr
		}
		if err == io.EOF {
			return size, nil
		}
		if err != nil {
			return size, err
		}
	}
}

// forwardChunk writes a part of the response. It fails if the caller reads nothing for the stall timeout, except if the
// response is stored for replay.
func (a *attempt) forwardChunk(chunk []byte) error {
	if len(chunk) == 0 {
		return nil
	}
	if err := a.reserveLinkBytes(id.Bytes(len(chunk))); err != nil {
		return err
	}
	if a.dispatch.StoreResponse && a.r.Context().Err() != nil {
		return nil
	}
	_ = a.controller.SetWriteDeadline(time.Now().Add(a.gateway.stallTimeout))
	if _, err := a.w.Write(chunk); err != nil && !a.dispatch.StoreResponse {
		return &CallerError{Cause: err}
	}
	return nil
}

// reserveLinkBytes waits until n more bytes are reserved on the inter-region link, if the dispatch is metered.
func (a *attempt) reserveLinkBytes(n id.Bytes) error {
	if !a.dispatch.Metered {
		return nil
	}
	a.linkUsed += n
	for a.linkReserved < a.linkUsed {
		a.gateway.engine.Post(steering.TransferRequested{Request: a.requestID, Size: max(linkReservation, n)})
		select {
		case effect := <-a.effects:
			if grant, ok := effect.(steering.GrantTransfer); ok {
				a.linkReserved += grant.Size
			}
		case <-a.ctx.Done():
			return a.ctx.Err()
		}
	}
	return nil
}

func (a *attempt) observeLatency() {
	a.gateway.latency.observe(a.service, a.dispatch.Organisation, time.Since(a.startedAt))
}
