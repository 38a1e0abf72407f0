package ingress_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rejection is the response of an upstream that turns a request away.
func rejection(r *http.Request, lines string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Bluebellhold-Attempt-Id: %s\r\nX-Bluebellhold-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n",
		r.Header.Get("X-Bluebellhold-Attempt-Id"), lines)
}

// Guards against requests to an upstream that has asked for rest with the 503 that turned a request away, and against one
// that stays unused after that.
func TestUpstreamThatAsksForRestGetsIt(t *testing.T) {
	const rest = 1500 * time.Millisecond
	h, u := newSpeakerHarness(t, func(r *http.Request, n int64) string {
		if n == 1 {
			return rejection(r, "Retry-After: 1.5\r\n")
		}
		return responseTo(r, "ok")
	})
	h.sendUntil(u)
	start, before := time.Now(), u.requests.Load()
	for i := 0; time.Since(start) < rest-200*time.Millisecond; i++ {
		h.get(i)
		time.Sleep(5 * time.Millisecond)
	}
	require.Equal(t, before, u.requests.Load())
	require.Eventually(t, func() bool {
		for i := range 20 {
			h.get(i)
		}
		return u.requests.Load() > before
	}, 5*time.Second, 10*time.Millisecond)
}
