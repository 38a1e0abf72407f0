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
	claim    *claimState
	decided  bool
}

// stage is what a cell is doing.
type stage int

const (
	stageClaiming    stage = iota // the claim's write is queued or in flight
	stageHeld                     // the owner runs the request
	stageWritingBody              // the answer's body is being written to the object store
	stageCompleting               // the write of the answer is queued or in flight
	stageReleasing                // the deletion of the claim is queued or in flight
	stageReadingBody              // the body of a stored answer is being read
	stagePurging                  // the deletion of an expired row is queued or in flight
	stageRemoved                  // the cell is no longer used
)

// send remembers one write of a claim, since a late write may turn out to be the one that took effect.
type claimWrite struct {
	deadlineMs int64
	dispatchBy time.Time
}

// sendsKept bounds the remembered writes; a claim whose write was forgotten is written again before it is won.
const maxClaimWrites = 8

// cell is the local state of one row; all local requests for the row are ordered by it.
type claimState struct {
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
	version        uint64
	queued         bool
	inFlight       bool
	writes         []claimWrite
	answer         Answer
	stored         record
	objectCall     uint64
	retryAt        time.Time
	attempts       int
	writeBodyUntil time.Time
}

// deadlines is a heap of requests, earliest deadline first.
type deadlineHeap []*request

// Len returns the number of requests.
func (d deadlineHeap) Len() int { return len(d) }

// Less orders by deadline.
func (d deadlineHeap) Less(i, j int) bool { return d[i].deadline.Before(d[j].deadline) }

// Swap exchanges two requests.
func (d deadlineHeap) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push appends a request.
func (d *deadlineHeap) Push(x any) { *d = append(*d, x.(*request)) }

// Pop removes the last request.
func (d *deadlineHeap) Pop() any {
	last := len(*d) - 1
	r := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return r
}

// expire decides the requests whose callers no longer wait.
func (t *Tracker) expireDeadlines(now time.Time) {
	for len(t.deadlines) > 0 && !now.Before(t.deadlines[0].deadline) {
		r := heap.Pop(&t.deadlines).(*request)
		if r.decided {
			continue
		}
		if r.claim.stage == stageReadingBody {
			// The request has run before, so "not run" would mislead the caller.
			t.decide(r, InProgress{RetryAt: now.Add(t.config.RetryAfter)})
			continue
		}
		t.decide(r, Unavailable{})
		t.detach(r, nil)
	}
	t.compactQueues()
}

// leave takes an undecided request out of its cell; notify is told when its claim is certain to be gone.
func (t *Tracker) detach(r, notify *request) {
	c := r.claim
	if c.owner != r {
		t.reportSettled(notify)
		return
	}
	c.owner = nil
	if c.inFlight {
		c.notify = notify
		return
	}
	if c.version != 0 {
		// The row is ours and its write was to be repeated with a later dispatch deadline.
		c.notify = notify
		c.stage = stageReleasing
		return
	}
	t.reportSettled(notify)
	t.claimForNextWaiter(c)
}

// decide reports the outcome of r, once.
func (t *Tracker) decide(r *request, o Outcome) {
	if r.decided {
		return
	}
	r.decided = true
	if _, granted := o.(Granted); !granted {
		delete(t.requests, r.id)
	}
	t.emit(Decided{Request: r.id, Outcome: o})
}

func (t *Tracker) reportSettled(r *request) {
	if r != nil {
		t.emit(Settled{Request: r.id})
	}
}

// promote hands a row without a local holder to the first request that waits for it.
func (t *Tracker) claimForNextWaiter(c *claimState) {
	for len(c.waiters) > 0 {
		r := c.waiters[0]
		c.waiters = c.waiters[1:]
		if !r.decided {
			t.startClaim(c, r)
			return
		}
	}
	t.remove(c)
}

// drop forgets a row that no local request is concerned with.
func (t *Tracker) remove(c *claimState) {
	if c.queued {
		t.removedQueued++
	}
	c.stage = stageRemoved
	c.owner, c.answer, c.stored = nil, Answer{}, record{}
	delete(t.claims, c.name)
}

// claim starts a claim for r with a new claimant id.
func (t *Tracker) startClaim(c *claimState, r *request) {
	c.stage = stageClaiming
	c.owner, c.notify = r, nil
	c.claimant, c.digest = t.newClaimant(), r.digest
	c.version, c.writes = 0, nil
	t.enqueue(c)
}

// everyone empties the cell and returns all requests in it that are undecided, the owner first.
func (c *claimState) takeUndecided() []*request {
	var undecided []*request
	for _, r := range append([]*request{c.owner}, c.waiters...) {
		if r != nil && !r.decided {
			undecided = append(undecided, r)
		}
	}
	c.owner, c.waiters = nil, nil
	return undecided
}
