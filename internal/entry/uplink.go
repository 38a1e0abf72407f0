package entry

import (
	"maps"
	"slices"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/uplink"
)

const (
	// uplinkCheckInterval is the time between two checks of whether the upstreams are reached.
	uplinkCheckInterval = 200 * time.Millisecond
	// silenceThreshold is the time without any answer, and the age of a request beyond its expected latency, after which
	// its response is long overdue.
	silenceThreshold = 500 * time.Millisecond
	// pendingCrashTTL is how long an upstream that could not be reached may count as crashed once this instance turns out
	// not to be severed.
	pendingCrashTTL = 2 * time.Second
)

// pendingCrash is an upstream's process that could not be reached.
type pendingCrash struct {
	process id.Upstream
	at      time.Time
}

// checkUplink looks for attempts without a response and probes upstreams if the instance may be severed.
func (s *State) checkUplink() {
	if s.now.Before(s.nextUplinkCheckAt) {
		return
	}
	s.nextUplinkCheckAt = s.now.Add(uplinkCheckInterval)
	if !s.uplink.IsSevered() && s.uplink.SinceAnswer(s.now) >= silenceThreshold {
		for _, r := range s.requests {
			if s.isOverdue(r) {
				s.uplink.RecordSilent(s.now, r.choice.Upstream)
			}
		}
	}
	if !s.uplink.MayNeedProbes() {
		return
	}
	for _, name := range s.uplink.Probes(s.now, s.probeCandidates()) {
		u := s.upstreams[name]
		s.emit(Probe{Upstream: name, Incarnation: u.Incarnation, Address: u.Address})
	}
}

// isOverdue reports whether a direct attempt has been in flight for so long that the upstream may be out of reach.
func (s *State) isOverdue(r *request) bool {
	return r.stage == stageInFlight && r.via == "" && s.now.Sub(r.sentAt) >= r.choice.EstimatedLatency+silenceThreshold
}

// probeCandidates returns the upstreams that may get a connection.
func (s *State) probeCandidates() []uplink.Upstream {
	candidates := make([]uplink.Upstream, 0, len(s.upstreams))
	for _, name := range slices.Sorted(maps.Keys(s.upstreams)) {
		if u := s.upstreams[name]; s.takesRequests(u) && !s.evacuated[u.DataCentre] {
			candidates = append(candidates, uplink.Upstream{ID: name, DataCentre: u.DataCentre})
		}
	}
	return candidates
}

// recordAnswered records that the upstream of the request's current attempt has answered.
func (s *State) recordAnswered(r *request) {
	if r.via != "" {
		return
	}
	s.uplink.RecordAnswered(s.now, r.choice.Upstream)
	if !s.uplink.IsSuspect() {
		s.recordPendingCrashes()
	}
}

// recordNotReached records that no connection to the upstream of the request's current attempt could be made.
func (s *State) recordNotReached(r *request) {
	if r.via != "" {
		// The helper reaches other upstreams, so this one is at fault.
		s.crashDetector.recordCrash(s.now, r.processID)
		return
	}
	s.pendingCrashes = slices.DeleteFunc(s.pendingCrashes, func(c pendingCrash) bool { return s.now.Sub(c.at) >= pendingCrashTTL })
	if !s.uplink.IsSevered() {
		s.pendingCrashes = append(s.pendingCrashes, pendingCrash{r.processID, s.now})
	}
	s.recordReach(r.choice.Upstream, false)
}

// recordPendingCrashes records upstreams that could not be reached as crashed, since this instance reaches others.
func (s *State) recordPendingCrashes() {
	for _, c := range s.pendingCrashes {
		if s.now.Sub(c.at) < pendingCrashTTL {
			s.crashDetector.recordCrash(s.now, c.process)
		}
	}
	s.pendingCrashes = s.pendingCrashes[:0]
}

// recordReach records whether an upstream accepted a connection of this instance.
func (s *State) recordReach(upstream id.Upstream, isReached bool) {
	if !isReached {
		if s.uplink.RecordUnreached(s.now, upstream) {
			s.sever()
		}
		return
	}
	isHealed := s.uplink.RecordConnected(s.now, upstream)
	if isHealed {
		s.emit(UplinkChanged{Evidence: s.uplink.Evidence(s.now), Since: s.severedAt})
		s.forgetFailures()
		s.group.nextReportAt = s.now
	}
	if !s.uplink.IsSuspect() {
		s.recordPendingCrashes()
	}
}

// sever makes the instance reach the upstreams through others: it reaches none itself.
func (s *State) sever() {
	s.severedAt = s.now
	s.emit(UplinkChanged{IsSevered: true, Evidence: s.uplink.Evidence(s.now), Since: s.now})
	s.pendingCrashes = s.pendingCrashes[:0]
	s.crashDetector.forgetBroken()
	s.updateHelpers()
	s.forgetFailures()
	for _, name := range slices.Sorted(maps.Keys(s.requests)) {
		r := s.requests[name]
		if !s.isOverdue(r) {
			continue
		}
		// Its slot at the upstream is free, or the upstream would have answered.
		r.service.chooser.WriteOff(r.choice, r.placementRequest)
		r.isWrittenOff = true
		if r.route.Idempotent {
			s.emit(Interrupt{Request: r.id})
		}
	}
	s.group.nextReportAt = s.now
	s.sendReports()
	s.dispatchAllQueued()
}

func (s *State) forgetFailures() {
	for _, name := range s.serviceNames {
		s.services[name].chooser.ForgetFailures()
	}
}

// updateHelpers updates the instances through which the upstreams could be reached.
func (s *State) updateHelpers() {
	if !s.uplink.IsSevered() {
		return
	}
	var candidates []uplink.Helper
	for name, m := range s.membership.members {
		if m.PeerAddress != "" && s.isServing(name, m) && !s.isKnownSevered(name) {
			candidates = append(candidates, uplink.Helper{Instance: name, Region: m.Region, Address: m.PeerAddress})
		}
	}
	s.helpers.SetCandidates(candidates)
}

// chooseHelper returns the instance through which a request is to reach an upstream, or none if it goes directly: one in
// the upstream's region, else in this one, else elsewhere.
func (s *State) chooseHelper(u Upstream, r *request) uplink.Helper {
	if !s.uplink.IsSevered() {
		return uplink.Helper{}
	}
	var regions []id.Region
	for _, region := range append([]id.Region{u.Region, s.config.Region}, s.helpers.Regions()...) {
		// The instance of another region would get the body, which may be restricted to some.
		if r.placementRequest.Allows(region) {
			regions = append(regions, region)
		}
	}
	helper, _ := s.helpers.Choose(s.now, regions)
	return helper
}

// recordHelperOutcome records what the outcome of an attempt says about the instance that it went through.
func (s *State) recordHelperOutcome(r *request, outcome AttemptOutcome) {
	if r.via == "" {
		return
	}
	helperOutcome := uplink.HelperAnswered
	switch outcome.(type) {
	case Cancelled:
		helperOutcome = uplink.HelperUnknown
	case HelperFailed:
		helperOutcome = uplink.HelperFailed
	case Broken, TimedOut:
		helperOutcome = uplink.HelperSilent
	}
	s.helpers.RecordOutcome(s.now, r.via, r.sentAt, helperOutcome)
}

// redispatch admits a request again after an attempt of which nothing has reached an upstream.
func (s *State) redispatch(r *request) {
	r.stage = stageQueued
	if r.isDisconnected || r.deadline.Sub(s.now) < minRetryTime || r.attempts > maxRetries {
		s.refuse(r, Refusal{Code: CodeNoUpstream, RetryAt: r.service.queue.RetryAt(s.now, s.random.Float64())})
		return
	}
	s.admit(r)
}

// LendsLinks reports whether this instance connects others to upstreams.
func (s *State) LendsLinks() bool { return !s.uplink.IsSevered() && !s.stopping.isRequested }

// TunnelAddress returns the address of an upstream's process for another instance, and false if it gets no requests as far
// as this instance knows.
func (s *State) TunnelAddress(upstream id.Upstream, incarnation id.Incarnation) (string, bool) {
	u, ok := s.upstreams[upstream]
	if !ok || u.Incarnation != incarnation || !s.takesRequests(u) || s.evacuated[u.DataCentre] {
		return "", false
	}
	return u.Address, true
}

// isKnownSevered reports whether another instance reaches no upstream, as far as this one knows.
func (s *State) isKnownSevered(name id.Instance) bool {
	if l := s.group.lenders[name]; l != nil && s.now.Sub(l.reportedAt) < contactTimeout {
		return l.isSevered
	}
	if c := s.group.contacts[s.group.coordinator]; c.isAlive(s.now) && s.inOwnGroup(name) {
		return slices.Contains(c.severed, name)
	}
	return s.membership.severed[name]
}

func (s *State) inOwnGroup(name id.Instance) bool {
	m := s.membership.members[name]
	return m != nil && s.isInGroup(m)
}

// Severed returns this instance and the members that report to it, as far as they reach no upstream.
func (s *State) Severed() []id.Instance {
	var severed []id.Instance
	if s.uplink.IsSevered() {
		severed = append(severed, s.config.Instance)
	}
	for name, l := range s.group.lenders {
		if l.isSevered && s.now.Sub(l.reportedAt) < contactTimeout {
			severed = append(severed, name)
		}
	}
	slices.Sort(severed)
	return severed
}
