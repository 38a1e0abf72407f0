package steering

import (
	"time"

	"bluebellhold/claim"
	"bluebellhold/id"
	"bluebellhold/note"
	"bluebellhold/queue"
)

const (
	// tokenWait is how long a request waits for a token. A loan from another region takes a round trip, and tokens that
	// another instance borrowed and does not need come back after up to one loan term, which is 1 s.
	tokenWait = time.Second
	// tokenWaiters is the most requests of one organisation that wait for tokens at one instance.
	tokenWaiters = 64
	// staleRetryAfter is when a caller should come back to an instance that is not fresh.
	staleRetryAfter = time.Second
)

// stage is the step that a request waits in.
type stage int

const (
	stageShort stage = iota + 1
	stageBody
	stageClaim
	stageQueued
	stageHeld
	stageRunning
	stageEnded
)

// request is one request of a caller between its arrival and its end.
type request struct {
	id           id.Request
	stage        stage
	service      *service
	organisation *organisation
	route        note.Route
	secret       id.Digest
	epoch        id.Epoch
	idempotency  string
	content      id.Digest
	address      address
	size         id.Bytes
	deadline     time.Time
	waitUntil    time.Time
	queuedAt     time.Time
	// queuedFor is the organisation that the queue counts the request for.
	queuedFor id.Organisation
	// dispatchBy is the end of the claim's authority to dispatch; zero if the request needs no claim.
	dispatchBy time.Time
	attempts   int
	retried    bool
	// mayHaveRun is set once an attempt may have run; no later refusal may then say "not run".
	mayHaveRun bool
	suspect    bool
	// isUnqueued is set if the queue does not count the request as running.
	isUnqueued bool
	excluded   []id.Upstream

	upstream  id.Upstream
	place     regionLimit
	startedAt time.Time
	wanted    id.Bytes
}

// address is what tells requests of one route apart.
type address struct {
	method string
	path   string
	query  string
}

func (r *request) isClaimed() bool { return !r.dispatchBy.IsZero() }

// digest identifies the request for the list of suspects.
func (r *request) digest() id.Digest {
	text := string(r.organisation.id) + "\n" + string(r.service.id) + "\n" + r.address.method + "\n" +
		r.address.path + "\n" + r.address.query + "\n" + r.idempotency + "\n"
	return id.DigestOf(append([]byte(text), r.content[:]...))
}

// arrive admits a request or refuses it.
func (s *State) arrive(e RequestArrived) {
	r := &request{
		id: e.Request, idempotency: e.IdempotencyKey, content: e.ContentDigest, size: e.Size, deadline: e.Deadline,
		retried: e.PeerRetry, secret: e.SecretDigest, epoch: s.epochs.current.Epoch,
		address: address{e.Method, e.Path, e.Query},
	}
	s.requests[r.id] = r
	refusal := s.identify(r, e)
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
	s.admitted(r)
}

// identify finds the service, the route and the organisation of a request.
func (s *State) identify(r *request, e RequestArrived) *Refusal {
	if !s.epochs.hasConfiguration() {
		return &Refusal{Code: CodeStale, Outcome: NotRun, RetryAt: s.now.Add(staleRetryAfter)}
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

// authorise finds the organisation that the key belongs to in the current configuration.
func (s *State) authorise(r *request, hasKey bool) *Refusal {
	if r.route.Public {
		r.organisation = s.organisations[""]
		return nil
	}
	if !s.fresh.isFresh(s.now) {
		return &Refusal{Code: CodeStale, Outcome: NotRun, RetryAt: s.now.Add(staleRetryAfter)}
	}
	_, owner, ok := s.epochs.current.LookupKey(r.secret)
	if !hasKey || !ok {
		return &Refusal{Code: CodeInvalidKey, Outcome: NotRun}
	}
	r.organisation = s.organisations[owner]
	if r.organisation == nil {
		return &Refusal{Code: CodeInvalidKey, Outcome: NotRun}
	}
	return nil
}

func (s *State) waitForToken(r *request) {
	o := r.organisation
	if len(o.waiting) >= tokenWaiters {
		o.refused++
		s.refuse(r, Refusal{Code: CodeRateLimited, Outcome: NotRun, RetryAt: s.rateAfter(o)})
		return
	}
	r.stage = stageShort
	r.waitUntil = s.now.Add(tokenWait)
	if r.deadline.Before(r.waitUntil) {
		r.waitUntil = r.deadline
	}
	if len(o.waiting) == 0 {
		s.short = append(s.short, o)
	}
	o.waiting = append(o.waiting, r)
}

// admitted passes a request that has its token on to the claim or to the queue.
func (s *State) admitted(r *request) {
	if r.route.Idempotent {
		s.enqueue(r)
		return
	}
	r.stage = stageBody
	s.emit(ReadBody{Request: r.id})
}

func (s *State) bodyRead(e BodyRead) {
	r := s.requests[e.Request]
	if r == nil || r.stage != stageBody {
		return
	}
	r.stage = stageClaim
	r.content = e.Digest
	s.stopping.unsettled++
	s.claimsReduce(claim.Requested{
		Request: r.id, Organisation: r.organisation.id, Service: r.service.id, Route: r.route.Path,
		Key: r.idempotency, Digest: e.Digest, Deadline: r.deadline,
	})
}

func (s *State) bodyFailed(e BodyFailed) {
	if r := s.requests[e.Request]; r != nil && r.stage == stageBody {
		s.refuse(r, Refusal{Code: CodeInvalidBody, Outcome: NotRun})
	}
}

// claimDecided acts on the outcome of a claim.
func (s *State) claimDecided(e claim.Decided) {
	won, isWon := e.Outcome.(claim.Granted)
	if !isWon {
		s.stopping.unsettled--
	}
	r := s.requests[e.Request]
	if r == nil {
		if isWon {
			s.claimsReduce(claim.Released{Request: e.Request})
		}
		return
	}
	switch outcome := e.Outcome.(type) {
	case claim.Granted:
		r.dispatchBy = won.DispatchBy
		s.enqueue(r)
	case claim.Replay:
		r.stage = stageEnded
		delete(s.requests, r.id)
		s.emit(Replay{Request: r.id, Answer: outcome.Answer})
	case claim.InProgress:
		s.refuse(r, Refusal{Code: CodeInProgress, Outcome: OutcomeUnknown, RetryAt: outcome.RetryAt})
	case claim.Unknown:
		s.refuse(r, Refusal{Code: CodeOutcomeUnknown, Outcome: OutcomeUnknown})
	case claim.Mismatch:
		s.refuse(r, Refusal{Code: CodeMismatch, Outcome: NotRun})
	case claim.Unavailable:
		s.refuse(r, Refusal{Code: CodeStoreUnavailable, Outcome: NotRun, RetryAt: s.now.Add(staleRetryAfter)})
	}
}

func (s *State) enqueue(r *request) {
	if s.services[r.service.id] != r.service {
		// The service was withdrawn while the request waited for its token or its claim.
		s.refuse(r, Refusal{Code: CodeNoRoute, Outcome: NotRun})
		return
	}
	r.stage = stageQueued
	r.queuedFor = r.organisation.id
	r.isUnqueued = false
	r.queuedAt = s.now
	deadline := r.deadline
	if r.isClaimed() && r.dispatchBy.Before(deadline) {
		deadline = r.dispatchBy
	}
	err := r.service.queue.Push(s.now, queue.Item{
		Request: r.id, Organisation: r.organisation.id, Class: r.route.Class, Deadline: deadline,
	})
	switch err.(type) {
	case nil:
		s.pump(r.service)
	case *queue.DeadlineError:
		s.refuse(r, Refusal{Code: CodeDeadline, Outcome: NotRun, RetryAt: s.now.Add(time.Second)})
	default:
		s.refuse(r, Refusal{Code: CodeQueueFull, Outcome: NotRun, RetryAt: s.now.Add(time.Second)})
	}
}

// refuse ends a request that is not running; a claim that it won is given back if the refusal says "not run".
func (s *State) refuse(r *request, refusal Refusal) {
	r.stage = stageEnded
	delete(s.requests, r.id)
	if r.mayHaveRun {
		refusal.Outcome = OutcomeUnknown
	}
	if r.isClaimed() {
		s.giveUpClaim(r, refusal.Outcome)
	}
	s.emit(Refuse{Request: r.id, Refusal: refusal})
}

func (s *State) giveUpClaim(r *request, outcome Outcome) {
	if outcome == NotRun {
		s.claimsReduce(claim.Released{Request: r.id})
		return
	}
	s.stopping.unsettled--
	s.claimsReduce(claim.Abandoned{Request: r.id})
}

// callerGone drops a request that has not been dispatched; a running attempt ends by itself.
func (s *State) callerGone(e RequestCancelled) {
	r := s.requests[e.Request]
	if r == nil || r.stage == stageRunning {
		return
	}
	if r.stage == stageQueued {
		r.service.queue.Remove(r.id)
	}
	s.refuse(r, Refusal{Code: CodeDeadline, Outcome: NotRun})
}

func (s *State) expireQueued() {
	for _, name := range s.names {
		svc := s.services[name]
		for _, item := range svc.queue.PopExpired(s.now) {
			if r := s.requests[item.Request]; r != nil {
				s.refuse(r, Refusal{Code: CodeDeadline, Outcome: NotRun, RetryAt: s.now.Add(time.Second)})
			}
		}
	}
}
