package queue

import (
	"time"

	"bluebellhold/id"
	"bluebellhold/note"
)

const (
	small = 0
	bulk  = 1

	// bulkSlots is the fraction of the slots that bulk may hold while there is demand for small requests: a third.
	bulkSlots = 3

	// smallWeight to bulkWeight is the division of slot time while both classes wait. Bulk is guaranteed half of what
	// it may hold, so that it is never starved and still yields to a burst of small requests.
	smallWeight = 5
	bulkWeight  = 1

	// tookWeight is the weight of one measured service time in the running mean. A sixteenth averages out single slow
	// requests and follows a change within some tens of requests.
	tookWeight = 1.0 / 16
)

// class schedules the flows of one class; virtual is the start of the item that was served last.
type class struct {
	name    note.Class
	weight  float64
	virtual float64
	tag     float64 // virtual slot time of the class, compared with the other class's
	backlog flowHeap
	idle    flowHeap
	waiting int
	running int
	took    time.Duration // running mean of service times; zero until one is known
}

// charge is the slot time that one item costs its class, divided by the weight.
func (c *class) charge() float64 {
	return max(c.took.Seconds(), time.Millisecond.Seconds()) / c.weight
}

func (c *class) measure(took time.Duration) {
	if took <= 0 {
		return
	}
	if c.took == 0 {
		c.took = took
		return
	}
	c.took += time.Duration(float64(took-c.took) * tookWeight)
}

func index(name note.Class) int {
	if name == note.Bulk {
		return bulk
	}
	return small
}

// bulkBound is the number of slots that bulk may hold while there is demand for small requests.
//
// It is at least one: with fewer than three slots bulk would otherwise never run.
func (q *Queue) bulkBound() int {
	return max(1, q.slots/bulkSlots)
}

// demand reports whether small requests wait or came within the hold time.
func (q *Queue) demand(now time.Time) bool {
	return q.classes[small].waiting > 0 || now.Before(q.holdUntil)
}

// pick returns the class to be served next or nil if none may be.
func (q *Queue) pick(now time.Time) *class {
	s, b := &q.classes[small], &q.classes[bulk]
	allowed := b.waiting > 0 && (b.running < q.bulkBound() || !q.demand(now))
	switch {
	case s.waiting == 0 && allowed:
		return b
	case s.waiting == 0:
		return nil
	case !allowed:
		// The time during which bulk is held back by its bound gives it no claim to later slots.
		b.tag = max(b.tag, s.tag)
		return s
	case b.tag < s.tag:
		return b
	}
	return s
}

// wait estimates how long a new item of the class would wait behind count others.
func (q *Queue) wait(now time.Time, c *class, count int) time.Duration {
	if q.slots <= 0 {
		return 0
	}
	running := q.classes[small].running + q.classes[bulk].running
	slots := q.slots
	free := q.slots - running
	switch {
	case c.name == note.Small:
		slots -= q.classes[bulk].running
	case q.demand(now):
		slots = q.bulkBound()
		free = min(free, slots-c.running)
	}
	excess := count + 1 - max(free, 0)
	if excess <= 0 {
		return 0
	}
	return time.Duration(float64(excess) * float64(c.took) / float64(max(slots, 1)))
}

// position estimates the number of items that are served before a new item of an organisation.
//
// Each other organisation that waits is served about as often as this one, but not more often than it has items.
func position(c *class, f *flow, deadline time.Time) int {
	if f == nil {
		return min(c.waiting, len(c.backlog.flows))
	}
	own := ahead(f.root, deadline)
	others := len(c.backlog.flows)
	if f.root != nil {
		others--
	}
	return own + min(c.waiting-size(f.root), (own+1)*others)
}

func toCost(t id.Tokens) float64 {
	if t <= 0 {
		return 1
	}
	return float64(t)
}
