package entry

import (
	"math"
	"slices"
	"time"

	"bluebellhold/admission"
	"bluebellhold/id"
	"bluebellhold/placement"
)

// request is the state of a caller's request from its arrival to its end.
type request struct {
	id               id.Request
	route            *Route
	organisation     id.Organisation
	service          *service
	placementRequest placement.Request
	priority         admission.Priority
	// objectiveAt is the end of the route's latency objective, after which a response is late; after the deadline it is
	// useless.
	objectiveAt time.Time
	deadline    time.Time
	// callerDeadline is when the caller gives up, also on retries.
	callerDeadline time.Time
	stage          stage
	choice         placement.Choice
	// expectedUpstream is the upstream that a queued request is expected to run on.
	expectedUpstream id.Upstream
	// attempts counts the dispatches, and possibleRuns those after which the upstream may have run the request.
	attempts       int
	possibleRuns   int
	isDisconnected bool
	digest         id.Digest
	// processID identifies the upstream's process that the request was sent to.
	processID id.Upstream
	// via is the instance through which the current attempt goes, if any, and sentAt is when it was dispatched.
	via    id.Instance
	sentAt time.Time
	// hasPlace is set if the request has returned for the place that it was given when it was refused.
	hasPlace bool
	// estimatedWait is that of the last admission, if the order of service is fair.
	estimatedWait time.Duration
	// isWrittenOff is set if the current attempt no longer counts as in flight at the upstream.
	isWrittenOff bool
	// isAbandoned is set once the current attempt is to be broken off for being slow.
	isAbandoned bool
}

type stage int

const (
	stageQueued stage = iota
	stageInFlight
	stageAwaitingToken
)

const (
	// maxTimeout is the maximum time to the deadline, also of a request whose caller and route specify no timeout.
	maxTimeout = 60 * time.Second
	// maxLateWaitFraction is the fraction of the latency objective that a request may wait although its response will
	// be late.
	maxLateWaitFraction = 1.0
	// maxLatencyFraction bounds the estimated latency of a request to a fraction of the time to its deadline, so that
	// there is always some time to wait.
	maxLatencyFraction = 0.7
	// refusalMargin is the time before its deadline at which a queued request is refused, so that the caller still gets
	// the refusal.
	refusalMargin = 50 * time.Millisecond
)

// handleRequestArrived checks a request against the configuration and its organisation's limit, and then dispatches,
// queues or refuses it.
func (s *State) handleRequestArrived(e RequestArrived) {
	s.counts.Arrived++
	r := &request{id: e.Request, digest: e.Digest}
	if s.stopping.hasEnded {
		s.refuseForStop(r)
		return
	}
	if !s.isConfigured || !s.hasUpstreams || !s.membership.isJoined {
		s.refuse(r, Refusal{Code: CodeStarting, RetryAt: s.now.Add(startingRetryDelay)})
		return
	}
	r.route = s.routes.match(e.Host, e.Path)
	if r.route == nil {
		s.refuse(r, Refusal{Code: CodeNoRoute})
		return
	}
	if !s.authorise(r, e) {
		s.refuse(r, Refusal{Code: CodeInvalidKey})
		return
	}
	s.setDeadlines(r, e.CallerTimeout)
	organisation := s.configuration.Organisations[r.organisation]
	r.priority = priorityOf(organisation, r.route)
	r.placementRequest = placement.Request{
		Route: r.route.ID, ExpectedProcessingTime: expectedProcessingTime(r.route), Regions: r.route.Regions,
		IsBulk: r.route.IsBulk, IsUpload: r.route.IsUpload, BodySize: e.BodySize, ObjectiveAt: r.objectiveAt,
	}
	if r.route.Sticky {
		r.placementRequest.Object = e.Object
	}
	if !r.restrictRegions(organisation.Regions) {
		s.refuse(r, Refusal{Code: CodeNoUpstream})
		return
	}
	if s.crashDetector.isRefused(s.now, r.digest) {
		s.refuse(r, Refusal{Code: CodeSuspect, RetryAt: s.now.Add(suspectRetryDelay)})
		return
	}
	s.requests[r.id] = r
	switch decision, retryAt := s.takeToken(r); decision {
	case tokenTaken:
		s.route(r)
	case tokenRefused:
		s.refuse(r, Refusal{Code: CodeRateLimited, RetryAt: retryAt})
	case tokenPending:
		r.stage = stageAwaitingToken
	}
}

// route chooses the service of a request that has a token, and admits it. The configuration may have changed while it
// waited for the token.
func (s *State) route(r *request) {
	r.stage = stageQueued
	split := s.splits[r.route.ID]
	if split == nil || s.services[split.peek()] == nil {
		s.refuse(r, Refusal{Code: CodeNoUpstream, RetryAt: s.now.Add(startingRetryDelay)})
		return
	}
	r.service = s.services[split.next()]
	if r.service.recordArrival(s.now, r.route.ID) {
		r.priority = admission.Priority{Organisation: math.MinInt}
	}
	r.service.retryBudget.RecordFirstAttempt(s.now)
	r.service.recordLoad(s.now, s.config.Region, r.placementRequest)
	r.hasPlace = r.service.queue.RecordReturn(s.now, r.digest)
	s.admit(r)
}

// startingRetryDelay is the retry delay for requests to an instance that has not read its configuration; a read takes a
// fraction of a second.
const startingRetryDelay = 300 * time.Millisecond

// PriorityOf returns the priority that a request would get on arrival, and false if it would be refused.
func (s *State) PriorityOf(e RequestArrived) (admission.Priority, bool) {
	r := &request{route: s.routes.match(e.Host, e.Path)}
	if r.route == nil || !s.authorise(r, e) {
		return admission.Priority{}, false
	}
	return priorityOf(s.configuration.Organisations[r.organisation], r.route), true
}

func (s *State) authorise(r *request, e RequestArrived) bool {
	if e.HasKey {
		if organisation, ok := s.configuration.Keys[e.KeyDigest]; ok {
			r.organisation = organisation
			return true
		}
	}
	return r.route.Public || len(s.configuration.Organisations) == 0
}

// setDeadlines sets the deadline and the time of the objective.
func (s *State) setDeadlines(r *request, timeout time.Duration) {
	if timeout <= 0 || timeout > maxTimeout {
		timeout = maxTimeout
	}
	r.deadline = s.now.Add(timeout)
	r.callerDeadline = r.deadline
	if r.route.Timeout > 0 {
		r.deadline = s.now.Add(min(timeout, r.route.Timeout))
	}
	r.objectiveAt = s.now.Add(r.route.LatencyObjective)
}

// restrictRegions restricts the allowed regions to those of the organisation and reports whether any are left.
func (r *request) restrictRegions(regions []id.Region) bool {
	switch {
	case len(regions) == 0:
		return true
	case len(r.placementRequest.Regions) == 0:
		r.placementRequest.Regions = regions
		return true
	}
	var allowed []id.Region
	for _, region := range r.placementRequest.Regions {
		if slices.Contains(regions, region) {
			allowed = append(allowed, region)
		}
	}
	r.placementRequest.Regions = allowed
	return len(allowed) > 0
}

// admit dispatches a request, queues it if it is expected to start in time, or refuses it.
func (s *State) admit(r *request) {
	svc := r.service
	choice, ok := svc.chooser.Choose(s.now, r.placementRequest)
	if ok && s.outlivesStop(r, choice.EstimatedLatency) {
		s.refuseForStop(r)
		return
	}
	if ok && s.Features().Order {
		s.admitInOrder(r, choice)
		return
	}
	if !ok {
		s.refuse(r, Refusal{
			Code: CodeNoUpstream, MayHaveRun: r.possibleRuns > 0, RetryAt: svc.queue.RetryAt(s.now, s.random.Float64()),
		})
		return
	}
	if choice.HasCapacity && svc.queue.Len() == 0 {
		s.dispatch(r, choice)
		return
	}
	queued := r.queuedRequest(s.now, choice)
	if choice.NotBefore.After(queued.Expires) {
		s.refuse(r, Refusal{Code: CodeOverloaded, RetryAt: choice.NotBefore})
		return
	}
	if wait := svc.queue.EstimateWait(s.now, r.priority); s.now.Add(wait).After(queued.Expires) {
		s.refuse(r, s.overloadRefusal(svc))
		return
	}
	svc.queue.Add(queued)
	r.setExpectedUpstream(choice.Upstream)
	s.dispatchQueued(svc)
}

// queuedRequest returns the request's queue entry, given the upstream that is the best choice now.
func (r *request) queuedRequest(now time.Time, choice placement.Choice) admission.QueuedRequest {
	// The estimate may be far too high for a route that has not been measured.
	latency := min(choice.EstimatedLatency, time.Duration(maxLatencyFraction*float64(r.deadline.Sub(now))))
	queued := admission.QueuedRequest{Request: r.id, Priority: r.priority, LatestStart: r.objectiveAt.Add(-latency)}
	lateExpiry := now.Add(time.Duration(maxLateWaitFraction * float64(r.route.LatencyObjective)))
	queued.Expires = earlier(later(queued.LatestStart, lateExpiry), r.deadline.Add(-latency-refusalMargin))
	return queued
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// overloadRefusal returns the refusal of a request that could not be started in time.
func (s *State) overloadRefusal(svc *service) Refusal {
	return Refusal{Code: CodeOverloaded, RetryAt: svc.queue.RetryAt(s.now, s.random.Float64())}
}

// expiryRefusal returns the refusal of a queued request that has expired.
func (s *State) expiryRefusal(svc *service, queued admission.QueuedRequest) Refusal {
	if s.Features().Order {
		return s.orderedRefusal(svc, queued)
	}
	return s.overloadRefusal(svc)
}

func (s *State) refuse(r *request, refusal Refusal) {
	if r.possibleRuns > 0 {
		refusal.MayHaveRun = true
	}
	refusal.Diagnostics = s.diagnostics(r)
	r.setExpectedUpstream("")
	delete(s.requests, r.id)
	s.counts.Refused++
	s.emit(Refuse{Request: r.id, Refusal: refusal})
}

// handleCallerDisconnected refuses a queued request whose caller has disconnected, and cancels one in flight if it is
// idempotent. Any other request in flight completes, since its side effects count even if nobody receives the response.
func (s *State) handleCallerDisconnected(e CallerDisconnected) {
	r := s.requests[e.Request]
	if r == nil {
		return
	}
	r.isDisconnected = true
	if r.stage == stageAwaitingToken {
		s.removeWaiting(r)
		s.refuse(r, Refusal{Code: CodeDeadline})
		return
	}
	if r.stage == stageQueued {
		r.service.queue.Remove(r.id)
		s.refuse(r, Refusal{Code: CodeDeadline})
		return
	}
	if r.route.Idempotent {
		s.emit(Cancel{Request: r.id})
	}
}

// refuseRemovedServices refuses queued requests whose service is no longer in the configuration.
func (s *State) refuseRemovedServices() {
	for _, r := range s.requests {
		if r.stage != stageQueued {
			continue
		}
		if _, ok := s.configuration.Services[r.service.id]; !ok {
			r.service.queue.Remove(r.id)
			s.refuse(r, Refusal{Code: CodeNoUpstream, RetryAt: s.now.Add(startingRetryDelay)})
		}
	}
}
