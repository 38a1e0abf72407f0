package entry

import (
	"slices"
	"time"

	"bluebellhold/id"
	"bluebellhold/placement"
)

const (
	// livenessTimeout is the time without a heartbeat after which an instance is excluded from look-ups. It passes
	// after two reads without a new heartbeat, as heartbeats are written and read every 2 s.
	livenessTimeout = 3500 * time.Millisecond
	// removalTimeout is the time without a heartbeat after which an instance no longer counts for the bounds that are
	// divided among the instances. An instance that is partitioned from the store goes on using its part of them, so it
	// is much longer than an outage.
	removalTimeout = 5 * time.Minute
)

// leavingRemovalTimeout is the time without a heartbeat after which an instance that was leaving no longer counts:
// twice the sum of the longest grace period and window of the users' deployments.
const leavingRemovalTimeout = 22 * time.Second

// membership is an instance's view of the fleet, from the heartbeats in the store.
type membership struct {
	self    id.Instance
	members map[id.Instance]*member
	// known are the sorted names of the members as of the last read.
	known []id.Instance
	// severed are those that reach no upstream, according to live heartbeats as of the last read.
	severed map[id.Instance]bool
	// peers are those that divide the limits of upstreams as of the last read.
	peers []placement.Peer
	// startedAt is when the process started.
	startedAt time.Time
	// readAt is when the heartbeats were last read and some were new.
	readAt time.Time
	// startTime distinguishes this process from its predecessors; predecessor is their last heartbeat.
	startTime   int64
	predecessor *Member
	// firstVersion is the version of this process's first heartbeat, zero until it has been read back.
	firstVersion uint64
	// isJoined is set once all serving instances divide the bounds with this one; see join.
	isJoined bool
}

type member struct {
	Member
	// silence sums the time between reads that found no sign of life of the instance although there were new heartbeats
	// of others, so that an outage of the store is not counted.
	silence time.Duration
}

func newMembership(self id.Instance, startTime int64) membership {
	return membership{self: self, startTime: startTime, members: make(map[id.Instance]*member)}
}

// maxSilencePerRead bounds the silence that one read adds. After a longer time without a read, the store was
// unavailable or this instance was partitioned from it, which says nothing about the others.
const maxSilencePerRead = 2200 * time.Millisecond

// update applies a read of the heartbeats. Silence counts only if some heartbeat is new, which shows that the store
// accepts them, and not for members that a new heartbeat vouches for.
func (m *membership) update(now time.Time, heartbeats []Member) {
	elapsed := min(now.Sub(m.readAt), maxSilencePerRead)
	if m.readAt.IsZero() {
		elapsed = 0
	}
	hasNew := false
	vouched := make(map[id.Instance]bool)
	for _, h := range heartbeats {
		if existing := m.members[h.Instance]; !h.IsRestored && (existing == nil || existing.Version != h.Version) {
			hasNew = true
			for _, name := range h.Vouched {
				vouched[name] = true
			}
		}
	}
	if hasNew || m.readAt.IsZero() {
		m.readAt = now
	}
	for _, h := range heartbeats {
		if h.Instance == m.self && h.StartTime != m.startTime && m.predecessor == nil {
			m.predecessor = &h
		}
		existing := m.members[h.Instance]
		switch {
		case existing == nil || !h.IsRestored && existing.Version != h.Version:
			m.members[h.Instance] = &member{Member: h}
		case vouched[h.Instance]:
			existing.silence = 0
		case hasNew:
			existing.silence += elapsed
		}
	}
	m.removeDead(heartbeats)
	m.severed = make(map[id.Instance]bool)
	for _, existing := range m.members {
		for _, name := range existing.Severed {
			if existing.silence < livenessTimeout {
				m.severed[name] = true
			}
		}
	}
	m.join(now, heartbeats)
}

// minJoinTime is the time from the start of a process to its joining, so that instances that start together see each
// other even if they are partitioned from the store soon afterwards.
const minJoinTime = time.Second

// join sets isJoined once all serving instances divide the bounds with this one, that is, once each of them has written
// a heartbeat after reading this instance's. Members that another one vouches for read what it reads. A successor joins
// at once, since it has a place in everybody's list already.
func (m *membership) join(now time.Time, heartbeats []Member) {
	vouched := make(map[id.Instance]bool)
	hasOwn := false
	for _, h := range heartbeats {
		if h.Instance == m.self && h.StartTime == m.startTime && (m.isJoined || !h.IsRestored) {
			hasOwn = true
			if m.firstVersion == 0 {
				m.firstVersion = h.Version
			}
		}
		for _, name := range h.Vouched {
			vouched[name] = true
		}
	}
	if !hasOwn {
		// The store has lost the heartbeat that others were to read.
		m.firstVersion = 0
	}
	if m.isJoined = m.isJoined || m.predecessor != nil; m.isJoined || m.firstVersion == 0 || now.Sub(m.startedAt) < minJoinTime {
		return
	}
	for name, peer := range m.members {
		if name != m.self && !vouched[name] && m.isServing(peer) && peer.ReadVersion < m.firstVersion {
			return
		}
	}
	m.isJoined = true
}

// removeDead removes instances without a row and those whose removal timeout has passed.
func (m *membership) removeDead(heartbeats []Member) {
	isListed := make(map[id.Instance]bool, len(heartbeats))
	for _, h := range heartbeats {
		isListed[h.Instance] = true
	}
	for name, existing := range m.members {
		if !isListed[name] || existing.silence > removalTimeout || existing.Leaving && existing.silence > leavingRemovalTimeout {
			delete(m.members, name)
		}
	}
}

// count returns the number of instances that have parts of the bounds, including this one.
func (m *membership) count() int {
	n := len(m.members)
	if m.members[m.self] == nil {
		n++
	}
	return n
}

// instances returns the instances that have parts of the bounds, sorted by name.
func (m *membership) instances() []id.Instance {
	instances := []id.Instance{m.self}
	for name := range m.members {
		if name != m.self {
			instances = append(instances, name)
		}
	}
	slices.Sort(instances)
	return instances
}

func (m *membership) isServing(instance *member) bool {
	return !instance.Leaving && instance.silence < livenessTimeout
}

func (s *State) updateMembers(heartbeats []Member) {
	s.mergeHeartbeatLimits(heartbeats)
	s.mergeHeartbeatLeaving(heartbeats)
	s.membership.update(s.now, heartbeats)
	if instances := s.membership.instances(); !slices.Equal(instances, s.membership.known) {
		s.membership.known = instances
		s.updateRegionSize()
		s.divideLimits()
	}
	s.group.ranked = s.rankMembers()
	s.updateHelpers()
	s.restoreServices()
	if s.IsCoordinator() {
		s.adjustLocalShares()
	}
	s.mergeSuspects(heartbeats)
	s.updatePeers()
	s.updateContacts()
	s.updateFraction()
}

// divideLimits divides the fleet-wide bounds of the services among the known instances.
func (s *State) divideLimits() {
	for name, svc := range s.services {
		svc.divideLimits(s, s.configuration.Services[name])
	}
}

// maxLookupAddresses is the number of addresses that a look-up names; callers use no more.
const maxLookupAddresses = 64

// Lookup returns the addresses for a caller in the region: the serving instances of that region that reach the upstreams
// themselves, else all serving ones of that region, else those of all regions. If there are many, each look-up names other
// ones.
func (s *State) Lookup(region id.Region, _ id.DataCentre) []string {
	var connected, sameRegion, all []string
	add := func(name id.Instance, r id.Region, address string) {
		all = append(all, address)
		if r != region {
			return
		}
		sameRegion = append(sameRegion, address)
		if isSevered := s.isKnownSevered(name) || name == s.config.Instance && s.uplink.IsSevered(); !isSevered {
			connected = append(connected, address)
		}
	}
	if !s.stopping.isRequested {
		add(s.config.Instance, s.config.Region, s.config.Address)
	}
	for _, name := range s.membership.instances() {
		peer := s.membership.members[name]
		if name != s.config.Instance && peer != nil && s.isServing(name, peer) {
			add(name, peer.Region, peer.Address)
		}
	}
	switch {
	case len(connected) > 0:
		return s.someAddresses(connected)
	case len(sameRegion) > 0:
		return s.someAddresses(sameRegion)
	case len(all) == 0:
		// A caller without any address would retry the look-up at once, and this instance still serves for a while.
		return []string{s.config.Address}
	}
	return s.someAddresses(all)
}

// someAddresses returns at most maxLookupAddresses of the addresses: consecutive ones from a random start, so that each
// is as likely as the others.
func (s *State) someAddresses(addresses []string) []string {
	if len(addresses) <= maxLookupAddresses {
		return addresses
	}
	start := s.random.IntN(len(addresses))
	return append(addresses, addresses...)[start : start+maxLookupAddresses]
}
