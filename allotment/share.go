package allotment

import (
	"maps"
	"slices"
	"strings"
	"time"

	"bluebellhold/id"
	"bluebellhold/store"
)

const (
	// While others hold parts of this instance's target, their row is read again with a backoff up to this.
	maxReconcileBackoff = 30 * time.Second
	// The release of parts that back loans or slots in use is retried at this interval.
	inUseRetryDelay = 200 * time.Millisecond
)

// shareChange is a new value for one share row.
type shareChange struct {
	account *account
	version uint64
	newRow  shareRow
	// orphaned holds the instances without a lease row whose parts the change removes.
	orphaned []id.Instance
}

// appendTo adds the change to a transaction. Its conditions ensure that orphaned holders still have no lease row.
func (c shareChange) appendTo(t store.Transaction) store.Transaction {
	name := shareRowName(c.account.limit.ID)
	t.Conditions = append(t.Conditions, store.Condition{Name: name, Version: c.version})
	for _, instance := range c.orphaned {
		condition := store.Condition{Name: leaseRowName(instance)}
		if !slices.Contains(t.Conditions, condition) {
			t.Conditions = append(t.Conditions, condition)
		}
	}
	w := store.Write{Name: name, Delete: len(c.newRow) == 0}
	if !w.Delete {
		w.Value = encodeRow(c.newRow)
	}
	t.Writes = append(t.Writes, w)
	return t
}

// observeShare applies a share row as a call returned it.
func (l *Ledger) observeShare(now time.Time, a *account, row store.Row, call uint64) {
	if call <= a.rowObservedAtCall {
		return
	}
	a.rowObservedAtCall = l.lastCall
	share, err := parseShare(row.Name, row.Value)
	a.row, a.rowVersion, a.rowErr, a.stale = share, row.Version, err, false
	a.confirmedParts = share[l.config.Self.Instance]
	a.applyParts(now, l.driftFactor)
	for holder := range share {
		l.watchHolder(now, holder)
	}
}

func (l *Ledger) watchHolder(now time.Time, holder id.Instance) {
	if _, ok := l.peerLeases[holder]; !ok && holder != l.config.Self.Instance {
		l.watch(holder)
		l.nextPollAt = now
	}
}

// commitChange applies a committed share row. If the result was lost or another call has returned a later version,
// only the smaller of the old and the new entry is effective until the row has been read again.
func (l *Ledger) commitChange(now time.Time, c shareChange, written map[string]store.Row) {
	a := c.account
	a.hasProposal = false
	parts := c.newRow[l.config.Self.Instance]
	row, ok := written[shareRowName(a.limit.ID)]
	a.rowObservedAtCall = l.lastCall
	if ok && row.Version > a.rowVersion {
		a.row, a.rowVersion, a.confirmedParts, a.stale = c.newRow, row.Version, parts, false
	} else {
		a.confirmedParts, a.stale = min(a.confirmedParts, parts), true
	}
	a.backoff, a.nextReconcileAt = 0, now
	a.applyParts(now, l.driftFactor)
}

// planChanges reconciles the queued accounts and returns the changes for one transaction.
func (l *Ledger) planChanges(now time.Time) []shareChange {
	if len(l.reconcileQueue) == 0 {
		return nil
	}
	var changes []shareChange
	// A random start makes transactions of different instances on the same limits conflict less often.
	offset := l.rng.IntN(len(l.reconcileQueue))
	for i := range l.reconcileQueue {
		a := l.reconcileQueue[(offset+i)%len(l.reconcileQueue)]
		if a.stale || now.Before(a.nextReconcileAt) || len(changes) == maxChangesPerTransaction {
			continue
		}
		if c, ok := l.planChange(now, a); ok {
			changes = append(changes, c)
		}
	}
	l.reconcileQueue = slices.DeleteFunc(l.reconcileQueue, func(a *account) bool { return !a.queued })
	return changes
}

// planChange returns the change of one share row, or schedules the next reconciliation if nothing can change now.
func (l *Ledger) planChange(now time.Time, a *account) (shareChange, bool) {
	if a.rowErr != nil {
		l.backOff(now, a)
		return shareChange{}, false
	}
	self := l.config.Self.Instance
	c := shareChange{account: a, version: a.rowVersion, newRow: maps.Clone(a.row)}
	ownParts := a.row[self]
	if a.targetParts > 0 {
		c.orphaned = l.orphans(a)
		for _, instance := range c.orphaned {
			delete(c.newRow, instance)
		}
	}
	newParts := l.nextParts(a, c.newRow, ownParts)
	if newParts == ownParts && len(c.orphaned) == 0 {
		l.finishReconcile(now, a, ownParts)
		return shareChange{}, false
	}
	c.newRow[self] = newParts
	if newParts == 0 {
		delete(c.newRow, self)
	}
	return c, true
}

// nextParts returns the parts to hold next: below the target as many as are free, above it as few as are in use.
func (l *Ledger) nextParts(a *account, row shareRow, ownParts id.Parts) id.Parts {
	if ownParts >= a.targetParts {
		return min(ownParts, max(a.targetParts, a.partsInUse()))
	}
	if len(row) >= maxHolders && ownParts == 0 {
		return 0
	}
	freeParts := id.WholeLimit
	for _, parts := range row {
		freeParts -= parts
	}
	parts := min(a.targetParts, ownParts+freeParts)
	if amount, ok := a.limit.Amount.(Concurrency); ok {
		parts = min(parts, slotsToParts(amount.Slots, partsToSlots(amount.Slots, parts)))
	}
	return max(ownParts, parts)
}

// orphans returns the holders in the share row that are known to have no lease row.
func (l *Ledger) orphans(a *account) []id.Instance {
	var orphans []id.Instance
	for holder := range a.row {
		if peer, ok := l.peerLeases[holder]; ok && peer.version == 0 && holder != l.config.Self.Instance {
			orphans = append(orphans, holder)
		}
	}
	slices.SortFunc(orphans, func(a, b id.Instance) int { return strings.Compare(string(a), string(b)) })
	return orphans
}

// finishReconcile removes an account that holds its target from the queue, and schedules the others again.
func (l *Ledger) finishReconcile(now time.Time, a *account, ownParts id.Parts) {
	switch {
	case ownParts > a.targetParts:
		a.nextReconcileAt = now.Add(inUseRetryDelay)
	case ownParts < a.targetParts:
		l.backOff(now, a)
	case a.withdrawn && (a.used > 0 || a.isBorrower || a.isLender):
		a.nextReconcileAt = now.Add(inUseRetryDelay)
	case a.withdrawn:
		a.queued = false
		l.removeAccount(a)
	default:
		a.queued = false
	}
}

// backOff schedules another read of the row with exponential backoff.
func (l *Ledger) backOff(now time.Time, a *account) {
	a.backoff = min(max(2*a.backoff, l.config.RenewInterval/2), maxReconcileBackoff)
	a.nextReconcileAt, a.stale = now.Add(a.backoff), true
}

func (l *Ledger) removeAccount(a *account) {
	delete(l.accounts, a.limit.ID)
	l.sortedAccounts = slices.DeleteFunc(l.sortedAccounts, func(b *account) bool { return b == a })
}

// canReleaseLease reports whether all shares are released and no slots or loans are outstanding.
func (l *Ledger) canReleaseLease() bool {
	return !slices.ContainsFunc(l.sortedAccounts, func(a *account) bool {
		return a.stale || a.rowErr == nil && a.confirmedParts > 0 || a.used > 0 || len(a.lentLoans)+len(a.borrowedLoans) > 0
	})
}
