package fleet

import (
	"cmp"
	"slices"
	"time"

	"bluebellhold/id"
	"bluebellhold/store"
)

// defaultSuspectAfter tolerates three lost heartbeats, which are sent every 500 ms.
const defaultSuspectAfter = 2 * time.Second

// Config configures a View. Self is the instance that owns it.
type Config struct {
	Self        store.Member
	Incarnation id.Incarnation
	// SuspectAfter is the heartbeat timeout; zero means 2 s.
	SuspectAfter time.Duration
}

// View is one instance's view of the fleet. It is not safe for concurrent use.
type View struct {
	config  Config
	self    *entry
	entries map[id.Instance]*entry // the own instance included
	// graceUntil is the heartbeat deadline of listed instances that have sent no heartbeat yet, so that an instance that
	// has just started does not suspect the whole fleet. It is zero before the first list.
	graceUntil time.Time
}

// New returns a view that holds only the own instance.
func New(config Config) *View {
	if config.SuspectAfter <= 0 {
		config.SuspectAfter = defaultSuspectAfter
	}
	self := &entry{Member: Member{Member: config.Self, Status: Live, Incarnation: config.Incarnation}}
	// A list from before this process started can only report the stop of its predecessor.
	self.staleLeaving = true
	return &View{
		config:  config,
		self:    self,
		entries: map[id.Instance]*entry{config.Self.Instance: self},
	}
}

// Reduce applies one event and returns the changes that it causes, sorted by name.
func (v *View) Reduce(now time.Time, e Event) []Change {
	v.self.LastHeartbeat, v.self.heartbeatDeadline = now, now.Add(v.config.SuspectAfter)
	switch e := e.(type) {
	case MembersListed:
		v.handleList(now, e)
		return v.updateStatuses(now)
	case HeartbeatReceived:
		return v.handleHeartbeat(now, e)
	case FarewellReceived:
		return v.handleFarewell(now, e)
	default:
		return v.updateStatuses(now)
	}
}

func (v *View) handleList(now time.Time, l MembersListed) {
	if v.graceUntil.IsZero() {
		v.graceUntil = now.Add(v.config.SuspectAfter)
	}
	members := make(map[id.Instance]store.Member, len(l.Members))
	for _, m := range l.Members {
		members[m.Instance] = m
	}
	for instance, e := range v.entries {
		if _, ok := members[instance]; !ok {
			e.clearListed()
		}
	}
	for instance, m := range members {
		e, ok := v.entries[instance]
		if !ok {
			e = v.addEntry(instance)
			e.heartbeatDeadline = v.graceUntil
		}
		if e == v.self {
			// The own addresses come from the settings, because the list lags.
			leaving := m.Leaving
			m = v.config.Self
			m.Leaving = leaving
		}
		e.setListed(m)
	}
}

func (v *View) handleHeartbeat(now time.Time, h HeartbeatReceived) []Change {
	e, ok := v.entries[h.Instance]
	if !ok {
		e = v.addEntry(h.Instance)
	}
	oldIncarnation := e.Incarnation
	if e == v.self {
		e.announcedLeaving = h.Leaving
	} else {
		e.recordHeartbeat(now, h, now.Add(v.config.SuspectAfter))
	}
	return v.updateStatus(nil, now, e, oldIncarnation)
}

func (v *View) handleFarewell(now time.Time, f FarewellReceived) []Change {
	e, ok := v.entries[f.Instance]
	if !ok {
		return nil
	}
	e.farewell = true
	return v.updateStatus(nil, now, e, e.Incarnation)
}

func (v *View) addEntry(instance id.Instance) *entry {
	e := &entry{Member: Member{Member: store.Member{Instance: instance}, Status: Gone}}
	v.entries[instance] = e
	return e
}

func (v *View) updateStatuses(now time.Time) []Change {
	var changes []Change
	for _, e := range v.entries {
		changes = v.updateStatus(changes, now, e, e.Incarnation)
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Instance, b.Instance) })
	return changes
}

// updateStatus updates the status of e and appends a change if its status or incarnation differs from before the event.
func (v *View) updateStatus(changes []Change, now time.Time, e *entry, oldIncarnation id.Incarnation) []Change {
	from := e.Status
	e.Status = e.statusAt(now)
	if e.Status == Gone {
		delete(v.entries, e.Instance)
	}
	if e.Status == from && e.Incarnation == oldIncarnation {
		return changes
	}
	return append(changes, Change{Instance: e.Instance, Incarnation: e.Incarnation, From: from, To: e.Status})
}

// Members returns all instances of the view, including the own one, sorted by name, as of the last event.
func (v *View) Members() []Member {
	return v.filterMembers(func(*entry) bool { return true })
}

// Live returns the live instances, including the own one unless it is leaving, sorted by name, as of the last event.
func (v *View) Live() []Member {
	return v.filterMembers(func(e *entry) bool { return e.Status == Live })
}

func (v *View) filterMembers(keep func(*entry) bool) []Member {
	members := make([]Member, 0, len(v.entries))
	for _, e := range v.entries {
		if keep(e) {
			members = append(members, e.Member)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Instance, b.Instance) })
	return members
}

// Status returns the status of one instance, Gone if it is not in the view.
func (v *View) Status(instance id.Instance) Status {
	e, ok := v.entries[instance]
	if !ok {
		return Gone
	}
	return e.Status
}

// IsHeadPoller reports whether this instance polls the head, the table's row for the newest epoch, for its data centre:
// it does if it has the lowest name among the live instances there that have a current heartbeat.
//
// Instances that receive no heartbeats from each other may both poll, which costs additional reads and nothing else.
func (v *View) IsHeadPoller(now time.Time) bool {
	for instance, e := range v.entries {
		if instance < v.config.Self.Instance && e.Region == v.config.Self.Region &&
			e.DataCentre == v.config.Self.DataCentre && e.hasCurrentHeartbeat(now) && e.statusAt(now) == Live {
			return false
		}
	}
	return true
}
