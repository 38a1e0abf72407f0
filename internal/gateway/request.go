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
	// body is the whole body if it was read in advance.
	body     []byte
	buffered bool
	consumed bool
	effects  chan steering.RequestEffect
}

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	x := g.newExchange(w, r)
	refusal := x.prepare()
	if refusal != nil {
		writeRefusal(w, *refusal, x.started)
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
	return min(time.Duration(ms)*time.Millisecond, maximumTimeout)
}

// prepare checks the head and reads a small body, so that a slow caller holds no share and no slot meanwhile.
func (x *exchange) prepare() *steering.Refusal {
	broken := &steering.Refusal{Code: steering.CodeBody, Outcome: steering.NotRun}
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
		return &steering.Refusal{Code: steering.CodeKey, Outcome: steering.NotRun}
	}
	if x.r.ContentLength < 0 || id.Bytes(x.r.ContentLength) > DefaultMaxBuffered {
		return nil
	}
	if !x.readBody(DefaultMaxBuffered) {
		return broken
	}
	return nil
}

// readBody reads the whole body into memory and reports whether it came whole and within the limit.
func (x *exchange) readBody(limit id.Bytes) bool {
	if x.buffered {
		return true
	}
	x.buffered = true
	if x.r.ContentLength == 0 {
		return true
	}
	_ = x.control.SetReadDeadline(earlier(x.deadline, time.Now().Add(stallTimeout)))
	var body bytes.Buffer
	_, err := body.ReadFrom(io.LimitReader(x.r.Body, int64(limit)+1))
	if err != nil || id.Bytes(body.Len()) > limit {
		return false
	}
	_ = x.control.SetReadDeadline(time.Time{})
	x.body = body.Bytes()
	return true
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (x *exchange) arrival() steering.RequestArrived {
	e := steering.RequestArrived{
		Request:     x.request,
		Service:     x.service,
		Method:      x.r.Method,
		Path:        x.plainPath,
		Query:       x.r.URL.RawQuery,
		Idempotency: x.r.Header.Get(headerIdempotencyKey),
		Size:        id.Bytes(max(x.r.ContentLength, 0)),
		Deadline:    x.deadline,
		Retried:     x.r.Header.Get(headerAttempt) != "",
	}
	if len(x.body) > 0 {
		e.Content = id.DigestOf(x.body)
	}
	if x.secret != "" {
		e.HasKey = true
		e.Secret = secretDigest(x.secret)
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
			x.gateway.engine.Post(steering.CallerGone{Request: x.request})
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
		writeRefusal(x.w, e.Refusal, time.Now())
		return true
	case steering.Replay:
		x.replay(e)
		return true
	case steering.DataAllowed:
		// The stream that asked for the data has ended meanwhile.
	}
	return false
}

func (x *exchange) readClaimedBody() {
	if !x.readBody(DefaultMaxClaimedBody) {
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
		writeRefusal(x.w, steering.Refusal{Code: steering.CodeKept, Outcome: steering.Ran}, time.Now())
		return
	}
	copyAnswerHeader(x.w.Header(), e.Answer.Header)
	x.w.WriteHeader(e.Answer.Status)
	_, _ = x.w.Write(e.Answer.Body)
}
