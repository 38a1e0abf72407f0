package allotment

import (
	"math"
	"time"

	"bluebellhold/id"
)

// account is this instance's state of one limit.
//
// The fields that every Take reads come first, so that it touches few cache lines among thousands of limits.
type account struct {
	// capacity is the burst or the whole slots of the effective parts; refillRate is their tokens per second.
	capacity      id.Tokens
	refillRate    id.TokensPerSecond
	tokens        id.Tokens
	refilledAt    time.Time
	lent          id.Tokens
	used          id.Tokens
	concurrent    bool
	withdrawn     bool
	borrowedLoans []borrowedLoan
	demand        demandEstimate

	nextLentDeadline time.Time
	lentLoans        []lentLoan
	isLender         bool
	loanRequests     []loanRequest
	isBorrower       bool
	nextRequestAt    time.Time
	nextLenderIndex  int
	limit            Limit
	homes            []id.Instance
	targetParts      id.Parts
	confirmedParts   id.Parts

	// proposedParts is this instance's entry in a pending transaction. Until its outcome is known, only the smaller
	// of the proposed and the confirmed entry is effective.
	proposedParts id.Parts
	hasProposal   bool

	// row is the share row as last observed. Results of calls numbered up to rowObservedAtCall are ignored.
	row               shareRow
	rowVersion        uint64
	rowObservedAtCall uint64
	rowErr            error
	stale             bool // the row has to be read again
	queued            bool // in the reconcile queue
	nextReconcileAt   time.Time
	backoff           time.Duration
}

// demandEstimate estimates the tokens per second that callers have requested recently.
type demandEstimate struct {
	requested     id.Tokens
	windowStart   time.Time
	ratePerSecond float64
}

func (d *demandEstimate) update(now time.Time) float64 {
	elapsed := now.Sub(d.windowStart).Seconds()
	if elapsed >= 1 {
		// An EWMA that gives the last window half of the weight follows a change within a few seconds.
		d.ratePerSecond = (d.ratePerSecond + float64(d.requested)/elapsed) / 2
		d.requested, d.windowStart = 0, now
	}
	return max(d.ratePerSecond, float64(d.requested))
}

// applyParts recomputes capacity and refill rate from the effective parts; gained parts start without tokens.
func (a *account) applyParts(now time.Time, driftFactor float64) {
	a.refill(now)
	parts := a.confirmedParts
	if a.hasProposal {
		parts = min(parts, a.proposedParts)
	}
	switch amount := a.limit.Amount.(type) {
	case Rate:
		a.capacity = parts.Of(amount.Burst)
		// Refilling more slowly by the drift bound keeps the sum within the rate when clocks run fast.
		a.refillRate = id.TokensPerSecond(float64(amount.Rate) * float64(parts) / float64(id.WholeLimit) * driftFactor)
	case Concurrency:
		a.capacity = id.Tokens(partsToSlots(amount.Slots, parts))
		a.refillRate = 0
	}
	a.clampTokens()
}

func (a *account) clampTokens() {
	a.tokens = max(0, min(a.tokens, a.capacity-a.lent))
}

func (a *account) refill(now time.Time) {
	if a.lent > 0 && !now.Before(a.nextLentDeadline) {
		a.expireLentLoans(now)
	}
	elapsed := now.Sub(a.refilledAt)
	if elapsed <= 0 {
		return
	}
	a.tokens = min(a.tokens+id.Tokens(float64(a.refillRate)*elapsed.Seconds()), max(0, a.capacity-a.lent))
	a.refilledAt = now
}

// available returns the amount that can be taken now, borrowed amounts included.
func (a *account) available(now time.Time) id.Tokens {
	a.refill(now)
	if a.concurrent {
		return a.freeSlots(now)
	}
	total := a.tokens
	for i := range a.borrowedLoans {
		if now.Before(a.borrowedLoans[i].deadline) {
			total += a.borrowedLoans[i].remaining
		}
	}
	return total
}

// freeSlots returns the free slots without those of overdue loans, which are about to be returned.
func (a *account) freeSlots(now time.Time) id.Tokens {
	var current, overdue id.Tokens
	for i := range a.borrowedLoans {
		if now.Before(a.borrowedLoans[i].deadline) {
			current += a.borrowedLoans[i].remaining
		} else {
			overdue += a.borrowedLoans[i].remaining
		}
	}
	ownSlots := a.capacity - a.lent
	if now.Before(a.refilledAt) {
		// Slots that a predecessor lent may be in use until its loans have ended.
		ownSlots = 0
	}
	pinned := max(0, min(overdue, a.used-ownSlots))
	return max(0, ownSlots+current+pinned-a.used)
}

// spend takes n of the available amount, borrowed tokens first because they expire.
func (a *account) spend(now time.Time, n id.Tokens) {
	if a.concurrent {
		a.used += n
		return
	}
	for i := range a.borrowedLoans {
		if n <= 0 {
			return
		}
		if now.Before(a.borrowedLoans[i].deadline) {
			amount := min(n, a.borrowedLoans[i].remaining)
			a.borrowedLoans[i].remaining -= amount
			n -= amount
		}
	}
	a.tokens = max(0, a.tokens-n)
}

func (a *account) refund(now time.Time, n id.Tokens) {
	if a.concurrent {
		a.used = max(0, a.used-n)
		return
	}
	a.refill(now)
	a.tokens += n
	a.clampTokens()
}

// partsInUse returns the parts that cannot be released yet because they back loans or slots in use.
func (a *account) partsInUse() id.Parts {
	switch amount := a.limit.Amount.(type) {
	case Rate:
		if a.lent <= 0 {
			return 0
		}
		if amount.Burst <= 0 {
			return id.WholeLimit
		}
		return min(id.WholeLimit, id.Parts(math.Ceil(float64(a.lent/amount.Burst)*float64(id.WholeLimit))))
	case Concurrency:
		count := max(0, a.used+a.lent-a.totalBorrowed())
		return slotsToParts(amount.Slots, min(amount.Slots, id.Slots(count)))
	}
	return 0
}

func (a *account) totalBorrowed() id.Tokens {
	var sum id.Tokens
	for i := range a.borrowedLoans {
		sum += a.borrowedLoans[i].remaining
	}
	return sum
}

// clearLeaseState discards all state that depended on a lost lease. Slots in use stay counted until they are returned.
func (a *account) clearLeaseState() {
	a.confirmedParts, a.hasProposal = 0, false
	a.capacity, a.refillRate, a.tokens = 0, 0, 0
	a.lent, a.lentLoans = 0, nil
	a.borrowedLoans, a.loanRequests = nil, nil
	a.row, a.rowVersion, a.rowErr, a.stale = nil, 0, nil, true
}
