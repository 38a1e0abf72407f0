package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const attemptIDHeader = "X-Bluebellhold-Attempt-Id"

// copyingUpstream is a faulty upstream: it sends an answer once more where the answer to the next request on the connection
// is expected, and then runs that request.
type copyingUpstream struct {
	mu sync.Mutex
	// runs counts the runs of each request.
	runs   map[string]int
	copies int
}

// serve handles a connection; late is what the upstream sends before each answer but the first, to the request before.
func (u *copyingUpstream) serve(conn net.Conn, late string) {
	previous := ""
	serveWith(func(r *http.Request) string {
		attemptID := r.Header.Get(attemptIDHeader)
		u.mu.Lock()
		u.runs[attemptID]++
		if previous != "" {
			u.copies++
		}
		u.mu.Unlock()
		if previous != "" {
			if _, err := io.WriteString(conn, strings.ReplaceAll(late, "PREVIOUS", previous)); err != nil {
				return ""
			}
			time.Sleep(20 * time.Millisecond)
		}
		previous = attemptID
		return responseTo(r, r.RequestURI)
	})(conn)
}

// lateAnswers are answers to an earlier request that may arrive once more.
var lateAnswers = map[string]string{
	"refusal":         "HTTP/1.1 503 Service Unavailable\r\nX-Bluebellhold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"refusal, rest":   "HTTP/1.1 503 Service Unavailable\r\nX-Bluebellhold-Not-Executed: 1\r\nRetry-After: 9\r\nServer-Leaving: 1\r\nServer-Limit: 0\r\nContent-Length: 0\r\n\r\n",
	"refusal, body":   "HTTP/1.1 503 Service Unavailable\r\nX-Bluebellhold-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
	"too many":        "HTTP/1.1 429 Too Many Requests\r\nX-Bluebellhold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"bad request":     "HTTP/1.1 400 Bad Request\r\nX-Bluebellhold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"misdirected":     "HTTP/1.1 421 Misdirected Request\r\nX-Bluebellhold-Instance-Id: u9\r\nContent-Length: 0\r\n\r\n",
	"named refusal":   "HTTP/1.1 503 Service Unavailable\r\nX-Bluebellhold-Attempt-Id: PREVIOUS\r\nX-Bluebellhold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	"named 421":       "HTTP/1.1 421 Misdirected Request\r\nX-Bluebellhold-Attempt-Id: PREVIOUS\r\nContent-Length: 0\r\n\r\n",
	"answer":          "HTTP/1.1 200 OK\r\nX-Bluebellhold-Response-Seal: seal\r\nContent-Length: 4\r\n\r\nlate",
	"failure":         "HTTP/1.1 500 Internal Server Error\r\nX-Bluebellhold-Response-Seal: seal\r\nContent-Length: 0\r\n\r\n",
	"interim refusal": "HTTP/1.1 103 Early Hints\r\nX-Bluebellhold-Not-Executed: 1\r\n\r\n",
}

// Guards against a late copy of an earlier answer that is believed for the request in flight: the request is then sent to a
// second upstream though it runs, or its caller is told that it has not run.
func TestLateCopyOfAnAnswerIsNotBelieved(t *testing.T) {
	for name, late := range lateAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			u := &copyingUpstream{runs: make(map[string]int)}
			handle := func(conn net.Conn) { u.serve(conn, late) }
			h := newHarness(t, handle, handle)
			for i := range 6 {
				path := fmt.Sprint("/draw/", i)
				status, body := h.do("POST", path)
				require.Equal(t, http.StatusOK, status, body)
				require.Equal(t, path, body)
			}
			u.mu.Lock()
			defer u.mu.Unlock()
			require.Positive(t, u.copies, "no connection was used again")
			for attemptID, n := range u.runs {
				require.Equal(t, 1, n, attemptID)
			}
		})
	}
}

// Guards against a late copy of a refusal that makes a request which may be repeated fail.
func TestRepeatableRequestGoesElsewhereAfterALateRefusal(t *testing.T) {
	u := &copyingUpstream{runs: make(map[string]int)}
	handle := func(conn net.Conn) { u.serve(conn, lateAnswers["refusal"]) }
	h := newHarness(t, handle, handle)
	for i := range 6 {
		path := fmt.Sprint("/look/", i)
		status, body := h.do("GET", path)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, path, body)
	}
	require.Positive(t, u.copies, "no connection was used again")
}

// sheddingUpstream runs a request on each connection and turns all others away without naming them.
type sheddingUpstream struct {
	runs, refusals, connections atomic.Int64
	isFull                      atomic.Bool
	withID                      bool
}

func (u *sheddingUpstream) serve(conn net.Conn) {
	u.connections.Add(1)
	serveWith(func(r *http.Request) string {
		if !u.isFull.Load() {
			u.runs.Add(1)
			return responseTo(r, "ok")
		}
		u.refusals.Add(1)
		name := ""
		if u.withID {
			name = attemptIDHeader + ": " + r.Header.Get(attemptIDHeader) + "\r\n"
		}
		return "HTTP/1.1 503 Service Unavailable\r\n" + name + "X-Bluebellhold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	})(conn)
}

// Guards against a sound upstream whose refusals don't name the attempt and then count for nothing: its callers would not
// learn that they may try again.
func TestRefusalsWithoutAnIDCountOnNewConnections(t *testing.T) {
	u := &sheddingUpstream{}
	h := newHarness(t, u.serve)
	h.do("POST", "/draw/first")
	u.isFull.Store(true)
	unknown := 0
	for i := range 8 {
		switch status, _ := h.do("POST", fmt.Sprint("/draw/", i)); status {
		case http.StatusServiceUnavailable:
		case http.StatusGatewayTimeout, http.StatusBadGateway:
			unknown++
		default:
			require.Fail(t, "unexpected", "status %d", status)
		}
		time.Sleep(30 * time.Millisecond)
	}
	require.LessOrEqual(t, unknown, 1, "only the first refusal may come on a connection that was used before")
	u.isFull.Store(false)
	require.Eventually(t, func() bool {
		status, _ := h.do("POST", "/draw/last")
		return status == http.StatusOK
	}, 5*time.Second, 50*time.Millisecond)
}

// Guards against refusals that name the attempt and are not believed on a connection that was used before, and against
// connections that they cost.
func TestRefusalsWithAnIDCountOnAllConnections(t *testing.T) {
	u := &sheddingUpstream{withID: true}
	h := newHarness(t, u.serve)
	h.do("POST", "/draw/first")
	u.isFull.Store(true)
	for i := range 8 {
		status, _ := h.do("POST", fmt.Sprint("/draw/", i))
		require.Equal(t, http.StatusServiceUnavailable, status)
		time.Sleep(30 * time.Millisecond)
	}
	require.Positive(t, u.refusals.Load())
	require.LessOrEqual(t, u.connections.Load(), int64(2))
}

// Guards against a connection that leads to another upstream and is used again: a refusal on it is no evidence any more.
func TestConnectionToAnotherUpstreamIsNotUsedAgain(t *testing.T) {
	var requests, connections atomic.Int64
	h := newHarness(t, func(conn net.Conn) {
		connections.Add(1)
		serveWith(func(*http.Request) string {
			requests.Add(1)
			return "HTTP/1.1 421 Misdirected Request\r\nX-Bluebellhold-Instance-Id: u9\r\nContent-Length: 0\r\n\r\n"
		})(conn)
	})
	for i := range 5 {
		status, _ := h.do("POST", fmt.Sprint("/draw/", i))
		require.Equal(t, http.StatusServiceUnavailable, status)
		time.Sleep(300 * time.Millisecond)
	}
	require.Equal(t, requests.Load(), connections.Load())
}

// Guards against a request without an attempt's id on a connection that was used before, where no answer can be matched.
func TestRequestWithoutAnIDGetsAConnectionOfItsOwn(t *testing.T) {
	var carried atomic.Int64
	h := newHarness(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for n := 0; ; n++ {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if r.Header.Get(attemptIDHeader) == "" && n > 0 {
				carried.Add(1)
			}
			if _, err := io.WriteString(conn, responseTo(r, "ok")); err != nil {
				return
			}
		}
	})
	for i := range 4 {
		h.do("GET", fmt.Sprint("/look/", i))
		r := h.request("GET", fmt.Sprint("/look/", i), "")
		r.Header.Del(attemptIDHeader)
		response, err := h.client.Do(r)
		require.NoError(t, err)
		response.Body.Close()
	}
	require.Zero(t, carried.Load())
}
