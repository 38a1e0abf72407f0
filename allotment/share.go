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
	// Parts that others still hold are looked for again after pauses that grow up to this.
	maxWait = 30 * time.Second
	// Parts that back loans or slots in use are handed back soon after those end.
	busyWait = 200 * time.Millisecond
)

// change is a new value for one share row.
type change struct {
	account *account
	version uint64
	next    shareRow
	// orphaned holds the instances without a lease row whose parts the change removes.
	orphaned []id.Instance
}

// addTo adds the change to a transaction. Parts of an orphan may only be removed as long as it has no lease row.
func (c change) addTo(t store.Transaction) store.Transaction {
	name := shareName(c.account.limit.ID)
	t.Conditions = append(t.Conditions, store.Condition{Name: name, Version: c.version})
	for _, instance := range c.orphaned {
		condition := store.Condition{Name: leaseName(instance)}
		if !slices.Contains(t.Conditions, condition) {
			t.Conditions = append(t.Conditions, condition)
		}
	}
	w := store.Write{Name: name, Delete: len(c.next) == 0}
	if !w.Delete {
		w.Value = encode(c.next)
	}
	t.Writes = append(t.Writes, w)
	return t
}

// seeShare applies what a call has shown of a share row.
func (l *Ledger) seeShare(now time.Time, a *account, row store.Row, asked uint64) {
	if asked <= a.rowAsked {
		return
	}
	a.rowAsked = l.calls
	value, err := parseShare(row.Name, row.Value)
	a.row, a.rowVersion, a.rowErr, a.stale = value, row.Version, err, false
	a.confirmed = value[l.config.Self.Instance]
	a.apply(now, l.shorten)
	for holder := range value {
		l.watchHolder(now, holder)
	}
}

func (l *Ledger) watchHolder(now time.Time, holder id.Instance) {
	if _, ok := l.leases[holder]; !ok && holder != l.config.Self.Instance {
		l.watch(holder)
		l.pollAt = now
	}
}

// commitChange applies a share row that was written. If the answer was lost or another call has shown a later row,
// only the smaller entry counts until the row has been read again.
func (l *Ledger) commitChange(now time.Time, c change, written map[string]store.Row) {
	a := c.account
	a.proposing = false
	parts := c.next[l.config.Self.Instance]
	row, ok := written[shareName(a.limit.ID)]
	a.rowAsked = l.calls
	if ok && row.Version > a.rowVersion {
		a.row, a.rowVersion, a.confirmed, a.stale = c.next, row.Version, parts, false
	} else {
		a.confirmed, a.stale = min(a.confirmed, parts), true
	}
	a.pause, a.tryAt = 0, now
	a.apply(now, l.shorten)
}

// planChanges goes through the accounts that need attention and returns the changes for one transaction.
func (l *Ledger) planChanges(now time.Time) []change {
	if len(l.work) == 0 {
		return nil
	}
	var changes []change
	// Instances start at different places, so that their transactions about the same limits seldom collide.
	first := l.random.IntN(len(l.work))
	for i := range l.work {
		a := l.work[(first+i)%len(l.work)]
		if a.stale || now.Before(a.tryAt) || len(changes) == maxChanges {
			continue
		}
		if c, ok := l.plan(now, a); ok {
			changes = append(changes, c)
		}
	}
	l.work = slices.DeleteFunc(l.work, func(a *account) bool { return !a.queued })
	return changes
}

// plan decides what to change in one share row, and when to look again if nothing can be changed now.
func (l *Ledger) plan(now time.Time, a *account) (change, bool) {
	if a.rowErr != nil {
		l.wait(now, a)
		return change{}, false
	}
	self := l.config.Self.Instance
	c := change{account: a, version: a.rowVersion, next: maps.Clone(a.row)}
	mine := a.row[self]
	if a.target > 0 {
		c.orphaned = l.orphans(a)
		for _, instance := range c.orphaned {
			delete(c.next, instance)
		}
	}
	goal := l.goal(a, c.next, mine)
	if goal == mine && len(c.orphaned) == 0 {
		l.settle(now, a, mine)
		return change{}, false
	}
	c.next[self] = goal
	if goal == 0 {
		delete(c.next, self)
	}
	return c, true
}

// goal returns the parts to hold next: as many as are free up to the target, or as few as can be spared above it.
func (l *Ledger) goal(a *account, row shareRow, mine id.Parts) id.Parts {
	if mine >= a.target {
		return min(mine, max(a.target, a.needed()))
	}
	if len(row) >= maxHolders && mine == 0 {
		return 0
	}
	free := id.WholeLimit
	for _, parts := range row {
		free -= parts
	}
	goal := min(a.target, mine+free)
	if amount, ok := a.limit.Amount.(Concurrency); ok {
		goal = min(goal, partsOf(amount.Slots, slotsOf(amount.Slots, goal)))
	}
	return max(mine, goal)
}

// orphans returns the holders that are known to have no lease row.
func (l *Ledger) orphans(a *account) []id.Instance {
	var gone []id.Instance
	for holder := range a.row {
		if seen, ok := l.leases[holder]; ok && seen.version == 0 && holder != l.config.Self.Instance {
			gone = append(gone, holder)
		}
	}
	slices.SortFunc(gone, func(a, b id.Instance) int { return strings.Compare(string(a), string(b)) })
	return gone
}

// settle ends the work on an account that holds its target, and has the others looked at again.
func (l *Ledger) settle(now time.Time, a *account, mine id.Parts) {
	switch {
	case mine > a.target:
		a.tryAt = now.Add(busyWait)
	case mine < a.target:
		l.wait(now, a)
	case a.withdrawn && (a.used > 0 || a.borrower || a.lender):
		a.tryAt = now.Add(busyWait)
	case a.withdrawn:
		a.queued = false
		l.drop(a)
	default:
		a.queued = false
	}
}

// wait reads the row again after a pause that doubles.
func (l *Ledger) wait(now time.Time, a *account) {
	a.pause = min(max(2*a.pause, l.config.RenewInterval/2), maxWait)
	a.tryAt, a.stale = now.Add(a.pause), true
}

func (l *Ledger) drop(a *account) {
	delete(l.accounts, a.limit.ID)
	l.ordered = slices.DeleteFunc(l.ordered, func(b *account) bool { return b == a })
}

// emptied reports whether nothing is left to hand back.
func (l *Ledger) emptied() bool {
	return !slices.ContainsFunc(l.ordered, func(a *account) bool {
		return a.stale || a.rowErr == nil && a.confirmed > 0 || a.used > 0 || len(a.lending)+len(a.borrowing) > 0
	})
}
