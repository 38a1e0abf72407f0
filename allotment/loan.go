package allotment

import (
	"slices"
	"time"

	"bluebellhold/id"
)

const (
	// Refused borrowers ask again after one token's time at the limit's rate, within these bounds.
	minAskPause = 50 * time.Millisecond
	maxAskPause = time.Second
	// A slot becomes free at an unknown time, so the pause for slots is fixed.
	slotAskPause = 100 * time.Millisecond
	// replyWait covers two round trips between regions. A request that has no answer by then does not keep its amount
	// from being asked of another home instance, because the first one may be gone.
	replyWait = 250 * time.Millisecond
)

// loan is an amount that this instance borrowed.
type loan struct {
	id       uint64
	lender   id.Instance
	left     id.Tokens
	deadline time.Time
	returnAt time.Time
}

// loanRequest is a request for a loan that has not been answered.
type loanRequest struct {
	id     uint64
	lender id.Instance
	amount id.Tokens
	sentAt time.Time
}

// lentLoan is an amount that this instance lent. A loan that was returned early stays with amount 0 until its
// deadline, so that a repeated request for it is not granted again.
type lentLoan struct {
	id          uint64
	borrower    id.Instance
	incarnation id.Incarnation
	amount      id.Tokens
	deadline    time.Time
	probeAt     time.Time
}

// endLent ends loans of tokens at their deadlines. Loans of slots end when they are returned or when the borrower's
// lease is gone, because a request may still run in a slot after the deadline.
func (a *account) endLent(now time.Time) {
	slots := a.concurrent
	a.lending = slices.DeleteFunc(a.lending, func(l lentLoan) bool {
		return !now.Before(l.deadline) && (!slots || l.amount == 0)
	})
	a.sumLent()
}

func (a *account) sumLent() {
	a.lent, a.lentNext = 0, time.Time{}
	for _, l := range a.lending {
		a.lent += l.amount
		if a.lentNext.IsZero() || l.deadline.Before(a.lentNext) {
			a.lentNext = l.deadline
		}
	}
}

// ask requests a loan that covers the shortage for n and the recent demand, one request at a time for each lender.
func (l *Ledger) ask(now time.Time, a *account, n id.Tokens) []Effect {
	if now.Before(a.askAt) || a.withdrawn {
		return nil
	}
	wanted := n - a.available(now)
	if !a.concurrent {
		wanted = max(wanted, id.Tokens(a.demand.estimate(now)*l.config.LoanTerm.Seconds()))
	}
	for _, r := range a.requests {
		if now.Sub(r.sentAt) < replyWait {
			wanted -= r.amount
		}
	}
	lender, ok := l.nextLender(a)
	if wanted <= 0 || !ok {
		return nil
	}
	request := loanRequest{id: l.newID(), lender: lender, amount: wanted, sentAt: now}
	a.requests = append(a.requests, request)
	l.noteBorrower(a)
	return []Effect{Send{To: lender, Message: LoanRequest{
		ID: request.id, Incarnation: l.config.Incarnation, Limit: a.limit.ID, Amount: wanted,
	}}}
}

func (l *Ledger) nextLender(a *account) (id.Instance, bool) {
	for i := range a.homes {
		home := a.homes[(a.askNext+i)%len(a.homes)]
		busy := slices.ContainsFunc(a.requests, func(r loanRequest) bool { return r.lender == home })
		if home != l.config.Self.Instance && !busy {
			a.askNext = (a.askNext + i + 1) % len(a.homes)
			return home, true
		}
	}
	return "", false
}

func (l *Ledger) noteBorrower(a *account) {
	if !a.borrower {
		a.borrower = true
		l.borrowers = append(l.borrowers, a)
	}
}

// lend subtracts tokens and the same burst capacity before it replies.
func (l *Ledger) lend(now time.Time, from id.Instance, m LoanRequest) []Effect {
	reply := LoanReply{ID: m.ID, Limit: m.Limit}
	a, ok := l.accounts[m.Limit]
	if ok {
		reply.Amount, reply.Term = l.grant(now, a, from, m)
	}
	return []Effect{Send{To: from, Message: reply}}
}

func (l *Ledger) grant(now time.Time, a *account, from id.Instance, m LoanRequest) (id.Tokens, time.Duration) {
	a.endLent(now)
	for _, old := range a.lending {
		if old.id == m.ID && old.borrower == from && old.incarnation == m.Incarnation {
			return repeatGrant(now, old)
		}
	}
	term := min(l.config.LoanTerm, l.until.Sub(now))
	if term <= 0 || l.stopping || a.withdrawn || !l.mayBorrow(a, from, m.Incarnation) {
		return 0, 0
	}
	amount := l.lendable(now, a, m.Amount)
	if amount <= 0 {
		return 0, 0
	}
	a.tokens = max(0, a.tokens-amount)
	a.lending = append(a.lending, lentLoan{
		id: m.ID, borrower: from, incarnation: m.Incarnation,
		amount: amount, deadline: now.Add(term), probeAt: now.Add(term),
	})
	a.sumLent()
	a.clip()
	if !a.lender {
		a.lender = true
		l.lenders = append(l.lenders, a)
	}
	return amount, term
}

func repeatGrant(now time.Time, old lentLoan) (id.Tokens, time.Duration) {
	if term := old.deadline.Sub(now); term > 0 && old.amount > 0 {
		return old.amount, term
	}
	return 0, 0
}

// mayBorrow demands a known lease for slots, because only the loss of that lease ends an unreturned loan of slots.
func (l *Ledger) mayBorrow(a *account, from id.Instance, incarnation id.Incarnation) bool {
	if !a.concurrent {
		return true
	}
	seen, ok := l.leases[from]
	return ok && seen.version != 0 && seen.row.Incarnation == incarnation
}

// lendable grants a part of what was asked in whole tokens only, because a fraction rarely pays for a request.
func (l *Ledger) lendable(now time.Time, a *account, wanted id.Tokens) id.Tokens {
	a.refill(now)
	free := a.tokens
	if a.concurrent {
		free = min(a.freeSlots(now), a.capacity-a.lent-a.used)
	}
	if free >= wanted {
		return wanted
	}
	return wholeTokens(free)
}

func wholeTokens(n id.Tokens) id.Tokens {
	return max(0, id.Tokens(int64(n)))
}

// credit takes a granted loan once; the deadline counts from the sending of the request.
func (l *Ledger) credit(now time.Time, from id.Instance, m LoanReply) []Effect {
	a, ok := l.accounts[m.Limit]
	if !ok {
		return l.disclaim(from, m, true)
	}
	i := slices.IndexFunc(a.requests, func(r loanRequest) bool { return r.id == m.ID && r.lender == from })
	if i < 0 {
		return l.answerProbe(now, a, from, m)
	}
	request := a.requests[i]
	a.requests = slices.Delete(a.requests, i, i+1)
	if m.Amount <= 0 {
		a.askAt = now.Add(a.askPause())
		return nil
	}
	term := l.config.shorten(m.Term)
	deadline := request.sentAt.Add(term)
	if !now.Before(deadline) || !now.Before(l.until) {
		return l.disclaim(from, m, a.concurrent)
	}
	a.borrowing = append(a.borrowing, loan{
		id: m.ID, lender: from, left: m.Amount, deadline: deadline,
		// The last quarter of the term is left for the return to reach the lender in time.
		returnAt: deadline.Add(-term / 4),
	})
	l.noteBorrower(a)
	return nil
}

// disclaim ends a loan of slots that is not in use here. It returns the amount 0, which ends a loan of slots all the
// same, because the limit may be unknown here and tokens of an earlier copy of the reply may have been spent.
func (l *Ledger) disclaim(to id.Instance, m LoanReply, slots bool) []Effect {
	if !slots || m.Amount <= 0 {
		return nil
	}
	return []Effect{Send{To: to, Message: LoanReturn{ID: m.ID, Limit: m.Limit}}}
}

// answerProbe returns slots of a loan that is not in use here.
func (l *Ledger) answerProbe(now time.Time, a *account, from id.Instance, m LoanReply) []Effect {
	if !a.concurrent {
		return nil
	}
	active := slices.ContainsFunc(a.borrowing, func(b loan) bool { return b.id == m.ID })
	if active {
		return l.returnLoans(now, a)
	}
	return l.disclaim(from, m, true)
}

func (a *account) askPause() time.Duration {
	pause := slotAskPause
	if amount, ok := a.limit.Amount.(Rate); ok && amount.Rate > 0 {
		// The comparison is in seconds because a tiny rate would overflow a duration.
		seconds := min(1/float64(amount.Rate), maxAskPause.Seconds())
		pause = max(minAskPause, time.Duration(seconds*float64(time.Second)))
	}
	return pause / time.Duration(max(1, len(a.homes)-1))
}

// returnLoans gives back spent loans, which frees the lender's burst capacity, and loans near their deadline.
func (l *Ledger) returnLoans(now time.Time, a *account) []Effect {
	var effects []Effect
	kept := a.borrowing[:0]
	own := a.capacity - a.lent
	sum := a.borrowed()
	for _, b := range a.borrowing {
		over := b.left == 0 || !now.Before(b.returnAt) || l.stopping || a.withdrawn
		if a.concurrent {
			over = over && a.used <= own+sum-b.left
		}
		if !over {
			kept = append(kept, b)
			continue
		}
		sum -= b.left
		left := b.left
		if !a.concurrent && !now.Before(b.deadline) {
			left = 0
		}
		effects = append(effects, Send{To: b.lender, Message: LoanReturn{ID: b.id, Limit: a.limit.ID, Amount: left}})
	}
	a.borrowing = kept
	return effects
}

// takeBack ends a loan that the borrower returned. A repeated return finds the loan ended and changes nothing.
func (l *Ledger) takeBack(now time.Time, from id.Instance, m LoanReturn) {
	a, ok := l.accounts[m.Limit]
	if !ok {
		return
	}
	a.refill(now)
	for i := range a.lending {
		lent := &a.lending[i]
		if lent.id != m.ID || lent.borrower != from || lent.amount == 0 {
			continue
		}
		refund := max(0, min(m.Amount, lent.amount))
		lent.amount = 0
		a.sumLent()
		if !a.concurrent {
			a.tokens += refund
		}
		a.clip()
		return
	}
}

// serveLoans does the timed work of the few accounts that lend or borrow at the moment.
func (l *Ledger) serveLoans(now time.Time) []Effect {
	var effects []Effect
	l.borrowers = slices.DeleteFunc(l.borrowers, func(a *account) bool {
		a.requests = slices.DeleteFunc(a.requests, func(r loanRequest) bool {
			return now.Sub(r.sentAt) >= l.config.LoanTerm
		})
		effects = append(effects, l.returnLoans(now, a)...)
		a.borrower = len(a.requests)+len(a.borrowing) > 0
		return !a.borrower
	})
	l.lenders = slices.DeleteFunc(l.lenders, func(a *account) bool {
		a.refill(now)
		a.endLent(now)
		effects = append(effects, l.probe(now, a)...)
		a.lender = len(a.lending) > 0
		return !a.lender
	})
	return effects
}

// probe asks borrowers about overdue slots and ends the loans of borrowers whose lease is gone.
func (l *Ledger) probe(now time.Time, a *account) []Effect {
	if !a.concurrent {
		return nil
	}
	a.lending = slices.DeleteFunc(a.lending, func(lent lentLoan) bool {
		return !l.mayBorrow(a, lent.borrower, lent.incarnation)
	})
	a.sumLent()
	var effects []Effect
	for i := range a.lending {
		lent := &a.lending[i]
		if lent.amount == 0 || now.Before(lent.probeAt) {
			continue
		}
		lent.probeAt = now.Add(l.config.LoanTerm)
		effects = append(effects, Send{To: lent.borrower, Message: LoanReply{
			ID: lent.id, Limit: a.limit.ID, Amount: lent.amount,
		}})
	}
	return effects
}
