package allotment

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bluebellhold/id"
)

// Ledger is the state of the shares, loans and lease of one instance. It is not safe for concurrent use.
type Ledger struct {
	config      Config
	driftFactor float64
	rng         *rand.Rand
	startedAt   time.Time

	members  []Member
	accounts map[id.Limit]*account
	// sortedAccounts holds all accounts by limit, so that the effects of an event do not depend on the order of a map.
	sortedAccounts []*account
	reconcileQueue []*account
	borrowers      []*account
	lenders        []*account

	lease               ownLease
	leaseExpiry         time.Time
	pendingTransactions []*pendingTransaction
	lastSerial          uint64
	nextWriteAt         time.Time

	lastCall    uint64
	pendingRead *pendingRead
	nextReadAt  time.Time
	nextPollAt  time.Time

	peerLeases       map[id.Instance]*peerLease
	watchedInstances []id.Instance
	// promisesGiven holds the expiry of the promises that this instance gave as a witness, by holder;
	// promisesReceived holds the expiry of those that it received, by witness.
	promisesGiven        map[id.Instance]time.Time
	promisesReceived     map[id.Instance]time.Time
	promiseRequests      []promiseRequest
	nextPromiseRequestAt time.Time
	stopping             bool
	released             bool
	lastID               uint64
	refillFrom           time.Time
	desiredWitness       id.Instance
}

// New returns a Ledger without a lease or shares.
func New(config Config) *Ledger {
	config = config.withDefaults()
	rng := rand.New(rand.NewPCG(config.Seed, uint64(config.Incarnation)))
	return &Ledger{
		config:           config,
		driftFactor:      1 - float64(config.MaxClockDriftPercent)/100,
		rng:              rng,
		accounts:         make(map[id.Limit]*account),
		peerLeases:       make(map[id.Instance]*peerLease),
		promisesGiven:    make(map[id.Instance]time.Time),
		promisesReceived: make(map[id.Instance]time.Time),
		// Message ids start at a random number, so that a reply to a predecessor matches no request of this process.
		lastID: rng.Uint64(),
	}
}

func (l *Ledger) newID() uint64 {
	l.lastID++
	return l.lastID
}

func (l *Ledger) jitter(maxDelay time.Duration) time.Duration {
	return time.Duration(l.rng.Int64N(int64(maxDelay)))
}

// Reduce applies one event and returns the effects to execute.
func (l *Ledger) Reduce(now time.Time, e Event) []Effect {
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
	switch e := e.(type) {
	case MessageReceived:
		return l.handleMessage(now, e.From, e.Message)
	case LimitsChanged:
		l.setLimits(now, e.Limits)
	case MembersChanged:
		l.setMembers(now, e.Members)
	case TransactionDone:
		l.handleTransactionDone(now, e)
	case RowsRead:
		l.handleRowsRead(now, e)
	case StopRequested:
		l.stop(now)
	}
	return l.runDue(now)
}

// runDue returns the loan messages, reads, writes and promise requests that are due at now.
func (l *Ledger) runDue(now time.Time) []Effect {
	if l.released {
		return nil
	}
	effects := l.maintainLoans(now)
	effects = append(effects, l.readRows(now)...)
	effects = append(effects, l.writeRows(now)...)
	return append(effects, l.requestPromises(now)...)
}

func (l *Ledger) handleMessage(now time.Time, from id.Instance, m Message) []Effect {
	switch m := m.(type) {
	case LoanRequest:
		return l.handleLoanRequest(now, from, m)
	case LoanReply:
		return l.handleLoanReply(now, from, m)
	case LoanReturn:
		l.handleLoanReturn(now, from, m)
	case PromiseRequest:
		return l.handlePromiseRequest(now, from, m)
	case Promise:
		l.handlePromise(from, m)
	}
	return nil
}

// Take spends n tokens or occupies n slots if the lease is valid and they are available; if they are not available, it
// requests a loan from a home instance.
func (l *Ledger) Take(now time.Time, limit id.Limit, n id.Tokens) (bool, []Effect) {
	a, ok := l.accounts[limit]
	if !ok || a.withdrawn || l.stopping || !now.Before(l.leaseExpiry) {
		return false, nil
	}
	if a.available(now) >= n {
		a.demand.requested += n
		a.spend(now, n)
		return true, nil
	}
	return false, l.requestLoan(now, a, n)
}

// Return frees n slots, or refunds n tokens that were taken and not used.
func (l *Ledger) Return(now time.Time, limit id.Limit, n id.Tokens) {
	if a, ok := l.accounts[limit]; ok {
		a.refund(now, n)
	}
}

// LeaseExpiry returns the time from which this instance must not spend. It is zero without a lease and while the lease
// is being released.
func (l *Ledger) LeaseExpiry() time.Time {
	return l.leaseExpiry
}

// Available returns how much can be taken at now without a loan.
func (l *Ledger) Available(now time.Time, limit id.Limit) id.Tokens {
	a, ok := l.accounts[limit]
	if !ok || a.withdrawn || l.stopping || !now.Before(l.leaseExpiry) {
		return 0
	}
	return a.available(now)
}

// RetryAt estimates the earliest time at which taking n may succeed.
func (l *Ledger) RetryAt(now time.Time, limit id.Limit, n id.Tokens) time.Time {
	a, ok := l.accounts[limit]
	if !ok || a.withdrawn || l.stopping || !now.Before(l.leaseExpiry) {
		return now.Add(maxLoanRequestBackoff)
	}
	shortage := n - a.available(now)
	if shortage <= 0 {
		return now
	}
	retryAt := now.Add(maxLoanRequestBackoff)
	if l.hasLender(a) {
		retryAt = later(a.nextRequestAt, now.Add(minLoanRequestBackoff))
	}
	if a.refillRate > 0 && n <= a.capacity-a.lent {
		// The millisecond covers the rounding of the division. The bound avoids an overflow at tiny rates.
		seconds := min(float64(shortage)/float64(a.refillRate), time.Hour.Seconds())
		retryAt = earlier(retryAt, now.Add(time.Duration(seconds*float64(time.Second))+time.Millisecond))
	}
	return retryAt
}

func (l *Ledger) hasLender(a *account) bool {
	return slices.ContainsFunc(a.homes, func(h id.Instance) bool { return h != l.config.Self.Instance })
}

// Homes returns the home instances of the limit.
func (l *Ledger) Homes(limit id.Limit) []id.Instance {
	a, ok := l.accounts[limit]
	if !ok {
		return nil
	}
	return slices.Clone(a.homes)
}

// IsReleased reports whether all shares and the lease are released after StopRequested.
func (l *Ledger) IsReleased() bool {
	return l.released
}

func (l *Ledger) setLimits(now time.Time, limits []Limit) {
	listed := make(map[id.Limit]bool, len(limits))
	for _, limit := range limits {
		listed[limit.ID] = true
		l.setLimit(now, limit)
	}
	for _, a := range l.sortedAccounts {
		if !listed[a.limit.ID] && !a.withdrawn {
			a.withdrawn, a.homes = true, nil
			l.updateTarget(now, a)
		}
	}
	slices.SortFunc(l.sortedAccounts, func(a, b *account) int {
		return strings.Compare(string(a.limit.ID), string(b.limit.ID))
	})
}

func (l *Ledger) setLimit(now time.Time, limit Limit) {
	a, ok := l.accounts[limit.ID]
	if ok && a.limit == limit && !a.withdrawn {
		return
	}
	if !ok {
		a = &account{stale: true, refilledAt: later(now, l.refillFrom)}
		l.accounts[limit.ID] = a
		l.sortedAccounts = append(l.sortedAccounts, a)
		l.enqueueReconcile(now, a)
	}
	a.refill(now)
	a.limit, a.withdrawn = limit, false
	_, a.concurrent = limit.Amount.(Concurrency)
	a.homes = chooseHomes(limit, l.members)
	a.applyParts(now, l.driftFactor)
	l.updateTarget(now, a)
}

func (l *Ledger) setMembers(now time.Time, members []Member) {
	members = slices.Clone(members)
	includesSelf := slices.ContainsFunc(members, func(m Member) bool { return m.Instance == l.config.Self.Instance })
	if !includesSelf {
		self := l.config.Self
		self.Live = true
		members = append(members, self)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(string(a.Instance), string(b.Instance)) })
	if slices.Equal(members, l.members) {
		return
	}
	l.members = members
	l.desiredWitness = chooseWitness(l.config.Self, members)
	for _, a := range l.sortedAccounts {
		if a.withdrawn {
			continue
		}
		homes := chooseHomes(a.limit, members)
		if !slices.Equal(homes, a.homes) {
			a.homes = homes
			l.updateTarget(now, a)
		}
	}
	l.watchMembers()
	l.unwatch()
}

// updateTarget recomputes the target and enqueues the account if this instance holds or should hold parts.
func (l *Ledger) updateTarget(now time.Time, a *account) {
	a.targetParts = 0
	if !l.stopping && !a.withdrawn {
		a.targetParts = targetParts(a.limit.Amount, a.homes, l.config.Self.Instance)
	}
	if a.targetParts > 0 || a.confirmedParts > 0 || a.hasProposal || a.withdrawn {
		l.enqueueReconcile(now, a)
	}
}

func (l *Ledger) enqueueReconcile(now time.Time, a *account) {
	a.stale, a.backoff, a.nextReconcileAt = true, 0, now
	if !a.queued {
		a.queued = true
		l.reconcileQueue = append(l.reconcileQueue, a)
	}
}

func (l *Ledger) stop(now time.Time) {
	l.stopping = true
	for _, a := range l.sortedAccounts {
		l.updateTarget(now, a)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
