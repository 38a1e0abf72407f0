package claim

import (
	"errors"
	"slices"
	"time"

	"bluebellhold/id"
	"bluebellhold/store"
)

func (b *Tracker) finished(now time.Time, e Finished) {
	c := b.held(e.Request)
	if c == nil {
		return
	}
	c.notify, c.owner = c.owner, nil
	delete(b.requests, e.Request)
	c.answer = e.Answer
	if c.answer.Truncated {
		c.answer.Body = nil
	}
	if id.Bytes(len(c.answer.Body)) <= b.config.InlineLimit {
		c.stage = stageCompleting
		b.enqueue(c)
		return
	}
	c.stage, c.tries = stageStoring, 0
	c.giveUp = now.Add(objectPatience)
	b.store(c)
}

// store writes the body before the row, so that a row never names an object that does not exist.
func (b *Tracker) store(c *cell) {
	c.call = b.nextID()
	b.calls[c.call] = c
	b.emit(WriteObject{ID: c.call, Name: objectName(c.claimant), Body: c.answer.Body})
}

func (b *Tracker) objectWritten(now time.Time, e ObjectWritten) {
	c := b.calls[e.ID]
	if c == nil || c.stage != stageStoring {
		return
	}
	delete(b.calls, e.ID)
	if e.Err != nil && now.Before(c.giveUp) {
		b.rest(now, c)
		return
	}
	if e.Err != nil {
		c.answer.Body, c.answer.Truncated = nil, true
	}
	c.stage = stageCompleting
	b.enqueue(c)
}

func (b *Tracker) doneRecord(now time.Time, c *cell) record {
	r := record{
		State: stateDone, Digest: c.digest, Claimant: c.claimant, Deadline: now.UnixMilli(),
		Expiry: now.Add(b.config.Lifetime).UnixMilli(),
		Status: c.answer.Status, Header: c.answer.Header, Truncated: c.answer.Truncated,
	}
	if id.Bytes(len(c.answer.Body)) <= b.config.InlineLimit {
		r.Body = c.answer.Body
		return r
	}
	r.Object, r.Sum = objectName(c.claimant), id.DigestOf(c.answer.Body)
	return r
}

func (b *Tracker) resolveCompletion(c *cell, row store.Row) {
	if row.Version == 0 {
		// The claim was deleted by outside interference; the request ran, so its answer is still stored.
		c.version = 0
		b.enqueue(c)
		return
	}
	r := decode(row.Value)
	switch {
	case r.Claimant != c.claimant:
		b.completed(c, true)
	case r.State == stateDone:
		b.completed(c, false)
	default:
		c.version = row.Version
		b.enqueue(c)
	}
}

func (b *Tracker) completed(c *cell, lost bool) {
	b.emit(Settled{Request: c.notify.id, AnswerLost: lost})
	b.drop(c)
}

// fetch reads the body of a stored answer.
func (b *Tracker) fetch(c *cell) {
	c.call = b.nextID()
	b.calls[c.call] = c
	b.emit(ReadObject{ID: c.call, Name: c.found.Object})
}

func (b *Tracker) objectRead(now time.Time, e ObjectRead) {
	c := b.calls[e.ID]
	if c == nil || c.stage != stageFetching {
		return
	}
	delete(b.calls, e.ID)
	var absent *store.NotFoundError
	if e.Err != nil && !errors.As(e.Err, &absent) {
		b.rest(now, c)
		return
	}
	a := c.found.answer()
	a.Body = e.Body
	if e.Err != nil || id.DigestOf(e.Body) != c.found.Sum {
		a.Body, a.Truncated = nil, true
	}
	for _, r := range c.everyone() {
		if r.digest == c.found.Digest {
			b.decide(r, Replay{Answer: a})
		} else {
			b.decide(r, Mismatch{})
		}
	}
	b.drop(c)
}

// rest lets a cell wait for its next object call.
func (b *Tracker) rest(now time.Time, c *cell) {
	c.tries++
	c.retryAt = now.Add(b.backoff(c.tries))
	b.resting = append(b.resting, c)
}

// wake repeats the object calls that are due, and drops the reads that nobody waits for any more.
func (b *Tracker) wake(now time.Time) {
	b.resting = slices.DeleteFunc(b.resting, func(c *cell) bool {
		if now.Before(c.retryAt) {
			return false
		}
		if c.stage == stageStoring {
			b.store(c)
			return true
		}
		if !slices.ContainsFunc(c.waiters, func(r *request) bool { return !r.decided }) {
			b.drop(c)
			return true
		}
		b.fetch(c)
		return true
	})
}
