package ingress

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/placement"
)

const (
	// answerLimit is the largest answer that is held in memory before it is passed on.
	answerLimit = 8 << 20
	// maxForeign bounds the answers to earlier requests that are skipped.
	maxForeign = 3
	// maxInterim bounds the interim answers before the final one.
	maxInterim = 8
)

// answer is a whole answer of an upstream.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to one upstream and reads the whole answer.
func (x *exchange) attempt(d entry.Dispatch) entry.Outcome {
	for {
		ending, isStale := x.try(d)
		if !isStale {
			return ending
		}
		// A kept connection had been closed before anything was sent; the next one is tried.
	}
}

// try sends the request on one connection. isStale is set if a kept connection turned out to be closed while nothing
// had been sent.
func (x *exchange) try(d entry.Dispatch) (ending entry.Outcome, isStale bool) {
	started := time.Now()
	c := x.pool.take(d)
	if c == nil {
		var err error
		c, err = x.pool.dial(d)
		if err != nil {
			x.failed = err
			return entry.NothingSent{}, false
		}
		x.Post(entry.Connected{Request: x.id, Elapsed: time.Since(started)})
	}
	isKept := false
	defer func() {
		x.setStop(nil)
		if !isKept {
			c.close()
		}
	}()
	if err := c.conn.SetDeadline(d.Deadline); err != nil {
		return entry.NothingSent{IsStaleConnection: true}, c.isReused
	}
	// After the deadline, which would undo an interruption.
	x.setStop(c.interrupt)
	n, err := c.conn.Write(x.head(d))
	if err != nil {
		if n == 0 && !x.wasCancelled() {
			return entry.NothingSent{IsStaleConnection: c.isReused}, c.isReused
		}
		return x.failure(started, err), false
	}
	ending, isKept = x.readAnswer(c, started)
	if isKept {
		x.pool.put(d, c)
	}
	return ending, false
}

// failure tells what an error after the first byte was sent means.
func (x *exchange) failure(started time.Time, err error) entry.Outcome {
	switch {
	case x.wasCancelled():
		return entry.Cancelled{}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return entry.TimedOut{Elapsed: time.Since(started)}
	}
	x.failed = err
	return entry.Broken{}
}

// head returns the bytes of the request to the upstream. The body follows in the same write.
func (x *exchange) head(d entry.Dispatch) []byte {
	header := x.r.Header.Clone()
	removeHopHeaders(header)
	x.config.Headers.Send(header, Send{
		Upstream: d.Upstream, Organisation: d.Organisation, Left: time.Until(d.Deadline),
	})
	if x.r.ContentLength != 0 {
		header["Content-Length"] = []string{strconv.Itoa(len(x.body))}
	}
	var b bytes.Buffer
	b.Grow(1024 + len(x.body))
	b.WriteString(x.r.Method + " " + x.r.RequestURI + " HTTP/1.1\r\nHost: " + x.r.Host + "\r\n")
	// Writing to a buffer does not fail.
	_ = header.Write(&b)
	b.WriteString("\r\n")
	b.Write(x.body)
	return b.Bytes()
}

// received is an answer that has been read whole.
type received struct {
	response *http.Response
	said     Answer
	body     []byte
}

// readAnswer reads the answer and reports whether the connection can be kept.
func (x *exchange) readAnswer(c *connection, started time.Time) (entry.Outcome, bool) {
	a, err := x.readOwn(c)
	if err != nil {
		return x.failure(started, err), false
	}
	status, header := a.response.StatusCode, a.response.Header
	isKept := !a.response.Close && c.reader.Buffered() == 0
	if isKept {
		c.keepUntil(header.Get("Keep-Alive"))
	}
	switch {
	case a.said.IsMisdirected:
		return entry.Misdirected{}, isKept
	case a.said.IsNotExecuted && status >= http.StatusBadRequest:
		return entry.Shed{Load: a.said.Load}, isKept
	case !a.said.IsSigned || a.said.Attempt != x.caller.Attempt || header.Get("Content-Encoding") != "":
		return x.failure(started, &AnswerError{Status: status}), false
	}
	removeHopHeaders(header)
	x.answer = &answer{status: status, header: header, body: a.body}
	return x.answered(status, len(a.body), started, a.said.Load), isKept
}

// readOwn reads answers until one does not name another request. An upstream may send a second answer to an earlier
// request late, on a connection that has been used again; the right answer follows it.
func (x *exchange) readOwn(c *connection) (received, error) {
	for range maxForeign {
		response, err := readResponse(c.reader, x.r)
		if err != nil {
			return received{}, err
		}
		body, err := readAll(response)
		if err != nil {
			return received{}, err
		}
		said := x.config.Headers.Answer(response.StatusCode, response.Header)
		if said.Attempt == "" || said.Attempt == x.caller.Attempt {
			return received{response, said, body}, nil
		}
		x.journal.foreign(x, said.Attempt)
		if response.Close {
			break
		}
	}
	return received{}, &AnswerError{}
}

func (x *exchange) answered(status, size int, started time.Time, load *placement.Load) entry.Outcome {
	return entry.Answered{
		Status: status, IsServerError: status >= http.StatusInternalServerError, Elapsed: time.Since(started),
		Size: id.Bytes(size), Load: load,
	}
}

// readResponse reads the head of the final answer.
func readResponse(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	for range maxInterim {
		response, err := http.ReadResponse(r, request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, &AnswerError{Status: http.StatusSwitchingProtocols}
}

// readAll reads a whole body up to the limit.
func readAll(response *http.Response) ([]byte, error) {
	var body bytes.Buffer
	if response.ContentLength > 0 {
		body.Grow(int(min(response.ContentLength, answerLimit)) + bytes.MinRead)
	}
	n, err := body.ReadFrom(io.LimitReader(response.Body, answerLimit+1))
	if err != nil {
		return nil, err
	}
	if n > answerLimit {
		return nil, &SizeError{Limit: answerLimit}
	}
	return body.Bytes(), nil
}

// removeHopHeaders removes the headers that concern only one connection, and those that the Connection header names.
func removeHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

func hostname(host string) string {
	return strings.ToLower(host)
}

// path returns the path of a request's target without the query.
func path(target string) string {
	p, _, _ := strings.Cut(target, "?")
	return p
}

// AnswerError reports bytes that are not an answer to the request.
type AnswerError struct {
	Status int
}

// Error names the status.
func (e *AnswerError) Error() string {
	return "ingress: unexpected answer with status " + strconv.Itoa(e.Status)
}

// SizeError reports an answer that is too large.
type SizeError struct {
	Limit int64
}

// Error names the limit.
func (e *SizeError) Error() string {
	return "ingress: an answer exceeds " + strconv.FormatInt(e.Limit, 10) + " bytes"
}
