package entry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bluebellhold/id"
)

const (
	// leavingTTL is how long an upstream that has said that it leaves gets no requests without saying so again. Those that
	// leave have ended by then; if its row still says that it is ready, it stays.
	leavingTTL = time.Minute
	// maxLeavingReports bounds the leaving upstreams in one heartbeat or message.
	maxLeavingReports = 64
)

// leavingUpstream is a process of an upstream that has said in a response that it leaves. It remains after leavingTTL, so
// that reports of other instances that are still on their way don't start it anew.
type leavingUpstream struct {
	incarnation id.Incarnation
	at          time.Time
	isExpired   bool
}

// LeavingReport says that a process of an upstream leaves, as exchanged between instances.
type LeavingReport struct {
	Upstream    id.Upstream
	Incarnation id.Incarnation
	// Age is the time since the response that said so.
	Age time.Duration
}

// isLeaving reports whether the process of an upstream has said that it leaves.
func (s *State) isLeaving(u Upstream) bool {
	l, ok := s.leaving[u.ID]
	return ok && l.incarnation == u.Incarnation && !l.isExpired
}

// takesRequests reports whether an upstream may get new requests, as far as it has said itself.
func (s *State) takesRequests(u Upstream) bool { return !u.Draining && !s.isLeaving(u) }

// recordLeaving records that the upstream of the request's attempt has said that it leaves.
func (s *State) recordLeaving(r *request) {
	u, ok := s.upstreams[r.choice.Upstream]
	if !ok || processID(u) != r.processID {
		return
	}
	isNew := !s.isLeaving(u)
	s.leaving[u.ID] = leavingUpstream{incarnation: u.Incarnation, at: s.now}
	if isNew {
		s.emit(UpstreamLeaving{Upstream: u.ID, Request: r.id})
		s.assignUpstreams()
		s.group.nextReportAt = s.now
		s.sendReports()
	}
}

// mergeLeaving adds the upstreams of which another instance knows that they leave.
func (s *State) mergeLeaving(from id.Instance, reports []LeavingReport) {
	hasNew := false
	for _, report := range reports {
		u, ok := s.upstreams[report.Upstream]
		if !ok || u.Incarnation != report.Incarnation || report.Age < 0 || report.Age >= leavingTTL {
			continue
		}
		if known, ok := s.leaving[u.ID]; ok && known.incarnation == u.Incarnation {
			continue
		}
		s.leaving[u.ID] = leavingUpstream{incarnation: u.Incarnation, at: s.now.Add(-report.Age)}
		s.emit(UpstreamLeaving{Upstream: u.ID, From: from})
		hasNew = true
	}
	if hasNew {
		s.assignUpstreams()
	}
}

// mergeHeartbeatLeaving merges the leaving upstreams in heartbeats that have not been read before.
func (s *State) mergeHeartbeatLeaving(heartbeats []Member) {
	for _, h := range heartbeats {
		previous := s.membership.members[h.Instance]
		if h.Instance != s.config.Instance && (previous == nil || previous.Version != h.Version) {
			s.mergeLeaving(h.Instance, h.Leavers)
		}
	}
}

// expireLeaving readmits upstreams that have said that they leave and stay, and forgets those that are gone.
func (s *State) expireLeaving() {
	hasExpired := false
	for name, l := range s.leaving {
		if s.now.Sub(l.at) < leavingTTL {
			continue
		}
		if u, ok := s.upstreams[name]; !ok || u.Incarnation != l.incarnation {
			delete(s.leaving, name)
			continue
		}
		hasExpired = hasExpired || !l.isExpired
		l.isExpired = true
		s.leaving[name] = l
	}
	if hasExpired {
		s.assignUpstreams()
		s.dispatchAllQueued()
	}
}

// Leaving returns the upstreams that have said that they leave, the latest first.
func (s *State) Leaving(now time.Time) []LeavingReport {
	var reports []LeavingReport
	for _, name := range slices.Sorted(maps.Keys(s.leaving)) {
		if l := s.leaving[name]; !l.isExpired {
			reports = append(reports, LeavingReport{Upstream: name, Incarnation: l.incarnation, Age: max(now.Sub(l.at), 0)})
		}
	}
	slices.SortStableFunc(reports, func(a, b LeavingReport) int { return cmp.Compare(a.Age, b.Age) })
	return reports[:min(len(reports), maxLeavingReports)]
}
