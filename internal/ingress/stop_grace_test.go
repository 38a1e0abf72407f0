package ingress_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/ingress"
)

// Guards against a short grace period whose end closes the connections of requests in flight before they are answered.
func TestStopAnswersWhatIsInFlightAtItsEnd(t *testing.T) {
	for _, grace := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			h := newHarness(t, serveWith(func(r *http.Request) string {
				if r.URL.Path != "/draw/before" {
					time.Sleep(1400 * time.Millisecond)
				}
				return responseTo(r, "ok")
			}))
			h.stop()
			<-h.stopped
			for i := range 20 {
				h.serveUpstream(fmt.Sprint("more", i), serveWith(func(r *http.Request) string {
					time.Sleep(1400 * time.Millisecond)
					return responseTo(r, "ok")
				}))
			}
			h.startWith("osrednja-1", func(c *ingress.Config) { c.Bounds.GracePeriod = grace })
			f := &stoppingFleet{harness: h}
			var callers sync.WaitGroup
			var mu sync.Mutex
			counts := make(map[int]int)
			for n := range 60 {
				c := f.dial()
				callers.Go(func() {
					c.send(requestHead(fmt.Sprint("short-", n), 4) + "body")
					status, _ := c.answer()
					mu.Lock()
					counts[status]++
					mu.Unlock()
				})
			}
			time.Sleep(50 * time.Millisecond)
			start := time.Now()
			f.requestStop()
			callers.Wait()
			<-f.stopped
			t.Log("callers by status", counts, "stop took", time.Since(start))
			require.Zero(t, counts[0])
		})
	}
}
