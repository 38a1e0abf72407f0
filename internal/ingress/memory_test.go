package ingress_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/platform"
)

// newMemoryHarness starts an instance whose bodies and responses may use a size.
func newMemoryHarness(t *testing.T, size id.Bytes, upstream func(net.Conn)) *harness {
	h := &harness{
		T: t, feed: &memoryFeed{}, address: freeAddress(t), log: &lockedBuffer{}, registry: metrics.NewRegistry(),
		// Bodies and responses may use a half of the memory limit.
		memoryLimit: 2 * size, client: &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second},
	}
	h.feed.put(platform.OperatorTable, "config", []byte(document))
	h.serveUpstream("u0", upstream)
	h.stop, h.stopped = h.start("osrednja-1", h.feed, h.address, h.log, time.Second)
	return h
}

func (h *harness) heldBytes() int64 { return h.registry.Get("memory.held").(metrics.Gauge).Value() }

// requireReleased waits until no memory is held.
func (h *harness) requireReleased() {
	h.Helper()
	require.Eventually(h, func() bool { return h.heldBytes() == 0 }, 5*time.Second, 5*time.Millisecond)
}

// Guards against bodies that are not counted while they are read, or counted for ever.
func TestBodiesThatAreReadCount(t *testing.T) {
	var runs atomic.Int64
	h := newMemoryHarness(t, 1<<20, serveWith(func(r *http.Request) string {
		runs.Add(1)
		return responseTo(r, "ok")
	}))
	// Each slow body takes 512 KiB of 896 KiB: 7 of 8 parts of what bodies and responses may use.
	blocked, unblock := io.Pipe()
	slow := h.request("POST", "/draw/slow", "")
	slow.Body, slow.ContentLength = blocked, 500<<10
	ended := make(chan int, 1)
	go func() {
		response, err := h.client.Do(slow)
		if err != nil {
			ended <- 0
			return
		}
		_ = response.Body.Close()
		ended <- response.StatusCode
	}()
	require.Eventually(t, func() bool { return h.heldBytes() >= 500<<10 }, 5*time.Second, time.Millisecond)
	response, err := h.client.Do(h.request("POST", "/draw/second", strings.Repeat("x", 500<<10)))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Zero(t, runs.Load())
	_, err = unblock.Write(make([]byte, 500<<10))
	require.NoError(t, err)
	require.NoError(t, unblock.Close())
	require.Equal(t, http.StatusOK, <-ended)
	h.requireReleased()
	status, _ := h.do("POST", "/draw/third")
	require.Equal(t, http.StatusOK, status)
}

// Guards against a body without end that uses up the memory.
func TestBodyWithoutEndIsRefused(t *testing.T) {
	h := newMemoryHarness(t, 512<<10, serveWith(func(r *http.Request) string { return responseTo(r, "ok") }))
	reader, writer := io.Pipe()
	go func() {
		for {
			if _, err := writer.Write(make([]byte, 4096)); err != nil {
				return
			}
		}
	}()
	r := h.request("POST", "/draw/endless", "")
	r.Body, r.ContentLength = reader, -1
	// The client may see a reset instead of the refusal, since it still sends.
	if response, err := h.client.Do(r); err == nil {
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.NoError(t, response.Body.Close())
	}
	_ = reader.Close()
	h.requireReleased()
	require.Equal(t, int64(1), h.count("memory.refused"))
}

// Guards against a request that is sent although there is no memory for its response, and against a refusal of it that
// does not say that it has not run.
func TestRequestIsNotSentWithoutMemoryForItsResponse(t *testing.T) {
	var runs atomic.Int64
	release := make(chan struct{})
	h := newMemoryHarness(t, 1<<20, serveWith(func(r *http.Request) string {
		if runs.Add(1) > 1 {
			<-release
		}
		return responseTo(r, strings.Repeat("x", 700<<10))
	}))
	status, _ := h.do("POST", "/draw/first")
	require.Equal(t, http.StatusOK, status, "the size of responses is not known yet")
	h.requireReleased()
	var all sync.WaitGroup
	all.Go(func() {
		status, body := h.do("POST", "/draw/second")
		assert.Equal(t, http.StatusOK, status)
		assert.Len(t, body, 700<<10)
	})
	require.Eventually(t, func() bool { return runs.Load() == 2 }, 5*time.Second, time.Millisecond)
	for n := range 3 {
		status, body := h.do("POST", fmt.Sprint("/draw/refused/", n))
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.JSONEq(t, `{"code":"busy"}`, body)
	}
	require.Equal(t, int64(2), runs.Load())
	close(release)
	all.Wait()
	h.requireReleased()
	status, _ = h.do("POST", "/draw/last")
	require.Equal(t, http.StatusOK, status)
}

// Guards against a response whose memory is given back before a caller that does not read it has got it, or never.
func TestResponseCountsUntilItIsWritten(t *testing.T) {
	const size = 8 << 20
	h := newMemoryHarness(t, 64<<20, serveWith(func(r *http.Request) string { return responseTo(r, strings.Repeat("x", size)) }))
	conn, err := net.Dial("tcp", h.address)
	require.NoError(t, err)
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4096))
	require.NoError(t, h.request("GET", "/look/1", "").Write(conn))
	require.Eventually(t, func() bool { return h.heldBytes() >= size }, 5*time.Second, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	require.GreaterOrEqual(t, h.heldBytes(), int64(size))
	require.NoError(t, conn.Close())
	h.requireReleased()
}

// Guards against an upload whose body is sent again although the upstream may have run the request.
func TestUploadIsSentOnce(t *testing.T) {
	for name, read := range map[string]int64{"head": 1, "part": 30 << 10, "all": 1 << 20} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			upstream := func(conn net.Conn) {
				n, _ := io.CopyN(io.Discard, conn, min(read, 60<<10))
				if n > 0 {
					sent.Add(1)
				}
			}
			h := newHarness(t, upstream, upstream)
			response, err := h.client.Do(h.request("POST", "/draw/upload", strings.Repeat("x", 60<<10)))
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
			require.Equal(t, http.StatusBadGateway, response.StatusCode, "it may have run")
			require.Equal(t, int64(1), sent.Load())
		})
	}
}
