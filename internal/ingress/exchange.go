package ingress

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"strconv"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/internal/memory"
)

const (
	// effectBufferSize exceeds the number of effects that can be pending for one request, so that sending one never
	// blocks.
	effectBufferSize = 4
	// writeTimeout bounds the time that a caller takes to read its response.
	writeTimeout = 30 * time.Second
)

// exchange is a caller's request with its response.
type exchange struct {
	*Instance
	w             http.ResponseWriter
	r             *http.Request
	requestID     id.Request
	callerHeaders CallerHeaders
	body          *memory.Payload
	// isReadCutShort is set if a stop gave up bodies while this one was read: net/http may then take the caller for gone.
	isReadCutShort bool
	startedAt      time.Time
	effects        chan entry.RequestEffect
	// abortAttempt interrupts the current attempt. It and cancelled are guarded by Instance.mu.
	abortAttempt func()
	cancelled    bool
	// interruption says why the current attempt was broken off; it is guarded by Instance.mu.
	interruption interruption
	response     *upstreamResponse
	// dispatch is the last attempt; it is written under Instance.mu.
	dispatch entry.Dispatch
	// isFar is set if connections to the current attempt's upstream are opened ahead. keepAlive is how long its connection
	// may stay idle after the attempt; zero means that it was closed.
	isFar     bool
	keepAlive time.Duration
	// reserved is what is left of the memory reserved for the current attempt's response. isMemoryShort is set if there was
	// none for an attempt.
	reserved      id.Bytes
	isMemoryShort bool
	// attemptErr is the cause of the last attempt's failure, for the log.
	attemptErr error
}

// serve handles one request of a caller.
func (i *Instance) serve(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		Instance: i, w: w, r: r, requestID: id.Request(i.lastRequestID.Add(1)),
		callerHeaders: i.config.HeaderCodec.ParseCallerHeaders(r.Header), startedAt: time.Now(),
		effects: make(chan entry.RequestEffect, effectBufferSize),
	}
	if len(r.TransferEncoding) > 0 {
		// A chunked body may be accompanied by a Content-Length. The bytes after such a request could be smuggled, so
		// the connection is not reused.
		w.Header().Set("Connection", "close")
	}
	defer x.releaseMemory()
	if !x.checkHeaderSize() || !x.readBody() {
		return
	}
	x.register()
	defer x.unregister()
	if !x.isReadCutShort {
		stopWatching := context.AfterFunc(r.Context(), func() { i.Post(entry.CallerDisconnected{Request: x.requestID}) })
		defer stopWatching()
	}
	arrival := x.arrivalEvent()
	arrival.Digest = x.digest()
	i.Post(arrival)
	for effect := range x.effects {
		if x.executeEffect(effect) {
			return
		}
	}
}

// checkHeaderSize refuses a request whose header exceeds the operator's limit and reports whether it may proceed.
func (x *exchange) checkHeaderSize() bool {
	x.mu.Lock()
	limit := int(x.state.CallerLimits().MaxHeaderBytes)
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
	x.refuse(entry.Refusal{Code: entry.CodeHeaderTooLarge})
	return false
}

// headerLineOverhead counts the colon, the space and the CRLF of a header line in bytes.
const headerLineOverhead = 4

// readBody buffers the whole body, so that a slow caller never occupies a slot of an upstream. It refuses the request
// and returns false if the body is invalid or exceeds a limit.
func (x *exchange) readBody() bool {
	if x.r.ContentLength == 0 {
		return true
	}
	x.mu.Lock()
	limit := x.state.CallerLimits().MaxBodyBytes
	priority, isKnown := x.state.PriorityOf(x.arrivalEvent())
	x.mu.Unlock()
	return x.readCountedBody(limit, memory.Requester{Priority: priority, IsKnown: isKnown})
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

// cancel aborts the current attempt. The caller holds Instance.mu.
func (x *exchange) cancel() {
	x.cancelled = true
	if x.abortAttempt != nil {
		x.abortAttempt()
	}
}

// interruption is why an attempt was broken off.
type interruption int

const (
	notInterrupted interruption = iota
	// interruptedUnreached means that the instance reaches no upstream.
	interruptedUnreached
	// interruptedSlow means that the request is sent to another upstream instead.
	interruptedSlow
	// interruptedStopped means that the instance stops.
	interruptedStopped
)

// interrupt breaks off the current attempt. One that has no connection yet is broken off when it has one if the instance
// stops, and not at all for the other reasons, which are decided anew. The caller holds Instance.mu.
func (x *exchange) interrupt(reason interruption) {
	if x.abortAttempt == nil && reason != interruptedStopped {
		return
	}
	x.interruption = reason
	if x.abortAttempt != nil {
		x.abortAttempt()
	}
}

// takeInterruption returns why the current attempt was broken off, and forgets it.
func (x *exchange) takeInterruption() interruption {
	x.mu.Lock()
	defer x.mu.Unlock()
	reason := x.interruption
	x.interruption = notInterrupted
	return reason
}

// setAbort sets the function that aborts the current attempt, and calls it if the exchange is already cancelled.
func (x *exchange) setAbort(abort func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.abortAttempt = abort
	if abort != nil && (x.cancelled || x.interruption == interruptedStopped) {
		abort()
	}
}

func (x *exchange) setDispatch(d entry.Dispatch) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.dispatch = d
}

func (x *exchange) isCancelled() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.cancelled
}

func (x *exchange) arrivalEvent() entry.RequestArrived {
	return entry.RequestArrived{
		Request: x.requestID, Host: normaliseHost(x.r.Host), Path: requestPath(x.r.RequestURI),
		Object: x.callerHeaders.Object, KeyDigest: x.callerHeaders.KeyDigest, HasKey: x.callerHeaders.HasKey,
		CallerTimeout: x.callerHeaders.Timeout, BodySize: id.Bytes(x.body.Len()),
	}
}

// maxDigestHead is the size of what precedes the body in a digest that needs no allocation.
const maxDigestHead = 512

// digest returns the digest of the method, target, key and body, which is the same for a caller's retry.
func (x *exchange) digest() id.Digest {
	h := sha256.New()
	var head [maxDigestHead]byte
	b := append(append(append(append(head[:0], x.r.Method...), '\n'), x.r.RequestURI...), '\n')
	b = append(b, x.callerHeaders.KeyDigest[:]...)
	// Writing to a hash never fails.
	_, _ = h.Write(b)
	_, _ = x.body.WriteTo(h)
	return id.Digest(h.Sum(b[:0]))
}

// executeEffect executes an effect and reports whether the exchange has ended.
func (x *exchange) executeEffect(effect entry.RequestEffect) bool {
	switch e := effect.(type) {
	case entry.Dispatch:
		x.setDispatch(e)
		// An interruption may have come after the end of the last attempt.
		x.takeInterruption()
		outcome := x.attemptWithin(e)
		x.requestLog.logAttempt(x, e, outcome)
		x.Post(entry.AttemptEnded{Request: x.requestID, Outcome: outcome})
	case entry.Deliver:
		x.forwardResponse()
		return true
	case entry.Refuse:
		x.refuse(x.memoryRefusal(e.Refusal))
		return true
	}
	return false
}

// forwardResponse sends the upstream's response to the caller.
func (x *exchange) forwardResponse() {
	response := x.response
	header := x.w.Header()
	for name, values := range response.header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// A nil value keeps net/http from sniffing the type.
		header["Content-Type"] = nil
	}
	if x.r.Method != http.MethodHead && response.status != http.StatusNoContent &&
		response.status != http.StatusNotModified {
		header["Content-Length"] = []string{strconv.Itoa(response.body.Len())}
	}
	x.callerMetrics.recordResponse(time.Since(x.startedAt), response.status)
	x.body.Release()
	x.setResponseDeadline(response.body.Len())
	x.closeIfStopping()
	x.w.WriteHeader(response.status)
	_, err := response.body.WriteTo(x.w)
	x.finishResponse(err)
}

// finishResponse sends what net/http has buffered of the response, so that a connection which has been closed meanwhile
// is noticed. The error is that of writing the response.
func (x *exchange) finishResponse(err error) {
	if err == nil {
		err = http.NewResponseController(x.w).Flush()
	}
	if err != nil {
		x.requestLog.logWriteError(x, err)
	}
}

// closeIfStopping makes the response the last one on its connection if the instance stops, also if the request arrived
// before.
func (x *exchange) closeIfStopping() {
	if x.isStopping.Load() {
		x.w.Header().Set("Connection", "close")
	}
}

// setResponseDeadline bounds the time to write the response, so that a caller that does not read it cannot occupy the
// exchange indefinitely.
func (x *exchange) setResponseDeadline(size int) {
	deadline := time.Now().Add(responseWriteTimeout(size))
	if err := http.NewResponseController(x.w).SetWriteDeadline(deadline); err != nil {
		x.log.Debug("callers: setting the write deadline failed", "error", err)
	}
}

// refuse sends a refusal to the caller.
func (x *exchange) refuse(r entry.Refusal) {
	status := refusalStatus(r)
	x.requestLog.logRefusal(x, r, status)
	x.callerMetrics.recordRefusal(r.Code)
	header := x.w.Header()
	if !r.RetryAt.IsZero() && !r.MayHaveRun {
		seconds := max(time.Until(r.RetryAt).Seconds(), 0)
		header["Retry-After"] = []string{strconv.FormatFloat(seconds, 'f', 3, 64)}
	}
	body := refusalBody(r.Code)
	header["Content-Type"] = []string{"application/json"}
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	x.setResponseDeadline(0)
	x.closeIfStopping()
	x.w.WriteHeader(status)
	_, err := io.WriteString(x.w, body)
	x.finishResponse(err)
}

func refusalBody(c entry.Code) string { return `{"code":"` + string(c) + `"}` }

// refusalStatus returns the HTTP status of a refusal. Callers may take only 429 and 503 as a guarantee that the request
// did not run.
func refusalStatus(r entry.Refusal) int {
	switch r.Code {
	case entry.CodeNoRoute:
		return http.StatusNotFound
	case entry.CodeInvalidKey:
		return http.StatusUnauthorized
	case entry.CodeRateLimited:
		return http.StatusTooManyRequests
	case entry.CodeHeaderTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case entry.CodeInvalidBody:
		if r.MayHaveRun {
			return http.StatusBadRequest
		}
		return http.StatusRequestEntityTooLarge
	}
	switch {
	case !r.MayHaveRun:
		return http.StatusServiceUnavailable
	case r.Code == entry.CodeDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
