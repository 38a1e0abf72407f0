package allotment

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"bluebellhold/id"
)

// Ledger records what one instance holds of each limit. It is not safe for concurrent use.
type Ledger struct {
	config  Config
	shorten float64
	random  *rand.Rand
	started time.Time

	members  []Member
	accounts map[id.Limit]*account
	// ordered holds all accounts by limit, so that the effects of an event do not depend on the order of a map.
	ordered   []*account
	work      []*account
	borrowers []*account
	lenders   []*account

	lease    ownLease
	until    time.Time
	attempts []*attempt
	serial   uint64
	writeAt  time.Time

	calls   uint64
	reading *reading
	readAt  time.Time
	pollAt  time.Time

	leases  map[id.Instance]*leaseSeen
	watched []id.Instance
	// given holds the ends of the promises that this instance gave as a witness; received holds those it got.
	given          map[id.Instance]time.Time
	received       map[id.Instance]time.Time
	promiseAsks    []promiseAsk
	promiseAskAt   time.Time
	stopping       bool
	released       bool
	nextID         uint64
	accrueFrom     time.Time
	desiredWitness id.Instance
}

// New returns a Ledger that holds nothing.
func New(config Config) *Ledger {
	config = config.withDefaults()
	random := rand.New(rand.NewPCG(config.Seed, uint64(config.Incarnation)))
	return &Ledger{
		config:   config,
		shorten:  1 - float64(config.MaxClockDriftPercent)/100,
		random:   random,
		accounts: make(map[id.Limit]*account),
		leases:   make(map[id.Instance]*leaseSeen),
		given:    make(map[id.Instance]time.Time),
		received: make(map[id.Instance]time.Time),
		// Message ids start at a random number, so that an answer to a predecessor matches no request of this process.
		nextID: random.Uint64(),
	}
}

func (l *Ledger) newID() uint64 {
	l.nextID++
	return l.nextID
}

func (l *Ledger) jitter(most time.Duration) time.Duration {
	return time.Duration(l.random.Int64N(int64(most)))
}

// Reduce applies one event and returns the effects to execute.
func (l *Ledger) Reduce(now time.Time, e Event) []Effect {
	if l.started.IsZero() {
		l.started = now
	}
	switch e := e.(type) {
	case MessageReceived:
		return l.receive(now, e.From, e.Message)
	case LimitsChanged:
		l.changeLimits(now, e.Limits)
	case MembersChanged:
		l.changeMembers(now, e.Members)
	case TransactionDone:
		l.finishTransaction(now, e)
	case RowsRead:
		l.finishRead(now, e)
	case StopRequested:
		l.stop(now)
	}
	return l.step(now)
}

// step does what is due at now.
func (l *Ledger) step(now time.Time) []Effect {
	if l.released {
		return nil
	}
	effects := l.serveLoans(now)
	effects = append(effects, l.read(now)...)
	effects = append(effects, l.write(now)...)
	return append(effects, l.askPromises(now)...)
}

func (l *Ledger) receive(now time.Time, from id.Instance, m Message) []Effect {
	switch m := m.(type) {
	case LoanRequest:
		return l.lend(now, from, m)
	case LoanReply:
		return l.credit(now, from, m)
	case LoanReturn:
		l.takeBack(now, from, m)
	case PromiseRequest:
		return l.promise(now, from, m)
	case Promise:
		l.acceptPromise(from, m)
	}
	return nil
}

// Take spends n tokens or takes n slots if this instance may at now; when short it asks a home instance for a loan.
func (l *Ledger) Take(now time.Time, limit id.Limit, n id.Tokens) (bool, []Effect) {
	a, ok := l.accounts[limit]
	if !ok || a.withdrawn || l.stopping || !now.Before(l.until) {
		return false, nil
	}
	if a.available(now) >= n {
		a.demand.wanted += n
		a.spend(now, n)
		return true, nil
	}
	return false, l.ask(now, a, n)
}

// Return gives back n slots, or n tokens that were taken and never spent.
func (l *Ledger) Return(now time.Time, limit id.Limit, n id.Tokens) {
	if a, ok := l.accounts[limit]; ok {
		a.giveBack(now, n)
	}
}

// SpendUntil returns when the authority to spend ends.
func (l *Ledger) LeaseExpiry() time.Time {
	return l.until
}

// Available returns how much can be taken at now without a loan.
func (l *Ledger) Available(now time.Time, limit id.Limit) id.Tokens {
	a, ok := l.accounts[limit]
	if !ok || a.withdrawn || l.stopping || !now.Before(l.until) {
		return 0
	}
	return a.available(now)
}

// NextAt returns the best estimate of when it is worth trying to take n again.
func (l *Ledger) RetryAt(now time.Time, limit id.Limit, n id.Tokens) time.Time {
	a, ok := l.accounts[limit]
	if !ok || a.withdrawn || l.stopping || !now.Before(l.until) {
		return now.Add(maxAskPause)
	}
	short := n - a.available(now)
	if short <= 0 {
		return now
	}
	next := now.Add(maxAskPause)
	if l.hasLender(a) {
		next = later(a.askAt, now.Add(minAskPause))
	}
	if a.perSecond > 0 && n <= a.capacity-a.lent {
		// The millisecond covers the rounding of the division. The bound avoids an overflow for tiny rates.
		seconds := min(float64(short)/float64(a.perSecond), time.Hour.Seconds())
		next = earlier(next, now.Add(time.Duration(seconds*float64(time.Second))+time.Millisecond))
	}
	return next
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

// IsReleased reports whether all shares and the lease are handed back after StopRequested.
func (l *Ledger) IsReleased() bool {
	return l.released
}

func (l *Ledger) changeLimits(now time.Time, limits []Limit) {
	named := make(map[id.Limit]bool, len(limits))
	for _, limit := range limits {
		named[limit.ID] = true
		l.changeLimit(now, limit)
	}
	for _, a := range l.ordered {
		if !named[a.limit.ID] && !a.withdrawn {
			a.withdrawn, a.homes = true, nil
			l.retarget(now, a)
		}
	}
	slices.SortFunc(l.ordered, func(a, b *account) int {
		return strings.Compare(string(a.limit.ID), string(b.limit.ID))
	})
}

func (l *Ledger) changeLimit(now time.Time, limit Limit) {
	a, ok := l.accounts[limit.ID]
	if ok && a.limit == limit && !a.withdrawn {
		return
	}
	if !ok {
		a = &account{stale: true, filledAt: later(now, l.accrueFrom)}
		l.accounts[limit.ID] = a
		l.ordered = append(l.ordered, a)
		l.dirty(now, a)
	}
	a.refill(now)
	a.limit, a.withdrawn = limit, false
	_, a.concurrent = limit.Amount.(Concurrency)
	a.homes = chooseHomes(limit, l.members)
	a.apply(now, l.shorten)
	l.retarget(now, a)
}

func (l *Ledger) changeMembers(now time.Time, members []Member) {
	members = slices.Clone(members)
	listed := slices.ContainsFunc(members, func(m Member) bool { return m.Instance == l.config.Self.Instance })
	if !listed {
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
	for _, a := range l.ordered {
		if a.withdrawn {
			continue
		}
		homes := chooseHomes(a.limit, members)
		if !slices.Equal(homes, a.homes) {
			a.homes = homes
			l.retarget(now, a)
		}
	}
	l.watchMembers()
	l.unwatch()
}

// retarget has the share row looked at again if this instance holds or should hold parts.
func (l *Ledger) retarget(now time.Time, a *account) {
	a.target = 0
	if !l.stopping && !a.withdrawn {
		a.target = targetOf(a.limit.Amount, a.homes, l.config.Self.Instance)
	}
	if a.target > 0 || a.confirmed > 0 || a.proposing || a.withdrawn {
		l.dirty(now, a)
	}
}

func (l *Ledger) dirty(now time.Time, a *account) {
	a.stale, a.pause, a.tryAt = true, 0, now
	if !a.queued {
		a.queued = true
		l.work = append(l.work, a)
	}
}

func (l *Ledger) stop(now time.Time) {
	l.stopping = true
	for _, a := range l.ordered {
		l.retarget(now, a)
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
