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
	bodiesPart = 4
	// effectsKept is more than the effects that can be under way for one request.
	effectsKept = 4
	// writeTimeout bounds the time for a caller to take its answer.
	writeTimeout = 30 * time.Second
)

// exchange is one caller's request and its answer.
type exchange struct {
	*Instance
	w       http.ResponseWriter
	r       *http.Request
	id      id.Request
	caller  Caller
	body    []byte
	started time.Time
	effects chan entry.RequestEffect
	// stop ends the running attempt; it is guarded by the instance's mutex.
	stop        func()
	isCancelled bool
	answer      *answer
	dispatch    entry.Dispatch
	// failed is why the last attempt failed, for the log.
	failed error
}

// serve takes one request of a caller.
func (i *Instance) serve(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		Instance: i, w: w, r: r, id: id.Request(i.requests.Add(1)), caller: i.config.Headers.Caller(r.Header),
		started: time.Now(), effects: make(chan entry.RequestEffect, effectsKept),
	}
	if i.isStopping.Load() || len(r.TransferEncoding) > 0 {
		// A chunked body may have come with a length as well, and what follows such a request can't be trusted.
		w.Header().Set("Connection", "close")
	}
	if !x.checkHeader() || !x.readBody() {
		return
	}
	defer i.bodies.Add(-int64(len(x.body)))
	x.register()
	defer x.unregister()
	leave := context.AfterFunc(r.Context(), func() { i.Post(entry.CallerDisconnected{Request: x.id}) })
	defer leave()
	i.Post(x.arrival())
	for effect := range x.effects {
		if x.carryOut(effect) {
			return
		}
	}
}

// checkHeader refuses a header that is larger than the operator allows.
func (x *exchange) checkHeader() bool {
	x.m.Lock()
	limit := int(x.state.CallerLimits().MaxHeaderBytes)
	x.m.Unlock()
	size := len(x.r.Method) + len(x.r.RequestURI) + len(x.r.Host)
	for name, values := range x.r.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerOverhead
		}
	}
	if limit <= 0 || size <= limit {
		return true
	}
	x.reply(entry.Refusal{Code: entry.CodeHeader})
	return false
}

// headerOverhead is the colon, the space and the end of a header's line.
const headerOverhead = 4

// readBody reads the whole body, since an upstream must never wait for a slow caller.
func (x *exchange) readBody() bool {
	if x.r.ContentLength == 0 {
		return true
	}
	x.m.Lock()
	limit := int64(x.state.CallerLimits().MaxBodyBytes)
	x.m.Unlock()
	room := int64(x.config.Memory)/bodiesPart - x.bodies.Load()
	if limit > 0 && x.r.ContentLength > limit {
		x.reply(entry.Refusal{Code: entry.CodeBody})
		return false
	}
	if x.r.ContentLength > room {
		x.reply(entry.Refusal{Code: entry.CodeBusy, RetryAt: time.Now().Add(time.Second)})
		return false
	}
	if limit <= 0 || limit > room {
		limit = room
	}
	var body bytes.Buffer
	if x.r.ContentLength > 0 {
		body.Grow(int(x.r.ContentLength) + bytes.MinRead)
	}
	n, err := body.ReadFrom(io.LimitReader(x.r.Body, limit+1))
	if err != nil {
		x.w.Header().Set("Connection", "close")
		x.reply(entry.Refusal{Code: entry.CodeBody, MayHaveRun: true})
		return false
	}
	if n > limit {
		x.reply(entry.Refusal{Code: entry.CodeBody})
		return false
	}
	x.body = body.Bytes()
	x.bodies.Add(n)
	return true
}

func (x *exchange) register() {
	x.m.Lock()
	defer x.m.Unlock()
	x.exchanges[x.id] = x
}

func (x *exchange) unregister() {
	x.m.Lock()
	defer x.m.Unlock()
	delete(x.exchanges, x.id)
}

// cancel ends the running attempt; it is called with the instance's mutex held.
func (x *exchange) cancel() {
	x.isCancelled = true
	if x.stop != nil {
		x.stop()
	}
}

// setStop sets what ends the running attempt, and calls it at once if the attempt has been cancelled already.
func (x *exchange) setStop(stop func()) {
	x.m.Lock()
	defer x.m.Unlock()
	x.stop = stop
	if x.isCancelled && stop != nil {
		stop()
	}
}

func (x *exchange) wasCancelled() bool {
	x.m.Lock()
	defer x.m.Unlock()
	return x.isCancelled
}

func (x *exchange) arrival() entry.RequestArrived {
	return entry.RequestArrived{
		Request: x.id, Host: hostname(x.r.Host), Path: path(x.r.RequestURI), Object: x.caller.Object,
		KeyDigest: x.caller.Secret, HasKey: x.caller.HasSecret, CallerTimeout: x.caller.Patience,
		Digest: x.digest(),
	}
}

// digest identifies the request beyond this attempt: by method, target, key and body.
func (x *exchange) digest() id.Digest {
	var b bytes.Buffer
	b.Grow(len(x.r.Method) + len(x.r.RequestURI) + len(x.caller.Secret) + len(x.body) + 2)
	b.WriteString(x.r.Method + "\n" + x.r.RequestURI + "\n")
	b.Write(x.caller.Secret[:])
	b.Write(x.body)
	return id.DigestOf(b.Bytes())
}

// carryOut does what the effect says and reports whether the exchange has ended.
func (x *exchange) carryOut(effect entry.RequestEffect) bool {
	switch e := effect.(type) {
	case entry.Dispatch:
		x.dispatch = e
		ending := x.attempt(e)
		x.journal.ended(x, e, ending)
		x.Post(entry.AttemptEnded{Request: x.id, Outcome: ending})
	case entry.Deliver:
		x.deliver()
		return true
	case entry.Refuse:
		x.reply(e.Refusal)
		return true
	}
	return false
}

// deliver passes the upstream's answer on.
func (x *exchange) deliver() {
	a := x.answer
	header := x.w.Header()
	for name, values := range a.header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		// Keeps net/http from guessing a type.
		header["Content-Type"] = nil
	}
	if x.r.Method != http.MethodHead && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		header["Content-Length"] = []string{strconv.Itoa(len(a.body))}
	}
	x.meters.answered(time.Since(x.started), a.status)
	x.limitWrite()
	x.w.WriteHeader(a.status)
	if _, err := x.w.Write(a.body); err != nil {
		x.journal.undelivered(x, err)
	}
}

// limitWrite keeps a caller that reads nothing from holding the exchange for ever.
func (x *exchange) limitWrite() {
	if err := http.NewResponseController(x.w).SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		x.log.Debug("callers: no write deadline", "error", err)
	}
}

// reply answers with a refusal.
func (x *exchange) reply(r entry.Refusal) {
	status := refusalStatus(r)
	x.journal.refused(x, r, status)
	x.meters.refused(r.Code)
	header := x.w.Header()
	if !r.RetryAt.IsZero() && !r.MayHaveRun {
		seconds := max(time.Until(r.RetryAt).Seconds(), 0)
		header["Retry-After"] = []string{strconv.FormatFloat(seconds, 'f', 3, 64)}
	}
	header["Content-Type"] = []string{"application/json"}
	x.limitWrite()
	x.w.WriteHeader(status)
	if _, err := io.WriteString(x.w, `{"code":"`+string(r.Code)+`"}`); err != nil {
		x.journal.undelivered(x, err)
	}
}

// refusalStatus maps a refusal to its status. Only 429 and 503 promise that the request has not run.
func refusalStatus(r entry.Refusal) int {
	switch r.Code {
	case entry.CodeNoRoute:
		return http.StatusNotFound
	case entry.CodeKey:
		return http.StatusUnauthorized
	case entry.CodeRate:
		return http.StatusTooManyRequests
	case entry.CodeHeader:
		return http.StatusRequestHeaderFieldsTooLarge
	case entry.CodeBody:
		if r.MayHaveRun {
			return http.StatusBadRequest
		}
		return http.StatusRequestEntityTooLarge
	}
	switch {
	case !r.MayHaveRun:
		return http.StatusServiceUnavailable
	case r.Code == entry.CodeTimeout:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
