package claim

import (
	"container/heap"
	"time"

	"bluebellhold/id"
)

// request is the state of one Requested event until it is settled.
type request struct {
	id       id.Request
	digest   id.Digest
	deadline time.Time
	claim    *claimState
	decided  bool
}

// stage is the state of a claimState.
type stage int

const (
	stageClaiming    stage = iota // the claim's write is queued or in flight
	stageHeld                     // the owner runs the request
	stageWritingBody              // the response's body is being written to the object store
	stageCompleting               // the write of the response is queued or in flight
	stageReleasing                // the deletion of the claim is queued or in flight
	stageReadingBody              // the body of a stored response is being read
	stagePurging                  // the deletion of an expired row is queued or in flight
	stageRemoved                  // removed from Tracker.claims
)

// claimWrite records one write of a claim row. An earlier write may be delayed and take effect instead of the last one.
type claimWrite struct {
	deadlineMs int64
	dispatchBy time.Time
}

// maxClaimWrites limits the recorded writes per claim. If an evicted write took effect, the row is written again before
// the claim is granted.
const maxClaimWrites = 8

// claimState is the local state of one row. It serialises all local requests for the row.
type claimState struct {
	name     string
	stage    stage
	claimant string
	digest   id.Digest
	// owner is the request that the claim is for; nil once its caller no longer waits.
	owner   *request
	waiters []*request
	// notify is the request to report as settled when the queued or in-flight write is durable.
	notify *request
	// version is the row version that the next write requires; 0 means that there is no row.
	version        uint64
	queued         bool
	inFlight       bool
	writes         []claimWrite
	response       Response
	stored         record
	objectCall     uint64
	retryAt        time.Time
	attempts       int
	writeBodyUntil time.Time
}

// deadlineHeap is a min-heap of requests by deadline.
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

// expireDeadlines decides the requests whose deadline has passed.
func (t *Tracker) expireDeadlines(now time.Time) {
	for len(t.deadlines) > 0 && !now.Before(t.deadlines[0].deadline) {
		r := heap.Pop(&t.deadlines).(*request)
		if r.decided {
			continue
		}
		if r.claim.stage == stageReadingBody {
			// The request has run, so Unavailable would be wrong.
			t.decide(r, InProgress{RetryAt: now.Add(t.config.RetryAfter)})
			continue
		}
		t.decide(r, Unavailable{})
		t.detach(r, nil)
	}
	t.compactQueues()
}

// detach removes an undecided request from its claim. notify, unless nil, is reported as settled once the claim
// certainly has no row.
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
		// This claim wrote the row and is queued to write it again with a later dispatch deadline; it is deleted instead.
		c.notify = notify
		c.stage = stageReleasing
		return
	}
	t.reportSettled(notify)
	t.claimForNextWaiter(c)
}

// decide reports the outcome of r unless it already has one.
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

// claimForNextWaiter starts a claim for the first undecided waiter, or removes c if there is none.
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

// remove discards the local state of a row.
func (t *Tracker) remove(c *claimState) {
	if c.queued {
		t.removedQueued++
	}
	c.stage = stageRemoved
	c.owner, c.response, c.stored = nil, Response{}, record{}
	delete(t.claims, c.name)
}

// startClaim starts a claim for r with a new claimant id.
func (t *Tracker) startClaim(c *claimState, r *request) {
	c.stage = stageClaiming
	c.owner, c.notify = r, nil
	c.claimant, c.digest = t.newClaimant(), r.digest
	c.version, c.writes = 0, nil
	t.enqueue(c)
}

// takeUndecided removes the owner and all waiters and returns those that are undecided, the owner first.
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
