package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/entry"
)

// restAll lets all upstreams of a service ask for rest.
func (h *harness) restAll(rest time.Duration) {
	h.Helper()
	_, effects := h.sendRequest("/look/1")
	for len(effects) == 1 {
		d, ok := effects[0].(entry.Dispatch)
		if !ok {
			break
		}
		effects = h.endAttempt(d, entry.Shed{Rest: rest})
	}
}

// Guards against requests that wait until their deadline for upstreams that all rest longer than that.
func TestRequestsAreRefusedAtOnceWhileAllUpstreamsRest(t *testing.T) {
	h := newHarness(t)
	h.restAll(5 * time.Second)
	_, effects := h.sendRequest("/look/1")
	refusal := requireRefusal(t, effects)
	require.False(t, refusal.MayHaveRun)
	require.Equal(t, h.now.Add(5*time.Second), refusal.RetryAt)
}

// Guards against requests that are refused although the upstreams can be used again in time.
func TestRequestsWaitForTheEndOfAShortRest(t *testing.T) {
	h := newHarness(t)
	h.restAll(200 * time.Millisecond)
	request, effects := h.sendRequest("/look/1")
	require.Empty(t, effects)
	h.now = h.now.Add(200 * time.Millisecond)
	effects = h.reduce(entry.Tick{})
	require.Len(t, effects, 1)
	require.Equal(t, request, effects[0].(entry.Dispatch).Request)
}
