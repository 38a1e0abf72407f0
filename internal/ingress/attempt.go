package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
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
	body   []byte
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
	if err := c.conn.SetDeadline(d.Deadline); err != nil {
		return entry.NothingSent{IsStaleConnection: true}, c.isReused
	}
	// Set after the deadline, since SetDeadline would undo an interruption.
	x.setAbort(c.interrupt)
	c.isPending = true
	n, err := c.conn.Write(x.encodeRequest(d))
	if err != nil {
		if n == 0 && !x.isCancelled() {
			return entry.NothingSent{IsStaleConnection: c.isReused}, c.isReused
		}
		return x.classifyError(startedAt, err), false
	}
	outcome, isReusable = x.readOutcome(c, startedAt)
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
	if x.isFar {
		return x.acquireFar(d)
	}
	if c := x.pool.get(d); c != nil {
		return c, nil
	}
	return x.connect(d)
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
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return entry.TimedOut{Elapsed: time.Since(startedAt)}
	}
	x.attemptErr = err
	return entry.Broken{}
}

// encodeRequest returns the bytes of the request to the upstream, header and body, to be sent in a single write.
func (x *exchange) encodeRequest(d entry.Dispatch) []byte {
	header := x.r.Header.Clone()
	removeHopByHopHeaders(header)
	x.config.HeaderCodec.SetUpstreamHeaders(header, UpstreamHeaders{
		Upstream: d.Upstream, Organisation: d.Organisation, Timeout: time.Until(d.Deadline),
	})
	if x.r.ContentLength != 0 {
		header["Content-Length"] = []string{strconv.Itoa(len(x.body))}
	}
	var b bytes.Buffer
	b.Grow(1024 + len(x.body))
	b.WriteString(x.r.Method + " " + x.r.RequestURI + " HTTP/1.1\r\nHost: " + x.r.Host + "\r\n")
	// Writing to a buffer never fails.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	b.Write(x.body)
	return b.Bytes()
}

// parsedResponse is a response that has been read completely, with the values from its headers.
type parsedResponse struct {
	response *http.Response
	headers  ResponseHeaders
	body     []byte
}

// readOutcome reads the response and returns the outcome, and whether the connection can be reused.
func (x *exchange) readOutcome(c *upstreamConnection, startedAt time.Time) (entry.AttemptOutcome, bool) {
	parsed, err := x.readMatchingResponse(c)
	if err != nil {
		return x.classifyError(startedAt, err), false
	}
	status, header := parsed.response.StatusCode, parsed.response.Header
	isReusable := !parsed.response.Close && c.reader.Buffered() == 0
	if isReusable {
		c.setExpiry(header.Get("Keep-Alive"))
	}
	switch {
	case parsed.headers.IsMisdirected:
		return entry.Misdirected{}, isReusable
	case parsed.headers.IsNotExecuted && status >= http.StatusBadRequest:
		return entry.Shed{
			Load: parsed.headers.Load, Limit: parsed.headers.Limit, IsLeaving: parsed.headers.IsLeaving,
			Rest: parsed.headers.Rest,
		}, isReusable
	case !parsed.headers.IsSigned || parsed.headers.AttemptID != x.callerHeaders.AttemptID ||
		header.Get("Content-Encoding") != "":
		return x.classifyError(startedAt, &UnexpectedResponseError{Status: status}), false
	}
	removeHopByHopHeaders(header)
	x.response = &upstreamResponse{status: status, header: header, body: parsed.body}
	return x.newAnswered(parsed, startedAt), isReusable
}

// readMatchingResponse skips responses that name another request. An upstream may send a late second response to an
// earlier request on a connection that has been reused since; the matching response follows it.
func (x *exchange) readMatchingResponse(c *upstreamConnection) (parsedResponse, error) {
	for range maxResponses {
		c.head.startHead()
		response, err := readFinalResponse(c.reader, x.r)
		c.head.endHead()
		if err != nil {
			return parsedResponse{}, err
		}
		expected := id.Bytes(min(max(response.ContentLength, 0), maxResponseBytes))
		x.holdResponse(expected)
		body, err := readResponseBody(response)
		if err != nil {
			return parsedResponse{}, err
		}
		x.holdResponse(id.Bytes(len(body)) - expected)
		headers := x.config.HeaderCodec.ParseResponseHeaders(response.StatusCode, response.Header)
		for _, name := range headers.Unknown {
			x.requestLog.logOddHeader(x, "upstreams: unknown header", name, response.Header.Get(name))
		}
		for _, name := range headers.Malformed {
			x.requestLog.logOddHeader(x, "upstreams: malformed header", name, response.Header.Get(name))
		}
		if headers.AttemptID == "" || headers.AttemptID == x.callerHeaders.AttemptID {
			return parsedResponse{response, headers, body}, nil
		}
		x.requestLog.logSkippedResponse(x, headers.AttemptID)
		if response.Close {
			break
		}
	}
	return parsedResponse{}, &UnexpectedResponseError{}
}

func (x *exchange) newAnswered(parsed parsedResponse, startedAt time.Time) entry.AttemptOutcome {
	status := parsed.response.StatusCode
	return entry.Answered{
		Status: status, IsServerError: status >= http.StatusInternalServerError, Elapsed: time.Since(startedAt),
		Size: id.Bytes(len(parsed.body)), Load: parsed.headers.Load, Limit: parsed.headers.Limit,
		IsLeaving: parsed.headers.IsLeaving, Rest: parsed.headers.Rest,
	}
}

// readFinalResponse skips interim responses and returns the final one with its body unread. A response that switches
// protocols is an error.
func readFinalResponse(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	for range maxInterimResponses {
		response, err := http.ReadResponse(r, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, &UnexpectedResponseError{Status: http.StatusSwitchingProtocols}
}

// readResponseBody reads a whole body of at most maxResponseBytes.
func readResponseBody(response *http.Response) ([]byte, error) {
	var body bytes.Buffer
	if response.ContentLength > 0 {
		body.Grow(int(min(response.ContentLength, maxResponseBytes)) + bytes.MinRead)
	}
	n, err := body.ReadFrom(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if n > maxResponseBytes {
		return nil, &ResponseTooLargeError{Limit: maxResponseBytes}
	}
	return body.Bytes(), nil
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

// UnexpectedResponseError reports a response that does not match the request or cannot be forwarded. Status is 0 if no
// response matched.
type UnexpectedResponseError struct {
	Status int
}

// Error returns the status.
func (e *UnexpectedResponseError) Error() string {
	return "ingress: unexpected response with status " + strconv.Itoa(e.Status)
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
