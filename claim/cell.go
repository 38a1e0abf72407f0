package claim

import (
	"container/heap"
	"time"

	"bluebellhold/id"
)

// request is one Wanted request until it is settled.
type request struct {
	id       id.Request
	digest   id.Digest
	deadline time.Time
	cell     *cell
	decided  bool
}

// stage is what a cell is doing.
type stage int

const (
	stageClaiming   stage = iota // the claim's write is queued or in flight
	stageHeld                    // the owner runs the request
	stageStoring                 // the answer's body is being written to the object store
	stageCompleting              // the write of the answer is queued or in flight
	stageReleasing               // the deletion of the claim is queued or in flight
	stageFetching                // the body of a stored answer is being read
	stageClearing                // the deletion of an expired row is queued or in flight
	stageGone                    // the cell is no longer used
)

// send remembers one write of a claim, since a late write may turn out to be the one that took effect.
type send struct {
	deadline   int64
	dispatchBy time.Time
}

// sendsKept bounds the remembered writes; a claim whose write was forgotten is written again before it is won.
const sendsKept = 8

// cell is the local state of one row; all local requests for the row are ordered by it.
type cell struct {
	name     string
	stage    stage
	claimant string
	digest   id.Digest
	// owner is the request that the cell's claim is for; nil once the caller no longer waits.
	owner   *request
	waiters []*request
	// notify is told when the write that the cell is waiting for is durable.
	notify *request
	// version is the condition of the next write.
	version uint64
	queued  bool
	flying  bool
	sends   []send
	answer  Answer
	found   record
	call    uint64
	retryAt time.Time
	tries   int
	giveUp  time.Time
}

// deadlines is a heap of requests, earliest deadline first.
type deadlines []*request

// Len returns the number of requests.
func (d deadlines) Len() int { return len(d) }

// Less orders by deadline.
func (d deadlines) Less(i, j int) bool { return d[i].deadline.Before(d[j].deadline) }

// Swap exchanges two requests.
func (d deadlines) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push appends a request.
func (d *deadlines) Push(x any) { *d = append(*d, x.(*request)) }

// Pop removes the last request.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	r := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return r
}

// expire decides the requests whose callers no longer wait.
func (b *Tracker) expire(now time.Time) {
	for len(b.deadlines) > 0 && !now.Before(b.deadlines[0].deadline) {
		r := heap.Pop(&b.deadlines).(*request)
		if r.decided {
			continue
		}
		if r.cell.stage == stageFetching {
			// The request has run before, so "not run" would mislead the caller.
			b.decide(r, InProgress{RetryAt: now.Add(b.config.RetryAfter)})
			continue
		}
		b.decide(r, Unavailable{})
		b.leave(r, nil)
	}
	b.compact()
}

// leave takes an undecided request out of its cell; notify is told when its claim is certain to be gone.
func (b *Tracker) leave(r, notify *request) {
	c := r.cell
	if c.owner != r {
		b.settle(notify)
		return
	}
	c.owner = nil
	if c.flying {
		c.notify = notify
		return
	}
	if c.version != 0 {
		// The row is ours and its write was to be repeated with a later dispatch deadline.
		c.notify = notify
		c.stage = stageReleasing
		return
	}
	b.settle(notify)
	b.promote(c)
}

// decide reports the outcome of r, once.
func (b *Tracker) decide(r *request, o Outcome) {
	if r.decided {
		return
	}
	r.decided = true
	if _, won := o.(Granted); !won {
		delete(b.requests, r.id)
	}
	b.emit(Decided{Request: r.id, Outcome: o})
}

func (b *Tracker) settle(r *request) {
	if r != nil {
		b.emit(Settled{Request: r.id})
	}
}

// promote hands a row without a local holder to the first request that waits for it.
func (b *Tracker) promote(c *cell) {
	for len(c.waiters) > 0 {
		r := c.waiters[0]
		c.waiters = c.waiters[1:]
		if !r.decided {
			b.claim(c, r)
			return
		}
	}
	b.drop(c)
}

// drop forgets a row that no local request is concerned with.
func (b *Tracker) drop(c *cell) {
	if c.queued {
		b.queueGone++
	}
	c.stage = stageGone
	c.owner, c.answer, c.found = nil, Answer{}, record{}
	delete(b.cells, c.name)
}

// claim starts a claim for r with a new claimant id.
func (b *Tracker) claim(c *cell, r *request) {
	c.stage = stageClaiming
	c.owner, c.notify = r, nil
	c.claimant, c.digest = b.newClaimant(), r.digest
	c.version, c.sends = 0, nil
	b.enqueue(c)
}

// everyone empties the cell and returns all requests in it that are undecided, the owner first.
func (c *cell) everyone() []*request {
	var all []*request
	for _, r := range append([]*request{c.owner}, c.waiters...) {
		if r != nil && !r.decided {
			all = append(all, r)
		}
	}
	c.owner, c.waiters = nil, nil
	return all
}
