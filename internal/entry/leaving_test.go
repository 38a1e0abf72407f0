package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
)

// usedUpstreams returns the upstreams that requests for different objects are sent to.
func (h *harness) usedUpstreams() map[id.Upstream]bool {
	h.Helper()
	used := make(map[id.Upstream]bool)
	for range 40 {
		h.lastRequest++
		effects := h.reduce(entry.RequestArrived{
			Request: h.lastRequest, Host: "example", Path: "/look/1", Object: string(rune('a' + h.lastRequest%26)), KeyDigest: keyDigest,
			HasKey: true, CallerTimeout: 2500 * time.Millisecond,
		})
		require.Len(h, effects, 1)
		require.IsType(h, entry.Dispatch{}, effects[0])
		d := effects[0].(entry.Dispatch)
		used[d.Upstream] = true
		h.completeAttempt(d)
	}
	return used
}

// leave ends an attempt with a response that says that the upstream leaves, and returns the upstream.
func (h *harness) leave() id.Upstream {
	h.Helper()
	d := h.requireDispatch("/look/1")
	h.endAttempt(d, entry.Answered{Status: 200, Elapsed: 100 * time.Millisecond, IsLeaving: true})
	return d.Upstream
}

// readLeavers reads the heartbeat of another instance that names upstreams that leave.
func (h *harness) readLeavers(version uint64, leavers ...entry.LeavingReport) {
	h.reduce(entry.MembersRead{Members: []entry.Member{
		{Instance: "osrednja-1", Version: version, StartTime: 1, Region: "osrednja"},
		{Instance: "koper-1", Version: version, StartTime: 2, Region: "koper", Leavers: leavers},
	}})
}

// Guards against a list of upstreams, or a new document, that brings back an upstream that has said that it leaves, and
// against a new process under the same name that gets no requests.
func TestListsDoNotBringBackAnUpstreamThatLeaves(t *testing.T) {
	h := newHarness(t)
	left := h.leave()
	require.NotContains(t, h.usedUpstreams(), left)
	h.reduce(entry.UpstreamsChanged{Upstreams: upstreams()})
	c := configuration()
	c.Version = 2
	h.reduce(entry.ConfigurationChanged{Configuration: c})
	require.NotContains(t, h.usedUpstreams(), left)
	_, ok := h.state.TunnelAddress(left, 0)
	require.False(t, ok)
	list := upstreams()
	for i := range list {
		if list[i].ID == left {
			list[i].Incarnation = 2
		}
	}
	h.reduce(entry.UpstreamsChanged{Upstreams: list})
	require.Contains(t, h.usedUpstreams(), left)
}

// Guards against an upstream that has said to one instance that it leaves and gets requests of others.
func TestOthersLearnThatAnUpstreamLeaves(t *testing.T) {
	a, b := newHarness(t), newHarness(t)
	left := a.leave()
	b.readLeavers(2, a.state.Leaving(a.now)...)
	require.NotContains(t, b.usedUpstreams(), left)
	require.Equal(t, left, b.state.Leaving(b.now)[0].Upstream)
}

// Guards against reports about an earlier process, an unknown upstream or an impossible time that take an upstream away.
func TestReportsAboutOtherProcessesTakeNoUpstreamAway(t *testing.T) {
	h := newHarness(t)
	h.readLeavers(2,
		entry.LeavingReport{Upstream: "pregled-osrednja-1", Incarnation: 7},
		entry.LeavingReport{Upstream: "pregled-osrednja-1", Age: -time.Second},
		entry.LeavingReport{Upstream: "pregled-osrednja-1", Age: time.Hour},
		entry.LeavingReport{Upstream: "unknown"},
	)
	require.Empty(t, h.state.Leaving(h.now))
	require.Contains(t, h.usedUpstreams(), id.Upstream("pregled-osrednja-1"))
}

// Guards against an upstream that said that it leaves, stays, and is never used again: instances that tell each other of it
// must not keep the statement alive.
func TestUpstreamThatStaysIsUsedAgain(t *testing.T) {
	a, b := newHarness(t), newHarness(t)
	left := a.leave()
	for version := uint64(2); version < 60; version++ {
		a.now, b.now = a.now.Add(2*time.Second), b.now.Add(2*time.Second)
		reportsOfA, reportsOfB := a.state.Leaving(a.now.Add(-time.Second)), b.state.Leaving(b.now.Add(-time.Second))
		a.readLeavers(version, reportsOfB...)
		b.readLeavers(version, reportsOfA...)
		a.reduce(entry.Tick{})
		b.reduce(entry.Tick{})
	}
	require.Empty(t, a.state.Leaving(a.now))
	require.Empty(t, b.state.Leaving(b.now))
	require.Contains(t, a.usedUpstreams(), left)
	require.Contains(t, b.usedUpstreams(), left)
}

// Guards against a request that waits for an upstream and is sent to it after it has said that it leaves.
func TestQueuedRequestsGoElsewhereWhenAnUpstreamLeaves(t *testing.T) {
	h := newHarness(t)
	var dispatched []entry.Dispatch
	for range 40 {
		_, effects := h.sendRequest("/look/1")
		for _, e := range effects {
			if d, ok := e.(entry.Dispatch); ok {
				dispatched = append(dispatched, d)
			}
		}
	}
	require.NotEmpty(t, dispatched)
	left := dispatched[0].Upstream
	effects := h.endAttempt(dispatched[0], entry.Answered{Status: 200, Elapsed: 100 * time.Millisecond, IsLeaving: true})
	for _, d := range dispatched[1:] {
		effects = append(effects, h.endAttempt(d, entry.Answered{Status: 200, Elapsed: 100 * time.Millisecond})...)
	}
	for _, e := range effects {
		if d, ok := e.(entry.Dispatch); ok {
			require.NotEqual(t, left, d.Upstream)
		}
	}
}
