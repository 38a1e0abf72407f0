package entry

import (
	"slices"
	"time"

	"bluebellhold/id"
)

const (
	// livenessTimeout is the time without a heartbeat after which an instance is excluded from look-ups. It passes
	// after two reads without a new heartbeat, as heartbeats are written and read every 2 s.
	livenessTimeout = 3500 * time.Millisecond
	// removalTimeout is the time without a heartbeat after which an instance no longer holds a share of the limits. An
	// instance that is partitioned from the store goes on spending its share, so it is much longer than an outage.
	removalTimeout = 5 * time.Minute
)

// leavingRemovalTimeout is the time without a heartbeat after which an instance that was leaving no longer holds a
// share: twice the sum of the longest grace period and window of the users' deployments.
const leavingRemovalTimeout = 22 * time.Second

// membership is an instance's view of the fleet, from the heartbeats in the store.
type membership struct {
	self    id.Instance
	members map[id.Instance]*member
	// readAt is when the heartbeats were last read.
	readAt time.Time
	// startTime distinguishes this process from its predecessors; predecessor is their last heartbeat.
	startTime   int64
	predecessor *Member
	// firstVersion is the version of this process's first heartbeat, zero until it has been read back.
	firstVersion uint64
	// isJoined is set once all serving instances divide the limits with this one; see join.
	isJoined bool
}

type member struct {
	Member
	// silence sums the time between reads that found no new heartbeat although this instance's own had been renewed, so
	// that an outage of the store is not counted.
	silence time.Duration
}

func newMembership(self id.Instance, startTime int64) membership {
	return membership{self: self, startTime: startTime, members: make(map[id.Instance]*member)}
}

// maxSilencePerRead bounds the silence that one read adds. After a longer time without a read, the store was
// unavailable or this instance was partitioned from it, which says nothing about the others.
const maxSilencePerRead = 2200 * time.Millisecond

// update applies a read of the heartbeats. Silence counts only while this instance's own heartbeats are accepted.
func (m *membership) update(now time.Time, heartbeats []Member) {
	elapsed := min(now.Sub(m.readAt), maxSilencePerRead)
	if m.readAt.IsZero() {
		elapsed = 0
	}
	m.readAt = now
	isOwnRenewed := slices.ContainsFunc(heartbeats, func(h Member) bool {
		return h.Instance == m.self && (m.members[m.self] == nil || m.members[m.self].Version != h.Version)
	})
	for _, h := range heartbeats {
		if h.Instance == m.self && h.StartTime != m.startTime && m.predecessor == nil {
			m.predecessor = &h
		}
		existing := m.members[h.Instance]
		switch {
		case existing == nil || existing.Version != h.Version:
			m.members[h.Instance] = &member{Member: h}
		case isOwnRenewed:
			existing.silence += elapsed
		}
	}
	m.removeDead(heartbeats)
	m.join(heartbeats)
}

// join sets isJoined once all serving instances divide the limits with this one, that is, once each of them has written
// a heartbeat after reading this instance's. A successor joins at once, since it inherits its predecessor's shares.
func (m *membership) join(heartbeats []Member) {
	for _, h := range heartbeats {
		if h.Instance == m.self && h.StartTime == m.startTime && m.firstVersion == 0 {
			m.firstVersion = h.Version
		}
	}
	if m.isJoined = m.isJoined || m.predecessor != nil; m.isJoined || m.firstVersion == 0 {
		return
	}
	for name, peer := range m.members {
		if name != m.self && m.isServing(peer) && peer.ReadVersion < m.firstVersion {
			return
		}
	}
	m.isJoined = true
}

// removeDead removes instances without a row and those whose removal timeout has passed.
func (m *membership) removeDead(heartbeats []Member) {
	for name, existing := range m.members {
		isListed := slices.ContainsFunc(heartbeats, func(h Member) bool { return h.Instance == name })
		if !isListed || existing.silence > removalTimeout || existing.Leaving && existing.silence > leavingRemovalTimeout {
			delete(m.members, name)
		}
	}
}

// count returns the number of instances that hold shares of the limits, including this one.
func (m *membership) count() int {
	n := len(m.members)
	if m.members[m.self] == nil {
		n++
	}
	return n
}

// instances returns the instances that hold shares of the limits, sorted by name.
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

// evenFraction is the fraction of a limit that is divided evenly regardless of the demand, so that an instance with new
// callers has some capacity and an outdated view does little harm.
const evenFraction = 0.4

// targetShare returns the share of an organisation's limit that an instance should hold, given the total demand.
func (m *membership) targetShare(instance *member, organisation id.Organisation, totalDemand float64) float64 {
	evenShare := 1 / float64(m.count())
	if totalDemand <= 0 {
		return evenShare
	}
	var demand float64
	if instance != nil {
		demand = instance.Demand[organisation]
	}
	return evenFraction*evenShare + (1-evenFraction)*demand/totalDemand
}

// totalShares returns the sum of the shares of an organisation's limit that all instances hold or claim.
func (m *membership) totalShares(organisation id.Organisation) float64 {
	var sum float64
	for _, instance := range m.members {
		sum += instance.LimitShares[organisation]
	}
	return sum
}

// totalDemand returns the rate of an organisation's requests per second at all instances.
func (m *membership) totalDemand(organisation id.Organisation) float64 {
	var sum float64
	for _, instance := range m.members {
		sum += instance.Demand[organisation]
	}
	return sum
}

func (m *membership) isServing(instance *member) bool {
	return !instance.Leaving && instance.silence < livenessTimeout
}

func (s *State) updateMembers(heartbeats []Member) {
	s.membership.update(s.now, heartbeats)
	s.divideLimits()
	s.restoreServices()
	s.adjustLocalShares()
	s.mergeSuspects(heartbeats)
}

// Lookup returns the addresses for a caller in the region: the serving instances of that region if there are any, else
// those of all regions.
func (s *State) Lookup(region id.Region, _ id.DataCentre) []string {
	var sameRegion, all []string
	add := func(r id.Region, address string) {
		all = append(all, address)
		if r == region {
			sameRegion = append(sameRegion, address)
		}
	}
	if !s.isStopping {
		add(s.config.Region, s.config.Address)
	}
	for _, name := range s.membership.instances() {
		peer := s.membership.members[name]
		if name != s.config.Instance && peer != nil && s.membership.isServing(peer) {
			add(peer.Region, peer.Address)
		}
	}
	if len(sameRegion) > 0 {
		return sameRegion
	}
	if len(all) == 0 {
		// A caller without any address would retry the look-up at once, and this instance still serves for a while.
		return []string{s.config.Address}
	}
	return all
}
