package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/drain"
	"bluebellhold/internal/gateway"
)

// Guards against a truncated response that looks complete to an HTTP/1.0 caller of an instance, whose listener tracks the
// connections: they are not reset, since they are no *net.TCPConn.
func TestBrokenResponseToHTTP10CallerOfTrackedServer(t *testing.T) {
	e := &engine{upstream: serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		readRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30000\r\n"+strings.Repeat("x", 0x28000))
	})}
	e.start(t, gateway.Config{})
	connections := drain.New(drain.Config{HeadTimeout: time.Minute, IdleTimeout: time.Minute})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: gateway.New(gateway.Config{Engine: e}), ConnState: connections.Track}
	go func() { _ = server.Serve(connections.Listen(l)) }()
	t.Cleanup(func() { server.Close() })
	c := sendRaw(t, l.Addr().String(), "GET /service/pregled/ HTTP/1.0\r\n\r\n")
	_, body, complete := c.readResponse(t, http.MethodGet)
	require.False(t, complete, "%d bytes of a truncated response ended with EOF", len(body))
}
