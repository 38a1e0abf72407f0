package fleet_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bluebellhold/fleet"
	"bluebellhold/id"
	"bluebellhold/store"
)

const suspectAfter = 2 * time.Second

var (
	self  = member("m", "east")
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
)

func member(name id.Instance, centre id.DataCentre) store.Member {
	return store.Member{Instance: name, Region: "r", DataCentre: centre, Peer: "10.0.0.1:1"}
}

func listed(members ...store.Member) fleet.MembersListed {
	return fleet.MembersListed{Members: members}
}

// timedEvent is one event with its time.
type timedEvent struct {
	at    time.Time
	event fleet.Event
}

// model recomputes the view from the whole history after each event. firstEvent is the index of the event with which an
// instance entered the view.
type model struct {
	history    []timedEvent
	firstEvent map[id.Instance]int
}

// findMember returns the list's entry for the instance.
func findMember(l fleet.MembersListed, name id.Instance) (store.Member, bool) {
	for _, m := range slices.Backward(l.Members) {
		if m.Instance == name {
			return m, true
		}
	}
	return store.Member{}, false
}

// leavingFlags returns whether each list since an event reports the instance as leaving, oldest first, and whether the
// newest list has an entry for it.
func (m *model) leavingFlags(name id.Instance, since int) (leaving []bool, inNewest bool) {
	for i, r := range m.history {
		l, ok := r.event.(fleet.MembersListed)
		if !ok {
			continue
		}
		entry, found := findMember(l, name)
		inNewest = found
		if i >= since {
			leaving = append(leaving, found && entry.Leaving)
		}
	}
	return leaving, inNewest
}

func (m *model) firstListTime() time.Time {
	for _, r := range m.history {
		if _, ok := r.event.(fleet.MembersListed); ok {
			return r.at
		}
	}
	return time.Time{}
}

// status returns the status and incarnation at the time of the last event.
func (m *model) status(name id.Instance) (fleet.Status, id.Incarnation) {
	firstEvent, known := m.firstEvent[name]
	if !known {
		return fleet.Gone, 0
	}
	now := m.history[len(m.history)-1].at
	var newest, predecessor id.Incarnation
	for _, r := range m.history[firstEvent:] {
		if h, ok := r.event.(fleet.HeartbeatReceived); ok && h.Instance == name && h.Incarnation > newest {
			newest, predecessor = h.Incarnation, newest
		}
	}
	heartbeatDeadline, leaving, farewell, firstHeartbeat := m.firstListTime().Add(suspectAfter), false, false, -1
	for i, r := range m.history[firstEvent:] {
		switch e := r.event.(type) {
		case fleet.HeartbeatReceived:
			if e.Instance == name && e.Incarnation == newest {
				heartbeatDeadline, leaving, farewell = r.at.Add(suspectAfter), e.Leaving, false
				if firstHeartbeat < 0 {
					firstHeartbeat = firstEvent + i
				}
			}
		case fleet.FarewellReceived:
			farewell = farewell || e.Instance == name
		}
	}
	all, isListed := m.leavingFlags(name, 0)
	listLeaving := isListed && all[len(all)-1]
	if listLeaving && predecessor != 0 {
		// If the last list before the first heartbeat of the successor and all later ones report leaving, the predecessor
		// is meant.
		since, _ := m.leavingFlags(name, firstHeartbeat)
		before := len(all) - len(since) - 1
		listLeaving = before < 0 || slices.Contains(all[before:], false)
	}
	timedOut := !now.Before(heartbeatDeadline)
	switch {
	case timedOut && !isListed:
		return fleet.Gone, 0
	case leaving || farewell || listLeaving:
		return fleet.Leaving, newest
	case timedOut:
		return fleet.Suspect, newest
	default:
		return fleet.Live, newest
	}
}

func (m *model) add(r timedEvent, names []id.Instance) {
	m.history = append(m.history, r)
	for _, name := range names {
		_, known := m.firstEvent[name]
		present := false
		switch e := r.event.(type) {
		case fleet.HeartbeatReceived:
			present = e.Instance == name
		case fleet.MembersListed:
			_, present = findMember(e, name)
		}
		if present && !known {
			m.firstEvent[name] = len(m.history) - 1
		}
		if status, _ := m.status(name); status == fleet.Gone {
			delete(m.firstEvent, name)
		}
	}
}

func drawEvent(t *rapid.T, names []id.Instance) fleet.Event {
	name := rapid.SampledFrom(names).Draw(t, "name")
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0, 1, 2:
		// The list lags and may be wrong: any subset, any flags, with or without the own instance.
		l := fleet.MembersListed{}
		for _, n := range names {
			if rapid.Bool().Draw(t, "listed") {
				entry := member(n, "east")
				entry.Leaving = rapid.IntRange(0, 3).Draw(t, "departing") == 0
				l.Members = append(l.Members, entry)
			}
		}
		return l
	case 3:
		return fleet.FarewellReceived{Instance: name}
	case 4:
		return fleet.Tick{}
	default:
		return fleet.HeartbeatReceived{
			Instance:    name,
			Incarnation: id.Incarnation(rapid.IntRange(1, 3).Draw(t, "incarnation")),
			Leaving:     rapid.IntRange(0, 4).Draw(t, "leaving") == 0,
		}
	}
}

// Guards against a wrong status after a lagging, wrong or missing list, a late heartbeat or a restart, and against
// reported changes that do not match the view.
func TestViewMatchesReferenceModel(t *testing.T) {
	names := []id.Instance{"a", "b", "z"}
	rapid.Check(t, func(t *rapid.T) {
		view := fleet.New(fleet.Config{Self: self, Incarnation: 9})
		reference := &model{firstEvent: make(map[id.Instance]int)}
		reported := make(map[id.Instance]fleet.Change)
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "pause")) * suspectAfter / 4)
			event := drawEvent(t, names)
			// The tick comes first, so that heartbeat timeouts before the event are detected.
			changes := view.Reduce(now, fleet.Tick{})
			reference.add(timedEvent{now, fleet.Tick{}}, names)
			changes = append(changes, view.Reduce(now, event)...)
			reference.add(timedEvent{now, event}, names)
			for _, c := range changes {
				if before, ok := reported[c.Instance]; ok {
					require.Equal(t, before.To, c.From)
				} else {
					require.Equal(t, fleet.Gone, c.From)
				}
				require.NotEqual(t, reported[c.Instance], c)
				reported[c.Instance] = c
			}
			for _, name := range names {
				status, incarnation := reference.status(name)
				require.Equal(t, status, view.Status(name), "%s after %#v", name, event)
				if status != fleet.Gone {
					require.Equal(t, status, reported[name].To)
					require.Equal(t, incarnation, reported[name].Incarnation)
				}
			}
			require.Equal(t, fleet.Live, view.Status(self.Instance), "no list removes the own instance")
		}
	})
}

// Guards against a data centre in which no instance, or only a suspect or leaving one, polls the head.
func TestLowestLiveNamePollsHead(t *testing.T) {
	view := fleet.New(fleet.Config{Self: self, Incarnation: 9})
	require.True(t, view.IsHeadPoller(start), "alone")
	view.Reduce(start, listed(self, member("a", "west"), member("b", "east"), member("z", "east")))
	require.Equal(t, fleet.Live, view.Status("b"), "grace after the first list")
	require.True(t, view.IsHeadPoller(start), "listed instances without a heartbeat do not count")
	for _, name := range []id.Instance{"a", "z"} {
		view.Reduce(start, fleet.HeartbeatReceived{Instance: name, Incarnation: 1})
	}
	require.True(t, view.IsHeadPoller(start), "another data centre or a higher name does not count")
	view.Reduce(start, fleet.HeartbeatReceived{Instance: "b", Incarnation: 1})
	require.False(t, view.IsHeadPoller(start))
	require.True(t, view.IsHeadPoller(start.Add(suspectAfter)), "heartbeat timed out")
	view.Reduce(start, fleet.HeartbeatReceived{Instance: "b", Incarnation: 1, Leaving: true})
	require.True(t, view.IsHeadPoller(start), "leaving")
}

// Guards against an instance that leaves because the list still reports the stop of its predecessor, and against one
// that ignores its own planned stop.
func TestOwnPlannedStop(t *testing.T) {
	leavingSelf := self
	leavingSelf.Leaving, leavingSelf.Peer = true, "10.0.0.9:9"
	want := []fleet.Change{{Instance: "m", Incarnation: 9, From: fleet.Live, To: fleet.Leaving}}
	for _, laterList := range []fleet.MembersListed{listed(self), listed()} {
		view := fleet.New(fleet.Config{Self: self, Incarnation: 9})
		require.Empty(t, view.Reduce(start, listed(leavingSelf)))
		require.Empty(t, view.Reduce(start, laterList))
		require.Equal(t, want, view.Reduce(start, listed(leavingSelf)))
		require.Equal(t, self.Peer, view.Members()[0].Peer, "the own address comes from the settings")
		view.Reduce(start, listed(self))
		require.Len(t, view.Live(), 1)
		require.Equal(t, want, view.Reduce(start, fleet.HeartbeatReceived{Instance: "m", Incarnation: 9, Leaving: true}))
		require.Empty(t, view.Live())
	}
}
