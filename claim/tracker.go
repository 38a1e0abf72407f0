package claim

import (
	"container/heap"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"bluebellhold/id"
)

// Tracker tracks the claims of one instance; New creates one.
type Tracker struct {
	config    Config
	random    *rand.Rand
	effects   []Effect
	lastID    uint64
	requests  map[id.Request]*request
	claims    map[string]*claimState
	deadlines deadlineHeap

	// requeued holds the claims of the last batch that need another write, queue those that have not been in a batch,
	// and purges the expired rows.
	requeued []*claimState
	queue    []*claimState
	purges   []*claimState
	// removedQueued counts the removed claims in requeued and queue.
	removedQueued int
	batch         *writeBatch
	// backoffUntil is the earliest time of the next call to the table; failures counts the failures since the last reset.
	backoffUntil time.Time
	failures     int

	// objectCalls holds the claims with an object call in flight, objectRetries those whose call failed.
	objectCalls   map[uint64]*claimState
	objectRetries []*claimState

	scanID    uint64
	nextScan  time.Time
	scanAfter string
}

// New returns an empty Tracker.
func New(config Config) *Tracker {
	config = config.withDefaults()
	return &Tracker{
		config:      config,
		random:      newRandom(config),
		requests:    make(map[id.Request]*request),
		claims:      make(map[string]*claimState),
		objectCalls: make(map[uint64]*claimState),
	}
}

// newRandom mixes instance and incarnation into the seed, so that processes with the same seed have different claimant
// ids.
func newRandom(config Config) *rand.Rand {
	seed := binary.BigEndian.AppendUint64(nil, config.Seed)
	seed = binary.BigEndian.AppendUint64(seed, uint64(config.Incarnation))
	seed = append(seed, config.Instance...)
	return rand.New(rand.NewChaCha8(sha256.Sum256(seed)))
}

// Stats counts the requests and claims of a Tracker.
type Stats struct {
	// Pending counts requests that wait for an outcome.
	Pending int
	// Held counts requests that were granted a claim and have not finished.
	Held int
	// Unsettled counts claims whose response or deletion is not durable yet.
	Unsettled int
}

// Stats returns the current counts, for a dump of the process's state.
func (t *Tracker) Stats() Stats {
	var stats Stats
	for _, r := range t.requests {
		if !r.decided {
			stats.Pending++
		}
	}
	for _, c := range t.claims {
		switch c.stage {
		case stageHeld:
			stats.Held++
		case stageWritingBody, stageCompleting, stageReleasing:
			stats.Unsettled++
		}
	}
	return stats
}

// Reduce applies one event and returns the effects to execute.
func (t *Tracker) Reduce(now time.Time, e Event) []Effect {
	t.effects = nil
	t.expireDeadlines(now)
	switch e := e.(type) {
	case Requested:
		t.handleRequested(now, e)
	case Finished:
		t.handleFinished(now, e)
	case Released:
		t.handleReleased(e.Request)
	case Abandoned:
		t.handleAbandoned(e.Request)
	case TransactionDone:
		t.handleTransactionDone(now, e)
	case RowsRead:
		t.handleRowsRead(now, e)
	case RowsScanned:
		t.handleRowsScanned(now, e)
	case ObjectRead:
		t.handleObjectRead(now, e)
	case ObjectWritten:
		t.handleObjectWritten(now, e)
	case Tick:
		t.retryObjectCalls(now)
		t.startScan(now)
	}
	t.startTableCall(now)
	return t.effects
}

func (t *Tracker) emit(e Effect) {
	t.effects = append(t.effects, e)
}

func (t *Tracker) nextID() uint64 {
	t.lastID++
	return t.lastID
}

// newClaimant returns a random id that identifies one claim, so that a Tracker recognises the rows that it wrote.
func (t *Tracker) newClaimant() string {
	raw := binary.BigEndian.AppendUint64(nil, t.random.Uint64())
	return hex.EncodeToString(binary.BigEndian.AppendUint64(raw, t.random.Uint64()))
}

func (t *Tracker) handleRequested(now time.Time, e Requested) {
	if _, known := t.requests[e.Request]; known {
		return
	}
	r := &request{id: e.Request, digest: e.Digest, deadline: e.Deadline}
	if !now.Before(e.Deadline) {
		t.decide(r, Unavailable{})
		return
	}
	name := rowName(e)
	c := t.claims[name]
	if c != nil && t.decideLocally(now, c, r) {
		return
	}
	t.requests[r.id] = r
	heap.Push(&t.deadlines, r)
	if c != nil {
		r.claim = c
		c.waiters = append(c.waiters, r)
		return
	}
	c = &claimState{name: name}
	r.claim = c
	t.claims[name] = c
	t.startClaim(c, r)
}

// decideLocally decides r from the local state of the claim, if this instance holds it.
func (t *Tracker) decideLocally(now time.Time, c *claimState, r *request) bool {
	switch c.stage {
	case stageHeld, stageWritingBody, stageCompleting:
	default:
		return false
	}
	if c.digest != r.digest {
		t.decide(r, Mismatch{})
		return true
	}
	if c.stage == stageHeld {
		t.decide(r, InProgress{RetryAt: now.Add(t.config.RetryAfter)})
		return true
	}
	t.decide(r, Replay{Response: c.response})
	return true
}

// heldClaim returns the claim that the request holds, or nil if it holds none.
func (t *Tracker) heldClaim(requestID id.Request) *claimState {
	r := t.requests[requestID]
	if r == nil || r.claim.owner != r || r.claim.stage != stageHeld {
		return nil
	}
	return r.claim
}

func (t *Tracker) handleReleased(requestID id.Request) {
	r := t.requests[requestID]
	if r == nil {
		return
	}
	if !r.decided {
		r.decided = true
		delete(t.requests, requestID)
		t.detach(r, r)
		return
	}
	c := t.heldClaim(requestID)
	if c == nil {
		return
	}
	delete(t.requests, requestID)
	c.owner, c.notify = nil, r
	c.stage = stageReleasing
	t.enqueue(c)
}

func (t *Tracker) handleAbandoned(requestID id.Request) {
	c := t.heldClaim(requestID)
	if c == nil {
		t.handleReleased(requestID)
		return
	}
	delete(t.requests, requestID)
	t.remove(c)
}
