package steering

import (
	"time"

	"bluebellhold/claim"
	"bluebellhold/id"
	"bluebellhold/internal/uplink"
	"bluebellhold/note"
	"bluebellhold/queue"
)

const (
	// tokenWaitTimeout limits how long a request waits for a token. A loan from another region takes a round trip, and
	// tokens that another instance borrowed and does not need are returned after up to one loan term, which is 1 s.
	tokenWaitTimeout = time.Second
	// maxTokenWaiters is the maximum number of requests of one organisation that wait for tokens at one instance.
	maxTokenWaiters = 64
	// unavailableRetryAfter is the delay after which a caller should retry when the instance is not fresh or cannot
	// write a claim.
	unavailableRetryAfter = time.Second
)

// stage is the processing stage of a request.
type stage int

const (
	stageAwaitingToken stage = iota + 1
	stageReadingBody
	stageClaiming
	stageQueued
	stageConstrained
	stageInFlight
	stageEnded
)

// request is the state of a caller's request from its arrival to its end.
type request struct {
	id             id.Request
	stage          stage
	service        *service
	organisation   *organisation
	route          note.Route
	keyDigest      id.Digest
	validatedEpoch id.Epoch
	idempotencyKey string
	contentDigest  id.Digest
	line           requestLine
	size           id.Bytes
	deadline       time.Time
	tokenDeadline  time.Time
	queuedAt       time.Time
	// queueOrganisation is the organisation that the queue counts the request for.
	queueOrganisation id.Organisation
	// claimDispatchBy is when the claim ceases to permit a dispatch; zero if the request has no claim.
	claimDispatchBy time.Time
	attempts        int
	peerRetry       bool
	// mayHaveRun is set once an attempt may have run; later refusals must not say "not run".
	mayHaveRun bool
	suspect    bool
	// isOutsideQueue is set if the queue does not count the request as in flight.
	isOutsideQueue bool
	excluded       []id.Upstream

	upstream     id.Upstream
	via          uplink.Helper
	target       regionTarget
	startedAt    time.Time
	transferSize id.Bytes
}

// requestLine distinguishes the requests of one route.
type requestLine struct {
	method string
	path   string
	query  string
}

func (r *request) isClaimed() bool { return !r.claimDispatchBy.IsZero() }

// digest identifies the request among the suspects.
func (r *request) digest() id.Digest {
	text := string(r.organisation.id) + "\n" + string(r.service.id) + "\n" + r.line.method + "\n" +
		r.line.path + "\n" + r.line.query + "\n" + r.idempotencyKey + "\n"
	return id.DigestOf(append([]byte(text), r.contentDigest[:]...))
}

// handleRequestArrived admits a request, refuses it or lets it wait for a token.
func (s *State) handleRequestArrived(e RequestArrived) {
	r := &request{
		id: e.Request, idempotencyKey: e.IdempotencyKey, contentDigest: e.ContentDigest, size: e.Size, deadline: e.Deadline,
		peerRetry: e.PeerRetry, keyDigest: e.KeyDigest, validatedEpoch: s.epochs.current.Epoch,
		line: requestLine{e.Method, e.Path, e.Query},
	}
	s.requests[r.id] = r
	refusal := s.resolve(r, e)
	if refusal == nil {
		refusal = s.checkSuspect(r)
	}
	if refusal != nil {
		s.refuse(r, *refusal)
		return
	}
	if r.organisation.limit != "" && !s.take(r.organisation.limit, 1) {
		s.waitForToken(r)
		return
	}
	s.admit(r)
}

// resolve sets the service, the route and the organisation of a request, or returns a refusal.
func (s *State) resolve(r *request, e RequestArrived) *Refusal {
	if !s.epochs.hasConfiguration() {
		return &Refusal{Code: CodeStale, Outcome: NotRun, RetryAt: s.now.Add(unavailableRetryAfter)}
	}
	route, ok := s.epochs.current.MatchRoute(e.Service, e.Method, e.Path)
	if !ok {
		return &Refusal{Code: CodeNoRoute, Outcome: NotRun}
	}
	r.service = s.services[e.Service]
	r.route = route
	if refusal := s.authorise(r, e.HasKey); refusal != nil {
		return refusal
	}
	if !route.Idempotent && e.IdempotencyKey == "" {
		return &Refusal{Code: CodeNoIdempotencyKey, Outcome: NotRun}
	}
	return nil
}

// authorise sets the organisation that the API key belongs to in the current configuration, or returns a refusal.
func (s *State) authorise(r *request, hasKey bool) *Refusal {
	if r.route.Public {
		r.organisation = s.organisations[""]
		return nil
	}
	if !s.freshness.isFresh(s.now) {
		return &Refusal{Code: CodeStale, Outcome: NotRun, RetryAt: s.now.Add(unavailableRetryAfter)}
	}
	_, organisation, ok := s.epochs.current.LookupKey(r.keyDigest)
	if !hasKey || !ok {
		return &Refusal{Code: CodeInvalidKey, Outcome: NotRun}
	}
	r.organisation = s.organisations[organisation]
	if r.organisation == nil {
		return &Refusal{Code: CodeInvalidKey, Outcome: NotRun}
	}
	return nil
}

func (s *State) waitForToken(r *request) {
	o := r.organisation
	if len(o.tokenWaiters) >= maxTokenWaiters {
		o.rateLimited++
		s.refuse(r, Refusal{Code: CodeRateLimited, Outcome: NotRun, RetryAt: s.rateRetryAt(o)})
		return
	}
	r.stage = stageAwaitingToken
	r.tokenDeadline = s.now.Add(tokenWaitTimeout)
	if r.deadline.Before(r.tokenDeadline) {
		r.tokenDeadline = r.deadline
	}
	if len(o.tokenWaiters) == 0 {
		s.tokenStarved = append(s.tokenStarved, o)
	}
	o.tokenWaiters = append(o.tokenWaiters, r)
}

// admit passes a request that has its token to the queue, or reads its body for the claim.
func (s *State) admit(r *request) {
	if r.route.Idempotent {
		s.enqueue(r)
		return
	}
	r.stage = stageReadingBody
	s.emit(ReadBody{Request: r.id})
}

func (s *State) handleBodyRead(e BodyRead) {
	r := s.requests[e.Request]
	if r == nil || r.stage != stageReadingBody {
		return
	}
	r.stage = stageClaiming
	r.contentDigest = e.Digest
	s.stop.unsettledClaims++
	s.reduceClaims(claim.Requested{
		Request: r.id, Organisation: r.organisation.id, Service: r.service.id, Route: r.route.Path,
		Key: r.idempotencyKey, Digest: e.Digest, Deadline: r.deadline,
	})
}

func (s *State) handleBodyFailed(e BodyFailed) {
	if r := s.requests[e.Request]; r != nil && r.stage == stageReadingBody {
		s.refuse(r, Refusal{Code: CodeInvalidBody, Outcome: NotRun})
	}
}

// handleClaimDecided enqueues, replays or refuses a request according to the outcome of its claim.
func (s *State) handleClaimDecided(e claim.Decided) {
	granted, isGranted := e.Outcome.(claim.Granted)
	if !isGranted {
		s.stop.unsettledClaims--
	}
	r := s.requests[e.Request]
	if r == nil {
		if isGranted {
			s.reduceClaims(claim.Released{Request: e.Request})
		}
		return
	}
	switch outcome := e.Outcome.(type) {
	case claim.Granted:
		r.claimDispatchBy = granted.DispatchBy
		s.enqueue(r)
	case claim.Replay:
		r.stage = stageEnded
		delete(s.requests, r.id)
		s.emit(Replay{Request: r.id, Response: outcome.Response})
	case claim.InProgress:
		s.refuse(r, Refusal{Code: CodeInProgress, Outcome: OutcomeUnknown, RetryAt: outcome.RetryAt})
	case claim.Unknown:
		s.refuse(r, Refusal{Code: CodeOutcomeUnknown, Outcome: OutcomeUnknown})
	case claim.Mismatch:
		s.refuse(r, Refusal{Code: CodeMismatch, Outcome: NotRun})
	case claim.Unavailable:
		s.refuse(r, Refusal{Code: CodeStoreUnavailable, Outcome: NotRun, RetryAt: s.now.Add(unavailableRetryAfter)})
	}
}

func (s *State) enqueue(r *request) {
	if s.services[r.service.id] != r.service {
		// The service was withdrawn while the request waited for its token or its claim.
		s.refuse(r, Refusal{Code: CodeNoRoute, Outcome: NotRun})
		return
	}
	if until, ok := r.service.chooser.RestUntil(s.now); ok && until.After(r.deadline) {
		s.refuse(r, Refusal{Code: CodeCapacity, Outcome: refusalOutcome(r.mayHaveRun), RetryAt: until})
		return
	}
	r.stage = stageQueued
	r.queueOrganisation = r.organisation.id
	r.isOutsideQueue = false
	r.queuedAt = s.now
	deadline := r.deadline
	if r.isClaimed() && r.claimDispatchBy.Before(deadline) {
		deadline = r.claimDispatchBy
	}
	err := r.service.queue.Push(s.now, queue.Item{
		Request: r.id, Organisation: r.organisation.id, Class: r.route.Class, Deadline: deadline,
	})
	switch err.(type) {
	case nil:
		s.dispatchQueued(r.service)
	case *queue.DeadlineError:
		s.refuse(r, Refusal{Code: CodeDeadline, Outcome: NotRun, RetryAt: s.now.Add(time.Second)})
	default:
		s.refuse(r, Refusal{Code: CodeQueueFull, Outcome: NotRun, RetryAt: s.now.Add(time.Second)})
	}
}

// refuse ends a request that is not in flight; its claim is released if the refusal says "not run", else abandoned.
func (s *State) refuse(r *request, refusal Refusal) {
	r.stage = stageEnded
	delete(s.requests, r.id)
	if r.mayHaveRun {
		refusal.Outcome = OutcomeUnknown
	}
	if r.isClaimed() {
		s.releaseOrAbandonClaim(r, refusal.Outcome)
	}
	s.emit(Refuse{Request: r.id, Refusal: refusal})
}

func (s *State) releaseOrAbandonClaim(r *request, outcome Outcome) {
	if outcome == NotRun {
		s.reduceClaims(claim.Released{Request: r.id})
		return
	}
	s.stop.unsettledClaims--
	s.reduceClaims(claim.Abandoned{Request: r.id})
}

// handleCallerDisconnected refuses a request that is not in flight; one that is in flight ends with its AttemptEnded.
func (s *State) handleCallerDisconnected(e CallerDisconnected) {
	r := s.requests[e.Request]
	if r == nil || r.stage == stageInFlight {
		return
	}
	if r.stage == stageQueued {
		r.service.queue.Remove(r.id)
	}
	s.refuse(r, Refusal{Code: CodeDeadline, Outcome: NotRun})
}

func (s *State) refuseExpired() {
	for _, name := range s.serviceNames {
		svc := s.services[name]
		for _, item := range svc.queue.PopExpired(s.now) {
			if r := s.requests[item.Request]; r != nil {
				s.refuse(r, Refusal{Code: CodeDeadline, Outcome: NotRun, RetryAt: s.now.Add(time.Second)})
			}
		}
	}
}
