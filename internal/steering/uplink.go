package steering

import (
	"maps"
	"slices"
	"time"

	"bluebellhold/fleet"
	"bluebellhold/id"
	"bluebellhold/internal/uplink"
)

const (
	uplinkCheckInterval = 200 * time.Millisecond
	// silenceThreshold is the age of an attempt, and the time without any answer, after which it may be lost.
	silenceThreshold = time.Second
	// crashConfirmTime is how long peers are not told of a crash while nothing shows that this instance reaches other
	// upstreams: its own links may have failed.
	crashConfirmTime = 2 * time.Second
)

// pendingCrash is an upstream that closed its connection during requests, as far as only this instance knows.
type pendingCrash struct {
	upstream id.Upstream
	digests  []id.Digest
	at       time.Time
}

// checkUplink looks for attempts without a response and tests connections if the instance may be severed.
func (s *State) checkUplink() {
	if s.now.Before(s.nextUplinkCheck) {
		return
	}
	s.nextUplinkCheck = s.now.Add(uplinkCheckInterval)
	if !s.uplink.IsSevered() && s.uplink.SinceAnswer(s.now) >= silenceThreshold {
		for _, r := range s.requests {
			if r.stage == stageInFlight && r.via.Instance == "" && s.now.Sub(r.startedAt) >= silenceThreshold {
				s.uplink.RecordSilent(s.now, r.upstream)
			}
		}
	}
	if !s.uplink.IsSuspect() {
		s.confirmCrashes(s.now.Add(-crashConfirmTime))
	}
	if !s.uplink.MayNeedProbes() {
		return
	}
	addresses, candidates := s.uplinkCandidates()
	for _, u := range s.uplink.Probes(s.now, candidates) {
		s.emit(TestConnection{Upstream: u, Address: addresses[u]})
	}
}

func (s *State) uplinkCandidates() (map[id.Upstream]string, []uplink.Upstream) {
	addresses := make(map[id.Upstream]string)
	var candidates []uplink.Upstream
	for _, name := range s.serviceNames {
		svc := s.services[name]
		for _, u := range slices.Sorted(maps.Keys(svc.upstreams)) {
			if _, draining := s.epochs.current.Drains[u]; draining {
				continue
			}
			addresses[u] = svc.upstreams[u].Address
			candidates = append(candidates, uplink.Upstream{ID: u, DataCentre: svc.upstreams[u].DataCentre})
		}
	}
	return addresses, candidates
}

// recordUplink records what an attempt says about this instance's links and about the helper that it went through.
func (s *State) recordUplink(r *request, e AttemptEnded) {
	if r.via.Instance != "" {
		s.helpers.RecordOutcome(s.now, r.via.Instance, r.startedAt, helperOutcome(e.Outcome))
		return
	}
	if e.IsConnected {
		s.recordReach(r.upstream, true)
	}
	switch o := e.Outcome.(type) {
	case Answered, Shed:
		s.uplink.RecordAnswered(s.now, r.upstream)
		if !s.uplink.IsSuspect() {
			s.confirmCrashes(s.now)
		}
	case NothingSent:
		if !o.DispatchExpired {
			s.recordReach(r.upstream, false)
		}
	}
}

func helperOutcome(o AttemptOutcome) uplink.Outcome {
	switch o := o.(type) {
	case Answered, Shed:
		return uplink.HelperAnswered
	case NothingSent:
		if o.IsHelperFailed {
			return uplink.HelperFailed
		}
	case Broken, TimedOut:
		return uplink.HelperSilent
	}
	return uplink.HelperUnknown
}

// recordReach records whether an upstream accepted a connection of this instance.
func (s *State) recordReach(upstream id.Upstream, isReached bool) {
	switch {
	case !isReached && s.uplink.RecordUnreached(s.now, upstream):
		s.severedAt = s.now
		evidence := s.uplink.Evidence(s.now)
		s.log("uplink", "no upstream is reached; requests go through other instances", "unreached", evidence.Unreached,
			"silent", evidence.Silent, "connected", evidence.ConnectedAge, "answered", evidence.AnsweredAge)
		s.withdrawCrashes()
		s.updateHelpers()
		s.forgetFailures()
		s.updateCandidates()
		s.dispatchAll()
	case isReached && s.uplink.RecordConnected(s.now, upstream):
		s.log("uplink", "upstreams are reached again", "after", s.now.Sub(s.severedAt))
		s.forgetFailures()
		s.updateCandidates()
	}
}

func (s *State) forgetFailures() {
	for _, name := range s.serviceNames {
		s.services[name].chooser.ForgetFailures(s.now)
	}
}

// confirmCrashes lets peers know of the crashes up to the given time.
func (s *State) confirmCrashes(until time.Time) {
	s.pendingCrashes = slices.DeleteFunc(s.pendingCrashes, func(c pendingCrash) bool { return !c.at.After(until) })
}

// withdrawCrashes forgets the crashes that peers do not know of, since this instance's links failed and not the upstreams.
func (s *State) withdrawCrashes() {
	for _, c := range s.pendingCrashes {
		s.suspects.WithdrawCrash(c.upstream, c.digests)
	}
	s.pendingCrashes = s.pendingCrashes[:0]
}

// isPendingCrash reports whether a crash that concerns a request is not for peers yet.
func (s *State) isPendingCrash(upstream id.Upstream, digest id.Digest) bool {
	return slices.ContainsFunc(s.pendingCrashes, func(c pendingCrash) bool {
		return c.upstream == upstream && slices.Contains(c.digests, digest)
	})
}

// updateHelpers updates the instances through which the upstreams could be reached.
func (s *State) updateHelpers() {
	if !s.uplink.IsSevered() {
		return
	}
	var candidates []uplink.Helper
	for _, m := range s.view.Members() {
		if m.Status == fleet.Live && m.Peer != "" && !s.isPeerSevered(m.Instance) {
			candidates = append(candidates, uplink.Helper{Instance: m.Instance, Region: m.Region, Address: m.Peer})
		}
	}
	s.helpers.SetCandidates(candidates)
}

func (s *State) isPeerSevered(name id.Instance) bool {
	p := s.peers[name]
	return p != nil && p.isSevered
}

// recordPeerUplink records whether a peer reaches the upstreams.
func (s *State) recordPeerUplink(name id.Instance, isSevered bool) {
	p := s.ensurePeer(name)
	if p.isSevered == isSevered {
		return
	}
	p.isSevered = isSevered
	s.updateHelpers()
	s.updateCandidates()
}

// canReach reports whether a request may reach upstreams of the region: directly, or through an instance there. One in
// another region would not count its bytes on the link between the regions.
func (s *State) canReach(region id.Region) bool {
	return !s.uplink.IsSevered() || s.helpers.CanChoose(s.now, region)
}

// LendsLinks reports whether this instance connects others to upstreams.
func (s *State) LendsLinks() bool { return !s.uplink.IsSevered() && !s.stop.isLeaving() }

// TunnelAddress returns the address of an upstream for another instance, and false if it gets no requests as far as this
// instance knows.
func (s *State) TunnelAddress(upstream id.Upstream) (string, bool) {
	if _, draining := s.epochs.current.Drains[upstream]; draining {
		return "", false
	}
	for _, svc := range s.services {
		if u, ok := svc.upstreams[upstream]; ok {
			return u.Address, true
		}
	}
	return "", false
}
