package entry

import (
	"maps"
	"slices"
	"time"

	"bluebellhold/id"
)

const (
	// tokenTTL is how long granted tokens may be used, counted from the request for them. Tokens that are used late
	// stretch the window of a limit, which the operator's tolerance covers.
	tokenTTL = 250 * time.Millisecond
	// prefetchDuration is the time for which tokens are requested ahead of demand.
	prefetchDuration = 150 * time.Millisecond
	// tokenRequestTimeout is the time after which an unanswered request for tokens is repeated.
	tokenRequestTimeout = 150 * time.Millisecond
	// maxTokenWait bounds the time that a caller's request waits for a token; maxTokenWaitFraction bounds it to a
	// fraction of the route's latency objective.
	maxTokenWait         = 800 * time.Millisecond
	maxTokenWaitFraction = 0.5
	// maxTokensPerRequest bounds what one message may ask for.
	maxTokensPerRequest = 1000
	// noCoordinatorRetryDelay is the retry delay while no coordinator can be reached: the time to find another one.
	noCoordinatorRetryDelay = 500 * time.Millisecond
	// maxRateRetryDelay bounds the retry delay of a request beyond its organisation's limit.
	maxRateRetryDelay = 3 * time.Second
)

// TokenRequest asks a coordinator for tokens of an organisation's limit.
type TokenRequest struct {
	Sequence     uint64
	Organisation id.Organisation
	Tokens       int
	// Arrivals counts the organisation's requests since the last TokenRequest.
	Arrivals int
	// Returned counts the tokens that expired unused.
	Returned int
}

// TokenGrant answers the TokenRequest with the same sequence number.
type TokenGrant struct {
	Sequence     uint64
	Organisation id.Organisation
	Tokens       int
	// RetryAfter is the time until a refused request should be retried.
	RetryAfter time.Duration
}

func (TokenRequest) isPeerMessage() {}
func (TokenGrant) isPeerMessage()   {}

// tokenStock is what a member knows of an organisation's limit.
type tokenStock struct {
	tokens    int
	expiresAt time.Time
	// rejectedUntil is set after a grant without tokens; until then, requests are refused without asking.
	rejectedUntil time.Time
	arrivals      int
	returned      int
	sequence      uint64
	// waiting are the requests that wait for a token, in the order of their arrival, and asks the unanswered
	// TokenRequests.
	waiting []waitingRequest
	asks    []tokenAsk
}

type waitingRequest struct {
	request   id.Request
	expiresAt time.Time
}

type tokenAsk struct {
	sequence uint64
	// requests is the number of waiting requests that it is for.
	requests int
	sentAt   time.Time
}

// tokenDecision is whether a request may proceed.
type tokenDecision int

const (
	tokenTaken tokenDecision = iota
	tokenRefused
	tokenPending
)

// takeToken takes a token of the organisation's limit. Without a token at hand it asks the coordinator, and the request
// waits; if the limit is exhausted, it returns when to retry.
func (s *State) takeToken(r *request) (tokenDecision, time.Time) {
	o := s.organisations[r.organisation]
	if o == nil || s.configuration.Organisations[r.organisation].Rate <= 0 {
		return tokenTaken, time.Time{}
	}
	o.demand.add(s.now, 1)
	t := &o.stock
	if s.IsCoordinator() {
		o.groupDemand.add(s.now, 1)
		switch {
		case o.bucket.Take(s.now, 1) == 1:
			return tokenTaken, time.Time{}
		case o.bucket.Rate() > 0:
			return tokenRefused, s.rateRetryAt(o)
		}
		// A new coordinator gets parts of the limit within lendDuration.
		s.awaitToken(r, t)
		return tokenPending, time.Time{}
	}
	t.arrivals++
	t.expire(s.now)
	switch {
	case t.tokens > 0:
		t.tokens--
		return tokenTaken, time.Time{}
	case s.now.Before(t.rejectedUntil):
		return tokenRefused, t.rejectedUntil
	}
	s.awaitToken(r, t)
	s.ask(r.organisation, o, 1)
	return tokenPending, time.Time{}
}

// awaitToken lets a request wait for a token.
func (s *State) awaitToken(r *request, t *tokenStock) {
	wait := min(maxTokenWait, time.Duration(maxTokenWaitFraction*float64(r.route.LatencyObjective)))
	t.waiting = append(t.waiting, waitingRequest{r.id, s.now.Add(wait)})
	s.tokenWaiters[r.organisation] = true
}

// expire moves expired tokens to those that are returned to the coordinator.
func (t *tokenStock) expire(now time.Time) {
	if t.tokens > 0 && !now.Before(t.expiresAt) {
		t.returned += t.tokens
		t.tokens = 0
	}
}

// ask requests tokens for waiting requests, and some ahead of demand.
func (s *State) ask(name id.Organisation, o *organisation, requests int) {
	t := &o.stock
	if s.group.coordinator == "" {
		return
	}
	t.sequence++
	t.asks = append(t.asks, tokenAsk{t.sequence, requests, s.now})
	s.tokenWaiters[name] = true
	o.demand.decay(s.now)
	prefetch := int(o.demand.perSecond * prefetchDuration.Seconds())
	s.emit(Send{To: s.group.coordinator, Message: TokenRequest{
		Sequence: t.sequence, Organisation: name, Tokens: min(requests+prefetch, maxTokensPerRequest),
		Arrivals: t.arrivals, Returned: t.returned,
	}})
	t.arrivals, t.returned = 0, 0
}

// handleTokenRequest grants what the bucket holds. A new coordinator that has no part of the limit yet does not answer;
// the member repeats the request.
func (s *State) handleTokenRequest(from id.Instance, e TokenRequest) {
	o := s.organisations[e.Organisation]
	if o == nil || e.Tokens <= 0 || e.Tokens > maxTokensPerRequest {
		return
	}
	grant := TokenGrant{Sequence: e.Sequence, Organisation: e.Organisation}
	switch {
	case s.configuration.Organisations[e.Organisation].Rate <= 0:
		// The member has an older configuration.
		grant.Tokens = e.Tokens
	case o.bucket.Rate() == 0:
		return
	default:
		o.groupDemand.add(s.now, float64(min(max(e.Arrivals, 0), maxTokensPerRequest)))
		o.bucket.Return(s.now, min(max(e.Returned, 0), maxTokensPerRequest))
		if grant.Tokens = o.bucket.Take(s.now, e.Tokens); grant.Tokens == 0 {
			grant.RetryAfter = s.rateRetryAt(o).Sub(s.now)
		}
	}
	s.emit(Send{To: from, Message: grant})
}

// rateRetryAt returns when a request beyond the limit should be retried. Each refused request gets a later token, so
// that they do not all return for the same one.
func (s *State) rateRetryAt(o *organisation) time.Time {
	interval := maxRateRetryDelay
	if rate := o.bucket.Rate(); rate > 0 {
		interval = min(time.Duration(float64(time.Second)/float64(rate)), maxRateRetryDelay)
	}
	o.retryAt = earlier(later(o.retryAt, s.now).Add(interval), s.now.Add(maxRateRetryDelay))
	return o.retryAt
}

// handleTokenGrant passes granted tokens to the waiting requests, in order. A grant of an earlier coordinator is
// ignored, and the tokens of one that took too long are returned.
func (s *State) handleTokenGrant(from id.Instance, e TokenGrant) {
	o := s.organisations[e.Organisation]
	if o == nil || from != s.group.coordinator || e.Tokens < 0 || e.Tokens > maxTokensPerRequest {
		return
	}
	t := &o.stock
	i := slices.IndexFunc(t.asks, func(a tokenAsk) bool { return a.sequence == e.Sequence })
	if i < 0 {
		t.returned += e.Tokens
		return
	}
	ask := t.asks[i]
	t.asks = slices.Delete(t.asks, i, i+1)
	expiresAt := ask.sentAt.Add(tokenTTL)
	if !s.now.Before(expiresAt) {
		t.returned += e.Tokens
		s.ask(e.Organisation, o, ask.requests)
		return
	}
	t.expire(s.now)
	granted := min(e.Tokens, len(t.waiting))
	admitted := slices.Clone(t.waiting[:granted])
	t.waiting = slices.Delete(t.waiting, 0, granted)
	if surplus := e.Tokens - granted; surplus > 0 {
		if t.tokens == 0 || expiresAt.Before(t.expiresAt) {
			t.expiresAt = expiresAt
		}
		t.tokens += surplus
	}
	var refused []waitingRequest
	retryAt := s.now.Add(min(max(e.RetryAfter, 0), maxRateRetryDelay))
	if missing := min(ask.requests-e.Tokens, len(t.waiting)); missing > 0 {
		refused = slices.Clone(t.waiting[:missing])
		t.waiting = slices.Delete(t.waiting, 0, missing)
		if e.Tokens == 0 {
			t.rejectedUntil = retryAt
		}
	}
	for _, w := range admitted {
		if r := s.requests[w.request]; r != nil {
			s.route(r)
		}
	}
	s.refuseWaiting(refused, retryAt)
}

func (s *State) refuseWaiting(waiting []waitingRequest, retryAt time.Time) {
	for _, w := range waiting {
		if r := s.requests[w.request]; r != nil {
			s.refuse(r, Refusal{Code: CodeRateLimited, RetryAt: retryAt})
		}
	}
}

// askAgain asks a new coordinator for the tokens of all waiting requests.
func (s *State) askAgain() {
	for _, name := range slices.Sorted(maps.Keys(s.tokenWaiters)) {
		o := s.organisations[name]
		if o == nil {
			continue
		}
		o.stock.asks, o.stock.rejectedUntil = nil, time.Time{}
		s.serveWaiting(name, o)
	}
}

// serveWaiting takes tokens for the waiting requests of an organisation, or asks the coordinator for them.
func (s *State) serveWaiting(name id.Organisation, o *organisation) {
	waiting := o.stock.waiting
	if len(waiting) == 0 {
		return
	}
	if !s.IsCoordinator() {
		s.ask(name, o, len(waiting))
		return
	}
	admitted := len(waiting)
	if s.configuration.Organisations[name].Rate > 0 {
		admitted = o.bucket.Take(s.now, len(waiting))
	}
	o.stock.waiting = slices.Clone(waiting[admitted:])
	for _, w := range waiting[:admitted] {
		if r := s.requests[w.request]; r != nil {
			s.route(r)
		}
	}
}

// expireTokens repeats unanswered requests for tokens and refuses requests that have waited too long.
func (s *State) expireTokens() {
	for _, name := range slices.Sorted(maps.Keys(s.tokenWaiters)) {
		o := s.organisations[name]
		if o == nil || len(o.stock.waiting)+len(o.stock.asks) == 0 {
			delete(s.tokenWaiters, name)
			continue
		}
		t := &o.stock
		expired := 0
		for expired < len(t.waiting) && !s.now.Before(t.waiting[expired].expiresAt) {
			expired++
		}
		if expired > 0 {
			refused := slices.Clone(t.waiting[:expired])
			t.waiting = slices.Delete(t.waiting, 0, expired)
			s.refuseWaiting(refused, s.now.Add(noCoordinatorRetryDelay))
		}
		if len(t.asks) > 0 && s.now.Sub(t.asks[0].sentAt) < tokenRequestTimeout {
			continue
		}
		t.asks = nil
		s.serveWaiting(name, o)
	}
}

// removeWaiting removes a request whose caller has disconnected.
func (s *State) removeWaiting(r *request) {
	if o := s.organisations[r.organisation]; o != nil {
		o.stock.waiting = slices.DeleteFunc(o.stock.waiting, func(w waitingRequest) bool { return w.request == r.id })
	}
}
