package allotment

import (
	"slices"
	"time"

	"bluebellhold/id"
	"bluebellhold/store"
)

const (
	// A call without an answer for this long is given up; its result is still used if it comes.
	answerTime = time.Second
	// After a failed call the table is spared for this long plus up to half of it.
	retryPause = 400 * time.Millisecond
	// A transaction or read stays within a size that the table serves quickly.
	maxChanges  = 128
	maxReads    = 256
	maxReclaims = 16
	// Unresolved renewals beyond this number are forgotten; an outage of 20 minutes leaves over a thousand.
	maxAttempts = 64
)

// attempt is a transaction whose outcome is not known yet. All attempts in the list are conditional on the same
// version of the own lease row, so at most one of them takes effect.
type attempt struct {
	id       uint64
	serial   uint64
	asked    uint64
	base     uint64
	sentAt   time.Time
	witness  id.Instance
	changes  []change
	reclaims []reclaim
	release  bool
}

// reclaim is the removal of another instance's lease row as of one version.
type reclaim struct {
	instance id.Instance
	version  uint64
}

// reading is the outstanding read of rows.
type reading struct {
	id     uint64
	asked  uint64
	sentAt time.Time
}

// read asks for lease rows when it is time to poll them and for share rows that must be looked at.
func (l *Ledger) read(now time.Time) []Effect {
	if l.reading != nil && now.Before(l.reading.sentAt.Add(answerTime)) || now.Before(l.readAt) {
		return nil
	}
	names := l.pollNames(now)
	if l.lease.held {
		for _, a := range l.work {
			if a.stale && !now.Before(a.tryAt) && len(names) < maxReads {
				names = append(names, shareName(a.limit.ID))
			}
		}
	}
	if len(names) == 0 {
		return nil
	}
	l.calls++
	l.reading = &reading{id: l.newID(), asked: l.calls, sentAt: now}
	return []Effect{ReadRows{ID: l.reading.id, Names: names}}
}

func (l *Ledger) pollNames(now time.Time) []string {
	if now.Before(l.pollAt) {
		return nil
	}
	l.pollAt = now.Add(l.config.RenewInterval)
	names := make([]string, 0, len(l.watched)+1)
	if !l.lease.held {
		l.pollAt = now.Add(retryPause)
		names = append(names, leaseName(l.config.Self.Instance))
	}
	for _, instance := range l.watched {
		names = append(names, leaseName(instance))
	}
	return names
}

func (l *Ledger) finishRead(now time.Time, e RowsRead) {
	if l.reading == nil || l.reading.id != e.ID {
		return
	}
	asked := l.reading.asked
	l.reading = nil
	if e.Err != nil {
		l.readAt, l.pollAt = now.Add(retryPause+l.jitter(retryPause/2)), now
		return
	}
	for _, row := range e.Rows {
		l.see(now, row, asked)
	}
}

// see applies what the call numbered asked has shown of a row. What a call has shown is ignored if it was made before
// another call's view of the same row came in, because the order of the two views is unknown.
func (l *Ledger) see(now time.Time, row store.Row, asked uint64) {
	if limit, ok := limitOf(row.Name); ok {
		if a, ok := l.accounts[limit]; ok && l.lease.held {
			l.seeShare(now, a, row, asked)
		}
		return
	}
	instance, ok := instanceOf(row.Name)
	switch {
	case !ok:
	case instance == l.config.Self.Instance:
		l.seeOwn(now, row, asked)
	default:
		l.seeLease(now, instance, row, asked)
	}
}

// write sends the next transaction if there is something to write and none is in flight.
func (l *Ledger) write(now time.Time) []Effect {
	if now.Before(l.writeAt) {
		return nil
	}
	if !l.lease.held {
		return l.acquire(now)
	}
	t := attempt{witness: l.desiredWitness}
	due := !now.Before(l.lease.renewedAt.Add(l.config.RenewInterval)) || t.witness != l.lease.witness
	if len(l.attempts) > 0 {
		// Only a plain renewal is sent while an outcome is unknown: whichever takes effect resolves the others.
		t.witness, due = l.attempts[len(l.attempts)-1].witness, true
	} else {
		t.changes = l.planChanges(now)
		t.reclaims = l.reclaimable(now)
		t.release = l.stopping && l.emptied()
	}
	if !due && len(t.changes) == 0 && len(t.reclaims) == 0 && !t.release {
		return nil
	}
	return l.send(now, t)
}

func (l *Ledger) acquire(now time.Time) []Effect {
	if l.stopping && len(l.attempts) == 0 {
		l.released = true
		return nil
	}
	if !l.mayAcquire(now) {
		return nil
	}
	return l.send(now, attempt{witness: l.desiredWitness})
}

func (l *Ledger) send(now time.Time, next attempt) []Effect {
	t := &next
	l.serial++
	l.calls++
	t.id, t.serial, t.asked, t.base, t.sentAt = l.newID(), l.serial, l.calls, l.lease.version, now
	l.forgetAttempt()
	l.attempts = append(l.attempts, t)
	l.writeAt = now.Add(answerTime)
	for _, c := range t.changes {
		c.account.proposing, c.account.proposed = true, c.next[l.config.Self.Instance]
		c.account.apply(now, l.shorten)
	}
	l.updateUntil()
	return []Effect{Transact{ID: t.id, Transaction: l.transaction(t)}}
}

// forgetAttempt drops the oldest plain renewal when there are too many.
func (l *Ledger) forgetAttempt() {
	if len(l.attempts) < maxAttempts {
		return
	}
	i := slices.IndexFunc(l.attempts, func(t *attempt) bool { return len(t.changes)+len(t.reclaims) == 0 && !t.release })
	if i >= 0 {
		l.attempts = slices.Delete(l.attempts, i, i+1)
	}
}

func (l *Ledger) transaction(t *attempt) store.Transaction {
	self := leaseName(l.config.Self.Instance)
	own := store.Write{Name: self, Delete: t.release}
	if !t.release {
		own.Value = encode(leaseRow{
			Incarnation: l.config.Incarnation,
			Address:     l.config.Self.Address,
			Deadline:    t.sentAt.Add(l.config.LeaseTerm),
			Witness:     t.witness,
			Serial:      t.serial,
		})
	}
	result := store.Transaction{
		Conditions: []store.Condition{{Name: self, Version: t.base}},
		Writes:     []store.Write{own},
	}
	for _, gone := range t.reclaims {
		name := leaseName(gone.instance)
		result.Conditions = append(result.Conditions, store.Condition{Name: name, Version: gone.version})
		result.Writes = append(result.Writes, store.Write{Name: name, Delete: true})
	}
	for _, c := range t.changes {
		result = c.addTo(result)
	}
	return result
}

func (l *Ledger) finishTransaction(now time.Time, e TransactionDone) {
	i := slices.IndexFunc(l.attempts, func(t *attempt) bool { return t.id == e.ID })
	if i < 0 {
		return
	}
	t := l.attempts[i]
	latest := i == len(l.attempts)-1
	if e.Err != nil {
		if latest {
			l.writeAt = now.Add(retryPause + l.jitter(retryPause/2))
		}
		return
	}
	if latest {
		l.writeAt = now
	}
	if e.Result.Committed {
		l.commit(now, t, 0, e.Result.Rows)
		return
	}
	l.attempts = slices.Delete(l.attempts, i, i+1)
	l.abandon(now, t)
	l.updateUntil()
	for _, row := range e.Result.Rows {
		l.see(now, row, t.asked)
	}
}

// abandon takes back the changes of a transaction that has certainly had no effect and never will.
func (l *Ledger) abandon(now time.Time, t *attempt) {
	for _, c := range t.changes {
		c.account.proposing = false
		c.account.apply(now, l.shorten)
		// Other home instances lost the same race; spreading the next attempts lets most of them win.
		c.account.tryAt = now.Add(l.jitter(retryPause))
	}
}

// commit applies a transaction that took effect. The rows as written are unknown if its answer was lost; version is
// the new version of the own lease row then.
func (l *Ledger) commit(now time.Time, t *attempt, version uint64, rows []store.Row) {
	for _, other := range l.attempts {
		if other != t {
			l.abandon(now, other)
		}
	}
	l.attempts = nil
	written := make(map[string]store.Row, len(rows))
	for _, row := range rows {
		written[row.Name] = row
	}
	if len(rows) > 0 {
		version = written[leaseName(l.config.Self.Instance)].Version
	}
	own := &l.lease
	own.known, own.version, own.asked = true, version, l.calls
	if t.release {
		l.released = true
		l.endTenure(now)
		return
	}
	if own.witness != t.witness {
		own.witness, own.isWitnessed = t.witness, false
	}
	own.renewedAt = later(own.renewedAt, t.sentAt)
	if !own.held {
		l.beginTenure(now, t.base != 0)
	}
	l.updateUntil()
	for _, c := range t.changes {
		l.commitChange(now, c, written)
	}
	for _, gone := range t.reclaims {
		l.commitReclaim(now, gone)
	}
}

// commitReclaim notes a removed lease row. If another version has been seen since, the answer is late and the row may
// already be that of a successor.
func (l *Ledger) commitReclaim(now time.Time, gone reclaim) {
	if seen, ok := l.leases[gone.instance]; ok && seen.version != gone.version {
		return
	}
	l.leases[gone.instance] = &leaseSeen{asked: l.calls, since: now}
	l.dirtyHeldBy(now, gone.instance)
}
