package ingress_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a response that is cut off because its caller has sent its next request already: the stop closes the
// connection with unread input, which resets it.
func TestStopAnswersCallersThatHaveSentTheirNextRequest(t *testing.T) {
	const size = 900_000
	h := newHarness(t, serveWith(func(r *http.Request) string {
		time.Sleep(300 * time.Millisecond)
		return responseTo(r, strings.Repeat("x", size))
	}))
	f := &stoppingFleet{harness: h}
	var callers sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[string]int)
	for n := range 16 {
		c := f.dial()
		callers.Go(func() {
			c.send(requestHead(fmt.Sprint("first-", n), 4) + "body")
			time.Sleep(100 * time.Millisecond)
			if n%2 == 0 {
				c.send(requestHead(fmt.Sprint("next-", n), 4) + "body")
			}
			// A caller behind a slow link.
			time.Sleep(1200 * time.Millisecond)
			status, _ := c.answer()
			mu.Lock()
			counts[fmt.Sprint("has sent its next request ", n%2 == 0, ", status ", status)]++
			mu.Unlock()
		})
	}
	time.Sleep(150 * time.Millisecond)
	f.requestStop()
	callers.Wait()
	<-f.stopped
	t.Log(counts)
	require.Zero(t, counts["has sent its next request true, status 0"])
	require.Zero(t, counts["has sent its next request false, status 0"])
}
