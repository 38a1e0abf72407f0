package allotment_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/allotment"
	"bluebellhold/id"
	"bluebellhold/store"
)

var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// scheduledTask is a function that runs at a point of simulated true time.
type scheduledTask struct {
	at  time.Time
	run func()
}

// process is one simulated instance process. Its clock deviates from true time by a drift and an offset.
type process struct {
	*allotment.Ledger
	member      allotment.Member
	incarnation id.Incarnation
	clockDrift  float64
	clockOffset time.Duration
	killed      bool
	stopped     bool
	partitioned bool
	pausedUntil time.Time
	inbox       []allotment.Event
	// usedSlots counts slots in use; leasedSlots counts those that were taken under the current lease row.
	usedSlots, leasedSlots map[id.Limit]int
	loanGenerations        map[uint64]int
}

// tokenBucket is the exact oracle of a rate limit: the tokens that all instances together may spend.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// simulation runs ledgers, their messages and the table on one seeded schedule.
type simulation struct {
	t               require.TestingT
	random          *rand.Rand
	now             time.Time
	queue           []scheduledTask
	table           store.Memory
	outageUntil     time.Time
	lossProbability float64
	loadStopped     bool
	skipChecks      bool
	limits          []allotment.Limit
	processes       []*process
	buckets         map[id.Limit]*tokenBucket
	config          allotment.Config
	transactions    int
	// intercept is called for each effect, which is dropped if it returns true.
	intercept func(p *process, e allotment.Effect) bool
	// shareRows and leaseIncarnations hold the share rows and the incarnations in the lease rows as of the last write.
	shareRows         map[id.Limit]map[id.Instance]id.Parts
	leaseIncarnations map[id.Instance]id.Incarnation
	// leaseGenerations counts how often the incarnation in each lease row has changed, including to none.
	leaseGenerations map[id.Instance]int
}

func newSimulation(t require.TestingT, seed uint64, config allotment.Config, limits ...allotment.Limit) *simulation {
	sim := &simulation{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: epoch, config: config,
		limits: limits, buckets: map[id.Limit]*tokenBucket{},
		leaseIncarnations: map[id.Instance]id.Incarnation{}, leaseGenerations: map[id.Instance]int{},
	}
	for _, limit := range limits {
		if amount, ok := limit.Amount.(allotment.Rate); ok {
			sim.buckets[limit.ID] = &tokenBucket{tokens: float64(amount.Burst), refilledAt: epoch}
		}
	}
	return sim
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	at := sim.now.Add(d)
	i := sort.Search(len(sim.queue), func(i int) bool { return sim.queue[i].at.After(at) })
	sim.queue = slices.Insert(sim.queue, i, scheduledTask{at, run})
}

func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.queue) > 0 && !sim.queue[0].at.After(end) {
		next := sim.queue[0]
		sim.queue = sim.queue[1:]
		sim.now = next.at
		next.run()
	}
	sim.now = end
}

func (sim *simulation) chance(p float64) bool { return sim.random.Float64() < p }

func (sim *simulation) randomLatency() time.Duration {
	d := time.Duration(1+sim.random.IntN(60)) * time.Millisecond
	if sim.chance(sim.lossProbability) {
		d += time.Duration(sim.random.IntN(9000)) * time.Millisecond
	}
	return d
}

func (p *process) localTime(now time.Time) time.Time {
	return epoch.Add(p.clockOffset + time.Duration(float64(now.Sub(epoch))*(1+p.clockDrift)))
}

// startProcess adds a process. The members of every process are updated after a latency, as with a lagging membership.
func (sim *simulation) startProcess(name, address string) *process {
	regions := []id.Region{"north", "south", "west"}
	p := &process{
		member:      allotment.Member{Instance: id.Instance(name), Address: address, Live: true},
		incarnation: id.Incarnation(sim.random.Uint64()),
		clockDrift:  (sim.random.Float64() - 0.5) / 125, // 0.4% either way
		clockOffset: time.Duration(sim.random.IntN(1e6)) * time.Millisecond,
		usedSlots:   map[id.Limit]int{}, leasedSlots: map[id.Limit]int{}, loanGenerations: map[uint64]int{},
	}
	p.member.Region = regions[int(name[len(name)-1])%len(regions)]
	config := sim.config
	config.Self, config.Incarnation, config.Seed = p.member, p.incarnation, sim.random.Uint64()
	p.Ledger = allotment.New(config)
	sim.processes = append(sim.processes, p)
	sim.post(p, allotment.LimitsChanged{Limits: sim.limits})
	sim.schedule(time.Duration(sim.random.IntN(200))*time.Millisecond, func() { sim.tick(p) })
	sim.announceMembers()
	return p
}

func (sim *simulation) announceMembers() {
	for _, p := range sim.processes {
		sim.schedule(sim.randomLatency(), func() { sim.post(p, allotment.MembersChanged{Members: sim.members()}) })
	}
}

func (sim *simulation) members() []allotment.Member {
	var members []allotment.Member
	listed := map[id.Instance]bool{}
	for _, p := range slices.Backward(sim.processes) {
		if !listed[p.member.Instance] {
			listed[p.member.Instance] = true
			m := p.member
			m.Live = !p.killed && !p.stopped
			members = append(members, m)
		}
	}
	return members
}

func (sim *simulation) tick(p *process) {
	if !p.killed {
		sim.post(p, allotment.Tick{})
		sim.schedule(200*time.Millisecond, func() { sim.tick(p) })
	}
}

func (sim *simulation) post(p *process, e allotment.Event) {
	if p.killed {
		return
	}
	if sim.now.Before(p.pausedUntil) {
		if _, ok := e.(allotment.Tick); !ok {
			p.inbox = append(p.inbox, e)
		}
		return
	}
	sim.execute(p, p.Reduce(p.localTime(sim.now), e))
	sim.checkInvariants()
}

// pause suspends a process; when it resumes, it handles the events received meanwhile in random order.
func (sim *simulation) pause(p *process, d time.Duration) {
	p.pausedUntil = sim.now.Add(d)
	sim.schedule(d, func() {
		inbox := p.inbox
		p.inbox = nil
		sim.random.Shuffle(len(inbox), func(i, j int) { inbox[i], inbox[j] = inbox[j], inbox[i] })
		for _, e := range inbox {
			sim.post(p, e)
		}
		sim.announceMembers()
	})
}

func (sim *simulation) kill(p *process) {
	p.killed = true
	sim.announceMembers()
}

func (sim *simulation) execute(p *process, effects []allotment.Effect) {
	for _, e := range effects {
		if sim.intercept != nil && sim.intercept(p, e) {
			continue
		}
		switch e := e.(type) {
		case allotment.Send:
			generation := sim.leaseGenerations[p.member.Instance]
			for range sim.messageCopies() {
				sim.schedule(sim.randomLatency(), func() { sim.deliver(p, e, generation) })
			}
		case allotment.Transact:
			sim.schedule(sim.randomLatency(), func() { sim.transact(p, e) })
		case allotment.ReadRows:
			sentAt := p.localTime(sim.now)
			sim.schedule(sim.randomLatency(), func() { sim.read(p, e, sentAt) })
		}
	}
}

func (sim *simulation) messageCopies() int {
	if sim.chance(sim.lossProbability) {
		return 2 * sim.random.IntN(2)
	}
	return 1
}

func (sim *simulation) deliver(from *process, e allotment.Send, generation int) {
	if from.partitioned {
		return
	}
	for _, p := range sim.processes {
		if p.member.Instance == e.To && !p.killed && !p.partitioned {
			p.recordLoan(e.Message, generation)
			sim.post(p, allotment.MessageReceived{From: from.member.Instance, Message: e.Message})
		}
	}
}

// recordLoan records the generation of the lender's lease row in which a loan was granted; later ones do not have it.
func (p *process) recordLoan(m allotment.Message, generation int) {
	if reply, ok := m.(allotment.LoanReply); ok && reply.Amount > 0 && p.loanGenerations[reply.ID] == 0 {
		p.loanGenerations[reply.ID] = generation
	}
}

func (sim *simulation) tableUnreachable(p *process) bool {
	return p.partitioned || sim.now.Before(sim.outageUntil)
}

func (sim *simulation) transact(p *process, e allotment.Transact) {
	done := allotment.TransactionDone{ID: e.ID}
	lost := sim.chance(sim.lossProbability)
	if sim.tableUnreachable(p) || lost && sim.chance(0.5) {
		done.Err = &store.UnavailableError{Operation: "transact"}
	} else {
		done.Result, _ = sim.table.Transact(context.Background(), e.Transaction)
		sim.transactions++
		sim.shareRows = sim.readShareRows()
		sim.updateLeaseGenerations()
		sim.checkInvariants()
		if lost {
			done.Result, done.Err = store.Result{}, &store.UnavailableError{Operation: "transact"}
		}
	}
	if !lost || sim.chance(0.7) {
		sim.schedule(sim.randomLatency(), func() { sim.post(p, done) })
	}
}

func (sim *simulation) read(p *process, e allotment.ReadRows, sentAt time.Time) {
	done := allotment.RowsRead{ID: e.ID, SentAt: sentAt}
	done.Rows, done.Err = sim.table.Read(context.Background(), e.Names)
	if sim.tableUnreachable(p) || sim.chance(sim.lossProbability) {
		done.Rows, done.Err = nil, &store.UnavailableError{Operation: "read"}
	}
	sim.schedule(sim.randomLatency(), func() { sim.post(p, done) })
}

// take is a caller's request at a process. It checks every spent token against the oracle.
func (sim *simulation) take(p *process, limit allotment.Limit, n int) bool {
	if p.killed || sim.now.Before(p.pausedUntil) {
		return false
	}
	expiry := p.LeaseExpiry()
	ok, effects := p.Take(p.localTime(sim.now), limit.ID, id.Tokens(n))
	sim.execute(p, effects)
	if !ok {
		return false
	}
	if !p.localTime(sim.now).Before(expiry) {
		require.FailNow(sim.t, "spent after the lease expired", "%s at %s", p.member.Instance, sim.now.Sub(epoch))
	}
	if amount, ok := limit.Amount.(allotment.Rate); ok {
		b := sim.refilledBucket(limit.ID, amount)
		b.tokens -= float64(n)
		if b.tokens < -1e-6 {
			require.FailNow(sim.t, "overspent", "%s at %s by %s", limit.ID, sim.now.Sub(epoch), p.member.Instance)
		}
		return true
	}
	p.usedSlots[limit.ID] += n
	p.leasedSlots[limit.ID] += n
	sim.checkInvariants()
	return true
}

func (sim *simulation) refilledBucket(limit id.Limit, amount allotment.Rate) *tokenBucket {
	b := sim.buckets[limit]
	b.tokens = min(float64(amount.Burst), b.tokens+float64(amount.Rate)*sim.now.Sub(b.refilledAt).Seconds())
	b.refilledAt = sim.now
	return b
}

// returnAmount frees slots or refunds tokens.
func (sim *simulation) returnAmount(p *process, limit allotment.Limit, n int) {
	if p.killed {
		return
	}
	if sim.now.Before(p.pausedUntil) {
		sim.schedule(time.Second, func() { sim.returnAmount(p, limit, n) })
		return
	}
	p.Return(p.localTime(sim.now), limit.ID, id.Tokens(n))
	if amount, ok := limit.Amount.(allotment.Rate); ok {
		b := sim.refilledBucket(limit.ID, amount)
		b.tokens = min(float64(amount.Burst), b.tokens+float64(n))
		return
	}
	p.usedSlots[limit.ID] -= n
	p.leasedSlots[limit.ID] = min(p.leasedSlots[limit.ID], p.usedSlots[limit.ID])
}

// decodeRow reads the JSON of a row into value and does not change value if the row does not exist.
func (sim *simulation) decodeRow(name string, value any) {
	rows, err := sim.table.Read(context.Background(), []string{name})
	require.NoError(sim.t, err)
	if rows[0].Version != 0 {
		require.NoError(sim.t, json.Unmarshal(rows[0].Value, value))
	}
}

// updateLeaseGenerations records changed lease rows. Slots of a process that has lost its lease row are no longer
// counted, because their requests cannot be stopped.
func (sim *simulation) updateLeaseGenerations() {
	for _, p := range sim.processes {
		var value struct{ Incarnation id.Incarnation }
		sim.decodeRow("lease/"+string(p.member.Instance), &value)
		if sim.leaseIncarnations[p.member.Instance] != value.Incarnation {
			sim.leaseIncarnations[p.member.Instance] = value.Incarnation
			sim.leaseGenerations[p.member.Instance]++
		}
		if sim.leaseIncarnations[p.member.Instance] != p.incarnation {
			clear(p.leasedSlots)
		}
	}
}

func (sim *simulation) leaseValid(p *process) bool {
	return !p.killed && p.localTime(sim.now).Before(p.LeaseExpiry())
}

// checkInvariants checks the invariants that hold after every step.
func (sim *simulation) checkInvariants() {
	if sim.skipChecks {
		return
	}
	slotsInUse := map[id.Limit]int{}
	for _, p := range sim.processes {
		if !sim.leaseValid(p) {
			continue
		}
		if sim.leaseIncarnations[p.member.Instance] != p.incarnation {
			require.FailNow(sim.t, "valid lease without a lease row", "%s at %s", p.member.Instance, sim.now.Sub(epoch))
		}
		for _, d := range p.Dump().Limits {
			held := sim.partsAmount(d.Limit, sim.shareRows[d.Limit][p.member.Instance])
			if float64(d.Capacity) > held+1e-6 {
				require.FailNow(sim.t, "capacity above the held parts", "%s uses %v of %v of %s",
					p.member.Instance, d.Capacity, held, d.Limit)
			}
			slotsInUse[d.Limit] += p.leasedSlots[d.Limit] - sim.orphanedLoanSlots(p, d)
		}
	}
	for _, limit := range sim.limits {
		// Tokens that could be spent now count as spent, so a fault is found even if the load does not spend them.
		spendable := 0.0
		for _, p := range sim.processes {
			if !p.killed {
				spendable += float64(p.Available(p.localTime(sim.now), limit.ID))
			}
		}
		allowed := 0.0
		switch amount := limit.Amount.(type) {
		case allotment.Rate:
			allowed = sim.refilledBucket(limit.ID, amount).tokens
		case allotment.Concurrency:
			allowed = float64(int(amount.Slots) - slotsInUse[limit.ID])
		}
		if spendable > allowed+1e-6 {
			require.FailNow(sim.t, "limit exceeded", "%v spendable, %v allowed of %s at %s",
				spendable, allowed, limit.ID, sim.now.Sub(epoch))
		}
	}
}

func (sim *simulation) readShareRows() map[id.Limit]map[id.Instance]id.Parts {
	shares := map[id.Limit]map[id.Instance]id.Parts{}
	for _, limit := range sim.limits {
		value := map[id.Instance]id.Parts{}
		sim.decodeRow("share/"+string(limit.ID), &value)
		var sum id.Parts
		for _, parts := range value {
			sum += parts
		}
		require.LessOrEqual(sim.t, sum, id.WholeLimit, "parts of %s", limit.ID)
		shares[limit.ID] = value
	}
	return shares
}

// partsAmount returns the burst or the slots that parts grant. A third of three slots is 333,333 parts.
func (sim *simulation) partsAmount(limit id.Limit, parts id.Parts) float64 {
	i := slices.IndexFunc(sim.limits, func(l allotment.Limit) bool { return l.ID == limit })
	if parts == 0 || i < 0 {
		return 0
	}
	if amount, ok := sim.limits[i].Amount.(allotment.Rate); ok {
		return float64(parts.Of(amount.Burst))
	}
	return float64((parts + 1).Of(id.Tokens(sim.limits[i].Amount.(allotment.Concurrency).Slots)))
}

// orphanedLoanSlots counts slots in use that were borrowed from a lender that has since lost its lease row.
func (sim *simulation) orphanedLoanSlots(p *process, d allotment.LimitDump) int {
	orphaned := 0
	for _, b := range d.Borrowed {
		if p.loanGenerations[b.ID] != sim.leaseGenerations[b.Lender] {
			orphaned += int(b.Amount)
		}
	}
	borrowedInUse := max(0, p.leasedSlots[d.Limit]-int(d.Capacity-d.Lent))
	return min(orphaned, borrowedInUse)
}

// heldAmount returns the burst or slots of the limit that processes with a valid lease hold.
func (sim *simulation) heldAmount(limit id.Limit) (held id.Tokens) {
	for _, p := range sim.processes {
		for _, d := range p.Dump().Limits {
			if d.Limit == limit && sim.leaseValid(p) {
				held += d.Capacity
			}
		}
	}
	return held
}

func (sim *simulation) requireFullyHeld(limit allotment.Limit) {
	held := sim.heldAmount(limit.ID)
	switch amount := limit.Amount.(type) {
	case allotment.Rate:
		require.InDelta(sim.t, float64(amount.Burst), float64(held), 1e-6, "limit %s at %s", limit.ID, sim.now.Sub(epoch))
	case allotment.Concurrency:
		require.Equal(sim.t, id.Tokens(amount.Slots), held, "limit %s at %s", limit.ID, sim.now.Sub(epoch))
	}
}

// firstProcess returns the first process of the instance.
func (sim *simulation) firstProcess(instance id.Instance) *process {
	i := slices.IndexFunc(sim.processes, func(p *process) bool { return p.member.Instance == instance })
	return sim.processes[i]
}
