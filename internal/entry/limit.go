package entry

import (
	"cmp"
	"slices"
	"time"

	"bluebellhold/placement"
)

// UpstreamLimits returns the rate limits that upstreams name, for this instance's heartbeat. A member reports them to
// its coordinator instead.
func (s *State) UpstreamLimits(now time.Time) []placement.LimitReport {
	if !s.IsCoordinator() {
		return nil
	}
	return s.knownLimits(now)
}

// maxLimitReports bounds the limits in one heartbeat or message.
const maxLimitReports = 64

// knownLimits returns the latest limits of all services.
func (s *State) knownLimits(now time.Time) []placement.LimitReport {
	var reports []placement.LimitReport
	for _, name := range s.serviceNames {
		reports = append(reports, s.services[name].chooser.Limits(now)...)
	}
	slices.SortFunc(reports, func(a, b placement.LimitReport) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Upstream, b.Upstream))
	})
	return reports[:min(len(reports), maxLimitReports)]
}

// mergeLimits merges the limits that another instance reports.
func (s *State) mergeLimits(reports []placement.LimitReport) {
	for _, r := range reports {
		if svc := s.services[s.upstreams[r.Upstream].Service]; svc != nil {
			svc.chooser.MergeLimit(s.now, r)
		}
	}
}

// mergeHeartbeatLimits merges the limits in heartbeats that are newer than the last ones. The age of those in the first
// heartbeats that an instance reads is unknown.
func (s *State) mergeHeartbeatLimits(heartbeats []Member) {
	for _, h := range heartbeats {
		previous := s.membership.members[h.Instance]
		if h.Instance != s.config.Instance && !h.IsRestored && previous != nil && previous.Version != h.Version {
			s.mergeLimits(h.Limits)
		}
	}
}

// servingPeers returns the instances that divide the limits of upstreams: this one and all others that serve callers,
// sorted by name.
func (s *State) servingPeers() []placement.Peer {
	var peers []placement.Peer
	for _, name := range s.membership.instances() {
		if name == s.config.Instance {
			peers = append(peers, placement.Peer{Instance: name, Region: s.config.Region})
			continue
		}
		if m := s.membership.members[name]; s.isServing(name, m) {
			peers = append(peers, placement.Peer{Instance: name, Region: m.Region})
		}
	}
	return peers
}

// updatePeers divides the limits of upstreams among the instances that serve callers now.
func (s *State) updatePeers() {
	peers := s.servingPeers()
	if slices.Equal(peers, s.membership.peers) {
		return
	}
	s.membership.peers = peers
	for _, name := range s.serviceNames {
		s.services[name].chooser.SetPeers(s.now, s.config.Instance, peers)
	}
}
