package entry

import (
	"maps"
	"slices"
	"time"

	"bluebellhold/id"
	"bluebellhold/placement"
)

// lender is a member that reports to this instance.
type lender struct {
	// stamp is from its last report.
	stamp      Stamp
	reportedAt time.Time
	// echoedAt is when this instance sent the last beat that the member got before its last report.
	echoedAt time.Time
	// lendsUntil is when its part of the limits must no longer be counted.
	lendsUntil  time.Time
	offeredLoad map[id.Service]float64
	pinnedLoad  map[id.Service]map[id.Region]float64
	routeLoad   map[id.Service]map[id.Route]float64
	// sharesSentAt is when it last got the group's shares.
	sharesSentAt time.Time
	suspects     suspectReports
	limits       placement.LimitReports
	// queued is the work that waits at the member.
	queued []QueuedWork
	// isSevered is set while the member reaches no upstream.
	isSevered bool
	// observedMeans are the mean loads per slot that it has observed, as of its last report.
	observedMeans map[id.Service]float64
}

// handleReport records a member's report and answers it.
func (s *State) handleReport(from id.Instance, r MemberReport) {
	s.updateStartTime(from, r.StartTime)
	g := &s.group
	l := g.lenders[from]
	if l == nil {
		l = &lender{suspects: make(suspectReports)}
		g.lenders[from] = l
	}
	l.stamp, l.reportedAt, l.isSevered = r.Stamp, s.now, r.IsSevered
	l.offeredLoad, l.pinnedLoad = s.knownLoad(r)
	l.routeLoad = s.knownRouteLoad(r)
	l.echoedAt, l.lendsUntil = s.timeOf(r.Echo), time.Time{}
	if r.Lends && !l.echoedAt.IsZero() && !s.stopping.isRequested {
		l.lendsUntil = l.echoedAt.Add(lendDuration)
	}
	for _, suspect := range r.Suspects {
		s.crashDetector.suspects.MergeReport(s.now, suspect)
	}
	s.mergeLimits(r.Limits)
	s.mergeLeaving(from, r.Leavers)
	s.mergeMemberLoad(l, r.Observed)
	s.updateFraction()
	l.queued = s.boundQueuedWork(r.Queued)
	beat := CoordinatorBeat{
		Stamp: s.stamp(), Echo: r.Stamp, Leaving: s.stopping.isRequested, StartTime: s.config.StartTime, LocalShares: s.LocalShares(),
		Suspects: l.suspects.changes(s.crashDetector.suspects.Reports(s.now)),
		Limits:   l.limits.Changes(s.now, s.knownLimits(s.now)),
		Leavers:  s.Leaving(s.now),
		Severed:  s.Severed(),
		Observed: s.groupObservedLoad(), Queued: s.queuedElsewhere(from),
	}
	if s.IsCoordinator() {
		beat.Plan = s.routePlans()
	}
	if s.IsCoordinator() && s.isDeputy(from) && s.now.Sub(l.sharesSentAt) >= sharesInterval && g.shares.hasRead {
		l.sharesSentAt = s.now
		beat.Shares = s.heldShares()
	}
	s.emit(Send{To: from, Message: beat})
}

// knownLoad returns the load of a report without services and regions that do not exist, which would make the heartbeat
// of this instance longer than a row may be.
func (s *State) knownLoad(r MemberReport) (offered map[id.Service]float64, pinned map[id.Service]map[id.Region]float64) {
	maps.DeleteFunc(r.OfferedLoad, func(name id.Service, _ float64) bool { return s.services[name] == nil })
	maps.DeleteFunc(r.PinnedLoad, func(name id.Service, _ map[id.Region]float64) bool { return s.services[name] == nil })
	for _, byRegion := range r.PinnedLoad {
		maps.DeleteFunc(byRegion, func(region id.Region, _ float64) bool { return !s.regions[region] })
	}
	return r.OfferedLoad, r.PinnedLoad
}

// isDeputy reports whether a member may have to coordinate the group next.
func (s *State) isDeputy(name id.Instance) bool {
	first := slices.Index(s.group.ranked, s.config.Instance) + 1
	return slices.Contains(s.group.ranked[first:min(first+deputies, len(s.group.ranked))], name)
}

// releasePart allows this instance's part of the limits to be lent again at once.
func (s *State) releasePart(from id.Instance) {
	if s.group.shares.lentTo == from {
		s.group.shares.lentTo, s.group.ownPartFrom = "", s.now
	}
}

// lendPart reports whether this instance's part of the limits may be lent to its coordinator now. The lease ends at the
// latest at lendDuration after the arrival of the beat that the report echoes.
func (s *State) lendPart(c *contact) bool {
	g := &s.group
	if c.stamp == 0 || g.shares.lentTo != g.coordinator && s.now.Before(g.ownPartFrom) {
		return false
	}
	g.shares.lentTo = g.coordinator
	g.ownPartFrom = later(g.ownPartFrom, c.receivedAt.Add(lendDuration))
	return true
}

// expireLenders forgets members that no longer report.
func (s *State) expireLenders() {
	maps.DeleteFunc(s.group.lenders, func(_ id.Instance, l *lender) bool {
		return s.now.Sub(l.reportedAt) >= contactTimeout && !s.now.Before(l.lendsUntil)
	})
	s.updateFraction()
}

// updateFraction determines the fraction of the group's share that this instance may give out.
func (s *State) updateFraction() {
	g := &s.group
	parts := 0
	if s.IsCoordinator() && !s.now.Before(g.ownPartFrom) {
		parts++
	}
	for _, l := range g.lenders {
		if s.now.Before(l.lendsUntil) {
			parts++
		}
	}
	fraction := min(float64(parts)/float64(max(s.groupSize(), 1)), 1)
	if fraction == g.fraction {
		return
	}
	g.fraction = fraction
	s.applyShares()
}

// groupSize returns the number of instances that have a part of the group's share of the limits.
func (s *State) groupSize() int {
	size := 1
	for _, m := range s.membership.members {
		if s.isInGroup(m) && m.silence < partTimeout && !(m.Leaving && m.silence > leavingPartTimeout) {
			size++
		}
	}
	return size
}

// partTimeout is the silence after which an instance no longer has a part of its group's share. It exceeds the time
// after which a partitioned instance stops using its own part.
const partTimeout = 12 * time.Second

// leavingPartTimeout is the silence after which an instance that was leaving no longer has a part: its last heartbeat is
// from the start of its grace period, in which it lends its part to nobody.
const leavingPartTimeout = 2 * time.Second

// Vouched returns the members that report to this instance, so that they need no heartbeats of their own, and a time
// as of which they have got everything that this instance has read and relayed.
func (s *State) Vouched(now time.Time) (names []id.Instance, upToDateAsOf time.Time) {
	s.now = now
	if !s.IsCoordinator() {
		return nil, now
	}
	upToDateAsOf = now
	for name, l := range s.group.lenders {
		if now.Sub(l.reportedAt) < contactTimeout && now.Sub(l.echoedAt) < contactTimeout {
			names = append(names, name)
			upToDateAsOf = earlier(upToDateAsOf, l.echoedAt)
		}
	}
	slices.Sort(names)
	return names, upToDateAsOf
}

// NeedsHeartbeat reports whether this instance writes its own heartbeat: unless its coordinator's heartbeat vouches for
// it.
func (s *State) NeedsHeartbeat() bool {
	if s.stopping.isRequested || s.IsCoordinator() || s.group.coordinator == "" || s.membership.firstVersion == 0 {
		return true
	}
	coordinator := s.membership.members[s.group.coordinator]
	return coordinator == nil || coordinator.silence > vouchTimeout ||
		!slices.Contains(coordinator.Vouched, s.config.Instance)
}

// vouchTimeout is the silence of a coordinator after which its members write their own heartbeats: it may be
// partitioned from the store.
const vouchTimeout = 2500 * time.Millisecond

// ReportStamp returns the stamp of the last report of a member, and whether it reports to this instance.
func (s *State) ReportStamp(name id.Instance) (Stamp, bool) {
	l := s.group.lenders[name]
	if l == nil {
		return 0, false
	}
	return l.stamp, true
}

// suspend handles that the process was suspended or the time of day was set: the clock of the leases may have missed
// time, so everything that was lent counts as expired.
func (s *State) suspend() {
	g := &s.group
	g.lenders = make(map[id.Instance]*lender)
	g.ownPartFrom = s.now.Add(lendDuration)
	g.shares.lentTo = ""
	for _, c := range g.contacts {
		*c = contact{addedAt: s.now, suspects: make(suspectReports)}
	}
	for _, o := range s.organisations {
		o.bucket.Drain(s.now)
		o.stock = tokenStock{waiting: o.stock.waiting, sequence: o.stock.sequence}
	}
	g.nextReportAt = s.now
	g.coordinator = ""
	s.updateFraction()
	s.sendReports()
}
