package gateway

import (
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"bluebellhold/id"
	"bluebellhold/internal/answer"
	"bluebellhold/internal/drain"
	"bluebellhold/internal/memory"
	"bluebellhold/internal/steering"
)

// maxEffectsPerRequest is the maximum number of effects of a request that wait for delivery.
const maxEffectsPerRequest = 4

// exchange is one caller's request and its response.
type exchange struct {
	gateway    *Gateway
	w          http.ResponseWriter
	r          *http.Request
	controller *http.ResponseController
	requestID  id.Request
	service    id.Service
	// escapedPath is percent-encoded as the caller sent it; decodedPath is decoded.
	escapedPath string
	decodedPath string
	secret      string
	deadline    time.Time
	startedAt   time.Time
	// body is the part of the request body that was read in advance: all of it if bodyBuffered is set, else a prefix.
	body         memory.Buffer
	bodyBuffered bool
	// response is the part of the response that is in memory.
	response memory.Buffer
	// memoryShort is set if there was no memory for the body.
	memoryShort bool
	// bodyAtEOF is set once the body has been read to its end.
	bodyAtEOF bool
	// bodyFailed is set if an attempt failed because of the caller's body.
	bodyFailed bool
	// responseStarted is set once a part of the response may have been written.
	responseStarted bool
	effects         chan steering.RequestEffect
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	x := g.newExchange(w, r)
	defer x.recoverPanic()
	defer x.drainBody()
	defer x.releaseMemory()
	refusal := x.prepare()
	if refusal != nil {
		x.refuse(*refusal)
		return
	}
	g.engine.Watch(x.requestID, x.effects)
	defer g.engine.Unwatch(x.requestID)
	g.engine.Post(x.arrival())
	x.run()
}

func (g *Gateway) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	now := time.Now()
	return &exchange{
		gateway:     g,
		w:           w,
		r:           r,
		controller:  http.NewResponseController(w),
		requestID:   id.Request(g.lastRequestID.Add(1)),
		service:     id.Service(mux.Vars(r)["service"]),
		escapedPath: servicePath(r.URL),
		secret:      bearerSecret(r.Header),
		deadline:    now.Add(requestTimeout(r.Header)),
		startedAt:   now,
		effects:     make(chan steering.RequestEffect, maxEffectsPerRequest),
		body:        g.memory.NewBuffer(),
		response:    g.memory.NewBuffer(),
	}
}

// releaseMemory ends the counting of the request's body and response.
func (x *exchange) releaseMemory() {
	x.body.Release()
	x.response.Release()
}

// requestTimeout returns the caller's timeout, which the header gives in milliseconds.
func requestTimeout(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(headerRequestTimeout), 10, 64)
	if err != nil || ms <= 0 {
		return defaultRequestTimeout
	}
	return time.Duration(min(ms, maxRequestTimeout.Milliseconds())) * time.Millisecond
}

// prepare checks the method, URL and Content-Length and reads a small body before the reducer gets the request, so that
// a slow caller occupies neither a token of the rate limit nor an upstream slot meanwhile.
func (x *exchange) prepare() *steering.Refusal {
	badRequest := &steering.Refusal{Code: steering.CodeInvalidBody, Outcome: steering.NotRun}
	if x.r.Method == http.MethodConnect {
		return &steering.Refusal{Code: steering.CodeNoRoute, Outcome: steering.NotRun}
	}
	decoded, ok := decodePath(x.escapedPath)
	if !ok || id.Bytes(x.r.ContentLength) > x.gateway.maxBody {
		return badRequest
	}
	x.decodedPath = decoded
	if containsSecret(x.escapedPath, x.secret) || containsSecret(x.r.URL.RawQuery, x.secret) {
		// A secret in the URL would be forwarded to the upstream and its logs.
		return &steering.Refusal{Code: steering.CodeInvalidKey, Outcome: steering.NotRun}
	}
	if id.Bytes(x.r.ContentLength) > MaxBufferedBody {
		return nil
	}
	if !x.readBody(min(MaxBufferedBody, x.gateway.maxBody)) {
		return badRequest
	}
	return nil
}

// readBody reads the body into memory up to the limit and reports whether the read succeeded. A body within the limit
// is fully buffered afterwards; of a larger one only a prefix is in memory. It fails if there is no memory.
func (x *exchange) readBody(limit id.Bytes) bool {
	if x.bodyBuffered {
		return true
	}
	if x.r.ContentLength == 0 {
		x.bodyBuffered, x.bodyAtEOF = true, true
		return true
	}
	if id.Bytes(x.r.ContentLength) > limit {
		return true
	}
	// One byte more than the limit tells a body that is larger.
	_, err := x.body.Fill(x.r.Context(), (*stallTimeoutReader)(x), id.Bytes(x.r.ContentLength), limit+1, memory.Requester{})
	if err != nil {
		x.memoryShort = errors.As(err, new(*memory.ShortError)) || errors.As(err, new(*drain.EvictedError))
		return false
	}
	x.bodyBuffered = id.Bytes(len(x.body.Bytes())) <= limit
	x.bodyAtEOF = x.bodyBuffered
	_ = x.controller.SetReadDeadline(time.Time{})
	return true
}

// stallTimeoutReader reads the body of an exchange before its dispatch.
type stallTimeoutReader exchange

// Read reads from the body with the stall timeout, but at most until the request's deadline.
func (x *stallTimeoutReader) Read(p []byte) (int, error) {
	_ = x.controller.SetReadDeadline(earlier(x.deadline, time.Now().Add(x.gateway.stallTimeout)))
	return x.r.Body.Read(p)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (x *exchange) arrival() steering.RequestArrived {
	e := steering.RequestArrived{
		Request:        x.requestID,
		Service:        x.service,
		Method:         x.r.Method,
		Path:           x.decodedPath,
		Query:          x.r.URL.RawQuery,
		IdempotencyKey: x.r.Header.Get(headerIdempotencyKey),
		Size:           max(id.Bytes(x.r.ContentLength), id.Bytes(len(x.body.Bytes()))),
		Deadline:       x.deadline,
		PeerRetry:      x.r.Header.Get(headerAttempt) != "",
	}
	if x.bodyBuffered && len(x.body.Bytes()) > 0 {
		e.ContentDigest = id.DigestOf(x.body.Bytes())
	}
	if x.secret != "" {
		e.HasKey = true
		e.KeyDigest = secretDigest(x.secret)
	}
	return e
}

// run executes the effects of the request until one of them ends it.
func (x *exchange) run() {
	callerDone := x.r.Context().Done()
	for {
		select {
		case effect := <-x.effects:
			if x.handleEffect(effect) {
				return
			}
		case <-callerDone:
			callerDone = nil
			x.gateway.engine.Post(steering.CallerDisconnected{Request: x.requestID})
		}
	}
}

// handleEffect executes an effect and reports whether the request has ended.
func (x *exchange) handleEffect(effect steering.RequestEffect) bool {
	switch e := effect.(type) {
	case steering.ReadBody:
		x.readClaimedBody()
	case steering.Dispatch:
		return x.dispatch(e)
	case steering.Refuse:
		x.refuse(e.Refusal)
		return true
	case steering.Replay:
		x.replay(e)
		return true
	case steering.GrantTransfer:
		// The response that requested the transfer has already ended.
	}
	return false
}

// refuse responds with a refusal. It replaces the code if an attempt failed because of the caller's body, or if there was no
// memory for the body, which the reducer cannot tell from other cancellations and bodies.
func (x *exchange) refuse(r steering.Refusal) {
	switch {
	case x.bodyFailed:
		r.Code, r.RetryAt = steering.CodeInvalidBody, time.Time{}
	case x.memoryShort && r.Outcome == steering.NotRun:
		size := max(id.Bytes(x.r.ContentLength), id.Bytes(len(x.body.Bytes())))
		r.Code, r.RetryAt = steering.CodeQueueFull, x.gateway.memory.ReturnAt(size)
	}
	x.responseStarted = true
	x.setResponseDeadline()
	writeRefusal(x.w, r, time.Now())
}

// setResponseDeadline limits the time for writing a response to the caller. It adds bodyDrainTimeout because the server
// may flush the response only after drainBody has returned.
func (x *exchange) setResponseDeadline() {
	_ = x.controller.SetWriteDeadline(time.Now().Add(bodyDrainTimeout + x.gateway.stallTimeout))
}

// drainBody closes a body that the response did not need. Close reads a short rest of it, so that the connection can be
// reused. The read deadline is needed because the server would wait for the rest without a limit.
func (x *exchange) drainBody() {
	if x.bodyAtEOF || x.r.ContentLength == 0 {
		return
	}
	_ = x.controller.SetReadDeadline(time.Now().Add(bodyDrainTimeout))
	_ = x.r.Body.Close()
}

// recoverPanic ends only the request that panicked. If a part of the response may have been sent, it closes the caller's
// connection, because anything written afterwards would look like the rest of the response.
func (x *exchange) recoverPanic() {
	recovered := recover()
	if recovered == nil {
		return
	}
	if recovered == http.ErrAbortHandler { //nolint:errorlint // net/http compares by identity
		panic(recovered)
	}
	x.gateway.log.Error("request failed with a panic", "panic", recovered)
	x.gateway.engine.Post(steering.CallerDisconnected{Request: x.requestID})
	if x.responseStarted {
		x.abortResponse()
	}
	x.refuse(steering.Refusal{Code: steering.CodeOutcomeUnknown, Outcome: steering.OutcomeUnknown})
}

func (x *exchange) readClaimedBody() {
	if !x.readBody(x.gateway.maxClaimedBody) || !x.bodyBuffered {
		x.gateway.engine.Post(steering.BodyFailed{Request: x.requestID})
		return
	}
	x.gateway.engine.Post(steering.BodyRead{Request: x.requestID, Digest: x.requestDigest()})
}

// requestDigest returns the digest of the method, the path, the query and the body. The parts before the body are each
// terminated by a newline, which cannot occur in them.
func (x *exchange) requestDigest() id.Digest {
	h := sha256.New()
	// Writing to a hash never fails.
	_, _ = io.WriteString(h, x.r.Method+"\n"+x.escapedPath+"\n"+x.r.URL.RawQuery+"\n")
	_, _ = h.Write(x.body.Bytes())
	return id.Digest(h.Sum(nil))
}

func (x *exchange) replay(e steering.Replay) {
	if e.Response.Truncated || !answer.IsFinalStatus(e.Response.Status) {
		x.refuse(steering.Refusal{Code: steering.CodeResponseNotStored, Outcome: steering.Ran})
		return
	}
	x.responseStarted = true
	x.setResponseDeadline()
	copyResponseHeader(x.w.Header(), e.Response.Header)
	x.w.WriteHeader(e.Response.Status)
	_, _ = x.w.Write(e.Response.Body)
}
