package ingress_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/store"
)

// Guards against a key or a caller's own tenant header that reaches an upstream, a deadline that is forwarded unchanged
// and a request that is altered otherwise.
func TestRequestIsForwardedWithoutTheKey(t *testing.T) {
	received := make(chan *http.Request, 1)
	h := newHarness(t, serveWith(func(r *http.Request) string {
		received <- r
		return responseTo(r, "ok")
	}))
	r := h.request("POST", "/draw/a%2Fb/?x=1;2&y", "body")
	r.Header.Set("X-Bluebellhold-Tenant", "somebody")
	r.Header.Set("X-Custom", "kept")
	response, err := h.client.Do(r)
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, 200, response.StatusCode)
	require.Equal(t, "seal", response.Header.Get("X-Bluebellhold-Response-Seal"))
	got := <-received
	require.Equal(t, "/draw/a%2Fb/?x=1;2&y", got.RequestURI)
	require.Equal(t, "example", got.Host)
	require.Equal(t, "POST", got.Method)
	body, _ := io.ReadAll(got.Body)
	require.Equal(t, "body", string(body))
	require.Empty(t, got.Header.Get("Authorization"))
	require.Equal(t, []string{"school"}, got.Header["X-Bluebellhold-Tenant"])
	require.Equal(t, "u0", got.Header.Get("X-Bluebellhold-Expect-Instance"))
	require.Equal(t, "kept", got.Header.Get("X-Custom"))
	remaining, err := strconv.Atoi(got.Header.Get("X-Bluebellhold-Deadline-Ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, remaining, 1500, "the route's timeout is shorter than the caller's")
}

// Guards against forwarding a response that belongs to another request or is truncated, encoded or unsigned. An
// idempotent request is retried; any other fails with a status that does not say that it did not run.
func TestInvalidResponsesAreNotForwarded(t *testing.T) {
	invalid := map[string]func(r *http.Request) string{
		"cut off": func(r *http.Request) string {
			return strings.Replace(responseTo(r, "abc"), "Length: 3", "Length: 30", 1)
		},
		"no seal": func(r *http.Request) string {
			return strings.Replace(responseTo(r, "abc"), "Response-Seal", "Other", 1)
		},
		"encoded": func(r *http.Request) string {
			return strings.Replace(responseTo(r, "abc"), "200 OK\r\n", "200 OK\r\nContent-Encoding: gzip\r\n", 1)
		},
		"another answer": func(*http.Request) string {
			return strings.Replace(responseWithAttemptID("other", "abc"), "200 OK\r\n", "200 OK\r\nConnection: close\r\n", 1)
		},
		"no http": func(*http.Request) string { return "!!!!\r\n\r\n" },
		"closed":  func(*http.Request) string { return "" },
	}
	for name, invalidResponse := range invalid {
		t.Run(name, func(t *testing.T) {
			var firstServed atomic.Bool
			handle := func(conn net.Conn) {
				isClosing := false
				serveWith(func(r *http.Request) string {
					if isClosing {
						return ""
					}
					if !firstServed.Swap(true) {
						isClosing = true
						return invalidResponse(r)
					}
					return responseTo(r, "whole")
				})(&halfClosingConn{conn.(*net.TCPConn)})
			}
			h := newHarness(t, handle, handle)
			status, body := h.do("GET", "/look/1")
			require.Equal(t, 200, status)
			require.Equal(t, "whole", body)
			firstServed.Store(false)
			status, _ = h.do("POST", "/draw/1")
			require.Equal(t, http.StatusBadGateway, status)
		})
	}
}

// halfClosingConn closes its write side after each write that does not end in "whole", so that a truncated response is
// detected immediately.
type halfClosingConn struct{ *net.TCPConn }

func (c *halfClosingConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if !bytes.HasSuffix(b, []byte("whole")) {
		_ = c.CloseWrite()
	}
	return n, err
}

// Guards against a late second response to an earlier request that is taken for the response to the next request on the
// same connection.
func TestLateDuplicateResponseIsSkipped(t *testing.T) {
	var previousID atomic.Value
	previousID.Store("")
	h := newHarness(t, serveWith(func(r *http.Request) string {
		response := responseTo(r, r.RequestURI)
		if id := previousID.Swap(r.Header.Get("X-Bluebellhold-Attempt-Id")).(string); id != "" {
			return responseWithAttemptID(id, "late") + response
		}
		return response
	}))
	for i := range 5 {
		path := fmt.Sprint("/draw/", i)
		status, body := h.do("POST", path)
		require.Equal(t, 200, status)
		require.Equal(t, path, body)
	}
}

// Guards against reusing a connection on which bytes arrived after the last response.
func TestTrailingBytesCloseTheConnection(t *testing.T) {
	h := newHarness(t, serveWith(func(r *http.Request) string {
		return responseTo(r, r.RequestURI) + "HTTP/1.1 200 OK\r\n\r\n"
	}))
	for i := range 3 {
		path := fmt.Sprint("/draw/", i)
		status, body := h.do("POST", path)
		require.Equal(t, 200, status)
		require.Equal(t, path, body)
	}
}

// Guards against reporting a request as not run without the upstream's Not-Executed header, and against losing that
// header.
func TestNotExecutedIsReportedOnlyOnTheUpstreamsHeader(t *testing.T) {
	shedResponse := "HTTP/1.1 503 Service Unavailable\r\nX-Bluebellhold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	var response atomic.Value
	response.Store(shedResponse)
	h := newHarness(t, serveWith(func(*http.Request) string { return response.Load().(string) }))
	status, _ := h.do("POST", "/draw/1")
	require.Equal(t, http.StatusServiceUnavailable, status)
	response.Store(strings.Replace(shedResponse, "X-Bluebellhold-Not-Executed", "X-Other", 1))
	time.Sleep(50 * time.Millisecond)
	status, _ = h.do("POST", "/draw/2")
	require.Equal(t, http.StatusBadGateway, status)
}

// Guards against an attempt that continues at the upstream after the caller disconnected.
func TestCallerDisconnectAbortsTheUpstreamRequest(t *testing.T) {
	disconnected := make(chan struct{})
	received := make(chan struct{})
	h := newHarness(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		close(received)
		_, _ = reader.ReadByte()
		close(disconnected)
	})
	conn, err := net.Dial("tcp", h.address)
	require.NoError(t, err)
	var request bytes.Buffer
	require.NoError(t, h.request("GET", "/look/1", "").Write(&request))
	_, err = conn.Write(request.Bytes())
	require.NoError(t, err)
	<-received
	require.NoError(t, conn.Close())
	select {
	case <-disconnected:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the attempt continues after the caller disconnected")
	}
}

// Guards against a request that outlasts its route's timeout.
func TestRouteTimeoutEndsTheRequest(t *testing.T) {
	h := newHarness(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	startedAt := time.Now()
	status, _ := h.do("POST", "/draw/1")
	require.Equal(t, http.StatusGatewayTimeout, status)
	require.GreaterOrEqual(t, time.Since(startedAt), 1400*time.Millisecond)
}

// Guards against reusing a connection after a request with both a Content-Length and a chunked body, which could
// smuggle another request.
func TestContentLengthWithChunkedBodyClosesTheConnection(t *testing.T) {
	h := newHarness(t, serveWith(func(r *http.Request) string { return responseTo(r, "ok") }))
	conn, err := net.Dial("tcp", h.address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /draw/1 HTTP/1.1\r\nHost: example\r\nAuthorization: Bearer secret-key\r\n"+
		"X-Bluebellhold-Attempt-Id: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /look/2 HTTP/1.1\r\nHost: example\r\n\r\n")
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.True(t, response.Close)
	_, err = reader.ReadByte()
	require.Error(t, err)
}

// Guards against a graceful stop that cuts off requests in flight or closes the listener immediately.
func TestGracefulStopCompletesInFlightRequests(t *testing.T) {
	release := make(chan struct{})
	received := make(chan struct{}, 1)
	h := newHarness(t, serveWith(func(r *http.Request) string {
		if r.RequestURI == "/draw/slow" {
			received <- struct{}{}
			<-release
		}
		return responseTo(r, "ok")
	}))
	slow := make(chan int, 1)
	go func() {
		status, _ := h.do("POST", "/draw/slow")
		slow <- status
	}()
	<-received
	h.stop()
	status, _ := h.do("GET", "/look/1")
	require.Equal(t, 200, status)
	close(release)
	require.Equal(t, 200, <-slow)
	<-h.stopped
}

// Guards against a malformed document that replaces the last valid one.
func TestMalformedDocumentKeepsTheConfiguration(t *testing.T) {
	h := newHarness(t, serveWith(func(r *http.Request) string { return responseTo(r, "ok") }))
	h.feed.put("op", "config", []byte(`{"version":9,"resources":[{"resourceKind":"routes","spec":{"host":"example"`))
	h.feed.put("op", "evacuate/elsewhere", []byte(`{}`))
	time.Sleep(100 * time.Millisecond)
	status, _ := h.do("GET", "/look/1")
	require.Equal(t, 200, status)
}

// Guards against a failed request whose cause cannot be found in the log by its attempt id.
func TestLogLinesHoldAttemptIDAndCause(t *testing.T) {
	h := newHarness(t, serveWith(func(r *http.Request) string {
		if r.RequestURI == "/draw/broken" {
			return ""
		}
		return responseTo(r, "ok")
	}))
	lineOf := func(r *http.Request, text string) string {
		response, err := h.client.Do(r)
		require.NoError(t, err)
		response.Body.Close()
		var found string
		require.Eventually(t, func() bool {
			for line := range strings.Lines(h.log.String()) {
				if strings.Contains(line, "id="+r.Header.Get("X-Bluebellhold-Attempt-Id")+" ") && strings.Contains(line, text) {
					found = line
					return true
				}
			}
			return false
		}, time.Second, 5*time.Millisecond)
		return found
	}
	require.Contains(t, lineOf(h.request("POST", "/draw/broken", ""), "attempt broken"), "unexpected EOF")
	require.Contains(t, lineOf(h.request("POST", "/draw/broken", ""), "refused"), "code=broken status=502 ran=true")
	unknownKey := h.request("GET", "/look/1", "")
	unknownKey.Header.Set("Authorization", "Bearer wrong")
	line := lineOf(unknownKey, "refused")
	require.Contains(t, line, "code=key")
	require.Contains(t, line, "version=7")
	require.NotContains(t, h.log.String(), "wrong", "keys must not be logged")
	require.NotContains(t, h.log.String(), "secret-key")
}

// Guards against accepting a header or a body above the operator's limits.
func TestRequestsAboveTheSizeLimitsAreRefused(t *testing.T) {
	h := newHarness(t, serveWith(func(r *http.Request) string { return responseTo(r, "ok") }))
	largeHeader := h.request("GET", "/look/1", "")
	largeHeader.Header.Set("X-Long", strings.Repeat("a", 17_000))
	largeBody := h.request("POST", "/draw/1", strings.Repeat("a", 1_000_001))
	for r, status := range map[*http.Request]int{
		largeHeader: http.StatusRequestHeaderFieldsTooLarge, largeBody: http.StatusRequestEntityTooLarge,
	} {
		response, err := h.client.Do(r)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, status, response.StatusCode)
	}
}

// Guards against an upstream that stopped during an outage of the store and still gets requests long after the store's
// recovery. On ccbw-hold-grown scale-2, where reads are 1.8 s apart, a grace of 2.2 s lasted 3.6 s.
func TestUpstreamRemovedDuringStoreOutageExpires(t *testing.T) {
	h := newHarnessWithDrainDelay(t, 3*time.Second, serveWith(func(r *http.Request) string {
		return responseTo(r, "ok")
	}))
	status, _ := h.do("GET", "/look/1")
	require.Equal(t, 200, status)
	h.feed.setDown(true)
	h.feed.remove("servers", "u0")
	time.Sleep(5500 * time.Millisecond) // longer than outageThreshold
	h.feed.setDown(false)
	time.Sleep(time.Second)
	status, _ = h.do("GET", "/look/1")
	require.Equal(t, 200, status, "a live upstream has 2 s to write its row again")
	time.Sleep(2 * time.Second)
	status, _ = h.do("GET", "/look/1")
	require.Equal(t, http.StatusServiceUnavailable, status)
}

// Guards against heartbeats that conflict forever once a write that had been reported as failed takes effect late.
func TestHeartbeatIsRewrittenAfterAConflict(t *testing.T) {
	h := newHarness(t, serveWith(func(r *http.Request) string { return responseTo(r, "ok") }))
	ownRow := func() store.Change { return h.feed.changesSince("members", 0).Rows[0] }
	staleValue := ownRow().Value
	for range 2 {
		h.feed.put("members", "osrednja-1", staleValue)
		conflictingVersion := ownRow().Version
		require.Eventually(t, func() bool {
			return ownRow().Version > conflictingVersion
		}, 5*time.Second, 10*time.Millisecond)
	}
	require.NotContains(t, h.log.String(), "store: lost")
}
