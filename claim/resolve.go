package claim

import (
	"time"

	"bluebellhold/store"
)

// continueCommitted continues a claim whose write took effect; row is the row as written.
func (t *Tracker) continueCommitted(now time.Time, c *claimState, row store.Row) {
	switch c.stage {
	case stageClaiming:
		t.claimWritten(now, c, row.Version, c.writes[len(c.writes)-1])
	case stageCompleting:
		t.settleCompletion(c, false)
	case stageReleasing:
		t.reportSettled(c.notify)
		t.claimForNextWaiter(c)
	case stagePurging:
		if c.stored.Object != "" || c.stored.State == stateClaimed {
			// A holder that failed after it stored the body has left an object that no row names.
			t.emit(DeleteObject{ID: t.nextID(), Name: objectName(c.stored.Claimant)})
		}
		t.claimForNextWaiter(c)
	}
}

// continueFromRow continues a claim whose write failed or has an unknown result; row is the current row.
//
// A write with an unknown result may still take effect after row was read. That is harmless: repeated writes of one
// claim carry the same claimant id, and a request that was already decided is never run for a row that appears later.
func (t *Tracker) continueFromRow(now time.Time, c *claimState, row store.Row) {
	switch c.stage {
	case stageClaiming:
		t.resolveClaim(now, c, row)
	case stageCompleting:
		t.resolveCompletion(c, row)
	case stageReleasing:
		if row.Version != 0 && decode(row.Value).Claimant == c.claimant {
			c.version = row.Version
			t.enqueue(c)
			return
		}
		t.reportSettled(c.notify)
		t.claimForNextWaiter(c)
	case stagePurging:
		// The row changed or its deletion failed; a later scan finds it if it still exists.
		t.claimForNextWaiter(c)
	}
}

func (t *Tracker) resolveClaim(now time.Time, c *claimState, row store.Row) {
	if row.Version == 0 {
		c.version = 0
		if c.owner == nil {
			t.reportSettled(c.notify)
			t.claimForNextWaiter(c)
			return
		}
		t.enqueue(c)
		return
	}
	r := decode(row.Value)
	if r.Claimant != c.claimant {
		t.reportSettled(c.notify)
		t.decideFromRow(now, c, r)
		return
	}
	t.claimWritten(now, c, row.Version, c.writeWithDeadline(r.Deadline))
}

// writeWithDeadline returns the recorded write with the given deadline. If it was evicted, it returns the zero value,
// whose dispatch deadline has passed.
func (c *claimState) writeWithDeadline(deadline int64) claimWrite {
	for _, write := range c.writes {
		if write.deadlineMs == deadline {
			return write
		}
	}
	return claimWrite{}
}

// claimWritten continues a claim whose row was written by write.
func (t *Tracker) claimWritten(now time.Time, c *claimState, version uint64, write claimWrite) {
	c.version = version
	if c.owner == nil {
		c.stage = stageReleasing
		t.enqueue(c)
		return
	}
	if !now.Before(write.dispatchBy) {
		// The dispatch deadline has passed, so the row is written again with a later one.
		t.enqueue(c)
		return
	}
	owner := c.owner
	undecided := c.takeUndecided()
	c.owner, c.writes = owner, nil
	c.stage = stageHeld
	t.decide(owner, Granted{DispatchBy: write.dispatchBy})
	for _, r := range undecided[1:] {
		t.decideLocally(now, c, r)
	}
}

// decideFromRow decides all requests of a claim from the row of another claimant.
func (t *Tracker) decideFromRow(now time.Time, c *claimState, r record) {
	var needBody []*request
	for _, q := range c.takeUndecided() {
		switch {
		case !r.valid():
			t.decide(q, Unknown{})
		case r.Digest != q.digest:
			t.decide(q, Mismatch{})
		case r.State == stateDone && r.Object != "":
			needBody = append(needBody, q)
		case r.State == stateDone:
			t.decide(q, Replay{Response: r.response()})
		default:
			t.decide(q, t.unfinishedOutcome(now, r))
		}
	}
	if len(needBody) == 0 {
		t.remove(c)
		return
	}
	c.stage, c.waiters, c.stored, c.attempts = stageReadingBody, needBody, r, 0
	t.readBody(c)
}

// unfinishedOutcome distinguishes a request that may still be running from one whose holder must have finished or
// failed.
func (t *Tracker) unfinishedOutcome(now time.Time, r record) Outcome {
	remaining := time.UnixMilli(r.Deadline).Add(t.config.RunTimeout).Sub(now)
	if remaining <= 0 {
		return Unknown{}
	}
	return InProgress{RetryAt: now.Add(min(remaining, t.config.RetryAfter))}
}
