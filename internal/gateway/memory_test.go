package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/gateway"
)

// answeringUpstream starts an upstream that answers each request with a body of a size, and counts the requests.
func answeringUpstream(t testing.TB, size int, header string) (address string, runs *atomic.Int64) {
	runs = new(atomic.Int64)
	return serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			request, _ := readRequest(r)
			if request == nil {
				return
			}
			runs.Add(1)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n%s", header, strings.Repeat("x", size))
		}
	}), runs
}

// Guards against bodies that are read into memory without a bound on all of them together.
func TestClaimedBodiesThatArriveTogetherCount(t *testing.T) {
	t.Parallel()
	const callers, size = 6, 500_000
	for name, isChunked := range map[string]bool{"length": false, "chunked": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			upstream, runs := answeringUpstream(t, 2, "Content-Length: 2\r\n")
			e := &engine{upstream: upstream, claimed: true}
			// Two bodies fit into five eighths of the memory, or one while a second one grows.
			address := e.start(t, gateway.Config{MaxClaimedBody: 1 << 20, MaxMemory: 1700 << 10})
			head, end := fmt.Sprintf("Content-Length: %d\r\n\r\n", size), ""
			if isChunked {
				head, end = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", size), "\r\n0\r\n\r\n"
			}
			var conns []*callerConn
			for range callers {
				c := sendRaw(t, address, "POST /service/pregled/ HTTP/1.1\r\nHost: a\r\n"+head)
				go func() { _, _ = io.WriteString(c, strings.Repeat("y", size-1)) }()
				conns = append(conns, c)
			}
			// Those for which there is memory wait for the last byte.
			time.Sleep(time.Second)
			for _, c := range conns {
				go func() { _, _ = io.WriteString(c, "y"+end) }()
			}
			served, refused := 0, 0
			for _, c := range conns {
				response, body, _ := c.readResponse(t, http.MethodPost)
				if response == nil {
					continue
				}
				if response.StatusCode == http.StatusOK {
					served++
					continue
				}
				require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
				require.Equal(t, "not run", response.Header.Get("Outcome"))
				require.NotEmpty(t, response.Header.Get("Retry-After"))
				require.Contains(t, string(body), `"code":"queue"`)
				refused++
			}
			require.LessOrEqual(t, served, 2)
			require.Positive(t, served)
			require.Positive(t, refused)
			require.Equal(t, int64(served), runs.Load(), "what is refused has not run")
		})
	}
}

// Guards against a response that is lost because there is no memory for it; it can be streamed.
func TestResponseIsStreamedWithoutMemoryForIt(t *testing.T) {
	t.Parallel()
	for name, header := range map[string]string{"length": "Content-Length: 60000\r\n", "end of connection": "Connection: close\r\n"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			upstream := serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
				if request, _ := readRequest(r); request != nil {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n%s", header, strings.Repeat("x", 60_000))
				}
			})
			e := &engine{upstream: upstream}
			address := e.start(t, gateway.Config{MaxMemory: 16 << 10})
			response, body, complete := sendRaw(t, address, getRequest("/")).readResponse(t, http.MethodGet)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.True(t, complete)
			require.Len(t, body, 60_000)
		})
	}
}
