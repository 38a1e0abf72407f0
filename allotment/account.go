package allotment

import (
	"math"
	"time"

	"bluebellhold/id"
)

// account is what this instance holds of one limit.
//
// The fields that every Take reads come first, so that it touches few cache lines among thousands of limits.
type account struct {
	// capacity is the burst or the whole slots of the parts that count; perSecond is their refill rate.
	capacity   id.Tokens
	perSecond  id.TokensPerSecond
	tokens     id.Tokens
	filledAt   time.Time
	lent       id.Tokens
	used       id.Tokens
	concurrent bool
	withdrawn  bool
	borrowing  []loan
	demand     demand

	lentNext  time.Time
	lending   []lentLoan
	lender    bool
	requests  []loanRequest
	borrower  bool
	askAt     time.Time
	askNext   int
	limit     Limit
	homes     []id.Instance
	target    id.Parts
	confirmed id.Parts

	// proposed is this instance's entry in a transaction that is not resolved. Until it is, only the smaller of the
	// proposed and the confirmed entry counts.
	proposed  id.Parts
	proposing bool

	// row is the share row as last seen. What a call numbered up to rowAsked shows of it is ignored.
	row        shareRow
	rowVersion uint64
	rowAsked   uint64
	rowErr     error
	stale      bool
	queued     bool
	tryAt      time.Time
	pause      time.Duration
}

// demand estimates the tokens per second that callers have wanted recently.
type demand struct {
	wanted    id.Tokens
	since     time.Time
	perSecond float64
}

func (d *demand) estimate(now time.Time) float64 {
	age := now.Sub(d.since).Seconds()
	if age >= 1 {
		// Half of the weight goes to the last window, so the estimate follows a change within a few seconds.
		d.perSecond = (d.perSecond + float64(d.wanted)/age) / 2
		d.wanted, d.since = 0, now
	}
	return max(d.perSecond, float64(d.wanted))
}

// apply makes the parts that count effective; gained parts start empty.
func (a *account) apply(now time.Time, shorten float64) {
	a.refill(now)
	parts := a.confirmed
	if a.proposing {
		parts = min(parts, a.proposed)
	}
	switch amount := a.limit.Amount.(type) {
	case Rate:
		a.capacity = parts.Of(amount.Burst)
		// Refilling more slowly by the drift bound keeps the sum within the rate when clocks run fast.
		a.perSecond = id.TokensPerSecond(float64(amount.Rate) * float64(parts) / float64(id.WholeLimit) * shorten)
	case Concurrency:
		a.capacity = id.Tokens(slotsOf(amount.Slots, parts))
		a.perSecond = 0
	}
	a.clip()
}

func (a *account) clip() {
	a.tokens = max(0, min(a.tokens, a.capacity-a.lent))
}

func (a *account) refill(now time.Time) {
	if a.lent > 0 && !now.Before(a.lentNext) {
		a.endLent(now)
	}
	age := now.Sub(a.filledAt)
	if age <= 0 {
		return
	}
	a.tokens = min(a.tokens+id.Tokens(float64(a.perSecond)*age.Seconds()), max(0, a.capacity-a.lent))
	a.filledAt = now
}

// available returns the own and borrowed amount that can be taken now.
func (a *account) available(now time.Time) id.Tokens {
	a.refill(now)
	if a.concurrent {
		return a.freeSlots(now)
	}
	total := a.tokens
	for i := range a.borrowing {
		if now.Before(a.borrowing[i].deadline) {
			total += a.borrowing[i].left
		}
	}
	return total
}

// freeSlots leaves out the free slots of overdue loans, which are about to be returned.
func (a *account) freeSlots(now time.Time) id.Tokens {
	var current, overdue id.Tokens
	for i := range a.borrowing {
		if now.Before(a.borrowing[i].deadline) {
			current += a.borrowing[i].left
		} else {
			overdue += a.borrowing[i].left
		}
	}
	own := a.capacity - a.lent
	if now.Before(a.filledAt) {
		// Slots that a predecessor lent may be taken until its loans have ended.
		own = 0
	}
	pinned := max(0, min(overdue, a.used-own))
	return max(0, own+current+pinned-a.used)
}

// spend takes n of the available amount, borrowed tokens first because they expire.
func (a *account) spend(now time.Time, n id.Tokens) {
	if a.concurrent {
		a.used += n
		return
	}
	for i := range a.borrowing {
		if n <= 0 {
			return
		}
		if now.Before(a.borrowing[i].deadline) {
			part := min(n, a.borrowing[i].left)
			a.borrowing[i].left -= part
			n -= part
		}
	}
	a.tokens = max(0, a.tokens-n)
}

func (a *account) giveBack(now time.Time, n id.Tokens) {
	if a.concurrent {
		a.used = max(0, a.used-n)
		return
	}
	a.refill(now)
	a.tokens += n
	a.clip()
}

// needed returns the parts that cannot be handed back yet because they back loans or slots in use.
func (a *account) needed() id.Parts {
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
		count := max(0, a.used+a.lent-a.borrowed())
		return partsOf(amount.Slots, min(amount.Slots, id.Slots(count)))
	}
	return 0
}

func (a *account) borrowed() id.Tokens {
	var sum id.Tokens
	for i := range a.borrowing {
		sum += a.borrowing[i].left
	}
	return sum
}

// forfeit drops everything that depended on a lost lease. Slots in use stay counted until they are returned.
func (a *account) forfeit() {
	a.confirmed, a.proposing = 0, false
	a.capacity, a.perSecond, a.tokens = 0, 0, 0
	a.lent, a.lending = 0, nil
	a.borrowing, a.requests = nil, nil
	a.row, a.rowVersion, a.rowErr, a.stale = nil, 0, nil, true
}
