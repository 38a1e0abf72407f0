package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/gateway"
	"bluebellhold/internal/steering"
)

const notRunResponse = "HTTP/1.1 503 Service Unavailable\r\nOutcome: not run\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"

// Guards against a late copy of an earlier answer that is taken for the answer to a request which may not be repeated: its
// caller would be told that it has not run, or get the answer to another request.
func TestLateCopyIsNotTheAnswerToAClaimedRequest(t *testing.T) {
	t.Parallel()
	for name, late := range map[string]string{
		"refusal": notRunResponse,
		"answer":  "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := &engine{claimed: true, upstream: serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
				for n := 0; ; n++ {
					request, body := readRequest(r)
					if request == nil {
						return
					}
					if n > 0 {
						_, _ = io.WriteString(c, late)
						time.Sleep(20 * time.Millisecond)
					}
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				}
			})}
			address := e.start(t, gateway.Config{})
			for n := range 5 {
				text := fmt.Sprintf("POST /service/pregled/draws HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k%d\r\nContent-Length: 2\r\n\r\nb%d", n, n)
				response, body, complete := sendRaw(t, address, text).readResponse(t, http.MethodPost)
				require.True(t, complete)
				require.Equal(t, http.StatusOK, response.StatusCode)
				require.Equal(t, fmt.Sprint("b", n), string(body))
				require.IsType(t, steering.Answered{}, e.nextOutcome(t))
			}
		})
	}
}

// Guards against a refusal that is believed although it may be a late copy of one to an earlier request on the connection,
// and against one on a new connection that is not believed.
func TestRefusalIsEvidenceOnNewConnectionsOnly(t *testing.T) {
	t.Parallel()
	for _, isClaimed := range []bool{false, true} {
		t.Run(fmt.Sprint("claimed ", isClaimed), func(t *testing.T) {
			t.Parallel()
			var connections atomic.Int64
			e := &engine{claimed: isClaimed, upstream: serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
				connections.Add(1)
				for request, _ := readRequest(r); request != nil; request, _ = readRequest(r) {
					_, _ = io.WriteString(c, notRunResponse)
				}
			})}
			address := e.start(t, gateway.Config{})
			for n := range 4 {
				_, _, complete := sendRaw(t, address, "POST /service/pregled/a HTTP/1.1\r\nHost: a\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\nab").
					readResponse(t, http.MethodPost)
				require.True(t, complete)
				mayHaveRun := !isClaimed && n > 0
				require.Equal(t, steering.Shed{Rest: 2 * time.Second, MayHaveRun: mayHaveRun}, e.nextOutcome(t))
			}
			if isClaimed {
				require.EqualValues(t, 4, connections.Load())
			}
		})
	}
}
