package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Measures the throughput of small requests, for comparisons of two versions in alternating runs. SMALL_REQUESTS is the number
// of requests on each of 8 connections; half of them have a body of 1 KiB.
func TestThroughputOfSmallRequests(t *testing.T) {
	count, err := strconv.Atoi(os.Getenv("SMALL_REQUESTS"))
	if err != nil {
		t.Skip("SMALL_REQUESTS is not set")
	}
	const connections, bodySize = 8, 1 << 10
	answer := strings.Repeat("x", 1<<10)
	serve := serveWith(func(r *http.Request) string { return responseTo(r, answer) })
	h := newHarness(t, serve, serve, serve, serve)
	var all sync.WaitGroup
	startedAt, usedBefore := time.Now(), cpuTime(t)
	for n := range connections {
		all.Go(func() {
			conn, err := net.Dial("tcp", h.address)
			require.NoError(t, err)
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for i := range count {
				method, body := "GET", ""
				if i%2 == 1 {
					method, body = "POST", strings.Repeat("y", bodySize)
				}
				_, err := fmt.Fprintf(conn, "%s /look/%d HTTP/1.1\r\nHost: example\r\nX-Bluebellhold-Attempt-Id: a-%d-%d\r\n"+
					"X-Bluebellhold-Deadline-Ms: 2500\r\nAuthorization: Bearer secret-key\r\nContent-Length: %d\r\n\r\n%s",
					method, n, n, i, len(body), body)
				require.NoError(t, err)
				response, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode)
				_, err = io.Copy(io.Discard, response.Body)
				require.NoError(t, err)
			}
		})
	}
	all.Wait()
	requests := float64(connections * count)
	t.Logf("%.0f requests/s, %.1f us of processor time each", requests/time.Since(startedAt).Seconds(),
		float64((cpuTime(t)-usedBefore).Microseconds())/requests)
}

// cpuTime returns the processor time that this process has used.
func cpuTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	require.NoError(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
