package claim

import (
	"slices"
	"time"

	"bluebellhold/store"
)

// flight is the group of cells whose writes are in flight, first as a transaction and after an error as a read.
type flight struct {
	id      uint64
	cells   []*cell
	reading bool
	// waiting is true while the read is delayed after failures.
	waiting bool
}

func (b *Tracker) enqueue(c *cell) {
	if c.queued {
		return
	}
	c.queued = true
	b.queue = append(b.queue, c)
}

// advance starts the next call to the table if none is in flight and no failure delays it.
func (b *Tracker) advance(now time.Time) {
	if now.Before(b.holdUntil) {
		return
	}
	if b.flight == nil {
		b.transact(now)
		return
	}
	if b.flight.waiting {
		b.read()
	}
}

// transact sends the next group; completions and claims go first, expired rows fill up the group.
//
// What is left of a failed group goes without newcomers. Otherwise callers that keep asking for rows that exist could
// make each group fail, and nothing would ever commit.
func (b *Tracker) transact(now time.Time) {
	group := b.next()
	if len(group) == 0 {
		return
	}
	f := &flight{id: b.nextID(), cells: group}
	t := store.Transaction{
		Conditions: make([]store.Condition, 0, len(group)),
		Writes:     make([]store.Write, 0, len(group)),
	}
	for _, c := range group {
		c.flying = true
		t.Conditions = append(t.Conditions, store.Condition{Name: c.name, Version: c.version})
		t.Writes = append(t.Writes, b.write(now, c))
	}
	b.flight = f
	b.emit(Transact{ID: f.id, Transaction: t})
}

func (b *Tracker) next() []*cell {
	if group := b.take(&b.again, nil); len(group) > 0 {
		return group
	}
	return b.take(&b.clears, b.take(&b.queue, nil))
}

// take moves cells from the front of queue to group until the group is full.
func (b *Tracker) take(queue *[]*cell, group []*cell) []*cell {
	i := 0
	for ; i < len(*queue) && len(group) < b.config.BatchSize; i++ {
		c := (*queue)[i]
		c.queued = false
		if c.stage == stageGone {
			b.queueGone--
			continue
		}
		group = append(group, c)
	}
	*queue = slices.Delete(*queue, 0, i)
	return group
}

// compact drops unused cells, which would otherwise pile up in the queue during an outage.
func (b *Tracker) compact() {
	if b.queueGone*2 <= len(b.again)+len(b.queue) {
		return
	}
	gone := func(c *cell) bool { return c.stage == stageGone }
	b.again, b.queue = slices.DeleteFunc(b.again, gone), slices.DeleteFunc(b.queue, gone)
	b.queueGone = 0
}

func (b *Tracker) write(now time.Time, c *cell) store.Write {
	switch c.stage {
	case stageReleasing, stageClearing:
		return store.Write{Name: c.name, Delete: true}
	case stageCompleting:
		return store.Write{Name: c.name, Value: b.doneRecord(now, c).encode()}
	}
	dispatchBy := now.Add(b.config.DispatchTimeout)
	if c.owner.deadline.Before(dispatchBy) {
		dispatchBy = c.owner.deadline
	}
	s := send{deadline: dispatchBy.UnixMilli(), dispatchBy: dispatchBy}
	if len(c.sends) == sendsKept {
		c.sends = slices.Delete(c.sends, 0, 1)
	}
	c.sends = append(c.sends, s)
	r := record{
		State: stateClaimed, Digest: c.digest, Claimant: c.claimant,
		Deadline: s.deadline, Expiry: now.Add(b.config.Lifetime).UnixMilli(),
	}
	return store.Write{Name: c.name, Value: r.encode()}
}

func (b *Tracker) transactionDone(now time.Time, e TransactionDone) {
	f := b.flight
	if f == nil || f.id != e.ID || f.reading {
		return
	}
	rows, ok := match(f.cells, e.Result.Rows)
	if e.Err != nil || !ok || (!e.Result.Committed && !anyChanged(f.cells, rows)) {
		f.reading, f.waiting = true, true
		b.failed(now)
		return
	}
	b.failures = 0
	b.land(now, rows, e.Result.Committed)
}

func (b *Tracker) rowsRead(now time.Time, e RowsRead) {
	f := b.flight
	if f == nil || f.id != e.ID || !f.reading || f.waiting {
		return
	}
	rows, ok := match(f.cells, e.Rows)
	if e.Err != nil || !ok {
		f.waiting = true
		b.failed(now)
		return
	}
	b.land(now, rows, false)
}

// land decides the cells of the flight from their rows; those that need another write go before the queue.
func (b *Tracker) land(now time.Time, rows []store.Row, committed bool) {
	f, newcomers := b.flight, b.queue
	b.flight, b.queue = nil, nil
	for i, c := range f.cells {
		c.flying = false
		if committed {
			b.committed(now, c, rows[i])
		} else {
			b.resolve(now, c, rows[i])
		}
	}
	b.again, b.queue = append(b.again, b.queue...), newcomers
}

// read asks for the rows of a group whose transaction's result is not known.
func (b *Tracker) read() {
	f := b.flight
	f.id, f.waiting = b.nextID(), false
	names := make([]string, 0, len(f.cells))
	for _, c := range f.cells {
		names = append(names, c.name)
	}
	b.emit(ReadRows{ID: f.id, Names: names})
}

// failed delays the next call to the table, except after a first failure in a while.
func (b *Tracker) failed(now time.Time) {
	if now.Sub(b.holdUntil) > backoffReset {
		b.failures = 0
	}
	b.failures++
	b.holdUntil = now.Add(b.backoff(b.failures - 1))
}

// backoff doubles with each failure; the jitter keeps instances from returning to the store at the same moment.
func (b *Tracker) backoff(failures int) time.Duration {
	if failures <= 0 {
		return 0
	}
	d := min(backoffBase<<min(failures-1, 16), backoffMax)
	return d/2 + time.Duration(b.random.Int64N(int64(d/2)))
}

// match orders rows like cells, and reports whether there is a row for each cell.
func match(cells []*cell, rows []store.Row) ([]store.Row, bool) {
	byName := make(map[string]store.Row, len(rows))
	for _, r := range rows {
		byName[r.Name] = r
	}
	ordered := make([]store.Row, 0, len(cells))
	for _, c := range cells {
		r, ok := byName[c.name]
		if !ok {
			return nil, false
		}
		ordered = append(ordered, r)
	}
	return ordered, true
}

func anyChanged(cells []*cell, rows []store.Row) bool {
	for i, c := range cells {
		if rows[i].Version != c.version {
			return true
		}
	}
	return false
}
