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

// Guards against slow callers occupying upstream slots: a buffered response must free the slot before the caller reads
// it, and a caller that stops reading a streamed one must be disconnected without counting a failure of the upstream.
func TestCallerStopsReading(t *testing.T) {
	const size = 256 << 20
	written := make(chan int64, 1)
	e := &engine{upstream: serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		request, _ := readRequest(r)
		if request.URL.Path == "/small" {
			_, _ = io.WriteString(c, okResponse)
			return
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		n, _ := io.Copy(c, io.LimitReader(zeroReader{}, size))
		written <- n
	})}
	address := e.start(t, gateway.Config{StallTimeout: 200 * time.Millisecond})
	sendRaw(t, address, getRequest("/small"))
	require.Equal(t, steering.Answered{Size: 2}, e.nextOutcome(t))
	sendRaw(t, address, getRequest("/large"))
	require.Equal(t, steering.Cancelled{}, e.nextOutcome(t))
	require.Less(t, <-written, int64(size), "the upstream was read to the end for a caller that reads nothing")
}

// Guards against continuing attempts for disconnected callers unless the response must be stored for replay, and against
// counting a failure of the upstream if the caller disconnected before anything was sent.
func TestCallerDisconnects(t *testing.T) {
	started, finish, disconnected := make(chan bool, 1), make(chan bool, 1), make(chan bool, 1)
	upstream := serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		readRequest(r)
		started <- true
		go func() {
			_, _ = r.ReadByte()
			disconnected <- true
		}()
		<-finish
		_, _ = io.WriteString(c, strings.Replace(okResponse, "\r\n", "\r\nX-End: b\r\n", 1))
		<-disconnected
	})
	e := &engine{upstream: upstream}
	c := sendRaw(t, e.start(t, gateway.Config{}), getRequest("/"))
	<-started
	c.Close()
	require.Equal(t, steering.Cancelled{}, e.nextOutcome(t))
	require.True(t, <-disconnected)
	disconnected <- true
	finish <- true

	e = &engine{upstream: upstream, claimed: true}
	c = sendRaw(t, e.start(t, gateway.Config{}), getRequest("/"))
	<-started
	c.Close()
	time.Sleep(50 * time.Millisecond)
	finish <- true
	answered, ok := e.nextOutcome(t).(steering.Answered)
	require.True(t, ok)
	require.Equal(t, "ok", string(answered.Response.Body))
	require.Equal(t, "b", answered.Response.Header["X-End"][0])

	e = &engine{upstream: upstream, dispatchOnDisconnect: true}
	c = sendRaw(t, e.start(t, gateway.Config{}), getRequest("/"))
	e.nextArrival(t)
	c.Close()
	require.Equal(t, steering.Cancelled{}, e.nextOutcome(t))
}

// Guards against deadlines that are not passed on or overflow.
func TestDeadlines(t *testing.T) {
	t.Parallel()
	upstream, heads := recordingUpstream(t, "")
	e := &engine{upstream: upstream, attemptTimeout: 300 * time.Millisecond}
	address := e.start(t, gateway.Config{})
	for value, want := range map[string]time.Duration{
		"1500": 1500 * time.Millisecond, "9223372036854775807": 10 * time.Minute, "-1": 30 * time.Second, "x": 30 * time.Second,
	} {
		before := time.Now()
		c := sendRaw(t, address, strings.Replace(getRequest("/"), "\r\n\r\n", "\r\nRequest-Timeout: "+value+"\r\n\r\n", 1))
		response, _, _ := c.readResponse(t, http.MethodGet)
		require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
		require.Equal(t, steering.TimedOut{}, e.nextOutcome(t))
		require.WithinRange(t, e.nextArrival(t).Deadline, before.Add(want), time.Now().Add(want))
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(<-heads)))
		require.NoError(t, err)
		remaining, err := strconv.Atoi(request.Header.Get("Request-Timeout"))
		require.NoError(t, err)
		require.True(t, remaining > 0 && remaining <= 300, remaining)
	}
}
