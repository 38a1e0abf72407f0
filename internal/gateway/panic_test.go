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

// Guards against a panic ending more than its own request, keeping its slot, or completing a part of an answer.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	big := strings.Repeat("x", 300000)
	upstream, _ := recorded(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(big), big))
	var wanted atomic.Int64
	e := &engine{upstream: upstream, metered: true, hook: func(event steering.Event) {
		switch v := event.(type) {
		case steering.RequestArrived:
			if v.Path == "/arrival" {
				panic("on arrival")
			}
		case steering.TransferRequested:
			if v.Request == 2 && wanted.Add(1) == 3 {
				panic("in the answer")
			}
		}
	}}
	c := call(t, e.start(t, gateway.Config{}), get("/arrival"))
	response, body, whole := c.answer(t, http.MethodGet)
	require.True(t, whole)
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	require.Contains(t, string(body), `"outcome":"unknown"`)
	_, err := io.WriteString(c, get("/answer"))
	require.NoError(t, err)
	_, _, whole = c.answer(t, http.MethodGet)
	require.False(t, whole)
	require.Equal(t, steering.Cancelled{}, e.ending(t))
	_, body, whole = call(t, "127.0.0.1:"+strconv.Itoa(c.RemoteAddr().(*net.TCPAddr).Port), get("/third")).answer(t, http.MethodGet)
	require.True(t, whole)
	require.Len(t, body, len(big))
}

// Guards against a part of an answer that looks whole to an HTTP/1.0 caller, where the end of the connection is the end of an answer of unknown length.
func TestBrokenAnswerToOldCaller(t *testing.T) {
	e := &engine{upstream: serveRaw(t, func(c *net.TCPConn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30000\r\n"+strings.Repeat("x", 0x28000))
	})}
	c := call(t, e.start(t, gateway.Config{}), "GET /service/pregled/ HTTP/1.0\r\n\r\n")
	_, _, whole := c.answer(t, http.MethodGet)
	require.False(t, whole)
	require.Equal(t, steering.Broken{AnswerStarted: true}, e.ending(t))
}
