package ingress_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against requests to an upstream that has said in a response that it is leaving, while its row still says that it is
// ready.
func TestUpstreamThatSaysItLeavesGetsNoMoreRequests(t *testing.T) {
	var hasRestarted atomic.Bool
	h, u := newSpeakerHarness(t, func(r *http.Request, _ int64) string {
		if hasRestarted.Load() {
			return responseTo(r, "ok")
		}
		return withHeader(responseTo(r, "ok"), "Server-Leaving: 1\r\n")
	})
	h.sendUntil(u)
	before := u.requests.Load()
	for i := range 100 {
		h.get(i)
	}
	require.Equal(t, before, u.requests.Load())
	// A new process under the same name takes requests.
	hasRestarted.Store(true)
	h.writeUpstream("u1", h.rowAddress("u1"), 6, "ready", 1)
	require.Eventually(t, func() bool {
		for i := range 20 {
			h.get(i)
		}
		return u.requests.Load() > before
	}, 5*time.Second, 10*time.Millisecond)
}

// Guards against statements of leaving that are misread, and then take away an upstream that stays.
func TestOnlyStatementsOfTheUpstreamItselfCount(t *testing.T) {
	for name, respond := range map[string]func(r *http.Request) string{
		"zero":  func(r *http.Request) string { return withHeader(responseTo(r, "ok"), "Server-Leaving: 0\r\n") },
		"word":  func(r *http.Request) string { return withHeader(responseTo(r, "ok"), "Server-Leaving: true\r\n") },
		"empty": func(r *http.Request) string { return withHeader(responseTo(r, "ok"), "Server-Leaving:\r\n") },
		"interim": func(r *http.Request) string {
			return "HTTP/1.1 103 Early Hints\r\nServer-Leaving: 1\r\n\r\n" + responseTo(r, "ok")
		},
		"other attempt": func(r *http.Request) string {
			return withHeader(responseWithAttemptID("another", "late"), "Server-Leaving: 1\r\n") + responseTo(r, "ok")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h, u := newSpeakerHarness(t, func(r *http.Request, _ int64) string { return respond(r) })
			h.sendUntil(u)
			before := u.requests.Load()
			for i := range 100 {
				h.get(i)
			}
			require.Greater(t, u.requests.Load(), before)
		})
	}
}
