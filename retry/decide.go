package retry

import "time"

// Failure is the way in which an attempt failed.
type Failure interface{ failure() }

// NothingSent means that the attempt failed before any byte of the request was sent.
type NothingSent struct{}

// Shed means that the upstream reported that it did not run the request.
type Shed struct{}

// Unmatched means that a response came which may belong to another request; the request may have run.
type Unmatched struct{}

// Broken means that the connection broke after a byte was sent; the request may have run.
type Broken struct{}

// TimedOut means that no response arrived in time after a byte was sent; the request may have run.
type TimedOut struct{}

func (NothingSent) failure() {}
func (Shed) failure()        {}
func (Unmatched) failure()   {}
func (Broken) failure()      {}
func (TimedOut) failure()    {}

// Attempt describes the attempt that failed.
type Attempt struct {
	// Number counts the attempts at this instance from 1.
	Number int
	// MaxAttempts bounds the attempts at this instance, by default 3.
	MaxAttempts int
	// Idempotent is set if the request's route allows it to run more than once.
	Idempotent bool
	// Deadline is the caller's deadline.
	Deadline time.Time
	// PeerRetry is set if another instance is retrying the request, as the request's Attempt header indicates.
	PeerRetry bool
	// Suspect is set if the request's digest was in flight at an upstream that crashed.
	Suspect bool
	// MayHaveRun is set if an earlier attempt may have run; Retry carries it to the next attempt.
	MayHaveRun bool
}

const defaultMaxAttempts = 3

// Decision is either Retry or Stop.
type Decision interface{ decision() }

// Retry allows one more attempt, which has been charged to the budget.
type Retry struct {
	// Number and MayHaveRun belong to the next Attempt.
	Number     int
	MayHaveRun bool
}

// Stop denies another attempt.
type Stop struct {
	Reason Reason
	// MayHaveRun is false only if it is certain that no attempt ran, so that the caller may be told "not run".
	MayHaveRun bool
}

func (Retry) decision() {}
func (Stop) decision()  {}

// Reason is why an attempt is not retried.
type Reason string

// The reasons of Stop.
const (
	ReasonNotIdempotent Reason = "not idempotent"
	ReasonSuspect       Reason = "suspect"
	ReasonPeerRetry     Reason = "foreign retry"
	ReasonAttempts      Reason = "attempts"
	ReasonDeadline      Reason = "deadline"
	ReasonBudget        Reason = "budget"
)

// Decide applies the retry rules to one failed attempt. The budget is charged only for Retry.
func Decide(now time.Time, f Failure, a Attempt, budget *Budget) Decision {
	mayHaveRun := a.MayHaveRun || couldHaveRun(f)
	if reason := stopReason(now, a, mayHaveRun); reason != "" {
		return Stop{Reason: reason, MayHaveRun: mayHaveRun}
	}
	if !budget.Take(now) {
		return Stop{Reason: ReasonBudget, MayHaveRun: mayHaveRun}
	}
	return Retry{Number: a.Number + 1, MayHaveRun: mayHaveRun}
}

// couldHaveRun reports whether the request may have run in an attempt that failed with f.
func couldHaveRun(f Failure) bool {
	switch f.(type) {
	case NothingSent, Shed:
		return false
	}
	return true
}

func stopReason(now time.Time, a Attempt, mayHaveRun bool) Reason {
	limit := a.MaxAttempts
	if limit <= 0 {
		limit = defaultMaxAttempts
	}
	switch {
	case mayHaveRun && !a.Idempotent:
		return ReasonNotIdempotent
	case a.Suspect:
		return ReasonSuspect
	case a.PeerRetry:
		return ReasonPeerRetry
	case a.Number >= limit:
		return ReasonAttempts
	case !now.Before(a.Deadline):
		return ReasonDeadline
	}
	return ""
}
