package entry

import (
	"time"

	"bluebellhold/id"
	"bluebellhold/placement"
)

// dispatchAllQueued dispatches the queued requests of all services whose upstreams have capacity.
func (s *State) dispatchAllQueued() {
	for _, name := range s.serviceNames {
		s.dispatchQueued(s.services[name])
	}
}

// maxQueueScan bounds the queued requests that are tried in one scan. If so many find no capacity, the later ones find
// none either.
const maxQueueScan = 64

// dispatchQueued dispatches the queued requests whose upstreams have capacity, the most urgent first.
func (s *State) dispatchQueued(svc *service) {
	if svc.queue.Len() == 0 {
		return
	}
	var removed []*request
	for i, queued := range svc.queue.Sort(s.now) {
		if i >= maxQueueScan {
			break
		}
		r := s.requests[queued.Request]
		if r == nil || s.isHeldBack(svc, queued.Priority) {
			continue
		}
		r.setExpectedUpstream("")
		choice, ok := svc.chooser.Choose(s.now, r.placementRequest)
		switch {
		case ok && s.outlivesStop(r, choice.EstimatedLatency):
			s.refuseForStop(r)
			removed = append(removed, r)
		case ok && choice.HasCapacity:
			s.dispatch(r, choice)
			removed = append(removed, r)
		case ok:
			svc.cutOff.recordFull(s.now)
			r.setExpectedUpstream(choice.Upstream)
		}
	}
	for _, r := range removed {
		svc.queue.Remove(r.id)
	}
}

// setExpectedUpstream records the upstream that a queued request is expected to run on; empty means that it is no
// longer queued.
func (r *request) setExpectedUpstream(upstream id.Upstream) {
	if r.expectedUpstream != "" {
		r.service.chooser.RecordDequeued(r.expectedUpstream)
	}
	r.expectedUpstream = upstream
	if upstream != "" {
		r.service.chooser.RecordQueued(upstream)
	}
}

// dispatch sends a request to the chosen upstream.
func (s *State) dispatch(r *request, choice placement.Choice) {
	u := s.upstreams[choice.Upstream]
	r.stage = stageInFlight
	r.processID = processID(u)
	r.attempts++
	s.counts.Started++
	r.service.queue.RecordStart(s.now)
	r.service.queue.RecordPriorityStart(s.now, r.priority, r.id)
	r.choice = r.service.chooser.RecordStart(s.now, choice, r.placementRequest)
	helper := s.chooseHelper(u, r)
	r.via, r.sentAt, r.isWrittenOff, r.isAbandoned = helper.Instance, s.now, false, false
	s.watchForSlowness(r)
	upstreamDeadline, deadline := s.attemptDeadlines(r)
	s.emit(Dispatch{
		Request: r.id, Organisation: r.organisation, Service: r.service.id, Upstream: u.ID, Incarnation: u.Incarnation,
		Address: u.Address, Region: u.Region, ColdUntil: u.ColdUntil,
		Priority: r.priority, Deadline: deadline, UpstreamDeadline: upstreamDeadline, Via: helper,
		UsesNewConnection: s.isAnonymous(u), AwaitsMatch: !r.route.Idempotent,
		EstimatedLatency: choice.EstimatedLatency, Diagnostics: s.diagnostics(r),
	})
}

func (s *State) handleConnected(e Connected) {
	r := s.requests[e.Request]
	if r == nil {
		return
	}
	if r.via != "" {
		return
	}
	s.recordReach(r.choice.Upstream, true)
	if u, ok := s.upstreams[r.choice.Upstream]; ok {
		r.service.chooser.ObserveRTT(u.Region, e.Elapsed)
	}
}

// handleAttemptEnded records the outcome of an attempt and decides whether the response is delivered or the request is
// retried or refused.
func (s *State) handleAttemptEnded(e AttemptEnded) {
	r := s.requests[e.Request]
	if r == nil || r.stage != stageInFlight {
		return
	}
	svc := r.service
	svc.recordAttempt(s.now, r, e.Outcome)
	s.recordHelperOutcome(r, e.Outcome)
	if !r.isWrittenOff {
		svc.chooser.RecordOutcome(s.now, r.choice, r.placementRequest, placementOutcome(e.Outcome, r.via != ""))
	}
	if saysLeaving(e.Outcome) {
		s.recordLeaving(r)
	}
	switch outcome := e.Outcome.(type) {
	case Answered:
		r.possibleRuns++
		s.recordAnswered(r)
		s.crashDetector.suspects.RecordCompletion(s.now, r.digest)
		s.deliver(r)
	case Shed:
		s.recordAnonymous(r, outcome.IsAnonymous)
		s.handleRejected(r)
	case Misdirected:
		s.handleRejected(r)
	case Unmatched:
		s.handleUnmatched(r)
	case NothingSent:
		if !outcome.IsStaleConnection {
			s.recordNotReached(r)
		}
		s.retryOrRefuse(r, Refusal{Code: CodeNoUpstream})
	case HelperFailed:
		s.redispatch(r)
	case Broken:
		r.possibleRuns++
		s.counts.Broken++
		s.crashDetector.recordBroken(s.now, r.processID, r.digest)
		s.handleBroken(r)
	case Abandoned:
		r.possibleRuns++
		s.counts.Abandoned++
		s.handleBroken(r)
	case TimedOut:
		r.possibleRuns++
		s.counts.TimedOut++
		s.refuse(r, Refusal{Code: CodeDeadline})
	case Cancelled:
		r.possibleRuns++
		s.refuse(r, Refusal{Code: CodeDeadline})
	}
	s.dispatchQueued(svc)
}

// saysLeaving reports whether the upstream has said in its response that it leaves.
func saysLeaving(o AttemptOutcome) bool {
	switch o := o.(type) {
	case Answered:
		return o.IsLeaving
	case Shed:
		return o.IsLeaving
	}
	return false
}

// placementOutcome returns what an outcome says about the upstream.
func placementOutcome(o AttemptOutcome, isRelayed bool) placement.Outcome {
	switch o := o.(type) {
	case Answered:
		return placement.Answered{
			Elapsed: o.Elapsed, Size: o.Size, Load: o.Load, Limit: o.Limit, Rest: o.Rest,
			IsRelayed: isRelayed,
		}
	case Shed:
		return placement.Shed{Load: o.Load, Limit: o.Limit, Rest: o.Rest}
	case Misdirected:
		return placement.Misdirected{}
	case NothingSent:
		if o.IsStaleConnection {
			return placement.Cancelled{}
		}
		return placement.ConnectFailed{}
	case Broken:
		return placement.Broken{}
	case TimedOut:
		return placement.TimedOut{Elapsed: o.Elapsed}
	case Abandoned:
		return placement.TimedOut{Elapsed: o.Elapsed}
	default:
		return placement.Cancelled{}
	}
}

func (s *State) deliver(r *request) {
	s.counts.Answered++
	delete(s.requests, r.id)
	s.emit(Deliver{Request: r.id})
}

// handleRejected retries or refuses a request that the upstream has turned away.
func (s *State) handleRejected(r *request) {
	s.recordAnswered(r)
	s.counts.Rejected++
	s.retryOrRefuse(r, Refusal{Code: CodeOverloaded})
}

func (s *State) handleBroken(r *request) {
	if !r.route.Idempotent || r.possibleRuns >= max(r.route.MaxAttempts, 1) {
		s.refuse(r, Refusal{Code: CodeUpstreamFailed})
		return
	}
	s.retryOrRefuse(r, Refusal{Code: CodeUpstreamFailed})
}

// minRetryTime is the minimum time to the deadline for a retry; with less, it would hardly complete in time.
const minRetryTime = 50 * time.Millisecond

// retryOrRefuse retries a request on another upstream. It refuses the request if it is known to crash upstreams, if the
// caller has disconnected, or if the deadline, maxRetries or the retry budget rules out a retry.
func (s *State) retryOrRefuse(r *request, refusal Refusal) {
	if s.crashDetector.isRefused(s.now, r.digest) {
		refusal.Code = CodeSuspect
		s.refuse(r, refusal)
		return
	}
	r.placementRequest.Exclude = append(r.placementRequest.Exclude, r.choice.Upstream)
	r.stage = stageQueued
	switch {
	case r.isDisconnected, r.deadline.Sub(s.now) < minRetryTime, r.attempts > maxRetries,
		!r.service.retryBudget.Take(s.now):
		refusal.RetryAt = r.service.queue.RetryAt(s.now, s.random.Float64())
		s.refuse(r, refusal)
		return
	}
	s.counts.Second++
	s.admit(r)
}

// maxRetries bounds the retries of one request, including those after attempts that upstreams shed, which
// Route.MaxAttempts does not count.
const maxRetries = 4
