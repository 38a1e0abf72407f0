package queue

import (
	"math"
	"time"

	"bluebellhold/id"
	"bluebellhold/note"
)

const (
	small = 0
	bulk  = 1

	// bulkMost is the fraction of the slots that bulk may hold while there is demand for small requests: a third.
	bulkSlotDivisor = 3

	// bulkShare is the fraction of the slot time that bulk gets however many small requests wait: an eighth, so that it
	// is never starved. In internal/policy a sixth raised the small requests' p99 to 1.9 times the p99 without a flood
	// of bulk when caches were cold, an eighth to 1.5 times.
	bulkTimeDivisor = 8

	// bulkDebt is how long bulk that ran ahead of its share may be postponed: a second, in which requests that find cold
	// caches after a move have warmed them in internal/policy.
	maxBulkDelay = time.Second

	// levelTime is the time over which the number of small requests is averaged.
	smallMeanTime = time.Second

	// tookWeight is the weight of one measured service time in the running mean. A sixteenth averages out single slow
	// requests and follows a change within some tens of requests.
	serviceTimeWeight = 1.0 / 16
)

// class schedules the flows of one class; virtual is the start of the item that was served last.
type class struct {
	name            note.Class
	virtualTime     float64
	backlog         flowHeap
	idle            flowHeap
	waiting         int
	running         int
	meanServiceTime time.Duration // running mean of service times; zero until one is known
}

func (c *class) recordServiceTime(serviceTime time.Duration) {
	if serviceTime <= 0 {
		return
	}
	if c.meanServiceTime == 0 {
		c.meanServiceTime = serviceTime
		return
	}
	c.meanServiceTime += time.Duration(float64(serviceTime-c.meanServiceTime) * serviceTimeWeight)
}

func classIndex(name note.Class) int {
	if name == note.Bulk {
		return bulk
	}
	return small
}

// bulkBound is the number of slots that bulk may hold while there is demand for small requests.
//
// It is at least one: with fewer than three slots bulk would otherwise never run.
func (q *Queue) bulkSlotLimit() int {
	return max(1, q.slots/bulkSlotDivisor)
}

// demand reports whether small requests wait or came within the hold time.
func (q *Queue) smallActive(now time.Time) bool {
	return q.classes[small].waiting > 0 || now.Before(q.smallActiveUntil)
}

// observe keeps the mean number of small requests in the queue and on upstreams, over about the last second.
func (q *Queue) updateSmallMean(now time.Time) {
	elapsed := now.Sub(q.smallMeanAt)
	if elapsed <= 0 {
		return
	}
	count := float64(q.classes[small].running + q.classes[small].waiting)
	q.smallMean += (count - q.smallMean) * -math.Expm1(-float64(elapsed)/float64(smallMeanTime))
	q.smallMeanAt = now
}

// need is the number of slots that small requests need: their mean number and a margin for its variation.
//
// The margin is a quarter of the standard deviation of random arrivals. Without it, the small requests' p99 in the
// Zadruga drains of internal/policy was 1.3 to 1.4 times the p99 alone instead of 1.2 to 1.3; with a whole deviation,
// 0.2% to 0.3% of the in-rate requests, all bulk, were refused or expired instead of less than 0.1%.
func (q *Queue) smallReserve() float64 {
	return q.smallMean + 0.25*math.Sqrt(q.smallMean)
}

// bulkFits reports whether one more bulk request leaves the slots that small requests need. Without this, bulk takes
// its whole third whenever no small request waits for a moment, and small requests queue although their load alone
// would not fill the slots.
func (q *Queue) bulkFits() bool {
	return float64(q.classes[bulk].running)+1+q.smallReserve() <= float64(q.slots)
}

// bulkSlots estimates how many slots bulk has on average while there is demand for small requests.
func (q *Queue) meanBulkSlots() float64 {
	slots := float64(q.slots)
	return min(float64(q.bulkSlotLimit()), max(slots/bulkTimeDivisor, slots-q.smallReserve()))
}

// pick returns the class to be served next or nil if none may be.
func (q *Queue) pickClass(now time.Time) *class {
	s, b := &q.classes[small], &q.classes[bulk]
	switch {
	case b.waiting == 0:
		return s.nilIfEmpty()
	case !q.smallActive(now):
		return b
	case b.running >= q.bulkSlotLimit():
		return s.nilIfEmpty()
	case !now.Before(q.bulkDue):
		return b
	case s.waiting > 0:
		return s
	case q.bulkFits():
		return b
	}
	return nil
}

// orNil returns c if an item of it waits.
func (c *class) nilIfEmpty() *class {
	if c.waiting == 0 {
		return nil
	}
	return c
}

// postponeBulk sets when bulk is due: a request of mean length each time keeps to its share of the slot time.
//
// What bulk ran beyond its share on slots that small requests left free postpones it too, by bulkDebt at most, so that
// a burst of small requests does not first wait for still more bulk.
func (q *Queue) postponeBulk(now time.Time) {
	serviceTime := max(q.classes[bulk].meanServiceTime, time.Millisecond)
	interval := serviceTime * bulkTimeDivisor / time.Duration(max(q.slots, 1))
	due := now.Add(interval)
	if accrued := q.bulkDue.Add(interval); accrued.After(due) {
		due = accrued
	}
	if latest := now.Add(max(interval, maxBulkDelay)); due.After(latest) {
		due = latest
	}
	q.bulkDue = due
}

// wait estimates how long a new item of the class would wait behind count others.
func (q *Queue) estimateWait(now time.Time, c *class, itemsAhead int) time.Duration {
	if q.slots <= 0 {
		return 0
	}
	running := q.classes[small].running + q.classes[bulk].running
	slots, free := float64(q.slots), q.slots-running
	switch {
	case c.name == note.Small:
		slots -= float64(q.classes[bulk].running)
	case q.smallActive(now):
		slots = q.meanBulkSlots()
		free = min(free, int(slots)-c.running)
	}
	excess := itemsAhead + 1 - max(free, 0)
	if excess <= 0 {
		return 0
	}
	return time.Duration(float64(excess) * float64(c.meanServiceTime) / max(slots, 1.0/bulkTimeDivisor))
}

// position estimates the number of items that are served before a new item of an organisation.
//
// Each other organisation that waits is served about as often as this one, but not more often than it has items.
func estimatePosition(c *class, f *flow, deadline time.Time) int {
	if f == nil {
		return min(c.waiting, len(c.backlog.flows))
	}
	ownAhead := countAhead(f.root, deadline)
	otherFlows := len(c.backlog.flows)
	if f.root != nil {
		otherFlows--
	}
	return ownAhead + min(c.waiting-treeSize(f.root), (ownAhead+1)*otherFlows)
}

func chargedCost(t id.Tokens) float64 {
	if t <= 0 {
		return 1
	}
	return float64(t)
}
