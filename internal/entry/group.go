package entry

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhold/id"
	"bluebellhold/placement"
	"bluebellhold/retry"
)

const (
	// reportInterval is the time between two reports of a member to its contacts.
	reportInterval = 400 * time.Millisecond
	// contactTimeout is the time without a beat after which a contact counts as dead.
	contactTimeout = 1100 * time.Millisecond
	// lendDuration is how long a coordinator may count a member's part of the limits after the beat that the member's
	// report echoes. It exceeds contactTimeout, so that a member that takes a coordinator for dead lends its part to
	// another one shortly afterwards.
	lendDuration = 1200 * time.Millisecond
	// reconnectTime is how long a member waits for its coordinator after their session has closed: sessions are reset more
	// often than coordinators die.
	reconnectTime = 300 * time.Millisecond
	// sharesInterval is the time between two beats to a deputy that contain the group's shares of the limits, and deputies
	// the number of members that get them. Without the store, another member that takes over knows no shares.
	sharesInterval = 2 * time.Second
	deputies       = 2
	// liveContacts is the number of live contacts that a member keeps: the coordinator and its deputy.
	liveContacts = 2
	// maxContacts bounds the contacts that a member tries, in case the first ones are dead.
	maxContacts = 6
	// maxRegionGroup is the number of instances in a region above which each data centre is a group of its own. It
	// bounds the sessions of a coordinator.
	maxRegionGroup = 128
)

// PeerMessage is a message between two instances of a group.
type PeerMessage interface{ isPeerMessage() }

// Stamp is a reading of its sender's clock, which only the sender interprets.
type Stamp int64

// MemberReport is the state of a member, sent to the instances that may coordinate its group.
type MemberReport struct {
	// Stamp is the sender's clock, and Echo the stamp of the last beat that it got from the receiver, or zero.
	Stamp, Echo Stamp
	// Lends is set if the receiver may count the sender's part of the limits.
	Lends       bool
	OfferedLoad map[id.Service]float64
	PinnedLoad  map[id.Service]map[id.Region]float64
	// RouteLoad is the parts of OfferedLoad by route; nil while feature plan is off.
	RouteLoad map[id.Service]map[id.Route]float64
	Suspects  []retry.Report
	// Limits are the rate limits that upstreams name, as far as they are news to the receiver.
	Limits []placement.LimitReport
	// Leavers are the upstreams that have said that they leave.
	Leavers []LeavingReport
	// Queued is the work that waits at the sender.
	Queued []QueuedWork
	// IsSevered is set while the sender reaches no upstream.
	IsSevered bool
	// Observed is the load of upstreams as the sender has seen it, per service.
	Observed map[id.Service]placement.ServiceLoad
	// StartTime is that of the sender's heartbeats.
	StartTime int64
}

// CoordinatorBeat answers the MemberReport with the same stamp.
type CoordinatorBeat struct {
	// Stamp is the sender's clock, and Echo the stamp of the report.
	Stamp, Echo Stamp
	// Leaving is set if the sender shuts down and no longer coordinates the group.
	Leaving bool
	// Shares are the group's shares of the limits, in some of the beats to deputies.
	Shares map[id.Organisation]float64
	// LocalShares are the fractions of the objects whose home is in the group's region, per service.
	LocalShares map[id.Service]float64
	// Plan says where the objects of each route are served.
	Plan     []RoutePlan
	Suspects []retry.Report
	// Limits are those of MemberReport.
	Limits []placement.LimitReport
	// Leavers are those of MemberReport.
	Leavers []LeavingReport
	// Severed are the instances of the group that reach no upstream.
	Severed []id.Instance
	// Observed is the load of upstreams as the group has seen it, per service.
	Observed map[id.Service]placement.ServiceLoad
	// Queued is the work that waits at the other instances of the group.
	Queued []QueuedWork
	// StartTime is that of the sender's heartbeats.
	StartTime int64
}

func (MemberReport) isPeerMessage()    {}
func (CoordinatorBeat) isPeerMessage() {}

// group is an instance's view of its group, as a member and as a coordinator.
//
// The coordinator is the first instance in an order that all members compute alike, among those that this instance
// hears. Members can disagree on it for a while, or always if some of them are partitioned. That is safe: each member
// lends its part of the group's share of the limits, an equal one, to one coordinator at a time, and a coordinator gives
// out the parts that it was lent. The lease of a part runs from a stamp of the coordinator's own clock, so neither a
// delayed message nor a paused process prolongs it.
type group struct {
	startedAt time.Time
	// regionSize is the number of known instances in the region.
	regionSize int
	// ranked are the members in the order in which they coordinate the group, as of the last read of the heartbeats.
	ranked   []id.Instance
	contacts map[id.Instance]*contact
	// dialled are the contacts that the shell connects to, in order.
	dialled []Contact
	// coordinator is empty until one is known.
	coordinator id.Instance
	lenders     map[id.Instance]*lender
	// ownPartFrom is when this instance's part of the limits is certainly not lent any more.
	ownPartFrom  time.Time
	nextReportAt time.Time
	// fraction is the fraction of the group's share that this instance gives out as a coordinator.
	fraction float64
	// shares is the group's view of the limits; see share.go.
	shares groupShares
}

// contact is an instance that this one reports to.
type contact struct {
	addedAt time.Time
	// stamp is from its last beat, which arrived at receivedAt and answered a report of echoedAt.
	stamp                Stamp
	receivedAt, echoedAt time.Time
	isLeaving            bool
	// closedAt is when the session with it closed, or zero after a later beat.
	closedAt time.Time
	suspects suspectReports
	limits   placement.LimitReports
	// severed is from its last beat.
	severed []id.Instance
}

// isAlive reports whether the contact answers reports. The age is that of the report, so a delayed beat is no sign of
// life.
func (c *contact) isAlive(now time.Time) bool {
	return c != nil && !c.isLeaving && c.closedAt.IsZero() && !c.echoedAt.IsZero() && now.Sub(c.echoedAt) < contactTimeout
}

// isPending reports whether the contact may still answer its first report, or open a session again.
func (c *contact) isPending(now time.Time, firstTimeout time.Duration) bool {
	switch {
	case c.isLeaving:
		return false
	case !c.closedAt.IsZero():
		return now.Sub(c.closedAt) < reconnectTime
	}
	return c.echoedAt.IsZero() && now.Sub(c.addedAt) < firstTimeout
}

func newGroup() group {
	return group{
		contacts: make(map[id.Instance]*contact), lenders: make(map[id.Instance]*lender), shares: newGroupShares(),
	}
}

// Group returns the group of this instance: its region, or its data centre if the region is large.
func (s *State) Group() id.Group {
	if s.group.regionSize > maxRegionGroup {
		return id.Group(s.config.DataCentre)
	}
	return id.Group(s.config.Region)
}

// isInGroup reports whether another instance is in the group of this one.
func (s *State) isInGroup(m *member) bool {
	return m.Instance != s.config.Instance && m.Region == s.config.Region &&
		(s.group.regionSize <= maxRegionGroup || m.DataCentre == s.config.DataCentre)
}

// updateRegionSize counts the instances of the region.
func (s *State) updateRegionSize() {
	s.group.regionSize = 1
	for name, m := range s.membership.members {
		if name != s.config.Instance && m.Region == s.config.Region {
			s.group.regionSize++
		}
	}
}

// Coordinator returns the coordinator of the group, or an empty name while none is known.
func (s *State) Coordinator() id.Instance { return s.group.coordinator }

// IsCoordinator reports whether this instance coordinates itself, and members that report to it.
func (s *State) IsCoordinator() bool { return s.group.coordinator == s.config.Instance }

// Contact is an instance to keep a session with.
type Contact struct {
	Instance id.Instance
	// Address accepts sessions of other instances.
	Address string
}

// rankMembers returns the serving members of the group and this instance, in the order in which they coordinate it: those
// with the most capacity first, and among equals the oldest processes, so that a restarted one does not take over again
// at once.
func (s *State) rankMembers() []id.Instance {
	own := s.Group()
	type rank struct {
		capacity  int
		startTime int64
		hash      uint64
	}
	ranked := []id.Instance{s.config.Instance}
	ranks := map[id.Instance]rank{s.config.Instance: {capacity: s.config.Capacity, startTime: s.config.StartTime}}
	for name, m := range s.membership.members {
		if m.PeerAddress != "" && !m.Leaving && s.isInGroup(m) {
			ranked = append(ranked, name)
			ranks[name] = rank{capacity: m.Capacity, startTime: m.StartTime}
		}
	}
	for name, r := range ranks {
		r.hash = xxhash.Sum64String(string(own) + "/" + string(name))
		ranks[name] = r
	}
	slices.SortFunc(ranked, func(a, b id.Instance) int {
		return cmp.Or(cmp.Compare(ranks[b].capacity, ranks[a].capacity),
			cmp.Compare(ranks[a].startTime, ranks[b].startTime), cmp.Compare(ranks[b].hash, ranks[a].hash))
	})
	return ranked
}

// updateContacts chooses the instances to report to: those before this one in the order, up to the second live one.
func (s *State) updateContacts() {
	g := &s.group
	var dialled []Contact
	live := 0
	for _, name := range s.group.ranked {
		if name == s.config.Instance && s.stopping.isRequested {
			continue
		}
		if name == s.config.Instance || live == liveContacts || len(dialled) == maxContacts {
			break
		}
		c := g.contacts[name]
		if c == nil {
			c = &contact{addedAt: s.now, suspects: make(suspectReports)}
			g.contacts[name] = c
		}
		if c.isAlive(s.now) || s.now.Sub(c.addedAt) < contactTimeout {
			live++
		}
		dialled = append(dialled, Contact{Instance: name, Address: s.membership.members[name].PeerAddress})
	}
	for name := range g.contacts {
		if !slices.ContainsFunc(dialled, func(c Contact) bool { return c.Instance == name }) {
			delete(g.contacts, name)
		}
	}
	if !slices.Equal(dialled, g.dialled) {
		g.dialled = dialled
		s.emit(SetContacts{Contacts: dialled})
	}
	s.updateCoordinator()
}

// updateCoordinator determines the coordinator: the first live contact, or this instance if there is none. While a
// contact may still answer its first report, there is none.
func (s *State) updateCoordinator() {
	g := &s.group
	next := s.config.Instance
	// Instances that start together need some time to see each other.
	isPending := s.membership.readAt.IsZero() ||
		s.membership.predecessor == nil && s.now.Sub(g.startedAt) < minJoinTime
	for _, d := range g.dialled {
		c := g.contacts[d.Instance]
		if c.isAlive(s.now) {
			next, isPending = d.Instance, false
			break
		}
		isPending = isPending || c.isPending(s.now, s.firstContactTimeout())
	}
	if next == s.config.Instance && isPending {
		if g.coordinator == s.config.Instance {
			return
		}
		next = ""
	}
	if next == g.coordinator {
		return
	}
	previous := g.coordinator
	g.coordinator = next
	if next == s.config.Instance {
		g.shares.hasRead = false
	}
	s.updateFraction()
	s.emit(CoordinatorChanged{Previous: previous, Current: next, Members: len(g.lenders)})
	s.askAgain()
}

// firstContactTimeout is the time for the first beat of a contact. When the whole fleet starts for the first time, the
// sessions take longer to open.
func (s *State) firstContactTimeout() time.Duration {
	if s.membership.predecessor == nil && !s.membership.isJoined {
		return 2 * contactTimeout
	}
	return contactTimeout
}

// timeOf converts a stamp of this instance's clock, which another instance returned; zero if there is none. A stamp
// from the future is not one of this process.
func (s *State) timeOf(stamp Stamp) time.Time {
	at := s.group.startedAt.Add(time.Duration(stamp - 1))
	if stamp <= 0 || at.After(s.now) {
		return time.Time{}
	}
	return at
}

func (s *State) stamp() Stamp { return Stamp(s.now.Sub(s.group.startedAt)) + 1 }

// updateStartTime notices that another instance has restarted before its heartbeat says so. When all instances of a group
// have restarted, each would otherwise take the predecessors of the others for older than itself.
func (s *State) updateStartTime(name id.Instance, startTime int64) {
	if m := s.membership.members[name]; m != nil && startTime != 0 && m.StartTime != startTime {
		m.StartTime = startTime
		s.group.ranked = s.rankMembers()
		s.updateContacts()
	}
}

// handleBeat records a contact's beat.
func (s *State) handleBeat(from id.Instance, b CoordinatorBeat) {
	s.updateStartTime(from, b.StartTime)
	g := &s.group
	c := g.contacts[from]
	echoedAt := s.timeOf(b.Echo)
	if c == nil || echoedAt.IsZero() {
		return
	}
	c.stamp, c.receivedAt, c.isLeaving, c.closedAt = b.Stamp, s.now, b.Leaving, time.Time{}
	c.echoedAt, c.severed = later(c.echoedAt, echoedAt), b.Severed
	if b.Leaving {
		// A leaving coordinator counts no lent parts any more.
		s.releasePart(from)
	}
	s.updateCoordinator()
	if from != g.coordinator {
		return
	}
	for _, suspect := range b.Suspects {
		s.crashDetector.suspects.MergeReport(s.now, suspect)
	}
	s.mergeLimits(b.Limits)
	s.mergeLeaving(from, b.Leavers)
	s.mergeGroupLoad(b.Observed)
	s.setQueuedElsewhere(s.boundQueuedWork(b.Queued))
	for name, share := range b.LocalShares {
		if svc := s.services[name]; svc != nil {
			svc.chooser.RestoreLocalShare(share)
		}
	}
	s.followPlan(b.Plan)
	if b.Shares != nil {
		s.adoptShares(b.Shares)
	}
}

// handleSessionOpened reports to a contact as soon as it can be reached. What was sent in an earlier session may be lost.
func (s *State) handleSessionOpened(name id.Instance) {
	if l := s.group.lenders[name]; l != nil {
		clear(l.suspects)
		l.limits.Forget()
	}
	if c := s.group.contacts[name]; c != nil {
		clear(c.suspects)
		c.limits.Forget()
		s.group.nextReportAt = s.now
		s.sendReports()
	}
}

// handleSessionClosed records that a session has closed, which a killed process causes at once.
func (s *State) handleSessionClosed(name id.Instance) {
	if c := s.group.contacts[name]; c != nil && c.closedAt.IsZero() {
		c.closedAt = s.now
		s.updateCoordinator()
	}
}

// sendReports reports to all contacts when it is due.
func (s *State) sendReports() {
	g := &s.group
	if s.now.Before(g.nextReportAt) {
		return
	}
	g.nextReportAt = s.now.Add(reportInterval)
	s.updateContacts()
	s.expireLenders()
	s.updatePlans()
	if s.IsCoordinator() {
		s.setQueuedElsewhere(s.queuedElsewhere(s.config.Instance))
	}
	for _, d := range g.dialled {
		c := g.contacts[d.Instance]
		report := MemberReport{
			Stamp: s.stamp(), Echo: c.stamp, StartTime: s.config.StartTime, IsSevered: s.uplink.IsSevered(),
		}
		if d.Instance == g.coordinator {
			report.OfferedLoad, report.PinnedLoad = s.ownOfferedLoad(s.now), s.ownPinnedLoad(s.now)
			report.RouteLoad = s.ownRouteLoad(s.now)
			report.Suspects = c.suspects.changes(s.crashDetector.suspects.Reports(s.now))
			report.Limits = c.limits.Changes(s.now, s.knownLimits(s.now))
			report.Leavers = s.Leaving(s.now)
			report.Observed = s.ownObservedLoad()
			report.Queued = s.ownQueuedWork()
			report.Lends = s.lendPart(c)
		}
		s.emit(Send{To: d.Instance, Message: report})
	}
}

// isServing reports whether an instance serves callers, from its heartbeats and from what this instance hears of it.
func (s *State) isServing(name id.Instance, m *member) bool {
	if m.Leaving {
		return false
	}
	l := s.group.lenders[name]
	return m.silence < livenessTimeout || s.group.contacts[name].isAlive(s.now) ||
		l != nil && s.now.Sub(l.reportedAt) < contactTimeout
}

// TimeOf returns the time of a stamp of this instance's clock, and false if the stamp is not from this process.
func (s *State) TimeOf(now time.Time, stamp Stamp) (time.Time, bool) {
	s.now = now
	at := s.timeOf(stamp)
	return at, !at.IsZero()
}
