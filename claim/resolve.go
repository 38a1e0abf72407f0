package claim

import (
	"time"

	"bluebellhold/store"
)

// committed continues a cell whose write took effect; row is the row as written.
func (b *Tracker) committed(now time.Time, c *cell, row store.Row) {
	switch c.stage {
	case stageClaiming:
		b.ours(now, c, row.Version, c.sends[len(c.sends)-1])
	case stageCompleting:
		b.completed(c, false)
	case stageReleasing:
		b.settle(c.notify)
		b.promote(c)
	case stageClearing:
		if c.found.Object != "" || c.found.State == stateClaimed {
			// A holder that was lost after it stored the body left an object that no row names.
			b.emit(DeleteObject{ID: b.nextID(), Name: objectName(c.found.Claimant)})
		}
		b.promote(c)
	}
}

// resolve continues a cell whose write is not known to have taken effect; row is the current row.
//
// A write without a result may still take effect after row was read. That is harmless: repeated writes of one claim
// carry the same claimant id, and the holder of a row that appears after its request was decided never runs it.
func (b *Tracker) resolve(now time.Time, c *cell, row store.Row) {
	switch c.stage {
	case stageClaiming:
		b.resolveClaim(now, c, row)
	case stageCompleting:
		b.resolveCompletion(c, row)
	case stageReleasing:
		if row.Version != 0 && decode(row.Value).Claimant == c.claimant {
			c.version = row.Version
			b.enqueue(c)
			return
		}
		b.settle(c.notify)
		b.promote(c)
	case stageClearing:
		// The row changed or its deletion failed; a later scan finds it again if it is still there.
		b.promote(c)
	}
}

func (b *Tracker) resolveClaim(now time.Time, c *cell, row store.Row) {
	if row.Version == 0 {
		c.version = 0
		if c.owner == nil {
			b.settle(c.notify)
			b.promote(c)
			return
		}
		b.enqueue(c)
		return
	}
	r := decode(row.Value)
	if r.Claimant != c.claimant {
		b.settle(c.notify)
		b.decideFrom(now, c, r)
		return
	}
	b.ours(now, c, row.Version, c.sent(r.Deadline))
}

// sent returns the write with the given deadline; the zero send, whose dispatch deadline is past, if it is forgotten.
func (c *cell) sent(deadline int64) send {
	for _, s := range c.sends {
		if s.deadline == deadline {
			return s
		}
	}
	return send{}
}

// ours continues a claim whose row was written by s.
func (b *Tracker) ours(now time.Time, c *cell, version uint64, s send) {
	c.version = version
	if c.owner == nil {
		c.stage = stageReleasing
		b.enqueue(c)
		return
	}
	if !now.Before(s.dispatchBy) {
		// The result came too late to dispatch, so the row is written again with a later dispatch deadline.
		b.enqueue(c)
		return
	}
	owner := c.owner
	waiting := c.everyone()
	c.owner, c.sends = owner, nil
	c.stage = stageHeld
	b.decide(owner, Granted{DispatchBy: s.dispatchBy})
	for _, r := range waiting[1:] {
		b.decideLocally(now, c, r)
	}
}

// decideFrom decides all requests of a cell from a row that another claimant wrote.
func (b *Tracker) decideFrom(now time.Time, c *cell, r record) {
	var fetch []*request
	for _, q := range c.everyone() {
		switch {
		case !r.known():
			b.decide(q, Unknown{})
		case r.Digest != q.digest:
			b.decide(q, Mismatch{})
		case r.State == stateDone && r.Object != "":
			fetch = append(fetch, q)
		case r.State == stateDone:
			b.decide(q, Replay{Answer: r.answer()})
		default:
			b.decide(q, b.running(now, r))
		}
	}
	if len(fetch) == 0 {
		b.drop(c)
		return
	}
	c.stage, c.waiters, c.found, c.tries = stageFetching, fetch, r, 0
	b.fetch(c)
}

// running tells apart a request that may still be running from one whose holder must have finished or failed.
func (b *Tracker) running(now time.Time, r record) Outcome {
	left := time.UnixMilli(r.Deadline).Add(b.config.RunTimeout).Sub(now)
	if left <= 0 {
		return Unknown{}
	}
	return InProgress{RetryAt: now.Add(min(left, b.config.RetryAfter))}
}
