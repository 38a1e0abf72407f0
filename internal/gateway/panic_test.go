package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/gateway"
	"bluebellhold/internal/steering"
)

// Guards against a panic that affects other requests, leaks its slot or makes a truncated response look complete.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	largeBody := strings.Repeat("x", 300000)
	upstream, _ := recordingUpstream(t,
		fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(largeBody), largeBody))
	var transferRequests atomic.Int64
	e := &engine{upstream: upstream, metered: true, onEvent: func(event steering.Event) {
		switch v := event.(type) {
		case steering.RequestArrived:
			if v.Path == "/arrival" {
				panic("on arrival")
			}
		case steering.TransferRequested:
			if v.Request == 2 && transferRequests.Add(1) == 3 {
				panic("in the answer")
			}
		}
	}}
	c := sendRaw(t, e.start(t, gateway.Config{}), getRequest("/arrival"))
	response, body, complete := c.readResponse(t, http.MethodGet)
	require.True(t, complete)
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	require.Contains(t, string(body), `"outcome":"unknown"`)
	_, err := io.WriteString(c, getRequest("/answer"))
	require.NoError(t, err)
	_, _, complete = c.readResponse(t, http.MethodGet)
	require.False(t, complete)
	require.Equal(t, steering.Cancelled{}, e.nextOutcome(t))
	_, body, complete = sendRaw(t, "127.0.0.1:"+strconv.Itoa(c.RemoteAddr().(*net.TCPAddr).Port), getRequest("/third")).
		readResponse(t, http.MethodGet)
	require.True(t, complete)
	require.Len(t, body, len(largeBody))
}

// Guards against a truncated response that looks complete to an HTTP/1.0 caller, where the end of the connection ends a
// response of unknown length.
func TestBrokenResponseToHTTP10Caller(t *testing.T) {
	e := &engine{upstream: serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30000\r\n"+strings.Repeat("x", 0x28000))
	})}
	c := sendRaw(t, e.start(t, gateway.Config{}), "GET /service/pregled/ HTTP/1.0\r\n\r\n")
	_, _, complete := c.readResponse(t, http.MethodGet)
	require.False(t, complete)
	require.Equal(t, steering.Broken{ResponseStarted: true}, e.nextOutcome(t))
}
