package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
)

// newSeveredHarness returns an instance in osrednja that has just found that it reaches no upstream, with one more instance
// in its region and one in koper.
func newSeveredHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.readMembers()
	h.sever()
	return h
}

// readMembers shows the instance two others, the severed ones of which are named.
func (h *harness) readMembers(severed ...id.Instance) {
	h.groupVersion++
	h.reduce(entry.MembersRead{Members: []entry.Member{
		{Instance: "osrednja-1", Version: h.groupVersion, StartTime: 1, Region: "osrednja"},
		{
			Instance: "osrednja-2", Version: h.groupVersion, StartTime: 2, Region: "osrednja", Address: "10.0.0.2:80",
			PeerAddress: "10.0.0.2:90",
		},
		{
			Instance: "koper-1", Version: h.groupVersion, StartTime: 3, Region: "koper", Address: "10.0.0.3:80",
			PeerAddress: "10.0.0.3:90", Severed: severed,
		},
	}})
}

// sever ends attempts without a connection until the instance takes itself for severed.
func (h *harness) sever() {
	h.Helper()
	_, effects := h.sendRequest("/look/1")
	for len(effects) == 1 {
		d, ok := effects[0].(entry.Dispatch)
		if !ok {
			break
		}
		require.Empty(h, d.Via)
		effects = h.endAttempt(d, entry.NothingSent{})
	}
	h.now = h.now.Add(time.Second)
	var probes []entry.Probe
	for _, e := range h.reduce(entry.Tick{}) {
		if p, ok := e.(entry.Probe); ok {
			probes = append(probes, p)
		}
	}
	require.NotEmpty(h, probes)
	isSevered := false
	for _, p := range probes {
		for _, e := range h.reduce(entry.ProbeEnded{Upstream: p.Upstream}) {
			if change, ok := e.(entry.UplinkChanged); ok {
				isSevered = change.IsSevered
			}
		}
	}
	require.True(h, isSevered)
}

// Guards against requests that are refused, or sent to a helper far from the upstream, while another instance near the
// upstream could reach it.
func TestSeveredInstanceSendsRequestsThroughOneNearTheUpstream(t *testing.T) {
	h := newSeveredHarness(t)
	for range 8 {
		d := h.requireDispatch("/look/1")
		want := id.Instance("osrednja-2")
		if upstreamRegion(d.Upstream) == "koper" {
			want = "koper-1"
		}
		require.Equal(t, want, d.Via.Instance)
		h.completeAttempt(d)
	}
}

func upstreamRegion(name id.Upstream) id.Region {
	for _, u := range upstreams() {
		if u.ID == name {
			return u.Region
		}
	}
	return ""
}

// Guards against the body of a request that is restricted to a region and is sent to an instance of another one.
func TestRestrictedRequestsGoThroughInstancesOfTheirRegions(t *testing.T) {
	h := newSeveredHarness(t)
	for range 4 {
		require.Equal(t, id.Instance("koper-1"), h.requireDispatch("/home/1").Via.Instance)
	}
}

// Guards against a helper that is lost, and the requests with it.
func TestRequestsLeaveAHelperThatFails(t *testing.T) {
	h := newSeveredHarness(t)
	d := h.requireDispatch("/look/1")
	effects := h.endAttempt(d, entry.HelperFailed{})
	require.Len(t, effects, 1)
	next, ok := effects[0].(entry.Dispatch)
	require.True(t, ok)
	require.NotEqual(t, d.Via, next.Via)
	h.completeAttempt(next)
	// A request that may have run is never sent again.
	d = h.requireDispatch("/draw/1")
	refusal := requireRefusal(t, h.endAttempt(d, entry.Broken{}))
	require.True(t, refusal.MayHaveRun)
}

// Guards against a request that ran on no upstream and is reported as one that may have run, or retried without end.
func TestRequestWithoutAHelperIsRefusedAsNotRun(t *testing.T) {
	h := newSeveredHarness(t)
	d := h.requireDispatch("/draw/1")
	for range 10 {
		effects := h.endAttempt(d, entry.HelperFailed{})
		require.Len(t, effects, 1)
		if refuse, ok := effects[0].(entry.Refuse); ok {
			require.False(t, refuse.Refusal.MayHaveRun)
			return
		}
		d = effects[0].(entry.Dispatch)
	}
	require.Fail(t, "the request was never refused")
}

// Guards against instances that lend each other links that neither has.
func TestSeveredInstanceLendsNoLinks(t *testing.T) {
	h := newHarness(t)
	h.readMembers()
	u := upstreams()[0]
	address, ok := h.state.TunnelAddress(u.ID, u.Incarnation)
	require.True(t, ok)
	require.Equal(t, u.Address, address)
	_, ok = h.state.TunnelAddress(u.ID, u.Incarnation+1)
	require.False(t, ok)
	require.True(t, h.state.LendsLinks())
	h.sever()
	require.False(t, h.state.LendsLinks())
}

// Guards against a request that is taken for a poison request, and refused everywhere, because it was sent while the
// instance lost its links.
func TestLostLinksMakeNoRequestASuspect(t *testing.T) {
	h := newHarness(t)
	h.readMembers()
	d := h.requireDispatch("/look/1")
	for _, e := range h.endAttempt(d, entry.Broken{}) {
		h.reduce(entry.AttemptEnded{Request: e.(entry.Dispatch).Request, Outcome: entry.Broken{}})
	}
	h.sever()
	require.Empty(t, h.state.Suspects(h.now))
	h.completeAttempt(h.requireDispatch("/look/1"))
}

// Guards against look-ups that lead callers to an instance that reaches no upstream, and against look-ups without any
// address when all instances of the region are like that.
func TestLookupsPreferInstancesThatReachUpstreams(t *testing.T) {
	h := newHarness(t)
	h.readMembers()
	require.ElementsMatch(t, []string{"10.0.0.9:80", "10.0.0.2:80"}, h.state.Lookup("osrednja", "osrednja-1"))
	h.sever()
	require.Equal(t, []string{"10.0.0.2:80"}, h.state.Lookup("osrednja", "osrednja-1"))
	h.readMembers("osrednja-2")
	require.ElementsMatch(t, []string{"10.0.0.9:80", "10.0.0.2:80"}, h.state.Lookup("osrednja", "osrednja-1"))
}

// Guards against requests that wait until their deadline for an upstream that is out of reach, and that keep a slot of it.
func TestRequestsWithoutAResponseAreSentThroughAnotherInstance(t *testing.T) {
	h := newHarness(t)
	h.readMembers()
	hung := make(map[id.Request]bool)
	for _, path := range []string{"/look/1", "/look/2", "/look/3", "/look/4", "/look/5", "/look/6"} {
		hung[h.requireDispatch(path).Request] = true
	}
	var probes []entry.Probe
	for range 20 {
		h.now = h.now.Add(100 * time.Millisecond)
		for _, e := range h.reduce(entry.Tick{}) {
			if p, ok := e.(entry.Probe); ok {
				probes = append(probes, p)
			}
		}
		if len(probes) > 0 {
			break
		}
	}
	require.NotEmpty(t, probes)
	interrupted, dispatched := 0, 0
	for _, p := range probes {
		for _, e := range h.reduce(entry.ProbeEnded{Upstream: p.Upstream}) {
			if i, ok := e.(entry.Interrupt); ok {
				require.True(t, hung[i.Request])
				interrupted++
				for _, e := range h.reduce(entry.AttemptEnded{Request: i.Request, Outcome: entry.Broken{}}) {
					require.NotEmpty(t, e.(entry.Dispatch).Via)
					dispatched++
				}
			}
		}
	}
	require.Equal(t, len(hung), interrupted)
	// The others wait for the first one to warm the cache for their object.
	require.Positive(t, dispatched)
}
