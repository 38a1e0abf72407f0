package claim

import (
	"slices"
	"time"

	"bluebellhold/store"
)

// writeBatch is the batch of claims in flight: first as a transaction, and after an error as a read of their rows.
type writeBatch struct {
	id      uint64
	claims  []*claimState
	reading bool
	// readPending is true until the read is sent, which the backoff may delay.
	readPending bool
}

func (t *Tracker) enqueue(c *claimState) {
	if c.queued {
		return
	}
	c.queued = true
	t.queue = append(t.queue, c)
}

// startTableCall starts the next call to the table unless one is in flight or the backoff delays it.
func (t *Tracker) startTableCall(now time.Time) {
	if now.Before(t.backoffUntil) {
		return
	}
	if t.batch == nil {
		t.startTransaction(now)
		return
	}
	if t.batch.readPending {
		t.startRead()
	}
}

// startTransaction sends the next batch.
func (t *Tracker) startTransaction(now time.Time) {
	claims := t.nextBatch()
	if len(claims) == 0 {
		return
	}
	batch := &writeBatch{id: t.nextID(), claims: claims}
	transaction := store.Transaction{
		Conditions: make([]store.Condition, 0, len(claims)),
		Writes:     make([]store.Write, 0, len(claims)),
	}
	for _, c := range claims {
		c.inFlight = true
		transaction.Conditions = append(transaction.Conditions, store.Condition{Name: c.name, Version: c.version})
		transaction.Writes = append(transaction.Writes, t.buildWrite(now, c))
	}
	t.batch = batch
	t.emit(Transact{ID: batch.id, Transaction: transaction})
}

// nextBatch returns the claims of the next transaction. Purges only fill the batch up after all other writes.
//
// Requeued claims are not mixed with new ones. Otherwise callers that keep retrying keys whose rows exist could make
// every batch conflict, and nothing would ever commit.
func (t *Tracker) nextBatch() []*claimState {
	if claims := t.takeQueued(&t.requeued, nil); len(claims) > 0 {
		return claims
	}
	return t.takeQueued(&t.purges, t.takeQueued(&t.queue, nil))
}

// takeQueued moves claims from the front of queue to the batch until it is full, and discards removed ones.
func (t *Tracker) takeQueued(queue *[]*claimState, claims []*claimState) []*claimState {
	i := 0
	for ; i < len(*queue) && len(claims) < t.config.BatchSize; i++ {
		c := (*queue)[i]
		c.queued = false
		if c.stage == stageRemoved {
			t.removedQueued--
			continue
		}
		claims = append(claims, c)
	}
	*queue = slices.Delete(*queue, 0, i)
	return claims
}

// compactQueues deletes removed claims from the queues, which would otherwise grow without bound during an outage.
func (t *Tracker) compactQueues() {
	if t.removedQueued*2 <= len(t.requeued)+len(t.queue) {
		return
	}
	removed := func(c *claimState) bool { return c.stage == stageRemoved }
	t.requeued, t.queue = slices.DeleteFunc(t.requeued, removed), slices.DeleteFunc(t.queue, removed)
	t.removedQueued = 0
}

func (t *Tracker) buildWrite(now time.Time, c *claimState) store.Write {
	switch c.stage {
	case stageReleasing, stagePurging:
		return store.Write{Name: c.name, Delete: true}
	case stageCompleting:
		return store.Write{Name: c.name, Value: t.doneRecord(now, c).encode()}
	}
	dispatchBy := now.Add(t.config.DispatchTimeout)
	if c.owner.deadline.Before(dispatchBy) {
		dispatchBy = c.owner.deadline
	}
	write := claimWrite{deadlineMs: dispatchBy.UnixMilli(), dispatchBy: dispatchBy}
	if len(c.writes) == maxClaimWrites {
		c.writes = slices.Delete(c.writes, 0, 1)
	}
	c.writes = append(c.writes, write)
	r := record{
		State: stateClaimed, Digest: c.digest, Claimant: c.claimant,
		Deadline: write.deadlineMs, Expiry: now.Add(t.config.Lifetime).UnixMilli(),
	}
	return store.Write{Name: c.name, Value: r.encode()}
}

func (t *Tracker) handleTransactionDone(now time.Time, e TransactionDone) {
	batch := t.batch
	if batch == nil || batch.id != e.ID || batch.reading {
		return
	}
	rows, ok := alignRows(batch.claims, e.Result.Rows)
	if e.Err != nil || !ok || (!e.Result.Committed && !anyVersionChanged(batch.claims, rows)) {
		batch.reading, batch.readPending = true, true
		t.recordFailure(now)
		return
	}
	t.failures = 0
	t.resolveBatch(now, rows, e.Result.Committed)
}

func (t *Tracker) handleRowsRead(now time.Time, e RowsRead) {
	batch := t.batch
	if batch == nil || batch.id != e.ID || !batch.reading || batch.readPending {
		return
	}
	rows, ok := alignRows(batch.claims, e.Rows)
	if e.Err != nil || !ok {
		batch.readPending = true
		t.recordFailure(now)
		return
	}
	t.resolveBatch(now, rows, false)
}

// resolveBatch continues the claims of the batch from their rows. Those that need another write are requeued ahead of
// the queue.
func (t *Tracker) resolveBatch(now time.Time, rows []store.Row, committed bool) {
	batch, queue := t.batch, t.queue
	t.batch, t.queue = nil, nil
	for i, c := range batch.claims {
		c.inFlight = false
		if committed {
			t.continueCommitted(now, c, rows[i])
		} else {
			t.continueFromRow(now, c, rows[i])
		}
	}
	t.requeued, t.queue = append(t.requeued, t.queue...), queue
}

// startRead reads the rows of a batch whose transaction has an unknown result.
func (t *Tracker) startRead() {
	batch := t.batch
	batch.id, batch.readPending = t.nextID(), false
	names := make([]string, 0, len(batch.claims))
	for _, c := range batch.claims {
		names = append(names, c.name)
	}
	t.emit(ReadRows{ID: batch.id, Names: names})
}

// recordFailure sets the backoff. The first failure after a reset causes no delay.
func (t *Tracker) recordFailure(now time.Time) {
	if now.Sub(t.backoffUntil) > backoffResetAfter {
		t.failures = 0
	}
	t.failures++
	t.backoffUntil = now.Add(t.backoff(t.failures - 1))
}

// backoff returns an exponential delay with jitter, so that instances do not retry at the same moment.
func (t *Tracker) backoff(failures int) time.Duration {
	if failures <= 0 {
		return 0
	}
	d := min(backoffBase<<min(failures-1, 16), backoffMax)
	return d/2 + time.Duration(t.random.Int64N(int64(d/2)))
}

// alignRows returns the rows in the order of claims, and reports whether each claim has a row.
func alignRows(claims []*claimState, rows []store.Row) ([]store.Row, bool) {
	byName := make(map[string]store.Row, len(rows))
	for _, r := range rows {
		byName[r.Name] = r
	}
	ordered := make([]store.Row, 0, len(claims))
	for _, c := range claims {
		r, ok := byName[c.name]
		if !ok {
			return nil, false
		}
		ordered = append(ordered, r)
	}
	return ordered, true
}

func anyVersionChanged(claims []*claimState, rows []store.Row) bool {
	for i, c := range claims {
		if rows[i].Version != c.version {
			return true
		}
	}
	return false
}
