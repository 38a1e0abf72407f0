package ingress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
)

const (
	// bodiesPart is the part of the process's memory that callers' bodies may fill.
	bodyMemoryDivisor = 4
	// effectsKept is more than the effects that can be under way for one request.
	effectBufferSize = 4
	// writeTimeout bounds the time for a caller to take its answer.
	writeTimeout = 30 * time.Second
)

// exchange is one caller's request and its answer.
type exchange struct {
	*Instance
	w             http.ResponseWriter
	r             *http.Request
	requestID     id.Request
	callerHeaders CallerHeaders
	body          []byte
	startedAt     time.Time
	effects       chan entry.RequestEffect
	// stop ends the running attempt; it is guarded by the instance's mutex.
	abortAttempt func()
	cancelled    bool
	response     *upstreamResponse
	dispatch     entry.Dispatch
	// failed is why the last attempt failed, for the log.
	attemptErr error
}

// serve takes one request of a caller.
func (i *Instance) serve(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		Instance: i, w: w, r: r, requestID: id.Request(i.lastRequestID.Add(1)),
		callerHeaders: i.config.HeaderCodec.ParseCallerHeaders(r.Header),
		startedAt:     time.Now(), effects: make(chan entry.RequestEffect, effectBufferSize),
	}
	if i.isStopping.Load() || len(r.TransferEncoding) > 0 {
		// A chunked body may have come with a length as well, and what follows such a request can't be trusted.
		w.Header().Set("Connection", "close")
	}
	if !x.checkHeaderSize() || !x.readBody() {
		return
	}
	defer i.bodyBytes.Add(-int64(len(x.body)))
	x.register()
	defer x.unregister()
	stopWatching := context.AfterFunc(r.Context(), func() { i.Post(entry.CallerGone{Request: x.requestID}) })
	defer stopWatching()
	i.Post(x.arrivalEvent())
	for effect := range x.effects {
		if x.handleEffect(effect) {
			return
		}
	}
}

// checkHeader refuses a header that is larger than the operator allows.
func (x *exchange) checkHeaderSize() bool {
	x.mu.Lock()
	limit := int(x.state.Limits().Header)
	x.mu.Unlock()
	size := len(x.r.Method) + len(x.r.RequestURI) + len(x.r.Host)
	for name, values := range x.r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerLineOverhead
		}
	}
	if limit <= 0 || size <= limit {
		return true
	}
	x.refuse(entry.Refusal{Code: entry.CodeHeader})
	return false
}

// headerOverhead is the colon, the space and the end of a header's line.
const headerLineOverhead = 4

// readBody reads the whole body, since an upstream must never wait for a slow caller.
func (x *exchange) readBody() bool {
	if x.r.ContentLength == 0 {
		return true
	}
	x.mu.Lock()
	limit := int64(x.state.Limits().Body)
	x.mu.Unlock()
	available := int64(x.config.MemoryLimit)/bodyMemoryDivisor - x.bodyBytes.Load()
	if limit > 0 && x.r.ContentLength > limit {
		x.refuse(entry.Refusal{Code: entry.CodeBody})
		return false
	}
	if x.r.ContentLength > available {
		x.refuse(entry.Refusal{Code: entry.CodeBusy, After: time.Now().Add(time.Second)})
		return false
	}
	if limit <= 0 || limit > available {
		limit = available
	}
	var body bytes.Buffer
	if x.r.ContentLength > 0 {
		body.Grow(int(x.r.ContentLength) + bytes.MinRead)
	}
	n, err := body.ReadFrom(io.LimitReader(x.r.Body, limit+1))
	if err != nil {
		x.w.Header().Set("Connection", "close")
		x.refuse(entry.Refusal{Code: entry.CodeBody, Ran: true})
		return false
	}
	if n > limit {
		x.refuse(entry.Refusal{Code: entry.CodeBody})
		return false
	}
	x.body = body.Bytes()
	x.bodyBytes.Add(n)
	return true
}

func (x *exchange) register() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.exchanges[x.requestID] = x
}

func (x *exchange) unregister() {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.exchanges, x.requestID)
}

// cancel ends the running attempt; it is called with the instance's mutex held.
func (x *exchange) cancel() {
	x.cancelled = true
	if x.abortAttempt != nil {
		x.abortAttempt()
	}
}

// setStop sets what ends the running attempt, and calls it at once if the attempt has been cancelled already.
func (x *exchange) setAbort(abort func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abortAttempt = abort
	if x.cancelled && abort != nil {
		abort()
	}
}

func (x *exchange) isCancelled() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cancelled
}

func (x *exchange) arrivalEvent() entry.RequestArrived {
	return entry.RequestArrived{
		Request: x.requestID, Host: normaliseHost(x.r.Host), Path: requestPath(x.r.RequestURI),
		Object: x.callerHeaders.Object,
		Secret: x.callerHeaders.KeyDigest, HasSecret: x.callerHeaders.HasKey, Patience: x.callerHeaders.Timeout,
		Digest: x.digest(),
	}
}

// digest identifies the request beyond this attempt: by method, target, key and body.
func (x *exchange) digest() id.Digest {
	var b bytes.Buffer
	b.Grow(len(x.r.Method) + len(x.r.RequestURI) + len(x.callerHeaders.KeyDigest) + len(x.body) + 2)
	b.WriteString(x.r.Method + "\n" + x.r.RequestURI + "\n")
	b.Write(x.callerHeaders.KeyDigest[:])
	b.Write(x.body)
	return id.DigestOf(b.Bytes())
}

// carryOut does what the effect says and reports whether the exchange has ended.
func (x *exchange) handleEffect(effect entry.RequestEffect) bool {
	switch e := effect.(type) {
	case entry.Dispatch:
		x.dispatch = e
		outcome := x.attempt(e)
		x.journal.logAttempt(x, e, outcome)
		x.Post(entry.AttemptEnded{Request: x.requestID, Ending: outcome})
	case entry.Deliver:
		x.forwardResponse()
		return true
	case entry.Refuse:
		x.refuse(e.Refusal)
		return true
	}
	return false
}

// deliver passes the upstream's answer on.
func (x *exchange) forwardResponse() {
	response := x.response
	header := x.w.Header()
	for name, values := range response.header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// Keeps net/http from guessing a type.
		header["Content-Type"] = nil
	}
	if x.r.Method != http.MethodHead && response.status != http.StatusNoContent &&
		response.status != http.StatusNotModified {
		header["Content-Length"] = []string{strconv.Itoa(len(response.body))}
	}
	x.callerMetrics.recordResponse(time.Since(x.startedAt), response.status)
	x.setResponseDeadline()
	x.w.WriteHeader(response.status)
	if _, err := x.w.Write(response.body); err != nil {
		x.journal.logWriteError(x, err)
	}
}

// limitWrite keeps a caller that reads nothing from holding the exchange for ever.
func (x *exchange) setResponseDeadline() {
	if err := http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		x.log.Debug("callers: no write deadline", "error", err)
	}
}

// reply answers with a refusal.
func (x *exchange) refuse(r entry.Refusal) {
	status := refusalStatus(r)
	x.journal.logRefusal(x, r, status)
	x.callerMetrics.recordRefusal(r.Code)
	header := x.w.Header()
	if !r.After.IsZero() && !r.Ran {
		seconds := max(time.Until(r.After).Seconds(), 0)
		header["Retry-After"] = []string{strconv.FormatFloat(seconds, 'f', 3, 64)}
	}
	header["Content-Type"] = []string{"application/json"}
	x.setResponseDeadline()
	x.w.WriteHeader(status)
	if _, err := io.WriteString(x.w, `{"code":"`+string(r.Code)+`"}`); err != nil {
		x.journal.logWriteError(x, err)
	}
}

// refusalStatus maps a refusal to its status. Only 429 and 503 promise that the request has not run.
func refusalStatus(r entry.Refusal) int {
	switch r.Code {
	case entry.CodeRoute:
		return http.StatusNotFound
	case entry.CodeKey:
		return http.StatusUnauthorized
	case entry.CodeRate:
		return http.StatusTooManyRequests
	case entry.CodeHeader:
		return http.StatusRequestHeaderFieldsTooLarge
	case entry.CodeBody:
		if r.Ran {
			return http.StatusBadRequest
		}
		return http.StatusRequestEntityTooLarge
	}
	switch {
	case !r.Ran:
		return http.StatusServiceUnavailable
	case r.Code == entry.CodeTimeout:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
