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

	// bulkSlotDivisor limits bulk to a third of the slots while the small class is active.
	bulkSlotDivisor = 3

	// bulkTimeDivisor guarantees bulk an eighth of the slot time however many small requests wait, which prevents
	// starvation. With cold caches in internal/policy, a sixth raised the small requests' p99 to 1.9 times the p99
	// without a flood of bulk, an eighth to 1.5 times.
	bulkTimeDivisor = 8

	// maxBulkDelay is how long bulk that exceeded its guaranteed share may be postponed. In internal/policy, cold caches
	// are warm again within this second after a move of traffic.
	maxBulkDelay = time.Second

	// smallMeanTime is the time constant of the moving average of the number of small requests.
	smallMeanTime = time.Second

	// serviceTimeWeight is the weight of one sample in the moving average of service times. A sixteenth averages out
	// single slow requests and follows a change within some tens of requests.
	serviceTimeWeight = 1.0 / 16
)

// class schedules the flows of one class; virtualTime is the start tag of the item that was served last.
type class struct {
	name            note.Class
	virtualTime     float64
	backlog         flowHeap
	idle            flowHeap
	waiting         int
	inFlight        int
	meanServiceTime time.Duration // moving average; zero before the first sample
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

// bulkSlotLimit is the number of slots that bulk may occupy while the small class is active.
//
// It is at least one, because bulk would otherwise never run with fewer than three slots.
func (q *Queue) bulkSlotLimit() int {
	return max(1, q.slots/bulkSlotDivisor)
}

// smallActive reports whether small requests wait or one arrived within SmallIdleTimeout.
func (q *Queue) smallActive(now time.Time) bool {
	return q.classes[small].waiting > 0 || now.Before(q.smallActiveUntil)
}

// updateSmallMean updates the moving average of the number of small requests, waiting and in flight.
func (q *Queue) updateSmallMean(now time.Time) {
	elapsed := now.Sub(q.smallMeanAt)
	if elapsed <= 0 {
		return
	}
	count := float64(q.classes[small].inFlight + q.classes[small].waiting)
	q.smallMean += (count - q.smallMean) * -math.Expm1(-float64(elapsed)/float64(smallMeanTime))
	q.smallMeanAt = now
}

// smallReserve is the number of slots reserved for small requests: their mean number and a margin for its variation.
//
// The margin is a quarter of the standard deviation of Poisson arrivals. Without it, the small requests' p99 in the
// Zadruga drains of internal/policy is 1.3 to 1.4 times the p99 of an organisation alone on the service, instead of 1.2
// to 1.3 times. With a whole standard deviation, 0.2% to 0.3% of the requests within their rate, all of them bulk, are
// refused or expire, instead of less than 0.1%.
func (q *Queue) smallReserve() float64 {
	return q.smallMean + 0.25*math.Sqrt(q.smallMean)
}

// bulkFits reports whether one more bulk request leaves the reserve of the small class free. Without the reserve, bulk
// occupies its whole third whenever the small class is briefly not backlogged, and small requests queue although their
// own load does not fill the slots.
func (q *Queue) bulkFits() bool {
	return float64(q.classes[bulk].inFlight)+1+q.smallReserve() <= float64(q.slots)
}

// meanBulkSlots estimates the mean number of slots available to bulk while the small class is active.
func (q *Queue) meanBulkSlots() float64 {
	slots := float64(q.slots)
	return min(float64(q.bulkSlotLimit()), max(slots/bulkTimeDivisor, slots-q.smallReserve()))
}

// pickClass returns the class to be served next, or nil if none is eligible.
func (q *Queue) pickClass(now time.Time) *class {
	s, b := &q.classes[small], &q.classes[bulk]
	switch {
	case b.waiting == 0:
		return s.nilIfEmpty()
	case !q.smallActive(now):
		return b
	case b.inFlight >= q.bulkSlotLimit():
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

// nilIfEmpty returns c, or nil if c has no waiting items.
func (c *class) nilIfEmpty() *class {
	if c.waiting == 0 {
		return nil
	}
	return c
}

// postponeBulk moves bulkDue by the interval at which bulk requests of mean service time use exactly their guaranteed
// share of the slot time.
//
// The intervals of bulk requests that ran beyond that share on idle slots add up, to maxBulkDelay at most, so that a
// burst of small requests does not compete with even more bulk.
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

// estimateWait estimates the queueing delay of a new item of the class with itemsAhead items before it.
func (q *Queue) estimateWait(now time.Time, c *class, itemsAhead int) time.Duration {
	if q.slots <= 0 {
		return 0
	}
	inFlight := q.classes[small].inFlight + q.classes[bulk].inFlight
	slots, free := float64(q.slots), q.slots-inFlight
	switch {
	case c.name == note.Small:
		slots -= float64(q.classes[bulk].inFlight)
	case q.smallActive(now):
		slots = q.meanBulkSlots()
		free = min(free, int(slots)-c.inFlight)
	}
	excess := itemsAhead + 1 - max(free, 0)
	if excess <= 0 {
		return 0
	}
	return time.Duration(float64(excess) * float64(c.meanServiceTime) / max(slots, 1.0/bulkTimeDivisor))
}

// estimatePosition estimates the number of items that are served before a new item of an organisation.
//
// Every other backlogged organisation is served about as often as this one, but not more often than it has items.
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
