package allotment

import (
	"slices"
	"time"

	"bluebellhold/id"
	"bluebellhold/store"
)

// ownLease is what is known about this instance's lease row.
type ownLease struct {
	known   bool
	held    bool
	hadOnce bool
	version uint64
	asked   uint64
	row     leaseRow
	since   time.Time
	// renewedAt is the send time of the last renewal that is known to have taken effect.
	renewedAt time.Time
	witness   id.Instance
	// isWitnessed is set once the witness has shown that it knows the lease row of this tenure.
	isWitnessed bool
}

// leaseSeen is the lease row of another instance; since is when this version was first seen.
type leaseSeen struct {
	version uint64
	asked   uint64
	row     leaseRow
	since   time.Time
}

// promiseAsk is a request for a promise; an early one only finds out whether the witness knows the lease row.
type promiseAsk struct {
	id     uint64
	to     id.Instance
	sentAt time.Time
	early  bool
}

// maxPromiseAsks bounds the unanswered requests that are kept; a request is repeated about every second.
const maxPromiseAsks = 16

// chooseWitness prefers an instance of another region, so that one region's failure does not take both.
func chooseWitness(self Member, members []Member) id.Instance {
	var near, far []id.Instance
	for _, m := range members {
		if !m.Live || m.Instance == self.Instance {
			continue
		}
		if m.Region == self.Region {
			near = append(near, m.Instance)
		} else {
			far = append(far, m.Instance)
		}
	}
	ranked := append(rank(leaseName(self.Instance), far), rank(leaseName(self.Instance), near)...)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

// updateUntil recomputes when the authority to spend ends.
func (l *Ledger) updateUntil() {
	releasing := slices.ContainsFunc(l.attempts, func(t *attempt) bool { return t.release })
	if !l.lease.held || releasing {
		l.until = time.Time{}
		return
	}
	longest := l.lease.renewedAt.Add(l.config.shorten(l.config.MaxLeaseTerm))
	promised := longest
	for _, witness := range l.witnesses() {
		// Without a witness nobody reclaims before the long term, so no promise is needed.
		if witness != "" {
			promised = earlier(promised, l.received[witness])
		}
	}
	l.until = later(l.lease.renewedAt.Add(l.config.shorten(l.config.LeaseTerm)), promised)
}

// witnesses returns the witness of the lease row and those of transactions that may have replaced it. Any of them
// could reclaim, so a promise only counts if all of them give it.
func (l *Ledger) witnesses() []id.Instance {
	all := []id.Instance{l.lease.witness}
	for _, t := range l.attempts {
		if !slices.Contains(all, t.witness) {
			all = append(all, t.witness)
		}
	}
	return all
}

// askPromises asks the witness whenever a renewal is overdue, which in steady state never happens, and until the
// witness knows the lease row. Without the early requests, a witness could not promise anything in a table outage that
// begins before it next polls the rows.
func (l *Ledger) askPromises(now time.Time) []Effect {
	early := now.Before(l.lease.renewedAt.Add(l.config.RenewInterval * 3 / 2))
	if early && l.lease.isWitnessed {
		return nil
	}
	if now.Before(l.promiseAskAt) || !now.Before(l.until) {
		// Authority that has ended is not revived by a promise, because a reclaim may be under way.
		return nil
	}
	l.promiseAskAt = now.Add(l.config.RenewInterval / 2)
	var effects []Effect
	for _, witness := range l.witnesses() {
		if witness == "" {
			continue
		}
		ask := promiseAsk{id: l.newID(), to: witness, sentAt: now, early: early}
		l.promiseAsks = append(l.promiseAsks, ask)
		effects = append(effects, Send{To: witness, Message: PromiseRequest{
			ID: ask.id, Incarnation: l.config.Incarnation,
		}})
	}
	if excess := len(l.promiseAsks) - maxPromiseAsks; excess > 0 {
		l.promiseAsks = slices.Delete(l.promiseAsks, 0, excess)
	}
	return effects
}

// promise answers a holder that this instance may be the witness of.
func (l *Ledger) promise(now time.Time, from id.Instance, m PromiseRequest) []Effect {
	answer := Promise{ID: m.ID}
	if l.mayPromise(now, from, m.Incarnation) {
		answer.Term = l.config.LeaseTerm
		l.given[from] = now.Add(answer.Term)
	} else if seen, ok := l.leases[from]; !ok || seen.row.Incarnation != m.Incarnation {
		l.pollAt = now
	}
	return []Effect{Send{To: from, Message: answer}}
}

// mayPromise refuses without authority, because a successor of this process may already act as the witness; without
// a lease row read under the own lease, because a predecessor may have reclaimed it; and while a reclaim may still
// take effect.
func (l *Ledger) mayPromise(now time.Time, from id.Instance, incarnation id.Incarnation) bool {
	seen, ok := l.leases[from]
	if !ok || seen.version == 0 || seen.row.Incarnation != incarnation || !now.Before(l.until) {
		return false
	}
	return !slices.ContainsFunc(l.attempts, func(t *attempt) bool {
		return slices.ContainsFunc(t.reclaims, func(r reclaim) bool { return r.instance == from })
	})
}

func (l *Ledger) acceptPromise(from id.Instance, m Promise) {
	i := slices.IndexFunc(l.promiseAsks, func(ask promiseAsk) bool { return ask.id == m.ID && ask.to == from })
	if i < 0 {
		return
	}
	ask := l.promiseAsks[i]
	end := ask.sentAt.Add(l.config.shorten(m.Term))
	l.promiseAsks = slices.Delete(l.promiseAsks, i, i+1)
	if m.Term > 0 && from == l.lease.witness {
		l.lease.isWitnessed = true
	}
	if m.Term > 0 && l.lease.held && !ask.early {
		l.received[from] = later(l.received[from], end)
		l.updateUntil()
	}
}

// reclaimable returns the instances whose lease rows this instance may remove at now.
//
// What was seen before this instance held its own lease does not count. So a successor waits at least one term, in
// which the promises of its predecessor end.
func (l *Ledger) reclaimable(now time.Time) []reclaim {
	var gone []reclaim
	for _, instance := range l.watched {
		seen, ok := l.leases[instance]
		if !ok || seen.version == 0 || instance == l.config.Self.Instance || now.Before(l.given[instance]) {
			continue
		}
		wait := l.config.MaxLeaseTerm
		if seen.row.Witness == l.config.Self.Instance {
			wait = l.config.LeaseTerm
		}
		if !now.Before(seen.since.Add(wait)) && len(gone) < maxReclaims {
			gone = append(gone, reclaim{instance: instance, version: seen.version})
		}
	}
	return gone
}

// mayAcquire reports whether the own lease row is free to be taken at now.
func (l *Ledger) mayAcquire(now time.Time) bool {
	own := &l.lease
	switch {
	case !own.known || len(l.members) == 0:
		// Without members there is no witness, and the shares would be locked for the long term.
		return false
	case own.version == 0:
		return true
	case !own.hadOnce && own.row.Address == l.config.Self.Address:
		// This process has bound the address, so the predecessor is gone. A process that had the lease before may
		// itself be the predecessor.
		return true
	default:
		return !now.Before(own.since.Add(l.config.MaxLeaseTerm))
	}
}

// beginTenure starts to hold the lease. Nothing is known of the share rows and of other leases from before.
func (l *Ledger) beginTenure(now time.Time, succeeds bool) {
	l.lease.held, l.lease.hadOnce, l.lease.isWitnessed = true, true, false
	if succeeds {
		// The predecessor may have lent its tokens until a loan term after this process began.
		wait := l.config.LoanTerm + l.config.LoanTerm*time.Duration(l.config.MaxClockDriftPercent)/100
		l.accrueFrom = l.started.Add(wait)
	}
	clear(l.leases)
	l.reading, l.pollAt = nil, now
	for _, a := range l.ordered {
		a.forfeit()
		a.filledAt = later(now, l.accrueFrom)
		l.dirty(now, a)
	}
}

// endTenure forgets all shares after the lease row was removed or taken over.
func (l *Ledger) endTenure(now time.Time) {
	l.lease.held, l.lease.renewedAt, l.lease.witness = false, time.Time{}, ""
	l.attempts, l.promiseAsks = nil, nil
	clear(l.received)
	l.updateUntil()
	l.pollAt = now
	for _, a := range l.ordered {
		a.forfeit()
	}
}

// seeOwn applies what a call has shown of the own lease row.
func (l *Ledger) seeOwn(now time.Time, row store.Row, asked uint64) {
	own := &l.lease
	if asked <= own.asked {
		return
	}
	own.asked = l.calls
	if own.known && row.Version == own.version {
		return
	}
	// A row of an unexpected format is treated as another process's.
	value, _ := parseLease(row.Name, row.Value)
	if row.Version != 0 && value.Incarnation == l.config.Incarnation {
		l.resolve(now, row.Version, value)
		return
	}
	if own.held {
		l.endTenure(now)
	}
	own.known, own.version, own.row, own.since = true, row.Version, value, now
}

// resolve finds the transaction with the lost answer that wrote the own lease row.
func (l *Ledger) resolve(now time.Time, version uint64, value leaseRow) {
	i := slices.IndexFunc(l.attempts, func(t *attempt) bool { return t.serial == value.Serial })
	if i >= 0 {
		l.commit(now, l.attempts[i], version, nil)
		return
	}
	// The transaction is no longer remembered, so it renews nothing and the shares must be read again.
	l.commit(now, &attempt{base: l.lease.version, witness: value.Witness}, version, nil)
	for _, a := range l.ordered {
		l.dirty(now, a)
	}
}

// seeLease applies what a call has shown of another instance's lease row.
func (l *Ledger) seeLease(now time.Time, instance id.Instance, row store.Row, asked uint64) {
	seen, ok := l.leases[instance]
	if !ok {
		seen = &leaseSeen{}
		l.leases[instance] = seen
	}
	if asked <= seen.asked {
		return
	}
	seen.asked = l.calls
	if ok && seen.version == row.Version {
		return
	}
	// A row of an unexpected format names no witness, so it is reclaimed after the long term.
	value, _ := parseLease(row.Name, row.Value)
	seen.version, seen.row, seen.since = row.Version, value, now
	if row.Version == 0 {
		l.dirtyHeldBy(now, instance)
	}
}

// dirtyHeldBy looks again at the share rows in which an instance without a lease holds parts.
func (l *Ledger) dirtyHeldBy(now time.Time, instance id.Instance) {
	for _, a := range l.ordered {
		if _, held := a.row[instance]; held {
			l.dirty(now, a)
		}
	}
}

func (l *Ledger) watchMembers() {
	for _, m := range l.members {
		l.watch(m.Instance)
	}
}

func (l *Ledger) watch(instance id.Instance) {
	if instance == l.config.Self.Instance {
		return
	}
	if i, found := slices.BinarySearch(l.watched, instance); !found {
		l.watched = slices.Insert(l.watched, i, instance)
	}
}

// unwatch forgets instances that are no members, have no lease and hold no known parts.
func (l *Ledger) unwatch() {
	named := make(map[id.Instance]bool)
	for _, m := range l.members {
		named[m.Instance] = true
	}
	for _, a := range l.ordered {
		for holder := range a.row {
			named[holder] = true
		}
	}
	l.watched = slices.DeleteFunc(l.watched, func(instance id.Instance) bool {
		seen, ok := l.leases[instance]
		gone := ok && seen.version == 0 && !named[instance]
		if gone {
			delete(l.leases, instance)
			delete(l.given, instance)
		}
		return gone
	})
}
