package gateway

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"bluebellhold/id"
	"bluebellhold/internal/steering"
)

// effectsPerRequest is the most effects that a request can have outstanding at one time.
const effectsPerRequest = 4

// exchange is one caller's request with its way to the answer.
type exchange struct {
	gateway *Gateway
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	request id.Request
	service id.Service
	// path is percent-encoded as the caller sent it; plainPath is decoded.
	path      string
	plainPath string
	secret    string
	deadline  time.Time
	started   time.Time
	// body is what was read of the body in advance: all of it if buffered is set, else its first part.
	body     []byte
	buffered bool
	// ended is set once the body has been read to its end.
	ended bool
	// bodyFailed is set if an attempt ended because of the caller's body.
	bodyFailed bool
	// answering is set once a part of the answer may have been written.
	answering bool
	effects   chan steering.RequestEffect
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	x := g.newExchange(w, r)
	defer x.recoverPanic()
	defer x.closeBody()
	refusal := x.prepare()
	if refusal != nil {
		x.refuse(*refusal)
		return
	}
	g.engine.Watch(x.request, x.effects)
	defer g.engine.Unwatch(x.request)
	g.engine.Post(x.arrival())
	x.run()
}

func (g *Gateway) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	now := time.Now()
	return &exchange{
		gateway:  g,
		w:        w,
		r:        r,
		control:  http.NewResponseController(w),
		request:  id.Request(g.requests.Add(1)),
		service:  id.Service(mux.Vars(r)["service"]),
		path:     servicePath(r.URL),
		secret:   bearerSecret(r.Header),
		deadline: now.Add(requestTimeout(r.Header)),
		started:  now,
		effects:  make(chan steering.RequestEffect, effectsPerRequest),
	}
}

// requestTimeout returns the time that the caller gives the request, in milliseconds in the header.
func requestTimeout(h http.Header) time.Duration {
	ms, err := strconv.ParseInt(h.Get(headerRequestTimeout), 10, 64)
	if err != nil || ms <= 0 {
		return defaultSmallTimeout
	}
	return time.Duration(min(ms, maximumTimeout.Milliseconds())) * time.Millisecond
}

// prepare checks the head and reads a small body, so that a slow caller holds no share and no slot meanwhile.
func (x *exchange) prepare() *steering.Refusal {
	broken := &steering.Refusal{Code: steering.CodeInvalidBody, Outcome: steering.NotRun}
	if x.r.Method == http.MethodConnect {
		return &steering.Refusal{Code: steering.CodeNoRoute, Outcome: steering.NotRun}
	}
	plain, ok := plainPath(x.path)
	if !ok || id.Bytes(x.r.ContentLength) > x.gateway.maxBody {
		return broken
	}
	x.plainPath = plain
	if containsSecret(x.path, x.secret) || containsSecret(x.r.URL.RawQuery, x.secret) {
		// A key in the address would reach the upstream and its logs.
		return &steering.Refusal{Code: steering.CodeInvalidKey, Outcome: steering.NotRun}
	}
	if id.Bytes(x.r.ContentLength) > DefaultMaxBuffered {
		return nil
	}
	if !x.readBody(min(DefaultMaxBuffered, x.gateway.maxBody)) {
		return broken
	}
	return nil
}

// readBody reads the body into memory up to the limit and reports whether that worked; a body within the limit is
// buffered afterwards, and of a larger one the first part is in memory.
func (x *exchange) readBody(limit id.Bytes) bool {
	if x.buffered {
		return true
	}
	if x.r.ContentLength == 0 {
		x.buffered, x.ended = true, true
		return true
	}
	body := bytes.NewBuffer(x.body)
	_, err := body.ReadFrom(io.LimitReader((*patientReader)(x), int64(limit)+1-int64(len(x.body))))
	if err != nil {
		return false
	}
	x.body = body.Bytes()
	x.buffered = id.Bytes(len(x.body)) <= limit
	x.ended = x.buffered
	_ = x.control.SetReadDeadline(time.Time{})
	return true
}

// patientReader reads the body of an exchange before it is dispatched.
type patientReader exchange

// Read waits for the caller up to the stall timeout and within the request's deadline.
func (x *patientReader) Read(p []byte) (int, error) {
	_ = x.control.SetReadDeadline(earlier(x.deadline, time.Now().Add(x.gateway.stallTimeout)))
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
		Request:        x.request,
		Service:        x.service,
		Method:         x.r.Method,
		Path:           x.plainPath,
		Query:          x.r.URL.RawQuery,
		IdempotencyKey: x.r.Header.Get(headerIdempotencyKey),
		Size:           max(id.Bytes(x.r.ContentLength), id.Bytes(len(x.body))),
		Deadline:       x.deadline,
		PeerRetry:      x.r.Header.Get(headerAttempt) != "",
	}
	if x.buffered && len(x.body) > 0 {
		e.ContentDigest = id.DigestOf(x.body)
	}
	if x.secret != "" {
		e.HasKey = true
		e.KeyDigest = secretDigest(x.secret)
	}
	return e
}

// run carries out the effects of the request until one of them ends it.
func (x *exchange) run() {
	gone := x.r.Context().Done()
	for {
		select {
		case effect := <-x.effects:
			if x.carryOut(effect) {
				return
			}
		case <-gone:
			gone = nil
			x.gateway.engine.Post(steering.CallerDisconnected{Request: x.request})
		}
	}
}

// carryOut does what the effect says and reports whether the request has ended.
func (x *exchange) carryOut(effect steering.RequestEffect) bool {
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
		// The stream that asked for the data has ended meanwhile.
	}
	return false
}

// refuse answers with a refusal; the reducer does not know that an attempt ended because of the caller's body.
func (x *exchange) refuse(r steering.Refusal) {
	if x.bodyFailed {
		r.Code, r.RetryAt = steering.CodeInvalidBody, time.Time{}
	}
	x.answering = true
	x.limitAnswer()
	writeRefusal(x.w, r, time.Now())
}

// limitAnswer limits how long an answer may take on its way to the caller.
func (x *exchange) limitAnswer() {
	_ = x.control.SetWriteDeadline(time.Now().Add(drainTimeout + x.gateway.stallTimeout))
}

// closeBody reads a short rest of a body that the answer did not need, so that the connection can be used again, and
// limits the time for it; the server would wait for the rest without a limit.
func (x *exchange) closeBody() {
	if x.ended || x.r.ContentLength == 0 {
		return
	}
	_ = x.control.SetReadDeadline(time.Now().Add(drainTimeout))
	_ = x.r.Body.Close()
}

// recoverPanic ends only the request that failed; a caller that has a part of its answer loses its connection,
// because anything written after that part would look like the rest of it.
func (x *exchange) recoverPanic() {
	failure := recover()
	if failure == nil {
		return
	}
	if failure == http.ErrAbortHandler { //nolint:errorlint // net/http compares by identity
		panic(failure)
	}
	x.gateway.log.Error("request failed with a panic", "panic", failure)
	x.gateway.engine.Post(steering.CallerDisconnected{Request: x.request})
	if x.answering {
		x.abort()
	}
	x.refuse(steering.Refusal{Code: steering.CodeOutcomeUnknown, Outcome: steering.OutcomeUnknown})
}

func (x *exchange) readClaimedBody() {
	if !x.readBody(x.gateway.maxClaimed) || !x.buffered {
		x.gateway.engine.Post(steering.BodyFailed{Request: x.request})
		return
	}
	x.gateway.engine.Post(steering.BodyRead{Request: x.request, Digest: x.requestDigest()})
}

// requestDigest covers the method, the path, the query and the body, each ended by a byte that cannot occur in the
// parts before the body.
func (x *exchange) requestDigest() id.Digest {
	var all bytes.Buffer
	all.WriteString(x.r.Method + "\n" + x.path + "\n" + x.r.URL.RawQuery + "\n")
	all.Write(x.body)
	return id.DigestOf(all.Bytes())
}

func (x *exchange) replay(e steering.Replay) {
	if e.Answer.Truncated {
		x.refuse(steering.Refusal{Code: steering.CodeAnswerNotStored, Outcome: steering.Ran})
		return
	}
	x.answering = true
	x.limitAnswer()
	copyAnswerHeader(x.w.Header(), e.Answer.Header)
	x.w.WriteHeader(e.Answer.Status)
	_, _ = x.w.Write(e.Answer.Body)
}
