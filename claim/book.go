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

// Book holds the claims of one instance; New makes one.
type Tracker struct {
	config    Config
	random    *rand.Rand
	out       []Effect
	lastID    uint64
	requests  map[id.Request]*request
	cells     map[string]*cell
	deadlines deadlines

	// again holds the cells that are left of the last group, queue the newcomers and clears the expired rows.
	again  []*cell
	queue  []*cell
	clears []*cell
	// queueGone counts the cells in again and queue that no longer need a write.
	queueGone int
	flight    *flight
	// holdUntil delays the next call to the table after failures.
	holdUntil time.Time
	failures  int

	// calls holds the cells with an object call in flight, resting those whose call failed.
	calls   map[uint64]*cell
	resting []*cell

	scanID  uint64
	scanAt  time.Time
	scanned string
}

// New returns an empty Book.
func New(config Config) *Tracker {
	config = config.withDefaults()
	return &Tracker{
		config:   config,
		random:   newRandom(config),
		requests: make(map[id.Request]*request),
		cells:    make(map[string]*cell),
		calls:    make(map[uint64]*cell),
	}
}

// newRandom seeds by instance and incarnation as well, so that a seed shared by mistake gives no equal claimant ids.
func newRandom(config Config) *rand.Rand {
	seed := binary.BigEndian.AppendUint64(nil, config.Seed)
	seed = binary.BigEndian.AppendUint64(seed, uint64(config.Incarnation))
	seed = append(seed, config.Instance...)
	return rand.New(rand.NewChaCha8(sha256.Sum256(seed)))
}

// Load counts what a Book currently holds.
type Stats struct {
	// Undecided counts requests that wait for an outcome.
	Pending int
	// Held counts requests that were won and have not finished.
	Held int
	// Unsettled counts rows whose answer or deletion is not durable yet.
	Unsettled int
}

// Load returns the current counts for a dump of the process's state.
func (b *Tracker) Stats() Stats {
	var l Stats
	for _, r := range b.requests {
		if !r.decided {
			l.Pending++
		}
	}
	for _, c := range b.cells {
		switch c.stage {
		case stageHeld:
			l.Held++
		case stageStoring, stageCompleting, stageReleasing:
			l.Unsettled++
		}
	}
	return l
}

// Reduce takes one event and returns what has to be done.
func (b *Tracker) Reduce(now time.Time, e Event) []Effect {
	b.out = nil
	b.expire(now)
	switch e := e.(type) {
	case Requested:
		b.wanted(now, e)
	case Finished:
		b.finished(now, e)
	case Released:
		b.released(e.Request)
	case Abandoned:
		b.abandoned(e.Request)
	case TransactionDone:
		b.transactionDone(now, e)
	case RowsRead:
		b.rowsRead(now, e)
	case RowsScanned:
		b.rowsScanned(now, e)
	case ObjectRead:
		b.objectRead(now, e)
	case ObjectWritten:
		b.objectWritten(now, e)
	case Tick:
		b.wake(now)
		b.scan(now)
	}
	b.advance(now)
	return b.out
}

func (b *Tracker) emit(e Effect) {
	b.out = append(b.out, e)
}

func (b *Tracker) nextID() uint64 {
	b.lastID++
	return b.lastID
}

func (b *Tracker) newClaimant() string {
	raw := binary.BigEndian.AppendUint64(nil, b.random.Uint64())
	return hex.EncodeToString(binary.BigEndian.AppendUint64(raw, b.random.Uint64()))
}

func (b *Tracker) wanted(now time.Time, e Requested) {
	if _, known := b.requests[e.Request]; known {
		return
	}
	r := &request{id: e.Request, digest: e.Digest, deadline: e.Deadline}
	if !now.Before(e.Deadline) {
		b.decide(r, Unavailable{})
		return
	}
	name := rowName(e)
	c := b.cells[name]
	if c != nil && b.decideLocally(now, c, r) {
		return
	}
	b.requests[r.id] = r
	heap.Push(&b.deadlines, r)
	if c != nil {
		r.cell = c
		c.waiters = append(c.waiters, r)
		return
	}
	c = &cell{name: name}
	r.cell = c
	b.cells[name] = c
	b.claim(c, r)
}

// decideLocally decides r if this instance holds the row's claim and knows how far it is.
func (b *Tracker) decideLocally(now time.Time, c *cell, r *request) bool {
	switch c.stage {
	case stageHeld, stageStoring, stageCompleting:
	default:
		return false
	}
	if c.digest != r.digest {
		b.decide(r, Mismatch{})
		return true
	}
	if c.stage == stageHeld {
		b.decide(r, InProgress{RetryAt: now.Add(b.config.RetryAfter)})
		return true
	}
	b.decide(r, Replay{Answer: c.answer})
	return true
}

// held returns the cell of a request that was won.
func (b *Tracker) held(n id.Request) *cell {
	r := b.requests[n]
	if r == nil || r.cell.owner != r || r.cell.stage != stageHeld {
		return nil
	}
	return r.cell
}

func (b *Tracker) released(n id.Request) {
	r := b.requests[n]
	if r == nil {
		return
	}
	if !r.decided {
		r.decided = true
		delete(b.requests, n)
		b.leave(r, r)
		return
	}
	c := b.held(n)
	if c == nil {
		return
	}
	delete(b.requests, n)
	c.owner, c.notify = nil, r
	c.stage = stageReleasing
	b.enqueue(c)
}

func (b *Tracker) abandoned(n id.Request) {
	c := b.held(n)
	if c == nil {
		b.released(n)
		return
	}
	delete(b.requests, n)
	b.drop(c)
}
