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

// task is something that happens at a point of true time.
type task struct {
	at  time.Time
	run func()
}

// process is one simulated instance process. Its clock runs off true time by a factor and an offset.
type process struct {
	*allotment.Ledger
	member      allotment.Member
	incarnation id.Incarnation
	drift       float64
	offset      time.Duration
	dead        bool
	stopped     bool
	cut         bool
	pausedUntil time.Time
	inbox       []allotment.Event
	// used counts slots; covered counts those that were taken under the present lease row.
	used, covered map[id.Limit]int
	loans         map[uint64]int
}

// bucket is the exact oracle of a rate limit: what all instances together may spend.
type bucket struct {
	tokens float64
	at     time.Time
}

// world simulates ledgers, their messages and the table on one seeded schedule.
type world struct {
	t          require.TestingT
	random     *rand.Rand
	now        time.Time
	queue      []task
	table      store.Memory
	outage     time.Time
	loss       float64
	recovering bool
	unchecked  bool
	limits     []allotment.Limit
	processes  []*process
	buckets    map[id.Limit]*bucket
	config     allotment.Config
	writes     int
	// hold takes an effect out of the schedule if it returns true.
	hold func(p *process, e allotment.Effect) bool
	// rows and leases hold the share rows and the incarnations in the lease rows as of the last write.
	rows   map[id.Limit]map[id.Instance]id.Parts
	leases map[id.Instance]id.Incarnation
	// tenures counts how often each lease row has passed to another process or to none.
	tenures map[id.Instance]int
}

func newWorld(t require.TestingT, seed uint64, config allotment.Config, limits ...allotment.Limit) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), now: epoch, config: config,
		limits: limits, buckets: map[id.Limit]*bucket{}, leases: map[id.Instance]id.Incarnation{}, tenures: map[id.Instance]int{},
	}
	for _, limit := range limits {
		if amount, ok := limit.Amount.(allotment.Rate); ok {
			w.buckets[limit.ID] = &bucket{tokens: float64(amount.Burst), at: epoch}
		}
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	at := w.now.Add(d)
	i := sort.Search(len(w.queue), func(i int) bool { return w.queue[i].at.After(at) })
	w.queue = slices.Insert(w.queue, i, task{at, run})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := w.queue[0]
		w.queue = w.queue[1:]
		w.now = next.at
		next.run()
	}
	w.now = end
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

func (w *world) latency() time.Duration {
	d := time.Duration(1+w.random.IntN(60)) * time.Millisecond
	if w.chance(w.loss) {
		d += time.Duration(w.random.IntN(9000)) * time.Millisecond
	}
	return d
}

func (p *process) clock(now time.Time) time.Time {
	return epoch.Add(p.offset + time.Duration(float64(now.Sub(epoch))*(1+p.drift)))
}

// start adds a process. Members of every process are updated a little later, as from a lagging list.
func (w *world) start(name, address string) *process {
	regions := []id.Region{"north", "south", "west"}
	p := &process{
		member:      allotment.Member{Instance: id.Instance(name), Address: address, Live: true},
		incarnation: id.Incarnation(w.random.Uint64()),
		drift:       (w.random.Float64() - 0.5) / 125, // 0.4% either way
		offset:      time.Duration(w.random.IntN(1e6)) * time.Millisecond,
		used:        map[id.Limit]int{}, covered: map[id.Limit]int{}, loans: map[uint64]int{},
	}
	p.member.Region = regions[int(name[len(name)-1])%len(regions)]
	config := w.config
	config.Self, config.Incarnation, config.Seed = p.member, p.incarnation, w.random.Uint64()
	p.Ledger = allotment.New(config)
	w.processes = append(w.processes, p)
	w.post(p, allotment.LimitsChanged{Limits: w.limits})
	w.after(time.Duration(w.random.IntN(200))*time.Millisecond, func() { w.tick(p) })
	w.announce()
	return p
}

func (w *world) announce() {
	for _, p := range w.processes {
		w.after(w.latency(), func() { w.post(p, allotment.MembersChanged{Members: w.members()}) })
	}
}

func (w *world) members() []allotment.Member {
	var members []allotment.Member
	named := map[id.Instance]bool{}
	for _, p := range slices.Backward(w.processes) {
		if !named[p.member.Instance] {
			named[p.member.Instance] = true
			m := p.member
			m.Live = !p.dead && !p.stopped
			members = append(members, m)
		}
	}
	return members
}

func (w *world) tick(p *process) {
	if !p.dead {
		w.post(p, allotment.Tick{})
		w.after(200*time.Millisecond, func() { w.tick(p) })
	}
}

func (w *world) post(p *process, e allotment.Event) {
	if p.dead {
		return
	}
	if w.now.Before(p.pausedUntil) {
		if _, ok := e.(allotment.Tick); !ok {
			p.inbox = append(p.inbox, e)
		}
		return
	}
	w.execute(p, p.Reduce(p.clock(w.now), e))
	w.check()
}

// pause stops a process; on waking it handles what has come in, some of it in another order.
func (w *world) pause(p *process, d time.Duration) {
	p.pausedUntil = w.now.Add(d)
	w.after(d, func() {
		inbox := p.inbox
		p.inbox = nil
		w.random.Shuffle(len(inbox), func(i, j int) { inbox[i], inbox[j] = inbox[j], inbox[i] })
		for _, e := range inbox {
			w.post(p, e)
		}
		w.announce()
	})
}

func (w *world) kill(p *process) {
	p.dead = true
	w.announce()
}

func (w *world) execute(p *process, effects []allotment.Effect) {
	for _, e := range effects {
		if w.hold != nil && w.hold(p, e) {
			continue
		}
		switch e := e.(type) {
		case allotment.Send:
			tenure := w.tenures[p.member.Instance]
			for range w.copies() {
				w.after(w.latency(), func() { w.deliver(p, e, tenure) })
			}
		case allotment.Transact:
			w.after(w.latency(), func() { w.transact(p, e) })
		case allotment.ReadRows:
			sent := p.clock(w.now)
			w.after(w.latency(), func() { w.read(p, e, sent) })
		}
	}
}

func (w *world) copies() int {
	if w.chance(w.loss) {
		return 2 * w.random.IntN(2)
	}
	return 1
}

func (w *world) deliver(from *process, e allotment.Send, tenure int) {
	if from.cut {
		return
	}
	for _, p := range w.processes {
		if p.member.Instance == e.To && !p.dead && !p.cut {
			p.noteLoan(e.Message, tenure)
			w.post(p, allotment.MessageReceived{From: from.member.Instance, Message: e.Message})
		}
	}
}

// noteLoan keeps in which tenure of its lease row the lender granted a loan; the next tenure does not know of it.
func (p *process) noteLoan(m allotment.Message, tenure int) {
	if reply, ok := m.(allotment.LoanReply); ok && reply.Amount > 0 && p.loans[reply.ID] == 0 {
		p.loans[reply.ID] = tenure
	}
}

func (w *world) unreachable(p *process) bool { return p.cut || w.now.Before(w.outage) }

func (w *world) transact(p *process, e allotment.Transact) {
	done := allotment.TransactionDone{ID: e.ID}
	lost := w.chance(w.loss)
	if w.unreachable(p) || lost && w.chance(0.5) {
		done.Err = &store.UnavailableError{Operation: "transact"}
	} else {
		done.Result, _ = w.table.Transact(context.Background(), e.Transaction)
		w.writes++
		w.rows = w.shares()
		w.uncover()
		w.check()
		if lost {
			done.Result, done.Err = store.Result{}, &store.UnavailableError{Operation: "transact"}
		}
	}
	if !lost || w.chance(0.7) {
		w.after(w.latency(), func() { w.post(p, done) })
	}
}

func (w *world) read(p *process, e allotment.ReadRows, sent time.Time) {
	done := allotment.RowsRead{ID: e.ID, SentAt: sent}
	done.Rows, done.Err = w.table.Read(context.Background(), e.Names)
	if w.unreachable(p) || w.chance(w.loss) {
		done.Rows, done.Err = nil, &store.UnavailableError{Operation: "read"}
	}
	w.after(w.latency(), func() { w.post(p, done) })
}

// take is a caller's request at a process. It checks every token spent against the oracle.
func (w *world) take(p *process, limit allotment.Limit, n int) bool {
	if p.dead || w.now.Before(p.pausedUntil) {
		return false
	}
	before := p.SpendUntil()
	ok, effects := p.Take(p.clock(w.now), limit.ID, id.Tokens(n))
	w.execute(p, effects)
	if !ok {
		return false
	}
	if !p.clock(w.now).Before(before) {
		require.FailNow(w.t, "spent without authority", "%s at %s", p.member.Instance, w.now.Sub(epoch))
	}
	if amount, ok := limit.Amount.(allotment.Rate); ok {
		b := w.bucket(limit.ID, amount)
		b.tokens -= float64(n)
		if b.tokens < -1e-6 {
			require.FailNow(w.t, "overspent", "%s at %s by %s", limit.ID, w.now.Sub(epoch), p.member.Instance)
		}
		return true
	}
	p.used[limit.ID] += n
	p.covered[limit.ID] += n
	w.check()
	return true
}

func (w *world) bucket(limit id.Limit, amount allotment.Rate) *bucket {
	b := w.buckets[limit]
	b.tokens = min(float64(amount.Burst), b.tokens+float64(amount.Rate)*w.now.Sub(b.at).Seconds())
	b.at = w.now
	return b
}

// finish gives slots back, or refunds tokens.
func (w *world) finish(p *process, limit allotment.Limit, n int) {
	if p.dead {
		return
	}
	if w.now.Before(p.pausedUntil) {
		w.after(time.Second, func() { w.finish(p, limit, n) })
		return
	}
	p.Return(p.clock(w.now), limit.ID, id.Tokens(n))
	if amount, ok := limit.Amount.(allotment.Rate); ok {
		b := w.bucket(limit.ID, amount)
		b.tokens = min(float64(amount.Burst), b.tokens+float64(n))
		return
	}
	p.used[limit.ID] -= n
	p.covered[limit.ID] = min(p.covered[limit.ID], p.used[limit.ID])
}

// decode reads the JSON of a row into value and leaves value alone if the row does not exist.
func (w *world) decode(name string, value any) {
	rows, err := w.table.Read(context.Background(), []string{name})
	require.NoError(w.t, err)
	if rows[0].Version != 0 {
		require.NoError(w.t, json.Unmarshal(rows[0].Value, value))
	}
}

// uncover stops counting slots whose taker has lost its lease row: no rule can end the requests in them.
func (w *world) uncover() {
	for _, p := range w.processes {
		var value struct{ Incarnation id.Incarnation }
		w.decode("lease/"+string(p.member.Instance), &value)
		if w.leases[p.member.Instance] != value.Incarnation {
			w.leases[p.member.Instance] = value.Incarnation
			w.tenures[p.member.Instance]++
		}
		if w.leases[p.member.Instance] != p.incarnation {
			clear(p.covered)
		}
	}
}

func (w *world) authority(p *process) bool { return !p.dead && p.clock(w.now).Before(p.SpendUntil()) }

// check verifies the invariants that hold at every step.
func (w *world) check() {
	if w.unchecked {
		return
	}
	inUse := map[id.Limit]int{}
	for _, p := range w.processes {
		if !w.authority(p) {
			continue
		}
		if w.leases[p.member.Instance] != p.incarnation {
			require.FailNow(w.t, "authority without a lease row", "%s at %s", p.member.Instance, w.now.Sub(epoch))
		}
		for _, d := range p.Dump().Limits {
			held := w.worth(d.Limit, w.rows[d.Limit][p.member.Instance])
			if float64(d.Whole) > held+1e-6 {
				require.FailNow(w.t, "more than held", "%s uses %v of %v of %s", p.member.Instance, d.Whole, held, d.Limit)
			}
			inUse[d.Limit] += p.covered[d.Limit] - w.uncoveredLoans(p, d)
		}
	}
	for _, limit := range w.limits {
		// What could be spent at once counts as spent, so a fault shows before the load happens to use it.
		spendable := 0.0
		for _, p := range w.processes {
			if !p.dead {
				spendable += float64(p.Available(p.clock(w.now), limit.ID))
			}
		}
		allowed := 0.0
		switch amount := limit.Amount.(type) {
		case allotment.Rate:
			allowed = w.bucket(limit.ID, amount).tokens
		case allotment.Concurrent:
			allowed = float64(int(amount.Slots) - inUse[limit.ID])
		}
		if spendable > allowed+1e-6 {
			require.FailNow(w.t, "too much", "%v spendable, %v allowed of %s at %s",
				spendable, allowed, limit.ID, w.now.Sub(epoch))
		}
	}
}

func (w *world) shares() map[id.Limit]map[id.Instance]id.Parts {
	all := map[id.Limit]map[id.Instance]id.Parts{}
	for _, limit := range w.limits {
		value := map[id.Instance]id.Parts{}
		w.decode("share/"+string(limit.ID), &value)
		var sum id.Parts
		for _, parts := range value {
			sum += parts
		}
		require.LessOrEqual(w.t, sum, id.WholeLimit, "parts of %s", limit.ID)
		all[limit.ID] = value
	}
	return all
}

// worth returns the burst or the slots that parts are worth. A third of three slots is 333,333 parts.
func (w *world) worth(limit id.Limit, parts id.Parts) float64 {
	i := slices.IndexFunc(w.limits, func(l allotment.Limit) bool { return l.ID == limit })
	if parts == 0 || i < 0 {
		return 0
	}
	if amount, ok := w.limits[i].Amount.(allotment.Rate); ok {
		return float64(parts.Of(amount.Burst))
	}
	return float64((parts + 1).Of(id.Tokens(w.limits[i].Amount.(allotment.Concurrent).Slots)))
}

// uncoveredLoans counts slots in use that were borrowed from a lender that has since lost its lease row.
func (w *world) uncoveredLoans(p *process, d allotment.LimitDump) int {
	broken := 0
	for _, b := range d.Borrowed {
		if p.loans[b.ID] != w.tenures[b.Lender] {
			broken += int(b.Amount)
		}
	}
	beyond := max(0, p.covered[d.Limit]-int(d.Whole-d.Lent))
	return min(broken, beyond)
}

// whole returns the burst or slots of the limit that processes with authority hold.
func (w *world) whole(limit id.Limit) (worth id.Tokens) {
	for _, p := range w.processes {
		for _, d := range p.Dump().Limits {
			if d.Limit == limit && w.authority(p) {
				worth += d.Whole
			}
		}
	}
	return worth
}

func (w *world) requireWhole(limit allotment.Limit) {
	worth := w.whole(limit.ID)
	switch amount := limit.Amount.(type) {
	case allotment.Rate:
		require.InDelta(w.t, float64(amount.Burst), float64(worth), 1e-6, "limit %s at %s", limit.ID, w.now.Sub(epoch))
	case allotment.Concurrent:
		require.Equal(w.t, id.Tokens(amount.Slots), worth, "limit %s at %s", limit.ID, w.now.Sub(epoch))
	}
}

// named returns the first process of the instance.
func (w *world) named(instance id.Instance) *process {
	i := slices.IndexFunc(w.processes, func(p *process) bool { return p.member.Instance == instance })
	return w.processes[i]
}
