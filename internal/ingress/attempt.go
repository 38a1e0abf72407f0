package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/answer"
	"bluebellhold/internal/entry"
	"bluebellhold/internal/memory"
	"bluebellhold/internal/tcp"
)

const (
	// maxResponseBytes is the largest response body, which is buffered whole before it is forwarded.
	maxResponseBytes = 8 << 20
	// maxResponses bounds the responses read for one request, including skipped ones to earlier requests.
	maxResponses = 3
	// maxInterimResponses bounds the responses with a 1xx status that are read for the final one.
	maxInterimResponses = 8
)

// upstreamResponse is a complete response of an upstream.
type upstreamResponse struct {
	status int
	header http.Header
	body   *memory.Payload
}

// attempt sends the request to one upstream and reads the whole response.
func (x *exchange) attempt(d entry.Dispatch) entry.AttemptOutcome {
	x.isFar = x.opensAhead(d)
	if x.isFar {
		x.pool.startUse(d)
	}
	for {
		outcome, isStale := x.tryConnection(d)
		if !isStale {
			if x.isFar {
				x.finishUse(d, outcome)
			}
			return outcome
		}
		// An idle connection turned out to be closed before anything was sent; another one is tried.
	}
}

// tryConnection sends the request on one connection, a pooled one if possible. isStale is set if a pooled connection
// turned out to be closed before anything was sent.
func (x *exchange) tryConnection(d entry.Dispatch) (outcome entry.AttemptOutcome, isStale bool) {
	startedAt := time.Now()
	c, err := x.acquire(d)
	if err != nil {
		x.attemptErr = err
		if d.Via.Instance != "" && !isUnreached(err) {
			return entry.HelperFailed{}, false
		}
		return entry.NothingSent{}, false
	}
	if !c.isReused {
		x.Post(entry.Connected{Request: x.requestID, Elapsed: c.connectTime})
	}
	isReusable := false
	defer func() {
		x.setAbort(nil)
		if !isReusable {
			c.close()
		}
	}()
	if c.requests == 0 && !c.isQuiescent() {
		// What the upstream has sent belongs to no request; it may also have closed the connection.
		return entry.NothingSent{IsStaleConnection: c.isReused}, c.isReused
	}
	if err := c.conn.SetDeadline(d.Deadline); err != nil {
		return entry.NothingSent{IsStaleConnection: true}, c.isReused
	}
	// Set after the deadline, since SetDeadline would undo an interruption.
	x.setAbort(c.interrupt)
	c.requests++
	c.isPending = true
	n, err := x.sendRequest(c.conn, d)
	if err != nil {
		if n == 0 && !x.isCancelled() {
			return entry.NothingSent{IsStaleConnection: c.isReused}, c.isReused
		}
		return x.classifyError(startedAt, err), false
	}
	outcome, isReusable = x.readOutcome(c, startedAt)
	isReusable = isReusable && !x.needsNewConnection(d)
	c.isPending = !isComplete(outcome)
	if isReusable {
		x.keepAlive, c.isReused = c.idleTimeout, true
		x.pool.put(d, c)
	}
	return outcome, false
}

// isComplete reports whether an outcome is a complete answer to the request, after which the upstream has nothing left to do.
func isComplete(outcome entry.AttemptOutcome) bool {
	switch outcome.(type) {
	case entry.Answered, entry.Shed, entry.Misdirected:
		return true
	}
	return false
}

// acquire returns an idle or a new connection to the upstream.
func (x *exchange) acquire(d entry.Dispatch) (*upstreamConnection, error) {
	if x.needsNewConnection(d) {
		return x.connect(d)
	}
	if x.isFar {
		return x.acquireFar(d)
	}
	if c := x.pool.get(d); c != nil {
		return c, nil
	}
	return x.connect(d)
}

// needsNewConnection reports whether the request must not share a connection: the upstream's refusals don't name the
// attempt, or the request has no id by which any response could be matched.
func (x *exchange) needsNewConnection(d entry.Dispatch) bool {
	return d.UsesNewConnection || x.callerHeaders.AttemptID == ""
}

// connect connects to the upstream, through another instance if the dispatch says so.
func (x *exchange) connect(d entry.Dispatch) (*upstreamConnection, error) {
	startedAt := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), d.Deadline)
	defer cancel()
	var conn tcp.Conn
	var err error
	if d.Via.Instance != "" {
		conn, err = x.sessions.openTunnel(ctx, d)
	} else {
		conn, err = dialUpstream(ctx, d.Address)
	}
	if err != nil {
		return nil, err
	}
	x.pool.metrics.opened.Inc(1)
	c := newUpstreamConnection(conn)
	c.connectTime = time.Since(startedAt)
	return c, nil
}

// classifyError returns the outcome for an error that occurred after the first byte was sent.
func (x *exchange) classifyError(startedAt time.Time, err error) entry.AttemptOutcome {
	if x.isCancelled() {
		return entry.Cancelled{}
	}
	switch x.takeInterruption() {
	case interruptedUnreached:
		x.attemptErr = &InterruptedError{}
		return entry.Broken{}
	case interruptedSlow:
		return entry.Abandoned{Elapsed: time.Since(startedAt)}
	case interruptedStopped:
		return entry.TimedOut{Elapsed: time.Since(startedAt)}
	}
	var unmatched *UnmatchedResponseError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return entry.TimedOut{Elapsed: time.Since(startedAt)}
	case errors.As(err, &unmatched):
		return entry.Unmatched{}
	}
	x.attemptErr = err
	return entry.Broken{}
}

// maxJoinedBody is the size of a body up to which it is copied, so that it is sent in a single write with the header.
const maxJoinedBody = 16 << 10

// joinedSize returns the size of the copy of the body that sending it takes.
func (x *exchange) joinedSize() id.Bytes {
	if x.body.Len() > maxJoinedBody {
		return 0
	}
	return id.Bytes(x.body.Len())
}

// sendRequest sends the request to the upstream, and returns how much of it was sent.
func (x *exchange) sendRequest(conn tcp.Conn, d entry.Dispatch) (int64, error) {
	joined := x.joinedSize()
	n, err := conn.Write(x.encodeRequest(d, joined))
	if err != nil || joined > 0 {
		return int64(n), err
	}
	sent, err := x.body.WriteTo(conn)
	return int64(n) + sent, err
}

// encodeRequest returns the header of the request to the upstream, followed by the body if it is to be joined to it.
func (x *exchange) encodeRequest(d entry.Dispatch, joined id.Bytes) []byte {
	header := x.r.Header.Clone()
	removeHopByHopHeaders(header)
	x.config.HeaderCodec.SetUpstreamHeaders(header, UpstreamHeaders{
		Upstream: d.Upstream, Organisation: d.Organisation, Timeout: time.Until(d.UpstreamDeadline),
	})
	if x.r.ContentLength != 0 {
		header["Content-Length"] = []string{strconv.Itoa(x.body.Len())}
	}
	var b bytes.Buffer
	b.Grow(1024 + int(joined))
	b.WriteString(x.r.Method + " " + x.r.RequestURI + " HTTP/1.1\r\nHost: " + x.r.Host + "\r\n")
	// Writing to a buffer never fails.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	if joined > 0 {
		_, _ = x.body.WriteTo(&b)
	}
	return b.Bytes()
}

// parsedResponse is a response that has been read completely, with the values from its headers.
type parsedResponse struct {
	response *http.Response
	headers  ResponseHeaders
	body     *memory.Payload
}

// readOutcome reads the response and returns the outcome, and whether the connection can be reused.
func (x *exchange) readOutcome(c *upstreamConnection, startedAt time.Time) (entry.AttemptOutcome, bool) {
	parsed, err := x.readMatchingResponse(c)
	if err != nil {
		return x.classifyError(startedAt, err), false
	}
	var isKept bool
	defer func() {
		if !isKept {
			parsed.body.Release()
		}
	}()
	status, header := parsed.response.StatusCode, parsed.response.Header
	isReusable := !parsed.response.Close && !c.isOutOfStep && c.reader.Buffered() == 0
	if isReusable {
		c.setExpiry(header.Get("Keep-Alive"))
	}
	switch {
	case parsed.headers.IsMisdirected:
		// The connection leads to another upstream.
		return entry.Misdirected{}, false
	case parsed.headers.IsNotExecuted && status >= http.StatusBadRequest:
		return entry.Shed{
			Load: parsed.headers.Load, Limit: parsed.headers.Limit, IsLeaving: parsed.headers.IsLeaving,
			Rest: parsed.headers.Rest, IsAnonymous: parsed.headers.AttemptID == "",
		}, isReusable
	case !parsed.headers.IsSigned || parsed.headers.AttemptID != x.callerHeaders.AttemptID ||
		header.Get("Content-Encoding") != "":
		return x.classifyError(startedAt, &UnexpectedResponseError{Status: status}), false
	}
	removeHopByHopHeaders(header)
	isKept = true
	if x.response != nil {
		x.response.body.Release()
	}
	x.response = &upstreamResponse{status: status, header: header, body: parsed.body}
	return x.newAnswered(parsed, startedAt), isReusable
}

// readMatchingResponse returns the response to the request in flight. An upstream may send a late second response to an
// earlier request on a connection that has been reused since; nothing that it says is believed.
//
// The matching response follows one that names another request. One that names none may also be the only one that comes:
// the attempt then ends with an UnmatchedResponseError, or goes on if the dispatch says so.
func (x *exchange) readMatchingResponse(c *upstreamConnection) (parsedResponse, error) {
	for range maxResponses {
		c.head.startHead()
		response, err := readFinalResponse(c.reader, x.r)
		c.head.endHead()
		if err != nil {
			return parsedResponse{}, err
		}
		body, err := x.readResponseBody(response)
		if err != nil {
			return parsedResponse{}, err
		}
		headers := x.config.HeaderCodec.ParseResponseHeaders(response.StatusCode, response.Header)
		for _, name := range headers.Unknown {
			x.requestLog.logOddHeader(x, "upstreams: unknown header", name, response.Header.Get(name))
		}
		for _, name := range headers.Malformed {
			x.requestLog.logOddHeader(x, "upstreams: malformed header", name, response.Header.Get(name))
		}
		parsed := parsedResponse{response, headers, body}
		if x.isMatch(c, headers) {
			return parsed, nil
		}
		c.isOutOfStep = true
		x.requestLog.logUnmatchedResponse(x, parsed)
		x.pool.metrics.unmatched.Inc(1)
		body.Release()
		if headers.AttemptID != "" {
			if response.Close {
				break
			}
			continue
		}
		x.Post(entry.AnonymousResponse{Request: x.requestID})
		if response.Close || !x.dispatch.AwaitsMatch {
			return parsedResponse{}, &UnmatchedResponseError{}
		}
	}
	return parsedResponse{}, &UnexpectedResponseError{}
}

// isMatch reports whether a response belongs to the request in flight: it names it, or it names none and can only belong to
// the first request of the connection.
func (x *exchange) isMatch(c *upstreamConnection, headers ResponseHeaders) bool {
	if headers.AttemptID == "" {
		return c.requests == 1
	}
	return headers.AttemptID == x.callerHeaders.AttemptID
}

func (x *exchange) newAnswered(parsed parsedResponse, startedAt time.Time) entry.AttemptOutcome {
	status := parsed.response.StatusCode
	return entry.Answered{
		Status: status, IsServerError: status >= http.StatusInternalServerError, Elapsed: time.Since(startedAt),
		Size: id.Bytes(parsed.body.Len()), Load: parsed.headers.Load, Limit: parsed.headers.Limit,
		IsLeaving: parsed.headers.IsLeaving, Rest: parsed.headers.Rest,
	}
}

// readFinalResponse skips interim responses and returns the final one with its body unread. Anything else is an error: nothing
// tells where it ends, so that no answer is looked for behind it.
func readFinalResponse(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	var status int
	for range maxInterimResponses {
		response, err := http.ReadResponse(r, request)
		if err != nil || answer.IsFinal(response) {
			return response, err
		}
		if status = response.StatusCode; !answer.IsInterim(response) {
			break
		}
	}
	return nil, &UnexpectedResponseError{Status: status}
}

// readResponseBody reads a whole body of at most maxResponseBytes into memory that is counted ahead.
func (x *exchange) readResponseBody(response *http.Response) (*memory.Payload, error) {
	if response.Body == http.NoBody {
		// The response to a HEAD request may have a length without a body.
		return nil, nil
	}
	body, err := x.memory.ReadResponse(
		x.r.Context(), response.Body, id.Bytes(response.ContentLength), maxResponseBytes, &x.reserved)
	var large *memory.TooLargeError
	if errors.As(err, &large) {
		return nil, &ResponseTooLargeError{Limit: maxResponseBytes}
	}
	return body, err
}

// removeHopByHopHeaders removes the hop-by-hop headers and those that the Connection header names.
func removeHopByHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

func normaliseHost(host string) string {
	return strings.ToLower(host)
}

// requestPath returns the path of a request target without the query.
func requestPath(target string) string {
	p, _, _ := strings.Cut(target, "?")
	return p
}

// UnexpectedResponseError reports a response that does not match the request, cannot be forwarded or is none. Status is 0 if no
// response matched.
type UnexpectedResponseError struct {
	Status int
}

// Error returns the status.
func (e *UnexpectedResponseError) Error() string {
	return "ingress: unexpected response with status " + strconv.Itoa(e.Status)
}

// UnmatchedResponseError reports a response that names no request, on a connection that has carried others.
type UnmatchedResponseError struct{}

// Error describes the response.
func (e *UnmatchedResponseError) Error() string {
	return "ingress: response names no request on a connection that has carried others"
}

// InterruptedError reports an attempt that was broken off because the instance reaches no upstream.
type InterruptedError struct{}

// Error describes the reason.
func (e *InterruptedError) Error() string {
	return "ingress: attempt broken off, since no upstream is reached"
}

// ResponseTooLargeError reports a head or a body of a response above the limit.
type ResponseTooLargeError struct {
	Limit int64
}

// Error returns the limit.
func (e *ResponseTooLargeError) Error() string {
	return "ingress: head or body of the response exceeds " + strconv.FormatInt(e.Limit, 10) + " bytes"
}
