package ingress_test

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// heldBackBody is a body whose last byte follows when release is closed.
type heldBackBody struct {
	size    int
	release chan struct{}
}

// Read returns the next part of the body.
func (b *heldBackBody) Read(p []byte) (int, error) {
	switch {
	case b.size == 0:
		return 0, io.EOF
	case b.size == 1:
		<-b.release
	default:
		p = p[:min(len(p), b.size-1)]
	}
	n := min(len(p), b.size)
	b.size -= n
	return n, nil
}

// Guards against bodies that arrive at the same time and are all accepted, since none of them counts before it has been
// read: the process then exceeds its memory.
func TestBodiesThatArriveTogetherCount(t *testing.T) {
	const callers, size = 8, 900_000
	for name, length := range map[string]int64{"length": size, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			// Two bodies fit into 7 of 8 parts of the memory.
			h := newMemoryHarness(t, 2300<<10, serveWith(func(r *http.Request) string {
				runs.Add(1)
				return responseTo(r, "ok")
			}))
			release := make(chan struct{})
			var answers sync.WaitGroup
			var served, refused atomic.Int64
			for range callers {
				answers.Go(func() {
					r := h.request("POST", "/draw/burst", "")
					r.Body, r.ContentLength = io.NopCloser(&heldBackBody{size: size, release: release}), length
					response, err := h.client.Do(r)
					if err != nil {
						return
					}
					defer response.Body.Close()
					switch response.StatusCode {
					case http.StatusOK:
						served.Add(1)
					case http.StatusServiceUnavailable:
						if response.Header.Get("Retry-After") != "" {
							refused.Add(1)
						}
					}
				})
			}
			// Bodies that don't fit are refused while the others are still being sent.
			require.Eventually(t, func() bool { return h.count("memory.refused") >= callers-2 }, 10*time.Second, 5*time.Millisecond)
			require.LessOrEqual(t, h.heldBytes(), int64(2300<<10))
			close(release)
			answers.Wait()
			require.LessOrEqual(t, served.Load(), int64(2))
			require.Equal(t, runs.Load(), served.Load(), "what is refused has not run")
			require.Positive(t, refused.Load())
			if length > 0 {
				require.Equal(t, int64(2), served.Load())
			}
			h.requireReleased()
		})
	}
}
