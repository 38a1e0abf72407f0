package gateway

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"bluebellhold/claim"
	"bluebellhold/id"
	"bluebellhold/internal/steering"
)

var copyBuffers = sync.Pool{New: func() any { return new([32 << 10]byte) }}

// attempt is one dispatch of an exchange to an upstream.
type attempt struct {
	*exchange
	dispatch steering.Dispatch
	guard    sendGuard
	ctx      context.Context
	stream   *stallingBody
	isOver   bool
	moved    id.Bytes
	allowed  id.Bytes
}

// dispatch runs one attempt and reports whether the exchange has ended.
func (x *exchange) dispatch(d steering.Dispatch) bool {
	a := &attempt{exchange: x, dispatch: d, guard: sendGuard{by: d.DispatchBy}}
	parent := x.r.Context()
	if d.StoreAnswer {
		// The answer is kept for a repeat, so the attempt goes on when the caller goes away.
		parent = context.WithoutCancel(parent)
	}
	ctx, cancel := context.WithDeadline(parent, d.Deadline)
	defer cancel()
	a.ctx = withGuard(ctx, &a.guard)
	defer a.finishStream()
	defer a.release()
	response, err := a.roundTrip()
	if err != nil {
		a.end(a.failure(err, false))
		return false
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(headerOutcome) == string(steering.NotRun) {
		_, _ = io.CopyN(io.Discard, response.Body, int64(DefaultMaxBuffered))
		a.end(steering.Shed{})
		return false
	}
	return a.answer(response)
}

// roundTrip sends the request; it tries another connection if nothing could be sent on a reused one, since an
// upstream may close an idle connection at any time.
func (a *attempt) roundTrip() (*http.Response, error) {
	for {
		a.startStream()
		response, err := a.checked(a.gateway.transport.RoundTrip(a.upstreamRequest()))
		var late *LateError
		if err == nil || a.guard.sent.Load() || a.isTouched() || !a.guard.reused.Swap(false) || errors.As(err, &late) ||
			a.ctx.Err() != nil {
			return response, err
		}
	}
}

// checked refuses answers that cannot be passed on: one that began before the request was sent belongs to another
// request, and a switch of protocols was not asked for.
func (a *attempt) checked(response *http.Response, err error) (*http.Response, error) {
	if err != nil {
		return nil, err
	}
	if !a.guard.early.Load() && response.StatusCode >= http.StatusOK {
		return response, nil
	}
	_ = response.Body.Close()
	return nil, &AnswerError{Status: response.StatusCode}
}

// AnswerError reports an answer that belongs to no request or has a status that no final answer has; a status of zero
// means that it was not read.
type AnswerError struct {
	Status int
}

// Error names the status.
func (e *AnswerError) Error() string {
	return "gateway: unexpected answer with status " + strconv.Itoa(e.Status)
}

// startStream prepares to stream a body that is not in memory; one that nothing has been read of can start again.
func (a *attempt) startStream() {
	if a.buffered {
		return
	}
	a.stream = &stallingBody{exchange: a.exchange, start: a.body, left: a.gateway.maxBody}
	a.guard.wake = a.stream.stop
	// An upstream may answer before it has read the whole body.
	_ = a.control.EnableFullDuplex()
}

func (a *attempt) finishStream() {
	if a.stream != nil {
		a.stream.finish()
	}
}

func (a *attempt) isTouched() bool {
	return a.stream != nil && a.stream.touched.Load()
}

func (a *attempt) end(e steering.AttemptOutcome) {
	a.isOver = true
	a.gateway.engine.Post(steering.AttemptEnded{
		Request: a.request, Outcome: e, BodyConsumed: a.stream != nil && (a.isTouched() || a.guard.sent.Load()),
	})
}

// release ends an attempt that a panic has interrupted, so that its slot is freed; the panic is not the upstream's
// fault.
func (a *attempt) release() {
	if !a.isOver {
		a.end(steering.Cancelled{})
	}
}

func (a *attempt) upstreamRequest() *http.Request {
	request := (&http.Request{
		Method: a.r.Method,
		URL: &url.URL{
			Scheme:     "http",
			Host:       a.dispatch.Address,
			Path:       a.plainPath,
			RawPath:    a.path,
			RawQuery:   a.r.URL.RawQuery,
			ForceQuery: a.r.URL.ForceQuery,
		},
		Host:       a.dispatch.Address,
		Header:     upstreamHeader(a.r.Header, a.secret),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
	}).WithContext(a.ctx)
	left := max(time.Until(a.dispatch.Deadline).Milliseconds(), 1)
	request.Header.Set(headerRequestTimeout, strconv.FormatInt(left, 10))
	a.setBody(request)
	return request
}

// setBody sets the body so that the transport never sends the request again on its own.
//
// net/http repeats a request with an Idempotency-Key header on a new connection if it can get the body again. An
// opaque body without GetBody prevents it; retries are the reducer's decision.
func (a *attempt) setBody(request *http.Request) {
	switch {
	case a.stream != nil:
		request.Body = a.stream
		request.ContentLength = a.r.ContentLength
	case len(a.body) > 0:
		request.Body = io.NopCloser(bytes.NewReader(a.body))
		request.ContentLength = int64(len(a.body))
	case a.dispatch.StoreAnswer:
		request.Body = io.NopCloser(bytes.NewReader(nil))
	}
}

// failure tells what is known of an attempt that ended with err.
func (a *attempt) failure(err error, forwarded bool) steering.AttemptOutcome {
	a.bodyFailed = a.stream != nil && a.stream.failed.Load()
	switch {
	case a.bodyFailed || isCallersFault(err) || a.isCallerGone():
		return steering.Cancelled{}
	case !a.guard.sent.Load():
		return steering.NothingSent{DispatchExpired: errors.As(err, new(*LateError))}
	case isTimeout(a.ctx, err):
		return steering.TimedOut{AnswerStarted: forwarded}
	default:
		return steering.Broken{AnswerStarted: forwarded}
	}
}

// isCallerGone reports whether the attempt has lost the caller that it depends on.
func (a *attempt) isCallerGone() bool {
	return !a.dispatch.StoreAnswer && a.r.Context().Err() != nil && (a.stream == nil || !a.stream.woken.Load())
}

// answer passes an upstream's answer on and reports whether the exchange has ended.
func (a *attempt) answer(response *http.Response) bool {
	head, whole, err := a.readHead(response)
	if err != nil {
		a.end(a.failure(err, false))
		return false
	}
	if whole {
		// The whole answer is here, so the upstream's slot is free before a slow caller reads it.
		a.end(steering.Answered{Answer: a.kept(response, head, false), Size: id.Bytes(len(head))})
		a.observe()
		a.finishStream()
		a.limitAnswer()
		a.forwardHead(response)
		_, _ = a.w.Write(head)
		return true
	}
	a.forwardStream(response, head)
	return true
}

// readHead reads the first part of the answer, as much as fits into the buffer, and reports whether it is whole.
func (a *attempt) readHead(response *http.Response) (head []byte, whole bool, err error) {
	limit := DefaultMaxBuffered
	if a.dispatch.StoreAnswer {
		limit = DefaultMaxKeptAnswer
	}
	if response.ContentLength > int64(limit) {
		return nil, false, nil
	}
	var buffer bytes.Buffer
	if response.ContentLength > 0 {
		buffer.Grow(int(response.ContentLength) + bytes.MinRead)
	}
	n, err := buffer.ReadFrom(io.LimitReader(response.Body, int64(limit)+1))
	if err != nil {
		return nil, false, err
	}
	return buffer.Bytes(), n <= int64(limit), nil
}

func (a *attempt) kept(response *http.Response, body []byte, truncated bool) claim.Answer {
	if !a.dispatch.StoreAnswer {
		return claim.Answer{}
	}
	header := response.Header.Clone()
	removeHopHeaders(header)
	return claim.Answer{Status: response.StatusCode, Header: header, Body: body, Truncated: truncated}
}

func (a *attempt) forwardHead(response *http.Response) {
	a.answering = true
	copyAnswerHeader(a.w.Header(), response.Header)
	a.w.WriteHeader(response.StatusCode)
}

// forwardStream forwards an answer that is larger than the buffer; if it breaks off, it closes the caller's connection.
func (a *attempt) forwardStream(response *http.Response, head []byte) {
	a.forwardHead(response)
	size, err := a.copyAnswer(response.Body, head)
	if err != nil {
		a.end(a.failure(err, true))
		a.abort()
	}
	a.end(steering.Answered{Answer: a.kept(response, nil, true), Size: size})
	a.observe()
}

// abort closes the caller's connection in the middle of an answer. Where only the end of the connection ends the answer,
// as with HTTP/1.0, it resets the connection, because a proper end would make the part look whole.
func (x *exchange) abort() {
	if x.r.ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := x.control.Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	if plain, ok := conn.(*net.TCPConn); ok {
		_ = plain.SetLinger(0)
	}
	_ = conn.Close()
	panic(http.ErrAbortHandler)
}

func (a *attempt) copyAnswer(body io.Reader, head []byte) (id.Bytes, error) {
	buffer := copyBuffers.Get().(*[32 << 10]byte)
	defer copyBuffers.Put(buffer)
	size := id.Bytes(len(head))
	if err := a.forward(head); err != nil {
		return size, err
	}
	for {
		n, err := body.Read(buffer[:])
		size += id.Bytes(n)
		if failed := a.forward(buffer[:n]); failed != nil {
			return size, failed
		}
		if err == io.EOF {
			return size, nil
		}
		if err != nil {
			return size, err
		}
	}
}

// forward writes a part of the answer; a caller that takes nothing for the stall timeout is given up.
func (a *attempt) forward(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	if err := a.meter(id.Bytes(len(part))); err != nil {
		return err
	}
	if a.dispatch.StoreAnswer && a.r.Context().Err() != nil {
		return nil
	}
	_ = a.control.SetWriteDeadline(time.Now().Add(a.gateway.stallTimeout))
	if _, err := a.w.Write(part); err != nil && !a.dispatch.StoreAnswer {
		return &CallerError{Cause: err}
	}
	return nil
}

// meter waits until the inter-region link has room for n more bytes.
func (a *attempt) meter(n id.Bytes) error {
	if !a.dispatch.Metered {
		return nil
	}
	a.moved += n
	for a.allowed < a.moved {
		a.gateway.engine.Post(steering.TransferRequested{Request: a.request, Size: max(meteredChunk, n)})
		select {
		case effect := <-a.effects:
			if allowed, ok := effect.(steering.GrantTransfer); ok {
				a.allowed += allowed.Size
			}
		case <-a.ctx.Done():
			return a.ctx.Err()
		}
	}
	return nil
}

func (a *attempt) observe() {
	a.gateway.latency.observe(a.service, a.dispatch.Organisation, time.Since(a.started))
}
