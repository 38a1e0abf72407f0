package allotment

import (
	"slices"
	"time"

	"bluebellhold/id"
	"bluebellhold/store"
)

const (
	// A call without a result for this long no longer delays the next one; a late result may still be used.
	callTimeout = time.Second
	// After a failed call the next one waits for this long plus a jitter of up to half of it.
	retryBackoff = 400 * time.Millisecond
	// These bounds keep transactions and reads at a size that the table serves quickly.
	maxChangesPerTransaction  = 128
	maxRowsPerRead            = 256
	maxReclaimsPerTransaction = 16
	// The oldest renewals of unknown outcome beyond this number are dropped; an outage of 20 minutes leaves over a
	// thousand.
	maxPendingTransactions = 64
)

// pendingTransaction is a transaction of unknown outcome. All pending transactions are conditional on the same version
// of the own lease row, so at most one of them takes effect.
type pendingTransaction struct {
	id            uint64
	serial        uint64
	call          uint64
	baseVersion   uint64
	sentAt        time.Time
	witness       id.Instance
	changes       []shareChange
	reclaims      []reclaim
	releasesLease bool
}

// reclaim is the removal of one version of another instance's lease row.
type reclaim struct {
	instance id.Instance
	version  uint64
}

// pendingRead is the read in flight.
type pendingRead struct {
	id     uint64
	call   uint64
	sentAt time.Time
}

// readRows requests the lease rows when a poll is due and the share rows that are stale.
func (l *Ledger) readRows(now time.Time) []Effect {
	if l.pendingRead != nil && now.Before(l.pendingRead.sentAt.Add(callTimeout)) || now.Before(l.nextReadAt) {
		return nil
	}
	names := l.rowsToPoll(now)
	if l.lease.held {
		for _, a := range l.reconcileQueue {
			if a.stale && !now.Before(a.nextReconcileAt) && len(names) < maxRowsPerRead {
				names = append(names, shareRowName(a.limit.ID))
			}
		}
	}
	if len(names) == 0 {
		return nil
	}
	l.lastCall++
	l.pendingRead = &pendingRead{id: l.newID(), call: l.lastCall, sentAt: now}
	return []Effect{ReadRows{ID: l.pendingRead.id, Names: names}}
}

func (l *Ledger) rowsToPoll(now time.Time) []string {
	if now.Before(l.nextPollAt) {
		return nil
	}
	l.nextPollAt = now.Add(l.config.RenewInterval)
	names := make([]string, 0, len(l.watchedInstances)+1)
	if !l.lease.held {
		l.nextPollAt = now.Add(retryBackoff)
		names = append(names, leaseRowName(l.config.Self.Instance))
	}
	for _, instance := range l.watchedInstances {
		names = append(names, leaseRowName(instance))
	}
	return names
}

func (l *Ledger) handleRowsRead(now time.Time, e RowsRead) {
	if l.pendingRead == nil || l.pendingRead.id != e.ID {
		return
	}
	call := l.pendingRead.call
	l.pendingRead = nil
	if e.Err != nil {
		l.nextReadAt, l.nextPollAt = now.Add(retryBackoff+l.jitter(retryBackoff/2)), now
		return
	}
	for _, row := range e.Rows {
		l.observeRow(now, row, call)
	}
}

// observeRow applies a row that the given call returned. The row is ignored if the call was made before the result of
// another call for the same row arrived, because the order of the two results is unknown.
func (l *Ledger) observeRow(now time.Time, row store.Row, call uint64) {
	if limit, ok := limitFromRowName(row.Name); ok {
		if a, ok := l.accounts[limit]; ok && l.lease.held {
			l.observeShare(now, a, row, call)
		}
		return
	}
	instance, ok := instanceFromRowName(row.Name)
	switch {
	case !ok:
	case instance == l.config.Self.Instance:
		l.observeOwnLease(now, row, call)
	default:
		l.observePeerLease(now, instance, row, call)
	}
}

// writeRows sends the next transaction if there is something to write and no earlier one is within its timeout.
func (l *Ledger) writeRows(now time.Time) []Effect {
	if now.Before(l.nextWriteAt) {
		return nil
	}
	if !l.lease.held {
		return l.acquireLease(now)
	}
	t := pendingTransaction{witness: l.desiredWitness}
	renewalDue := !now.Before(l.lease.renewedAt.Add(l.config.RenewInterval)) || t.witness != l.lease.witness
	if len(l.pendingTransactions) > 0 {
		// While an outcome is unknown, only renewals are sent: the one that takes effect resolves the others.
		t.witness, renewalDue = l.pendingTransactions[len(l.pendingTransactions)-1].witness, true
	} else {
		t.changes = l.planChanges(now)
		t.reclaims = l.reclaimableLeases(now)
		t.releasesLease = l.stopping && l.canReleaseLease()
	}
	if !renewalDue && len(t.changes) == 0 && len(t.reclaims) == 0 && !t.releasesLease {
		return nil
	}
	return l.sendTransaction(now, t)
}

func (l *Ledger) acquireLease(now time.Time) []Effect {
	if l.stopping && len(l.pendingTransactions) == 0 {
		l.released = true
		return nil
	}
	if !l.canAcquireLease(now) {
		return nil
	}
	return l.sendTransaction(now, pendingTransaction{witness: l.desiredWitness})
}

func (l *Ledger) sendTransaction(now time.Time, draft pendingTransaction) []Effect {
	t := &draft
	l.lastSerial++
	l.lastCall++
	t.id, t.serial, t.call, t.baseVersion, t.sentAt = l.newID(), l.lastSerial, l.lastCall, l.lease.version, now
	l.dropOldestRenewal()
	l.pendingTransactions = append(l.pendingTransactions, t)
	l.nextWriteAt = now.Add(callTimeout)
	for _, c := range t.changes {
		c.account.hasProposal, c.account.proposedParts = true, c.newRow[l.config.Self.Instance]
		c.account.applyParts(now, l.driftFactor)
	}
	l.updateLeaseExpiry()
	return []Effect{Transact{ID: t.id, Transaction: l.buildTransaction(t)}}
}

// dropOldestRenewal drops the oldest pending transaction that only renews the lease if there are too many.
func (l *Ledger) dropOldestRenewal() {
	if len(l.pendingTransactions) < maxPendingTransactions {
		return
	}
	i := slices.IndexFunc(l.pendingTransactions, func(t *pendingTransaction) bool {
		return len(t.changes)+len(t.reclaims) == 0 && !t.releasesLease
	})
	if i >= 0 {
		l.pendingTransactions = slices.Delete(l.pendingTransactions, i, i+1)
	}
}

func (l *Ledger) buildTransaction(t *pendingTransaction) store.Transaction {
	self := leaseRowName(l.config.Self.Instance)
	leaseWrite := store.Write{Name: self, Delete: t.releasesLease}
	if !t.releasesLease {
		leaseWrite.Value = encodeRow(leaseRow{
			Incarnation: l.config.Incarnation,
			Address:     l.config.Self.Address,
			Deadline:    t.sentAt.Add(l.config.LeaseTerm),
			Witness:     t.witness,
			Serial:      t.serial,
		})
	}
	transaction := store.Transaction{
		Conditions: []store.Condition{{Name: self, Version: t.baseVersion}},
		Writes:     []store.Write{leaseWrite},
	}
	for _, r := range t.reclaims {
		name := leaseRowName(r.instance)
		transaction.Conditions = append(transaction.Conditions, store.Condition{Name: name, Version: r.version})
		transaction.Writes = append(transaction.Writes, store.Write{Name: name, Delete: true})
	}
	for _, c := range t.changes {
		transaction = c.appendTo(transaction)
	}
	return transaction
}

func (l *Ledger) handleTransactionDone(now time.Time, e TransactionDone) {
	i := slices.IndexFunc(l.pendingTransactions, func(t *pendingTransaction) bool { return t.id == e.ID })
	if i < 0 {
		return
	}
	t := l.pendingTransactions[i]
	isLatest := i == len(l.pendingTransactions)-1
	if e.Err != nil {
		if isLatest {
			l.nextWriteAt = now.Add(retryBackoff + l.jitter(retryBackoff/2))
		}
		return
	}
	if isLatest {
		l.nextWriteAt = now
	}
	if e.Result.Committed {
		l.commit(now, t, 0, e.Result.Rows)
		return
	}
	l.pendingTransactions = slices.Delete(l.pendingTransactions, i, i+1)
	l.discardProposals(now, t)
	l.updateLeaseExpiry()
	for _, row := range e.Result.Rows {
		l.observeRow(now, row, t.call)
	}
}

// discardProposals reverts the proposed parts of a transaction that certainly has had no effect and will have none.
func (l *Ledger) discardProposals(now time.Time, t *pendingTransaction) {
	for _, c := range t.changes {
		c.account.hasProposal = false
		c.account.applyParts(now, l.driftFactor)
		// Other home instances had the same conflict; jitter lets most of the retries succeed.
		c.account.nextReconcileAt = now.Add(l.jitter(retryBackoff))
	}
}

// commit applies a transaction that took effect. If its result was lost, rows is empty and version is the new version
// of the own lease row.
func (l *Ledger) commit(now time.Time, t *pendingTransaction, version uint64, rows []store.Row) {
	for _, other := range l.pendingTransactions {
		if other != t {
			l.discardProposals(now, other)
		}
	}
	l.pendingTransactions = nil
	written := make(map[string]store.Row, len(rows))
	for _, row := range rows {
		written[row.Name] = row
	}
	if len(rows) > 0 {
		version = written[leaseRowName(l.config.Self.Instance)].Version
	}
	own := &l.lease
	own.rowKnown, own.version, own.observedAtCall = true, version, l.lastCall
	if t.releasesLease {
		l.released = true
		l.onLeaseEnded(now)
		return
	}
	if own.witness != t.witness {
		own.witness, own.witnessReady = t.witness, false
	}
	own.renewedAt = later(own.renewedAt, t.sentAt)
	if !own.held {
		l.onLeaseAcquired(now, t.baseVersion != 0)
	}
	l.updateLeaseExpiry()
	for _, c := range t.changes {
		l.commitChange(now, c, written)
	}
	for _, r := range t.reclaims {
		l.commitReclaim(now, r)
	}
}

// commitReclaim records a removed lease row. If another version has been observed since, the result is late and the row
// may already be that of a successor.
func (l *Ledger) commitReclaim(now time.Time, r reclaim) {
	if peer, ok := l.peerLeases[r.instance]; ok && peer.version != r.version {
		return
	}
	l.peerLeases[r.instance] = &peerLease{observedAtCall: l.lastCall, firstSeenAt: now}
	l.reconcileSharesOf(now, r.instance)
}
