package claim

import (
	"errors"
	"slices"
	"time"

	"bluebellhold/id"
	"bluebellhold/store"
)

func (t *Tracker) handleFinished(now time.Time, e Finished) {
	c := t.heldClaim(e.Request)
	if c == nil {
		return
	}
	c.notify, c.owner = c.owner, nil
	delete(t.requests, e.Request)
	c.response = e.Response
	if c.response.Truncated {
		c.response.Body = nil
	}
	if id.Bytes(len(c.response.Body)) <= t.config.InlineLimit {
		c.stage = stageCompleting
		t.enqueue(c)
		return
	}
	c.stage, c.attempts = stageWritingBody, 0
	c.writeBodyUntil = now.Add(bodyWriteTimeout)
	t.writeBody(c)
}

// writeBody writes the body to the object store. The row is written afterwards, so that it never names an object that
// does not exist.
func (t *Tracker) writeBody(c *claimState) {
	c.objectCall = t.nextID()
	t.objectCalls[c.objectCall] = c
	t.emit(WriteObject{ID: c.objectCall, Name: objectName(c.claimant), Body: c.response.Body})
}

func (t *Tracker) handleObjectWritten(now time.Time, e ObjectWritten) {
	c := t.objectCalls[e.ID]
	if c == nil || c.stage != stageWritingBody {
		return
	}
	delete(t.objectCalls, e.ID)
	if e.Err != nil && now.Before(c.writeBodyUntil) {
		t.scheduleObjectRetry(now, c)
		return
	}
	if e.Err != nil {
		c.response.Body, c.response.Truncated = nil, true
	}
	c.stage = stageCompleting
	t.enqueue(c)
}

func (t *Tracker) doneRecord(now time.Time, c *claimState) record {
	r := record{
		State: stateDone, Digest: c.digest, Claimant: c.claimant, Deadline: now.UnixMilli(),
		Expiry: now.Add(t.config.Lifetime).UnixMilli(),
		Status: c.response.Status, Header: c.response.Header, Truncated: c.response.Truncated,
	}
	if id.Bytes(len(c.response.Body)) <= t.config.InlineLimit {
		r.Body = c.response.Body
		return r
	}
	r.Object, r.Sum = objectName(c.claimant), id.DigestOf(c.response.Body)
	return r
}

func (t *Tracker) resolveCompletion(c *claimState, row store.Row) {
	if row.Version == 0 {
		// Something other than a Tracker deleted the row. The request has run, so its response is stored all the same.
		c.version = 0
		t.enqueue(c)
		return
	}
	r := decode(row.Value)
	switch {
	case r.Claimant != c.claimant:
		t.settleCompletion(c, true)
	case r.State == stateDone:
		t.settleCompletion(c, false)
	default:
		c.version = row.Version
		t.enqueue(c)
	}
}

func (t *Tracker) settleCompletion(c *claimState, responseLost bool) {
	t.emit(Settled{Request: c.notify.id, ResponseLost: responseLost})
	t.remove(c)
}

// readBody reads the body of a stored response.
func (t *Tracker) readBody(c *claimState) {
	c.objectCall = t.nextID()
	t.objectCalls[c.objectCall] = c
	t.emit(ReadObject{ID: c.objectCall, Name: c.stored.Object})
}

func (t *Tracker) handleObjectRead(now time.Time, e ObjectRead) {
	c := t.objectCalls[e.ID]
	if c == nil || c.stage != stageReadingBody {
		return
	}
	delete(t.objectCalls, e.ID)
	var notFound *store.NotFoundError
	if e.Err != nil && !errors.As(e.Err, &notFound) {
		t.scheduleObjectRetry(now, c)
		return
	}
	response := c.stored.response()
	response.Body = e.Body
	if e.Err != nil || id.DigestOf(e.Body) != c.stored.Sum {
		response.Body, response.Truncated = nil, true
	}
	for _, r := range c.takeUndecided() {
		if r.digest == c.stored.Digest {
			t.decide(r, Replay{Response: response})
		} else {
			t.decide(r, Mismatch{})
		}
	}
	t.remove(c)
}

// scheduleObjectRetry schedules the next object call of c after a backoff.
func (t *Tracker) scheduleObjectRetry(now time.Time, c *claimState) {
	c.attempts++
	c.retryAt = now.Add(t.backoff(c.attempts))
	t.objectRetries = append(t.objectRetries, c)
}

// retryObjectCalls repeats the object calls that are due, except reads without an undecided waiter.
func (t *Tracker) retryObjectCalls(now time.Time) {
	t.objectRetries = slices.DeleteFunc(t.objectRetries, func(c *claimState) bool {
		if now.Before(c.retryAt) {
			return false
		}
		if c.stage == stageWritingBody {
			t.writeBody(c)
			return true
		}
		if !slices.ContainsFunc(c.waiters, func(r *request) bool { return !r.decided }) {
			t.remove(c)
			return true
		}
		t.readBody(c)
		return true
	})
}
