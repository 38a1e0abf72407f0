package allotment

import (
	"slices"
	"time"

	"bluebellhold/id"
)

const (
	// A refused borrower retries after the refill time of one token at the limit's rate, within these bounds.
	minLoanRequestBackoff = 50 * time.Millisecond
	maxLoanRequestBackoff = time.Second
	// The time at which a slot becomes free is unknown, so the backoff for slots is fixed.
	slotRequestBackoff = 100 * time.Millisecond
	// loanReplyTimeout covers two round trips between regions. After it the amount of a request without a reply can be
	// requested from another home instance, because the first one may have failed.
	loanReplyTimeout = 250 * time.Millisecond
)

// borrowedLoan is an amount that this instance borrowed.
type borrowedLoan struct {
	id        uint64
	lender    id.Instance
	remaining id.Tokens
	deadline  time.Time
	returnAt  time.Time
}

// loanRequest is a request for a loan that has no reply yet.
type loanRequest struct {
	id     uint64
	lender id.Instance
	amount id.Tokens
	sentAt time.Time
}

// lentLoan is an amount that this instance lent. A loan that was returned early is kept with amount 0 until its
// deadline, so that a duplicate of its request is not granted again.
type lentLoan struct {
	id          uint64
	borrower    id.Instance
	incarnation id.Incarnation
	amount      id.Tokens
	deadline    time.Time
	probeAt     time.Time
}

// expireLentLoans ends loans of tokens at their deadlines. Loans of slots end when they are returned or when the
// borrower's lease is removed, because a request may still run in a slot after the deadline.
func (a *account) expireLentLoans(now time.Time) {
	concurrent := a.concurrent
	a.lentLoans = slices.DeleteFunc(a.lentLoans, func(l lentLoan) bool {
		return !now.Before(l.deadline) && (!concurrent || l.amount == 0)
	})
	a.updateLent()
}

func (a *account) updateLent() {
	a.lent, a.nextLentDeadline = 0, time.Time{}
	for _, l := range a.lentLoans {
		a.lent += l.amount
		if a.nextLentDeadline.IsZero() || l.deadline.Before(a.nextLentDeadline) {
			a.nextLentDeadline = l.deadline
		}
	}
}

// requestLoan requests a loan that covers the shortage for n and the recent demand, one request at a time per lender.
func (l *Ledger) requestLoan(now time.Time, a *account, n id.Tokens) []Effect {
	if now.Before(a.nextRequestAt) || a.withdrawn {
		return nil
	}
	wanted := n - a.available(now)
	if !a.concurrent {
		wanted = max(wanted, id.Tokens(a.demand.update(now)*l.config.LoanTerm.Seconds()))
	}
	for _, r := range a.loanRequests {
		if now.Sub(r.sentAt) < loanReplyTimeout {
			wanted -= r.amount
		}
	}
	lender, ok := l.nextLender(a)
	if wanted <= 0 || !ok {
		return nil
	}
	request := loanRequest{id: l.newID(), lender: lender, amount: wanted, sentAt: now}
	a.loanRequests = append(a.loanRequests, request)
	l.trackBorrower(a)
	return []Effect{Send{To: lender, Message: LoanRequest{
		ID: request.id, Incarnation: l.config.Incarnation, Limit: a.limit.ID, Amount: wanted,
	}}}
}

func (l *Ledger) nextLender(a *account) (id.Instance, bool) {
	for i := range a.homes {
		lender := a.homes[(a.nextLenderIndex+i)%len(a.homes)]
		hasRequest := slices.ContainsFunc(a.loanRequests, func(r loanRequest) bool { return r.lender == lender })
		if lender != l.config.Self.Instance && !hasRequest {
			a.nextLenderIndex = (a.nextLenderIndex + i + 1) % len(a.homes)
			return lender, true
		}
	}
	return "", false
}

func (l *Ledger) trackBorrower(a *account) {
	if !a.isBorrower {
		a.isBorrower = true
		l.borrowers = append(l.borrowers, a)
	}
}

// handleLoanRequest subtracts a granted loan from the tokens and from the burst capacity before it replies.
func (l *Ledger) handleLoanRequest(now time.Time, from id.Instance, m LoanRequest) []Effect {
	reply := LoanReply{ID: m.ID, Limit: m.Limit}
	a, ok := l.accounts[m.Limit]
	if ok {
		reply.Amount, reply.Term = l.grantLoan(now, a, from, m)
	}
	return []Effect{Send{To: from, Message: reply}}
}

func (l *Ledger) grantLoan(now time.Time, a *account, from id.Instance, m LoanRequest) (id.Tokens, time.Duration) {
	a.expireLentLoans(now)
	for _, existing := range a.lentLoans {
		if existing.id == m.ID && existing.borrower == from && existing.incarnation == m.Incarnation {
			return repeatedGrant(now, existing)
		}
	}
	term := min(l.config.LoanTerm, l.leaseExpiry.Sub(now))
	if term <= 0 || l.stopping || a.withdrawn || !l.isEligibleBorrower(a, from, m.Incarnation) {
		return 0, 0
	}
	amount := l.lendableAmount(now, a, m.Amount)
	if amount <= 0 {
		return 0, 0
	}
	a.tokens = max(0, a.tokens-amount)
	a.lentLoans = append(a.lentLoans, lentLoan{
		id: m.ID, borrower: from, incarnation: m.Incarnation,
		amount: amount, deadline: now.Add(term), probeAt: now.Add(term),
	})
	a.updateLent()
	a.clampTokens()
	if !a.isLender {
		a.isLender = true
		l.lenders = append(l.lenders, a)
	}
	return amount, term
}

func repeatedGrant(now time.Time, existing lentLoan) (id.Tokens, time.Duration) {
	if term := existing.deadline.Sub(now); term > 0 && existing.amount > 0 {
		return existing.amount, term
	}
	return 0, 0
}

// isEligibleBorrower requires a known lease for slots, because only the loss of that lease ends an unreturned loan of
// slots.
func (l *Ledger) isEligibleBorrower(a *account, from id.Instance, incarnation id.Incarnation) bool {
	if !a.concurrent {
		return true
	}
	peer, ok := l.peerLeases[from]
	return ok && peer.version != 0 && peer.row.Incarnation == incarnation
}

// lendableAmount returns the wanted amount or, if less is free, whole tokens only, because a fraction rarely pays for a
// request.
func (l *Ledger) lendableAmount(now time.Time, a *account, wanted id.Tokens) id.Tokens {
	a.refill(now)
	free := a.tokens
	if a.concurrent {
		free = min(a.freeSlots(now), a.capacity-a.lent-a.used)
	}
	if free >= wanted {
		return wanted
	}
	return floorTokens(free)
}

func floorTokens(n id.Tokens) id.Tokens {
	return max(0, id.Tokens(int64(n)))
}

// handleLoanReply applies a granted loan at most once; its deadline counts from the sending of the request.
func (l *Ledger) handleLoanReply(now time.Time, from id.Instance, m LoanReply) []Effect {
	a, ok := l.accounts[m.Limit]
	if !ok {
		return l.returnUnusedLoan(from, m, true)
	}
	i := slices.IndexFunc(a.loanRequests, func(r loanRequest) bool { return r.id == m.ID && r.lender == from })
	if i < 0 {
		return l.handleLoanProbe(now, a, from, m)
	}
	request := a.loanRequests[i]
	a.loanRequests = slices.Delete(a.loanRequests, i, i+1)
	if m.Amount <= 0 {
		a.nextRequestAt = now.Add(a.requestBackoff())
		return nil
	}
	term := l.config.shortenByDrift(m.Term)
	deadline := request.sentAt.Add(term)
	if !now.Before(deadline) || !now.Before(l.leaseExpiry) {
		return l.returnUnusedLoan(from, m, a.concurrent)
	}
	a.borrowedLoans = append(a.borrowedLoans, borrowedLoan{
		id: m.ID, lender: from, remaining: m.Amount, deadline: deadline,
		// The last quarter of the term leaves time for the return to reach the lender.
		returnAt: deadline.Add(-term / 4),
	})
	l.trackBorrower(a)
	return nil
}

// returnUnusedLoan ends a loan of slots that is not in use here. It returns the amount 0, which also ends a loan of
// slots, because the limit may be unknown here and tokens of an earlier copy of the reply may have been spent.
func (l *Ledger) returnUnusedLoan(to id.Instance, m LoanReply, concurrent bool) []Effect {
	if !concurrent || m.Amount <= 0 {
		return nil
	}
	return []Effect{Send{To: to, Message: LoanReturn{ID: m.ID, Limit: m.Limit}}}
}

// handleLoanProbe returns the slots of an overdue loan unless they are in use here.
func (l *Ledger) handleLoanProbe(now time.Time, a *account, from id.Instance, m LoanReply) []Effect {
	if !a.concurrent {
		return nil
	}
	isHeld := slices.ContainsFunc(a.borrowedLoans, func(b borrowedLoan) bool { return b.id == m.ID })
	if isHeld {
		return l.returnLoans(now, a)
	}
	return l.returnUnusedLoan(from, m, true)
}

func (a *account) requestBackoff() time.Duration {
	backoff := slotRequestBackoff
	if amount, ok := a.limit.Amount.(Rate); ok && amount.Rate > 0 {
		// The minimum is taken in seconds because a tiny rate would overflow a duration.
		seconds := min(1/float64(amount.Rate), maxLoanRequestBackoff.Seconds())
		backoff = max(minLoanRequestBackoff, time.Duration(seconds*float64(time.Second)))
	}
	return backoff / time.Duration(max(1, len(a.homes)-1))
}

// returnLoans returns spent loans, which frees the lender's burst capacity, and loans near their deadline.
func (l *Ledger) returnLoans(now time.Time, a *account) []Effect {
	var effects []Effect
	kept := a.borrowedLoans[:0]
	ownSlots := a.capacity - a.lent
	borrowed := a.totalBorrowed()
	for _, b := range a.borrowedLoans {
		isDone := b.remaining == 0 || !now.Before(b.returnAt) || l.stopping || a.withdrawn
		if a.concurrent {
			isDone = isDone && a.used <= ownSlots+borrowed-b.remaining
		}
		if !isDone {
			kept = append(kept, b)
			continue
		}
		borrowed -= b.remaining
		amount := b.remaining
		if !a.concurrent && !now.Before(b.deadline) {
			amount = 0
		}
		effects = append(effects, Send{To: b.lender, Message: LoanReturn{ID: b.id, Limit: a.limit.ID, Amount: amount}})
	}
	a.borrowedLoans = kept
	return effects
}

// handleLoanReturn ends a loan that the borrower returned. It is idempotent: a duplicate finds the loan ended.
func (l *Ledger) handleLoanReturn(now time.Time, from id.Instance, m LoanReturn) {
	a, ok := l.accounts[m.Limit]
	if !ok {
		return
	}
	a.refill(now)
	for i := range a.lentLoans {
		lent := &a.lentLoans[i]
		if lent.id != m.ID || lent.borrower != from || lent.amount == 0 {
			continue
		}
		refund := max(0, min(m.Amount, lent.amount))
		lent.amount = 0
		a.updateLent()
		if !a.concurrent {
			a.tokens += refund
		}
		a.clampTokens()
		return
	}
}

// maintainLoans expires, returns and probes the loans of the few accounts that currently lend or borrow.
func (l *Ledger) maintainLoans(now time.Time) []Effect {
	var effects []Effect
	l.borrowers = slices.DeleteFunc(l.borrowers, func(a *account) bool {
		a.loanRequests = slices.DeleteFunc(a.loanRequests, func(r loanRequest) bool {
			return now.Sub(r.sentAt) >= l.config.LoanTerm
		})
		effects = append(effects, l.returnLoans(now, a)...)
		a.isBorrower = len(a.loanRequests)+len(a.borrowedLoans) > 0
		return !a.isBorrower
	})
	l.lenders = slices.DeleteFunc(l.lenders, func(a *account) bool {
		a.refill(now)
		a.expireLentLoans(now)
		effects = append(effects, l.probeBorrowers(now, a)...)
		a.isLender = len(a.lentLoans) > 0
		return !a.isLender
	})
	return effects
}

// probeBorrowers queries borrowers about overdue slots and ends the loans of borrowers whose lease was removed.
func (l *Ledger) probeBorrowers(now time.Time, a *account) []Effect {
	if !a.concurrent {
		return nil
	}
	a.lentLoans = slices.DeleteFunc(a.lentLoans, func(lent lentLoan) bool {
		return !l.isEligibleBorrower(a, lent.borrower, lent.incarnation)
	})
	a.updateLent()
	var effects []Effect
	for i := range a.lentLoans {
		lent := &a.lentLoans[i]
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
