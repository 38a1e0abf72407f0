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

// Guards against an answer that broke off being passed on as a whole one: a small one must end as a refusal, a large
// one must abort the caller's connection, and neither may leave the attempt without an end.
func TestBrokenAnswerIsNeverWhole(t *testing.T) {
	big := strings.Repeat("x", 3*int(gateway.DefaultMaxBuffered))
	declared := "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(big))
	tests := map[string]struct {
		answer    string
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
		"a huge head":           {"HTTP/1.1 200 OK\r\nX: " + big + "\r\nContent-Length: 2\r\n\r\nok", false},
		"half a large body":     {declared + big, true},
		"no last chunk, large":  {chunked + big + "\r\n", true},
		"half a chunk, large":   {strings.Replace(chunked, "\r\n\r\n", "\r\n\r\nf", 1) + big, true},
	}
	for name, test := range tests {
		for _, isReset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset=%v", name, isReset), func(t *testing.T) {
				e := &engine{upstream: serveRaw(t, func(c *net.TCPConn, r *bufio.Reader) {
					readRequest(r)
					_, _ = io.WriteString(c, test.answer)
					if isReset {
						time.Sleep(20 * time.Millisecond)
						reset(c)
					}
				})}
				c := call(t, e.start(t, gateway.Config{}), get("/draws"))
				response, body, whole := c.answer(t, http.MethodGet)
				require.Equal(t, steering.Broken{AnswerStarted: test.forwarded}, e.ending(t))
				if test.forwarded {
					require.False(t, whole)
					return
				}
				require.True(t, whole)
				require.Equal(t, http.StatusBadGateway, response.StatusCode)
				require.Contains(t, string(body), `"code":"upstream"`)
			})
		}
	}
}

// Guards against one caller getting another's answer when upstreams answer late, send an answer twice or send more
// than they declared, with so many callers that connections pass from one request straight to the next.
func TestAnswersAreNotCrossed(t *testing.T) {
	const callers, rounds = 160, 20
	extra := [][2]string{
		{},
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"},
		{"HTTP/1.1 204 No Content\r\n\r\n"},
		{"garbage"},
		{"HTTP/1.1 200 OK\r\nContent-Le", "ngth: 5\r\n\r\nwrong"},
		{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwr", "ong"},
	}
	streamed := strings.Repeat("b", int(gateway.DefaultMaxBuffered)+1)
	var answers atomic.Int64
	e := &engine{retries: 50, patience: 2 * time.Second}
	e.upstream = serveRaw(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			request, body := readRequest(r)
			if request == nil {
				return
			}
			n := int(answers.Add(1))
			if n%500 == 0 {
				time.Sleep(e.patience + 100*time.Millisecond)
			}
			text := request.URL.Path + string(body)
			more := extra[n%len(extra)]
			if len(body) == len(streamed) {
				// The end of a large answer may arrive so much earlier than what follows it that nothing can tell.
				more = extra[0]
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s%s", len(text), text, more[0])
			if more[1] != "" {
				time.Sleep(time.Millisecond)
				_, _ = io.WriteString(c, more[1])
			}
		}
	})
	address := e.start(t, gateway.Config{})
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	defer client.CloseIdleConnections()
	var work sync.WaitGroup
	var right atomic.Int64
	for i := range callers {
		work.Go(func() {
			for k := range rounds {
				path, body := fmt.Sprintf("/draws/c%d/r%d", i, k), strings.Repeat("b", k%5)
				if k%5 == 4 {
					body = streamed
				}
				response, err := client.Post("http://"+address+"/service/pregled"+path, "", strings.NewReader(body))
				if err != nil {
					t.Error(err)
					return
				}
				text, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK && err == nil && string(text) == path+body {
					right.Add(1)
				} else if err == nil && response.StatusCode < http.StatusInternalServerError {
					t.Errorf("%s got %d %.40q", path, response.StatusCode, text)
				}
			}
		})
	}
	work.Wait()
	require.Greater(t, right.Load(), int64(callers*rounds*9/10))
}

// Guards against a request that must not be repeated being sent twice by net/http, which repeats a request with an
// Idempotency-Key on its own when a reused connection breaks; also against "not sent" for a request that was sent.
func TestKeptRequestIsSentOnce(t *testing.T) {
	t.Parallel()
	// Each one is a way to end a connection during its second request.
	breaks := map[string]func(c *net.TCPConn, r *bufio.Reader) int{
		"at once":           func(*net.TCPConn, *bufio.Reader) int { return 0 },
		"by reset, at once": func(c *net.TCPConn, _ *bufio.Reader) int { reset(c); return 0 },
		"after a byte":      func(_ *net.TCPConn, r *bufio.Reader) int { _, err := r.ReadByte(); return count(err == nil) },
		"by reset after":    func(c *net.TCPConn, r *bufio.Reader) int { n := seen(r); reset(c); return n },
		"after the request": func(_ *net.TCPConn, r *bufio.Reader) int { return seen(r) },
		"after part of a head": func(c *net.TCPConn, r *bufio.Reader) int {
			n := seen(r)
			_, _ = io.WriteString(c, "HTTP/1.1 2")
			return n
		},
		"after a 408": func(c *net.TCPConn, r *bufio.Reader) int {
			n := seen(r)
			_, _ = io.WriteString(c, "HTTP/1.1 408 Timeout\r\nConnection: close\r\nContent-Length: 9\r\n\r\n")
			return n
		},
	}
	for name, end := range breaks {
		for _, method := range []string{"GET", "POST", "PUT"} {
			for _, body := range []string{"", "body"} {
				t.Run(name+"/"+method+"/"+body, func(t *testing.T) {
					for range 4 {
						keptOnReusedConnection(t, end, method, body)
					}
				})
			}
		}
	}
}

func keptOnReusedConnection(t *testing.T, end func(*net.TCPConn, *bufio.Reader) int, method, body string) {
	var conns, sent atomic.Int64
	answer := func(c *net.TCPConn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") }
	e := &engine{kept: true, upstream: serveRaw(t, func(c *net.TCPConn, r *bufio.Reader) {
		if conns.Add(1) == 1 {
			readRequest(r)
			answer(c)
			sent.Add(int64(end(c, r)))
			return
		}
		for request, _ := readRequest(r); request != nil; request, _ = readRequest(r) {
			sent.Add(1)
			answer(c)
		}
	})}
	text := fmt.Sprintf("%s /service/pregled/draws HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nX-Idempotency-Key: k\r\n"+
		"Content-Length: %d\r\n\r\n%s", method, len(body), body)
	c := call(t, e.start(t, gateway.Config{}), text)
	_, _, whole := c.answer(t, method)
	require.True(t, whole)
	require.IsType(t, steering.Answered{}, e.ending(t))
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
	_, _, whole = c.answer(t, method)
	require.True(t, whole)
	switch ending := e.ending(t).(type) {
	case steering.Answered:
		require.EqualValues(t, 1, sent.Load())
	case steering.Broken:
		require.LessOrEqual(t, sent.Load(), int64(1))
	default:
		require.Failf(t, "unexpected", "%T", ending)
	}
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

func seen(r *bufio.Reader) int {
	request, _ := readRequest(r)
	return count(request != nil)
}

// Guards against bytes sent without authority: after DispatchBy neither the first try nor net/http's own repeat of an
// idempotent request may send anything, on new and on reused connections.
func TestNothingIsSentAfterDispatchBy(t *testing.T) {
	t.Parallel()
	var heads atomic.Int64
	upstream := serveRaw(t, func(c *net.TCPConn, r *bufio.Reader) {
		for isFirst := true; ; isFirst = false {
			if _, err := r.Peek(1); err != nil {
				return
			}
			heads.Add(1)
			readRequest(r)
			if !isFirst {
				// The authority of the second request has run out when this connection closes.
				time.Sleep(600 * time.Millisecond)
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	e := &engine{upstream: upstream, authority: -time.Second}
	address := e.start(t, gateway.Config{})
	for _, text := range []string{get("/a"), "POST /service/pregled/a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab"} {
		_, _, whole := call(t, address, text).answer(t, http.MethodGet)
		require.True(t, whole)
		require.Equal(t, steering.NothingSent{DispatchExpired: true}, e.ending(t))
	}
	require.Zero(t, heads.Load())

	e = &engine{upstream: upstream, authority: 400 * time.Millisecond}
	address = e.start(t, gateway.Config{})
	for _, ending := range []steering.AttemptOutcome{steering.Answered{Size: 2}, steering.Broken{}} {
		_, _, whole := call(t, address, get("/a")).answer(t, http.MethodGet)
		require.True(t, whole)
		require.Equal(t, ending, e.ending(t))
	}
	require.EqualValues(t, 2, heads.Load())
}
