package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
)

// Guards against a request that may not be repeated and is sent to a second upstream, or refused as not run, after an answer
// that may belong to an earlier request on the connection.
func TestUnmatchedAnswerIsNoEvidence(t *testing.T) {
	h := newHarness(t)
	d := h.requireDispatch("/draw/1")
	require.True(t, d.AwaitsMatch)
	refusal := requireRefusal(t, h.endAttempt(d, entry.Unmatched{}))
	require.True(t, refusal.MayHaveRun)

	d = h.requireDispatch("/look/1")
	require.False(t, d.AwaitsMatch)
	effects := h.endAttempt(d, entry.Unmatched{})
	require.Len(t, effects, 1)
	second := effects[0].(entry.Dispatch)
	require.NotEqual(t, d.Upstream, second.Upstream)
	refusal = requireRefusal(t, h.endAttempt(second, entry.Unmatched{}))
	require.True(t, refusal.MayHaveRun)
	require.Equal(t, uint64(3), h.state.Dump(h.now).Counts.Unmatched)
}

// Guards against an attempt that is sent twice to the same upstream: a late copy of the first answer would name the second.
func TestRefusedRequestDoesNotReturnToAnUpstream(t *testing.T) {
	h := newHarness(t)
	used := make(map[id.Upstream]bool)
	d := h.requireDispatch("/draw/1")
	for {
		require.False(t, used[d.Upstream])
		used[d.Upstream] = true
		effects := h.endAttempt(d, entry.Shed{})
		require.Len(t, effects, 1)
		next, ok := effects[0].(entry.Dispatch)
		if !ok {
			break
		}
		d = next
	}
	require.Greater(t, len(used), 1)
}

// requireDispatchTo sends requests for different objects until one goes to the upstream, and returns its dispatch.
func (h *harness) requireDispatchTo(upstream id.Upstream) entry.Dispatch {
	h.Helper()
	for n := range 40 {
		h.lastRequest++
		effects := h.reduce(entry.RequestArrived{
			Request: h.lastRequest, Host: "example", Path: "/draw/1", Object: string(rune('a' + n)), KeyDigest: keyDigest, HasKey: true,
			CallerTimeout: 2500 * time.Millisecond,
		})
		require.Len(h, effects, 1)
		d := effects[0].(entry.Dispatch)
		if d.Upstream == upstream {
			return d
		}
		h.completeAttempt(d)
		h.now = h.now.Add(time.Second)
	}
	require.Fail(h, "no request goes to the upstream")
	return entry.Dispatch{}
}

// Guards against refusals without an attempt's id that count for nothing on connections that were used before, and against
// an upstream that is held to new connections though its refusals name the attempt, or after its process has ended.
func TestUpstreamWithAnonymousRefusalsGetsNewConnections(t *testing.T) {
	h := newHarness(t)
	d := h.requireDispatch("/draw/1")
	require.False(t, d.UsesNewConnection)
	h.reduce(entry.AnonymousResponse{Request: d.Request})
	h.completeAttempt(d)
	next := h.requireDispatchTo(d.Upstream)
	require.True(t, next.UsesNewConnection)
	// The refusal is retried elsewhere.
	h.completeAttempt(h.endAttempt(next, entry.Shed{})[0].(entry.Dispatch))
	next = h.requireDispatchTo(d.Upstream)
	require.False(t, next.UsesNewConnection)
	h.completeAttempt(h.endAttempt(next, entry.Shed{IsAnonymous: true})[0].(entry.Dispatch))
	next = h.requireDispatchTo(d.Upstream)
	require.True(t, next.UsesNewConnection)
	h.completeAttempt(next)

	restarted := upstreams()
	for i := range restarted {
		restarted[i].Incarnation++
	}
	h.reduce(entry.UpstreamsChanged{Upstreams: restarted})
	for range 8 {
		d := h.requireDispatch("/draw/1")
		require.False(t, d.UsesNewConnection)
		h.completeAttempt(d)
	}
}
