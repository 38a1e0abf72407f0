package entry

import (
	"slices"
	"time"
)

const (
	// slowFactor is the multiple of its estimated latency after which an attempt counts as slow. Processing times vary by a
	// sixth; a request of the long tail or an upstream in trouble takes five times as long or more.
	slowFactor = 2.5
	// lostFactor is the multiple after which the response is probably lost, and minLostTime the least time for that.
	lostFactor  = 5.0
	minLostTime = 500 * time.Millisecond
	// minSlowTime is the least time after which an attempt counts as slow: below it, the time of a request is mostly that
	// of links and processors.
	minSlowTime = 60 * time.Millisecond
	// slowBudgetFraction is the fraction of the retry budget that slow attempts may use. The rest is for failed ones.
	slowBudgetFraction = 0.6
)

// slowAt returns when the current attempt of a request counts as slow.
func (r *request) slowAt() time.Time {
	return r.sentAt.Add(max(time.Duration(slowFactor*float64(r.choice.EstimatedLatency)), minSlowTime))
}

// lostAt returns when the response to the current attempt of a request is probably lost.
func (r *request) lostAt() time.Time {
	return r.sentAt.Add(max(time.Duration(lostFactor*float64(r.choice.EstimatedLatency)), minLostTime))
}

// watchForSlowness schedules the check of an attempt that may be abandoned for another one.
func (s *State) watchForSlowness(r *request) {
	if !s.Features().Speed || !r.route.Idempotent {
		return
	}
	if at := r.slowAt(); s.nextSlownessCheckAt.IsZero() || at.Before(s.nextSlownessCheckAt) {
		s.nextSlownessCheckAt = at
	}
}

// slownessCheckInterval is the time between two checks of slow attempts that no other upstream could serve so far.
const slownessCheckInterval = 50 * time.Millisecond

// abandonSlowAttempts breaks off slow attempts of idempotent requests that another upstream is expected to serve within
// their objective, and those whose response is probably lost.
//
// The load that it answers: 3 in 100 requests take seven times as long as usual, upstreams turn slow, and responses get
// lost without a reset. The second attempt comes from the retry budget, and is not made if it would have to wait.
func (s *State) abandonSlowAttempts() {
	if s.nextSlownessCheckAt.IsZero() || s.now.Before(s.nextSlownessCheckAt) {
		return
	}
	s.nextSlownessCheckAt = time.Time{}
	var slow []*request
	for _, r := range s.requests {
		if r.stage != stageInFlight || !r.route.Idempotent || r.isAbandoned || r.isDisconnected || r.isWrittenOff {
			continue
		}
		if r.slowAt().After(s.now) {
			s.watchForSlowness(r)
			continue
		}
		slow = append(slow, r)
	}
	slices.SortFunc(slow, func(a, b *request) int { return int(a.id) - int(b.id) })
	for _, r := range slow {
		switch {
		case r.possibleRuns+1 >= max(r.route.MaxAttempts, 1) || r.attempts > maxRetries:
		case s.canServeElsewhere(r):
			r.isAbandoned = true
			s.emit(Abandon{Request: r.id})
		default:
			s.nextSlownessCheckAt = s.now.Add(slownessCheckInterval)
		}
	}
}

// canServeElsewhere reports whether another upstream is expected to serve the request in time at once: within the
// objective, or within the deadline if the response to the current attempt is probably lost.
func (s *State) canServeElsewhere(r *request) bool {
	if !r.service.retryBudget.Allows(s.now, slowBudgetFraction) {
		return false
	}
	req := r.placementRequest
	req.Exclude = append(slices.Clone(req.Exclude), r.choice.Upstream)
	choice, ok := r.service.chooser.Choose(s.now, req)
	if !ok || !choice.HasCapacity || s.outlivesStop(r, choice.EstimatedLatency) {
		return false
	}
	end := s.now.Add(choice.EstimatedLatency)
	return !end.After(r.objectiveAt) || !s.now.Before(r.lostAt()) && end.Before(r.deadline.Add(-minRetryTime))
}
