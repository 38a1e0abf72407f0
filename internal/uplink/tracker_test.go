package uplink_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/uplink"
)

var start = time.Unix(1000, 0)

// upstreams returns n upstreams in three data centres.
func upstreams(n int) []uplink.Upstream {
	var list []uplink.Upstream
	for i := range n {
		list = append(list, uplink.Upstream{
			ID: id.Upstream(fmt.Sprint("u", i)), DataCentre: id.DataCentre(fmt.Sprint("d", i%3)),
		})
	}
	return list
}

// fail records failures of the first n upstreams.
func fail(t *uplink.Tracker, now time.Time, n int) {
	for i := range n {
		t.RecordUnreached(now, id.Upstream(fmt.Sprint("u", i)))
	}
}

// sever makes the tracker believe that the instance is severed.
func sever(t *testing.T, tracker *uplink.Tracker, now time.Time, list []uplink.Upstream) {
	t.Helper()
	fail(tracker, now, 3)
	probes := tracker.Probes(now, list)
	require.NotEmpty(t, probes)
	for n, u := range probes {
		require.Equal(t, n == len(probes)-1, tracker.RecordUnreached(now.Add(time.Millisecond), u))
	}
	require.True(t, tracker.IsSevered())
}

// Guards against an instance that takes crashed upstreams, or those of a lost data centre, for a fault of its own links.
func TestFailedUpstreamsAreNotTakenForACut(t *testing.T) {
	tracker, list := uplink.New(), upstreams(12)
	for i := range list {
		tracker.RecordAnswered(start, list[i].ID)
	}
	fail(tracker, start, 2)
	require.Empty(t, tracker.Probes(start, list))
	fail(tracker, start, 4)
	probes := tracker.Probes(start, list)
	require.Len(t, probes, 3)
	for _, u := range probes {
		require.NotContains(t, []id.Upstream{"u0", "u1", "u2", "u3"}, u)
	}
	tracker.RecordUnreached(start, probes[0])
	tracker.RecordConnected(start, probes[1])
	require.False(t, tracker.RecordUnreached(start, probes[2]))
	require.False(t, tracker.IsSevered())
	require.Empty(t, tracker.Probes(start.Add(time.Second), list))
}

// Guards against failures that are minutes apart and add up to a cut.
func TestOldFailuresDoNotCount(t *testing.T) {
	tracker, list := uplink.New(), upstreams(12)
	for i := range 6 {
		now := start.Add(time.Duration(i) * 2 * time.Second)
		tracker.RecordUnreached(now, list[i].ID)
		require.Empty(t, tracker.Probes(now, list))
	}
}

// Guards against answers on open connections that hide that no new connection can be made, and against silence that is
// forgotten only by a new connection.
func TestAnswersRefuteSilenceButNotRefusedConnections(t *testing.T) {
	tracker, list := uplink.New(), upstreams(12)
	for i := range 3 {
		tracker.RecordSilent(start, list[i].ID)
	}
	tracker.RecordAnswered(start, "u5")
	require.Empty(t, tracker.Probes(start, list))
	fail(tracker, start, 3)
	tracker.RecordAnswered(start, "u5")
	require.Len(t, tracker.Probes(start, list), 3)
}

// Guards against an instance that stays severed, or heals on a single connection that got through.
func TestSeveredInstanceHealsOnceUpstreamsAreReached(t *testing.T) {
	tracker, list := uplink.New(), upstreams(12)
	for i := range list {
		tracker.RecordAnswered(start, list[i].ID)
	}
	sever(t, tracker, start, list)
	now := start.Add(time.Millisecond)
	for range 10 {
		now = now.Add(500 * time.Millisecond)
		probes := tracker.Probes(now, list)
		require.Len(t, probes, 2)
		require.False(t, tracker.RecordConnected(now, probes[0]))
		tracker.RecordUnreached(now, probes[1])
		require.True(t, tracker.IsSevered())
	}
	now = now.Add(500 * time.Millisecond)
	probes := tracker.Probes(now, list)
	require.False(t, tracker.RecordConnected(now, probes[0]))
	require.True(t, tracker.RecordConnected(now, probes[1]))
	require.False(t, tracker.IsSevered())
}

// Guards against probes of a lost process that keep the tracker from ever probing again.
func TestProbesGoOnWithoutResults(t *testing.T) {
	tracker, list := uplink.New(), upstreams(2)
	for i := range list {
		tracker.RecordAnswered(start, list[i].ID)
	}
	fail(tracker, start, 2)
	probes := tracker.Probes(start, list)
	require.Len(t, probes, 2)
	tracker.RecordUnreached(start, probes[0])
	// The other one leaves before its probe ends.
	left := []uplink.Upstream{{ID: probes[0], DataCentre: "d0"}}
	tracker.Retain(func(u id.Upstream) bool { return u == probes[0] })
	fail(tracker, start.Add(time.Second), 1)
	require.NotEmpty(t, tracker.Probes(start.Add(time.Second), left))
}
