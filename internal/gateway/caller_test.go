package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/gateway"
	"bluebellhold/internal/steering"
)

// Guards against slow callers holding what others need: a buffered answer must free the slot before the caller reads
// it, and a caller that reads no more of a large one must be given up without blame for the upstream.
func TestCallerThatReadsNothing(t *testing.T) {
	const size = 256 << 20
	closed := make(chan int64, 1)
	e := &engine{upstream: serveRaw(t, func(c *net.TCPConn, r *bufio.Reader) {
		request, _ := readRequest(r)
		if request.URL.Path == "/small" {
			_, _ = io.WriteString(c, ok)
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		n, _ := io.Copy(c, io.LimitReader(zeros{}, size))
		closed <- n
	})}
	address := e.start(t, gateway.Config{StallTimeout: 200 * time.Millisecond})
	call(t, address, get("/small"))
	require.Equal(t, steering.Answered{Size: 2}, e.ending(t))
	call(t, address, get("/large"))
	require.Equal(t, steering.Cancelled{}, e.ending(t))
	require.Less(t, <-closed, int64(size), "the upstream was read to the end for a caller that reads nothing")
}

// Guards against work for callers that have left, except where the answer must be kept, and against an upstream being
// blamed for a caller that left before anything was sent.
func TestCallerLeaves(t *testing.T) {
	started, finish, left := make(chan bool, 1), make(chan bool, 1), make(chan bool, 1)
	upstream := serveRaw(t, func(c *net.TCPConn, r *bufio.Reader) {
		readRequest(r)
		started <- true
		go func() {
			_, _ = r.ReadByte()
			left <- true
		}()
		<-finish
		_, _ = io.WriteString(c, strings.Replace(ok, "\r\n", "\r\nX-End: b\r\n", 1))
		<-left
	})
	e := &engine{upstream: upstream}
	c := call(t, e.start(t, gateway.Config{}), get("/"))
	<-started
	c.Close()
	require.Equal(t, steering.Cancelled{}, e.ending(t))
	require.True(t, <-left)
	left <- true
	finish <- true

	e = &engine{upstream: upstream, kept: true}
	c = call(t, e.start(t, gateway.Config{}), get("/"))
	<-started
	c.Close()
	time.Sleep(50 * time.Millisecond)
	finish <- true
	answered, is := e.ending(t).(steering.Answered)
	require.True(t, is)
	require.Equal(t, "ok", string(answered.Answer.Body))
	require.Equal(t, "b", answered.Answer.Header["X-End"][0])

	e = &engine{upstream: upstream, late: true}
	c = call(t, e.start(t, gateway.Config{}), get("/"))
	e.arrival(t)
	c.Close()
	require.Equal(t, steering.Cancelled{}, e.ending(t))
}

// Guards against deadlines that are lost on the way or wrap around.
func TestDeadlines(t *testing.T) {
	t.Parallel()
	upstream, heads := recorded(t, "")
	e := &engine{upstream: upstream, patience: 300 * time.Millisecond}
	address := e.start(t, gateway.Config{})
	for value, want := range map[string]time.Duration{
		"1500": 1500 * time.Millisecond, "9223372036854775807": 10 * time.Minute, "-1": 30 * time.Second, "x": 30 * time.Second,
	} {
		before := time.Now()
		c := call(t, address, strings.Replace(get("/"), "\r\n\r\n", "\r\nRequest-Timeout: "+value+"\r\n\r\n", 1))
		response, _, _ := c.answer(t, http.MethodGet)
		require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
		require.Equal(t, steering.TimedOut{}, e.ending(t))
		require.WithinRange(t, e.arrival(t).Deadline, before.Add(want), time.Now().Add(want))
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(<-heads)))
		require.NoError(t, err)
		left, err := strconv.Atoi(request.Header.Get("Request-Timeout"))
		require.NoError(t, err)
		require.True(t, left > 0 && left <= 300, left)
	}
}
