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

// Guards against a key that reaches an upstream, a tenant that the caller chose, a deadline that is passed on unchanged
// and a request that is altered on the way.
func TestUpstreamsSeeTheRequestWithoutTheKey(t *testing.T) {
	seen := make(chan *http.Request, 1)
	w := newWorld(t, serve(func(r *http.Request) string {
		seen <- r
		return good(r, "ok")
	}))
	r := w.request("POST", "/draw/a%2Fb/?x=1;2&y", "body")
	r.Header.Set("X-Bluebellhold-Tenant", "somebody")
	r.Header.Set("X-Custom", "kept")
	response, err := w.client.Do(r)
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, 200, response.StatusCode)
	require.Equal(t, "seal", response.Header.Get("X-Bluebellhold-Response-Seal"))
	got := <-seen
	require.Equal(t, "/draw/a%2Fb/?x=1;2&y", got.RequestURI)
	require.Equal(t, "example", got.Host)
	require.Equal(t, "POST", got.Method)
	body, _ := io.ReadAll(got.Body)
	require.Equal(t, "body", string(body))
	require.Empty(t, got.Header.Get("Authorization"))
	require.Equal(t, []string{"school"}, got.Header["X-Bluebellhold-Tenant"])
	require.Equal(t, "u0", got.Header.Get("X-Bluebellhold-Expect-Instance"))
	require.Equal(t, "kept", got.Header.Get("X-Custom"))
	left, err := strconv.Atoi(got.Header.Get("X-Bluebellhold-Deadline-Ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 1500, "the route's timeout is shorter than the caller's patience")
}

// Guards against answers that belong to another request, are cut off, encoded or unsigned. An idempotent request is
// sent once more; one that must not be repeated gets a failure that promises nothing.
func TestBrokenAnswersNeverReachTheCaller(t *testing.T) {
	broken := map[string]func(r *http.Request) string{
		"cut off": func(r *http.Request) string { return strings.Replace(good(r, "abc"), "Length: 3", "Length: 30", 1) },
		"no seal": func(r *http.Request) string { return strings.Replace(good(r, "abc"), "Response-Seal", "Other", 1) },
		"encoded": func(r *http.Request) string {
			return strings.Replace(good(r, "abc"), "200 OK\r\n", "200 OK\r\nContent-Encoding: gzip\r\n", 1)
		},
		"another answer": func(*http.Request) string {
			return strings.Replace(signed("other", "abc"), "200 OK\r\n", "200 OK\r\nConnection: close\r\n", 1)
		},
		"no http": func(*http.Request) string { return "!!!!\r\n\r\n" },
		"closed":  func(*http.Request) string { return "" },
	}
	for name, answer := range broken {
		t.Run(name, func(t *testing.T) {
			var first atomic.Bool
			handle := func(conn net.Conn) {
				isBroken := false
				serve(func(r *http.Request) string {
					if isBroken {
						return ""
					}
					if !first.Swap(true) {
						isBroken = true
						return answer(r)
					}
					return good(r, "whole")
				})(&halfClosing{conn.(*net.TCPConn)})
			}
			w := newWorld(t, handle, handle)
			status, body := w.get("GET", "/look/1")
			require.Equal(t, 200, status)
			require.Equal(t, "whole", body)
			first.Store(false)
			status, _ = w.get("POST", "/draw/1")
			require.Equal(t, http.StatusBadGateway, status)
		})
	}
}

// halfClosing ends the answer side after each write that is not followed by another request soon, so that a cut answer
// is seen at once.
type halfClosing struct{ *net.TCPConn }

func (c *halfClosing) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if !bytes.HasSuffix(b, []byte("whole")) {
		_ = c.CloseWrite()
	}
	return n, err
}

// Guards against a late second answer to an earlier request that is taken for the answer to the next one on the same
// connection.
func TestALateSecondAnswerIsSkipped(t *testing.T) {
	var previous atomic.Value
	previous.Store("")
	w := newWorld(t, serve(func(r *http.Request) string {
		own := good(r, r.RequestURI)
		if p := previous.Swap(r.Header.Get("X-Bluebellhold-Attempt-Id")).(string); p != "" {
			return signed(p, "late") + own
		}
		return own
	}))
	for i := range 5 {
		path := fmt.Sprint("/draw/", i)
		status, body := w.get("POST", path)
		require.Equal(t, 200, status)
		require.Equal(t, path, body)
	}
}

// Guards against a connection that is used again although bytes came after the last answer.
func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	w := newWorld(t, serve(func(r *http.Request) string { return good(r, r.RequestURI) + "HTTP/1.1 200 OK\r\n\r\n" }))
	for i := range 3 {
		path := fmt.Sprint("/draw/", i)
		status, body := w.get("POST", path)
		require.Equal(t, 200, status)
		require.Equal(t, path, body)
	}
}

// Guards against a promise of "not run" that is not the upstream's own, and against a lost one that is.
func TestOnlyTheUpstreamsOwnWordLeadsToAPromise(t *testing.T) {
	rejected := "HTTP/1.1 503 Service Unavailable\r\nX-Bluebellhold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	var answer atomic.Value
	answer.Store(rejected)
	w := newWorld(t, serve(func(*http.Request) string { return answer.Load().(string) }))
	status, _ := w.get("POST", "/draw/1")
	require.Equal(t, http.StatusServiceUnavailable, status)
	answer.Store(strings.Replace(rejected, "X-Bluebellhold-Not-Executed", "X-Other", 1))
	time.Sleep(50 * time.Millisecond)
	status, _ = w.get("POST", "/draw/2")
	require.Equal(t, http.StatusBadGateway, status)
}

// Guards against work at an upstream that goes on for a caller that has left.
func TestAnAbandonedRequestIsBrokenOffAtTheUpstream(t *testing.T) {
	left := make(chan struct{})
	begun := make(chan struct{})
	w := newWorld(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		close(begun)
		_, _ = reader.ReadByte()
		close(left)
	})
	conn, err := net.Dial("tcp", w.address)
	require.NoError(t, err)
	var head bytes.Buffer
	require.NoError(t, w.request("GET", "/look/1", "").Write(&head))
	_, err = conn.Write(head.Bytes())
	require.NoError(t, err)
	<-begun
	require.NoError(t, conn.Close())
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the upstream still works for a caller that has left")
	}
}

// Guards against a request that is held beyond its route's timeout.
func TestTheRoutesTimeoutEndsARequest(t *testing.T) {
	w := newWorld(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	begun := time.Now()
	status, _ := w.get("POST", "/draw/1")
	require.Equal(t, http.StatusGatewayTimeout, status)
	require.GreaterOrEqual(t, time.Since(begun), 1400*time.Millisecond)
}

// Guards against a connection that stays open after a request with both a length and a chunked body.
func TestARequestWithTwoLengthsEndsTheConnection(t *testing.T) {
	w := newWorld(t, serve(func(r *http.Request) string { return good(r, "ok") }))
	conn, err := net.Dial("tcp", w.address)
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

// Guards against requests cut by a planned stop, and against callers that find the listener closed at once.
func TestAPlannedStopFinishesWhatHasBeenRead(t *testing.T) {
	release := make(chan struct{})
	begun := make(chan struct{}, 1)
	w := newWorld(t, serve(func(r *http.Request) string {
		if r.RequestURI == "/draw/slow" {
			begun <- struct{}{}
			<-release
		}
		return good(r, "ok")
	}))
	slow := make(chan int, 1)
	go func() {
		status, _ := w.get("POST", "/draw/slow")
		slow <- status
	}()
	<-begun
	w.stop()
	status, _ := w.get("GET", "/look/1")
	require.Equal(t, 200, status)
	close(release)
	require.Equal(t, 200, <-slow)
	<-w.stopped
}

// Guards against a broken document that replaces the last good one.
func TestABrokenDocumentChangesNothing(t *testing.T) {
	w := newWorld(t, serve(func(r *http.Request) string { return good(r, "ok") }))
	w.feed.put("op", "config", []byte(`{"version":9,"resources":[{"resourceKind":"routes","spec":{"host":"example"`))
	w.feed.put("op", "evacuate/elsewhere", []byte(`{}`))
	time.Sleep(100 * time.Millisecond)
	status, _ := w.get("GET", "/look/1")
	require.Equal(t, 200, status)
}

// Guards against a failed request whose id does not lead to the cause in the log.
func TestTheLogLeadsFromTheIDToTheCause(t *testing.T) {
	w := newWorld(t, serve(func(r *http.Request) string {
		if r.RequestURI == "/draw/broken" {
			return ""
		}
		return good(r, "ok")
	}))
	lineOf := func(r *http.Request, text string) string {
		response, err := w.client.Do(r)
		require.NoError(t, err)
		response.Body.Close()
		var found string
		require.Eventually(t, func() bool {
			for line := range strings.Lines(w.log.String()) {
				if strings.Contains(line, "id="+r.Header.Get("X-Bluebellhold-Attempt-Id")+" ") && strings.Contains(line, text) {
					found = line
					return true
				}
			}
			return false
		}, time.Second, 5*time.Millisecond)
		return found
	}
	require.Contains(t, lineOf(w.request("POST", "/draw/broken", ""), "attempt broken"), "unexpected EOF")
	require.Contains(t, lineOf(w.request("POST", "/draw/broken", ""), "refused"), "code=broken status=502 ran=true")
	unknown := w.request("GET", "/look/1", "")
	unknown.Header.Set("Authorization", "Bearer wrong")
	line := lineOf(unknown, "refused")
	require.Contains(t, line, "code=key")
	require.Contains(t, line, "version=7")
	require.NotContains(t, w.log.String(), "wrong", "keys stay out of the log")
	require.NotContains(t, w.log.String(), "secret-key")
}

// Guards against a caller that sends more than the operator allows.
func TestCallersStayWithinTheOperatorsLimits(t *testing.T) {
	w := newWorld(t, serve(func(r *http.Request) string { return good(r, "ok") }))
	long := w.request("GET", "/look/1", "")
	long.Header.Set("X-Long", strings.Repeat("a", 17_000))
	large := w.request("POST", "/draw/1", strings.Repeat("a", 1_000_001))
	for r, status := range map[*http.Request]int{
		long: http.StatusRequestHeaderFieldsTooLarge, large: http.StatusRequestEntityTooLarge,
	} {
		response, err := w.client.Do(r)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, status, response.StatusCode)
	}
}

// Guards against an upstream that left while the store was away and is still sent requests long after the store's return,
// as on ccbw-hold-grown scale-2, where reads are 1.8 s apart and 2.2 s of grace lasted 3.6 s.
func TestAnUpstreamThatVanishedDuringAnOutageIsGivenUpInTime(t *testing.T) {
	w := newWorldWith(t, 3*time.Second, serve(func(r *http.Request) string { return good(r, "ok") }))
	status, _ := w.get("GET", "/look/1")
	require.Equal(t, 200, status)
	w.feed.set(true)
	w.feed.remove("servers", "u0")
	time.Sleep(5500 * time.Millisecond) // longer than a read that is merely late
	w.feed.set(false)
	time.Sleep(time.Second)
	status, _ = w.get("GET", "/look/1")
	require.Equal(t, 200, status, "one that lives has 2 s to write its row again")
	time.Sleep(2 * time.Second)
	status, _ = w.get("GET", "/look/1")
	require.Equal(t, http.StatusServiceUnavailable, status)
}

// Guards against an instance whose heartbeats fail for good once its row has been written by a call that it took for lost.
func TestAHeartbeatThatConflictsIsWrittenAgain(t *testing.T) {
	w := newWorld(t, serve(func(r *http.Request) string { return good(r, "ok") }))
	own := func() store.Change { return w.feed.since("instances", 0).Rows[0] }
	late := own().Value
	for range 2 {
		w.feed.put("instances", "osrednja-1", late)
		written := own().Version
		require.Eventually(t, func() bool { return own().Version > written }, 5*time.Second, 10*time.Millisecond)
	}
	require.NotContains(t, w.log.String(), "store: lost")
}
