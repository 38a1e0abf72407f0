package steering

import (
	"time"

	"bluebellhold/balance"
	"bluebellhold/claim"
	"bluebellhold/retry"
)

// handleAttemptEnded returns the attempt's slot, records its outcome, and completes, retries or refuses the request.
func (s *State) handleAttemptEnded(e AttemptEnded) {
	r := s.requests[e.Request]
	if r == nil || r.stage != stageInFlight {
		return
	}
	svc := r.service
	serviceTime := s.now.Sub(r.startedAt)
	s.ledger.Return(s.now, r.target.slotLimit, 1)
	svc.inFlight[r.target.region]--
	if !r.isOutsideQueue {
		svc.queue.Done(s.now, r.route.Class, r.queueOrganisation, serviceTime)
	}
	svc.chooser.RecordOutcome(s.now, r.upstream, balanceOutcome(e.Outcome), serviceTime)
	s.recordUplink(r, e)
	s.updateSuspects(r, e.Outcome)
	s.applyOutcome(r, e)
	s.dispatchQueued(svc)
}

func balanceOutcome(e AttemptOutcome) balance.Outcome {
	switch e := e.(type) {
	case Answered:
		return balance.Succeeded{}
	case Shed:
		return balance.Shed{Rest: e.Rest}
	case NothingSent:
		if e.DispatchExpired || e.IsHelperFailed {
			return balance.Cancelled{}
		}
		return balance.ConnectionFailed{}
	case Broken:
		return balance.ConnectionFailed{}
	case TimedOut:
		return balance.Failed{}
	default:
		return balance.Cancelled{}
	}
}

// applyOutcome completes, retries or refuses a request after an attempt. A body that was streamed and a response that
// was forwarded in part rule out another attempt.
func (s *State) applyOutcome(r *request, e AttemptEnded) {
	retryAt := s.now.Add(time.Second)
	switch outcome := e.Outcome.(type) {
	case Answered:
		s.complete(r, outcome.Response)
	case Cancelled:
		s.refuse(r, Refusal{Code: CodeDeadline, Outcome: OutcomeUnknown})
	case Shed:
		var failure retry.Failure = retry.Shed{}
		if outcome.MayHaveRun {
			failure = retry.Unmatched{}
		}
		s.retryOrRefuse(r, e.BodyConsumed, failure, Refusal{Code: CodeCapacity, RetryAt: retryAt})
	case NothingSent:
		s.retryOrRefuse(r, e.BodyConsumed, retry.NothingSent{}, Refusal{Code: CodeUpstreamFailed, RetryAt: retryAt})
	case Broken:
		s.retryOrRefuse(r, e.BodyConsumed || outcome.ResponseStarted, retry.Broken{}, Refusal{Code: CodeUpstreamFailed})
	case TimedOut:
		s.retryOrRefuse(r, e.BodyConsumed || outcome.ResponseStarted, retry.TimedOut{}, Refusal{Code: CodeDeadline})
	}
}

func (s *State) complete(r *request, response claim.Response) {
	r.stage = stageEnded
	r.organisation.served++
	delete(s.requests, r.id)
	if r.isClaimed() {
		s.reduceClaims(claim.Finished{Request: r.id, Response: response})
	}
}

// retryOrRefuse retries the request on another upstream if that is safe and within its deadline and the retry budget.
//
// If isFinal is set, the attempt was the last one. The refusal says "not run" only if no earlier attempt may have run
// either.
func (s *State) retryOrRefuse(r *request, isFinal bool, failure retry.Failure, refusal Refusal) {
	attempt := retry.Attempt{
		Number:     r.attempts,
		Idempotent: r.route.Idempotent,
		Deadline:   r.deadline,
		PeerRetry:  r.peerRetry,
		Suspect:    r.suspect || s.isSuspect(r),
		MayHaveRun: r.mayHaveRun,
	}
	if isFinal {
		attempt.MaxAttempts = attempt.Number
	}
	switch decision := retry.Decide(s.now, failure, attempt, r.service.retryBudget).(type) {
	case retry.Retry:
		r.mayHaveRun = decision.MayHaveRun
		r.excluded = append(r.excluded, r.upstream)
		s.enqueue(r)
	case retry.Stop:
		refusal.Outcome = refusalOutcome(decision.MayHaveRun)
		s.refuse(r, refusal)
	}
}

func refusalOutcome(mayHaveRun bool) Outcome {
	if mayHaveRun {
		return OutcomeUnknown
	}
	return NotRun
}
