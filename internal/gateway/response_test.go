package gateway_test

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

	"bluebellhold/internal/gateway"
	"bluebellhold/internal/steering"
)

// Guards against forwarding a truncated or invalid response as a complete one: a small one must become a refusal, a large
// one must abort the caller's connection, and in both cases the attempt must end.
func TestBrokenResponseIsNeverComplete(t *testing.T) {
	largeBody := strings.Repeat("x", 3*int(gateway.MaxBufferedBody))
	declaredLength := "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(largeBody))
	tests := map[string]struct {
		response  string
		forwarded bool
	}{
		"no head":               {"", false},
		"half a head":           {"HTTP/1.1 200 OK\r\nContent-Le", false},
		"head only":             {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", false},
		"half a body":           {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", false},
		"half a chunk":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf", false},
		"no last chunk":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", false},
		"a bad chunk":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", false},
		"a switch of protocols": {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n", false},
		"a bad status":          {"HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n\r\nok", false},
		"a huge head":           {"HTTP/1.1 200 OK\r\nX: " + largeBody + "\r\nContent-Length: 2\r\n\r\nok", false},
		"half a large body":     {declaredLength + largeBody, true},
		"no last chunk, large":  {chunked + largeBody + "\r\n", true},
		"half a chunk, large":   {strings.Replace(chunked, "\r\n\r\n", "\r\n\r\nf", 1) + largeBody, true},
	}
	for name, test := range tests {
		for _, isReset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset=%v", name, isReset), func(t *testing.T) {
				e := &engine{upstream: serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
					readRequest(r)
					_, _ = io.WriteString(c, test.response)
					if isReset {
						time.Sleep(20 * time.Millisecond)
						resetConn(c)
					}
				})}
				c := sendRaw(t, e.start(t, gateway.Config{}), getRequest("/draws"))
				response, body, complete := c.readResponse(t, http.MethodGet)
				require.Equal(t, steering.Broken{ResponseStarted: test.forwarded}, e.nextOutcome(t))
				if test.forwarded {
					require.False(t, complete)
					return
				}
				require.True(t, complete)
				require.Equal(t, http.StatusBadGateway, response.StatusCode)
				require.Contains(t, string(body), `"code":"upstream"`)
			})
		}
	}
}

// Guards against a caller receiving another caller's response when upstreams respond late, send a response twice or send
// more bytes than they declared. There are so many callers that each connection is reused immediately.
func TestResponsesMatchRequests(t *testing.T) {
	const callers, rounds = 160, 20
	trailingBytes := [][2]string{
		{},
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"},
		{"HTTP/1.1 204 No Content\r\n\r\n"},
		{"garbage"},
		{"HTTP/1.1 200 OK\r\nContent-Le", "ngth: 5\r\n\r\nwrong"},
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwr", "ong"},
	}
	streamedBody := strings.Repeat("b", int(gateway.MaxBufferedBody)+1)
	var requests atomic.Int64
	e := &engine{retries: 50, attemptTimeout: 2 * time.Second}
	e.upstream = serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			request, body := readRequest(r)
			if request == nil {
				return
			}
			n := int(requests.Add(1))
			if n%500 == 0 {
				time.Sleep(e.attemptTimeout + 100*time.Millisecond)
			}
			echo := request.URL.Path + string(body)
			trailing := trailingBytes[n%len(trailingBytes)]
			if len(body) == len(streamedBody) {
				// The end of a streamed response may arrive so long before the trailing bytes that they cannot be detected.
				trailing = trailingBytes[0]
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(echo), echo, trailing[0])
			if trailing[1] != "" {
				time.Sleep(time.Millisecond)
				_, _ = io.WriteString(c, trailing[1])
			}
		}
	})
	address := e.start(t, gateway.Config{})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	var correct atomic.Int64
	for i := range callers {
		wg.Go(func() {
			for k := range rounds {
				path, body := fmt.Sprintf("/draws/c%d/r%d", i, k), strings.Repeat("b", k%5)
				if k%5 == 4 {
					body = streamedBody
				}
				response, err := client.Post("http://"+address+"/service/pregled"+path, "", strings.NewReader(body))
				if err != nil {
					t.Error(err)
					return
				}
				text, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK && err == nil && string(text) == path+body {
					correct.Add(1)
				} else if err == nil && response.StatusCode < http.StatusInternalServerError {
					t.Errorf("%s got %d %.40q", path, response.StatusCode, text)
				}
			}
		})
	}
	wg.Wait()
	require.Greater(t, correct.Load(), int64(callers*rounds*9/10))
}

// Guards against net/http sending a claimed request twice: it retries a request with an Idempotency-Key when a reused
// connection breaks. Also guards against reporting a request as not sent although it was sent.
func TestClaimedRequestIsSentOnce(t *testing.T) {
	t.Parallel()
	// Each function ends a connection during its second request and returns the number of requests that it read.
	failures := map[string]func(c *net.TCPConn, r *bufio.Reader) int{
		"at once":           func(*net.TCPConn, *bufio.Reader) int { return 0 },
		"by reset, at once": func(c *net.TCPConn, _ *bufio.Reader) int { resetConn(c); return 0 },
		"after a byte":      func(_ *net.TCPConn, r *bufio.Reader) int { _, err := r.ReadByte(); return boolToInt(err == nil) },
		"by reset after":    func(c *net.TCPConn, r *bufio.Reader) int { n := countRequest(r); resetConn(c); return n },
		"after the request": func(_ *net.TCPConn, r *bufio.Reader) int { return countRequest(r) },
		"after part of a head": func(c *net.TCPConn, r *bufio.Reader) int {
			n := countRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 2")
			return n
		},
		"after a 408": func(c *net.TCPConn, r *bufio.Reader) int {
			n := countRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 408 Timeout\r\nConnection: close\r\nContent-Length: 9\r\n\r\n")
			return n
		},
	}
	for name, fail := range failures {
		for _, method := range []string{"GET", "POST", "PUT"} {
			for _, body := range []string{"", "body"} {
				t.Run(name+"/"+method+"/"+body, func(t *testing.T) {
					for range 4 {
						requireSentOnce(t, fail, method, body)
						requireSentOnceOnNewConnection(t, fail, method, body)
					}
				})
			}
		}
	}
}

func requireSentOnce(t *testing.T, fail func(*net.TCPConn, *bufio.Reader) int, method, body string) {
	var conns, sent atomic.Int64
	respond := func(c *net.TCPConn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") }
	e := &engine{claimed: true, upstream: serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		if conns.Add(1) == 1 {
			readRequest(r)
			respond(c)
			sent.Add(int64(fail(c, r)))
			return
		}
		for request, _ := readRequest(r); request != nil; request, _ = readRequest(r) {
			sent.Add(1)
			respond(c)
		}
	})}
	text := fmt.Sprintf("%s /service/pregled/draws HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nX-Idempotency-Key: k\r\n"+
		"Content-Length: %d\r\n\r\n%s", method, len(body), body)
	c := sendRaw(t, e.start(t, gateway.Config{}), text)
	_, _, complete := c.readResponse(t, method)
	require.True(t, complete)
	require.IsType(t, steering.Answered{}, e.nextOutcome(t))
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
	_, _, complete = c.readResponse(t, method)
	require.True(t, complete)
	switch outcome := e.nextOutcome(t).(type) {
	case steering.Answered:
		require.EqualValues(t, 1, sent.Load())
	case steering.Broken:
		require.LessOrEqual(t, sent.Load(), int64(1))
	default:
		require.Failf(t, "unexpected", "%T", outcome)
	}
}

// requireSentOnceOnNewConnection lets the first connection fail during its first request. A claimed request gets a
// connection of its own.
func requireSentOnceOnNewConnection(t *testing.T, fail func(*net.TCPConn, *bufio.Reader) int, method, body string) {
	var sent atomic.Int64
	e := &engine{claimed: true, upstream: serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) { sent.Add(int64(fail(c, r))) })}
	c := sendRaw(t, e.start(t, gateway.Config{}), fmt.Sprintf(
		"%s /service/pregled/draws HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n%s", method, len(body), body,
	))
	_, _, complete := c.readResponse(t, method)
	require.True(t, complete)
	switch outcome := e.nextOutcome(t).(type) {
	case steering.Broken:
		require.LessOrEqual(t, sent.Load(), int64(1))
	case steering.NothingSent:
		require.Zero(t, sent.Load())
	default:
		require.Failf(t, "unexpected", "%T", outcome)
	}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func countRequest(r *bufio.Reader) int {
	request, _ := readRequest(r)
	return boolToInt(request != nil)
}

// Guards against sending after the dispatch deadline: after DispatchBy neither the first try nor net/http's own retry of
// an idempotent request may send any byte, on new and on reused connections.
func TestNothingIsSentAfterDispatchBy(t *testing.T) {
	t.Parallel()
	var requests atomic.Int64
	upstream := serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		for isFirst := true; ; isFirst = false {
			if _, err := r.Peek(1); err != nil {
				return
			}
			requests.Add(1)
			readRequest(r)
			if !isFirst {
				// The dispatch deadline of the second request has passed when this connection closes.
				time.Sleep(600 * time.Millisecond)
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	e := &engine{upstream: upstream, dispatchTimeout: -time.Second}
	address := e.start(t, gateway.Config{})
	for _, text := range []string{getRequest("/a"), "POST /service/pregled/a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"} {
		_, _, complete := sendRaw(t, address, text).readResponse(t, http.MethodGet)
		require.True(t, complete)
		require.Equal(t, steering.NothingSent{DispatchExpired: true}, e.nextOutcome(t))
	}
	require.Zero(t, requests.Load())

	e = &engine{upstream: upstream, dispatchTimeout: 400 * time.Millisecond}
	address = e.start(t, gateway.Config{})
	for _, outcome := range []steering.AttemptOutcome{steering.Answered{Size: 2}, steering.Broken{}} {
		_, _, complete := sendRaw(t, address, getRequest("/a")).readResponse(t, http.MethodGet)
		require.True(t, complete)
		require.Equal(t, outcome, e.nextOutcome(t))
	}
	require.EqualValues(t, 2, requests.Load())
}
