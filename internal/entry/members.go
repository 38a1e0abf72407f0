package entry

import (
	"slices"
	"time"

	"bluebellhold/id"
)

const (
	// staleAfter is the time without a heartbeat after which an instance is no longer named to callers; it passes after
	// two reads without a new one, at a pace of 2 s for both.
	staleAfter = 3500 * time.Millisecond
	// forgottenAfter is the time without a heartbeat after which an instance no longer holds a part of the limits. An
	// instance that is cut from the store goes on spending its part, so it is much longer than an outage.
	forgottenAfter = 5 * time.Minute
)

// leftAfter is the time without a heartbeat after which an instance that was leaving holds nothing any more: the longest
// grace and window of the users' deployments, and as much again.
const leftAfter = 22 * time.Second

// members is what an instance knows about the fleet from the heartbeats in the store.
type members struct {
	self id.Instance
	all  map[id.Instance]*member
	// readAt is when the heartbeats were read last.
	readAt time.Time
	// started tells this process from its predecessors, of which predecessor is the last heartbeat.
	started     int64
	predecessor *Member
	// firstVersion is the version of this process's first heartbeat, zero until it has been read back.
	firstVersion uint64
	// isJoined is set once all that serve divide the limits with this instance.
	isJoined bool
}

type member struct {
	Member
	// silentFor sums the time between reads that found no new heartbeat while this instance's own was found renewed,
	// so that an outage of the store makes nobody silent.
	silentFor time.Duration
}

func newMembers(self id.Instance, started int64) members {
	return members{self: self, started: started, all: make(map[id.Instance]*member)}
}

// longestGap bounds the silence that one read can find. After a longer time without a read the store was away or this
// instance was cut off, which says nothing about the others.
const longestGap = 2200 * time.Millisecond

// update takes a read of the heartbeats. Silence counts only while this instance's own heartbeats are accepted.
func (m *members) update(now time.Time, list []Member) {
	passed := min(now.Sub(m.readAt), longestGap)
	if m.readAt.IsZero() {
		passed = 0
	}
	m.readAt = now
	isRenewed := slices.ContainsFunc(list, func(e Member) bool {
		return e.Instance == m.self && (m.all[m.self] == nil || m.all[m.self].Version != e.Version)
	})
	for _, e := range list {
		if e.Instance == m.self && e.StartTime != m.started && m.predecessor == nil {
			m.predecessor = &e
		}
		known := m.all[e.Instance]
		switch {
		case known == nil || known.Version != e.Version:
			m.all[e.Instance] = &member{Member: e}
		case isRenewed:
			known.silentFor += passed
		}
	}
	m.forget(list)
	m.join(list)
}

// join lets a new instance serve once all that serve divide the limits with it: each has read its heartbeat before
// writing its own. A successor takes over what its predecessor held at once.
func (m *members) join(list []Member) {
	for _, e := range list {
		if e.Instance == m.self && e.StartTime == m.started && m.firstVersion == 0 {
			m.firstVersion = e.Version
		}
	}
	if m.isJoined = m.isJoined || m.predecessor != nil; m.isJoined || m.firstVersion == 0 {
		return
	}
	for name, e := range m.all {
		if name != m.self && m.isServing(e) && e.ReadVersion < m.firstVersion {
			return
		}
	}
	m.isJoined = true
}

func (m *members) forget(list []Member) {
	for name, e := range m.all {
		isListed := slices.ContainsFunc(list, func(l Member) bool { return l.Instance == name })
		if !isListed || e.silentFor > forgottenAfter || e.Leaving && e.silentFor > leftAfter {
			delete(m.all, name)
		}
	}
}

// count returns the number of instances that hold parts of the limits, this one included.
func (m *members) count() int {
	n := len(m.all)
	if m.all[m.self] == nil {
		n++
	}
	return n
}

// names returns the instances that hold parts, in order.
func (m *members) names() []id.Instance {
	names := []id.Instance{m.self}
	for name := range m.all {
		if name != m.self {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// evenPart is the part of a limit that is divided evenly, whatever the demand, so that an instance whose callers are new
// has some room and a view that is behind does little harm.
const evenPart = 0.4

// target returns the part of an organisation's limit that an instance should hold, from its demand and that of all.
func (m *members) target(e *member, o id.Organisation, demand float64) float64 {
	even := 1 / float64(m.count())
	if demand <= 0 {
		return even
	}
	var own float64
	if e != nil {
		own = e.Demand[o]
	}
	return evenPart*even + (1-evenPart)*own/demand
}

// held returns what all instances together hold or claim of an organisation's limit.
func (m *members) held(o id.Organisation) float64 {
	var sum float64
	for _, e := range m.all {
		sum += e.LimitShares[o]
	}
	return sum
}

// demand returns what callers ask for of an organisation, per second at all instances.
func (m *members) demand(o id.Organisation) float64 {
	var sum float64
	for _, e := range m.all {
		sum += e.Demand[o]
	}
	return sum
}

func (m *members) isServing(e *member) bool {
	return !e.Leaving && e.silentFor < staleAfter
}

func (s *State) listMembers(list []Member) {
	s.members.update(s.now, list)
	s.shareLimits()
	s.restoreHomes()
	s.keepObjects()
	s.learnSuspects(list)
}

// Lookup returns the addresses that a caller in the region and data centre should use: the instances of its region
// if there are any, else all.
func (s *State) Lookup(region id.Region, _ id.DataCentre) []string {
	var near, all []string
	add := func(r id.Region, address string) {
		all = append(all, address)
		if r == region {
			near = append(near, address)
		}
	}
	if !s.isStopping {
		add(s.config.Region, s.config.Address)
	}
	for _, name := range s.members.names() {
		e := s.members.all[name]
		if name != s.config.Instance && e != nil && s.members.isServing(e) {
			add(e.Region, e.Address)
		}
	}
	if len(near) > 0 {
		return near
	}
	if len(all) == 0 {
		// A caller without any address would ask again at once; this instance still serves for a while.
		return []string{s.config.Address}
	}
	return all
}
