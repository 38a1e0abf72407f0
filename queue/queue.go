package queue

import (
	"container/heap"
	"time"

	"bluebellhold/id"
	"bluebellhold/note"
)

const (
	defaultClassLimit       = 1024
	defaultSmallIdleTimeout = time.Second
)

// Config sets the limits of a Queue; zero fields take their defaults.
type Config struct {
	// ClassLimit is the maximum number of waiting items of each class, 1024 by default. The limits of the classes are
	// independent, so that a backlog of bulk never causes the refusal of small requests.
	ClassLimit int
	// OrganisationLimit is the maximum number of waiting items of one organisation in a class, half of ClassLimit by
	// default. An organisation also never has more items than the class has places left, so that several backlogged
	// organisations leave room for others.
	OrganisationLimit int
	// SmallIdleTimeout is how long bulk stays limited to a third of the slots after the arrival of the last small
	// request, 1 s by default. Without it, bulk would occupy every briefly idle slot, and the next small request would
	// wait for a bulk request to finish. A negative value limits bulk only while small requests wait.
	SmallIdleTimeout time.Duration
}

// Item is a request that waits for a slot.
type Item struct {
	Request      id.Request
	Organisation id.Organisation
	Class        note.Class // empty means note.Small
	Cost         id.Tokens  // charged to the organisation; zero means 1
	Deadline     time.Time
}

// Queue holds the waiting requests of one service at one instance.
type Queue struct {
	config           Config
	classes          [2]class
	organisations    map[id.Organisation]*organisationState
	nodes            map[id.Request]*node
	deadlines        nodeHeap
	arrivals         nodeHeap
	expired          []*node // expired items that PopExpired has not returned yet
	sequence         uint64
	slots            int // occupied and free slots at the last call of Next
	smallActiveUntil time.Time
	bulkDue          time.Time // when bulk takes precedence over waiting small requests
	smallMean        float64   // moving average of the number of small requests, waiting and in flight
	smallMeanAt      time.Time

	nodePool         []*node
	organisationPool []*organisationState
}

// New returns an empty queue.
func New(c Config) *Queue {
	if c.ClassLimit <= 0 {
		c.ClassLimit = defaultClassLimit
	}
	if c.OrganisationLimit <= 0 {
		c.OrganisationLimit = max(1, c.ClassLimit/2)
	}
	if c.SmallIdleTimeout == 0 {
		c.SmallIdleTimeout = defaultSmallIdleTimeout
	}
	return &Queue{
		config:        c,
		classes:       [2]class{{name: note.Small}, {name: note.Bulk}},
		organisations: make(map[id.Organisation]*organisationState),
		nodes:         make(map[id.Request]*node),
		deadlines:     nodeHeap{order: byDeadline},
		arrivals:      nodeHeap{order: byArrival},
	}
}

// Push adds an item or rejects it with a FullError, DeadlineError or DuplicateError.
func (q *Queue) Push(now time.Time, item Item) error {
	q.expire(now)
	if _, ok := q.nodes[item.Request]; ok {
		return &DuplicateError{Request: item.Request}
	}
	class := classIndex(item.Class)
	if class == small {
		q.smallActiveUntil = now.Add(q.config.SmallIdleTimeout)
	}
	if err := q.admit(now, class, item); err != nil {
		return err
	}
	q.enqueue(now, class, item)
	return nil
}

func (q *Queue) admit(now time.Time, class int, item Item) error {
	var own *flow
	waiting, c := 0, &q.classes[class]
	if o := q.organisations[item.Organisation]; o != nil {
		own = &o.flows[class]
		waiting = treeSize(own.root)
	}
	if limit := min(q.config.OrganisationLimit, q.config.ClassLimit-c.waiting); waiting >= limit {
		return &FullError{Organisation: item.Organisation, Class: c.name, Waiting: waiting, Limit: limit}
	}
	start := now.Add(q.estimateWait(now, c, estimatePosition(c, own, item.Deadline)))
	if !start.Before(item.Deadline) {
		return &DeadlineError{Deadline: item.Deadline, EstimatedStart: start}
	}
	return nil
}

// enqueue inserts an item into the tree and the heaps and its flow into the backlog.
func (q *Queue) enqueue(now time.Time, class int, item Item) {
	q.sequence++
	o := q.ensureOrganisation(item.Organisation)
	f, c := &o.flows[class], &q.classes[class]
	n := q.newNode()
	*n = node{item: item, sequence: q.sequence, pushedAt: now, flow: f, priority: mix(q.sequence)}
	f.root = insert(f.root, n)
	q.nodes[item.Request] = n
	heap.Push(&q.deadlines, n)
	heap.Push(&q.arrivals, n)
	if c.name == note.Bulk && c.waiting == 0 && now.After(q.bulkDue) {
		q.postponeBulk(now)
	}
	c.waiting++
	o.waiting++
	if f.heap != &c.backlog {
		f.startTag = max(f.startTag, c.virtualTime)
		f.tieBreak = q.sequence
		f.moveTo(&c.backlog)
	}
}

// Next dequeues the item to be started now, if any; free is the number of free slots that this instance may use.
//
// The instance starts the item and calls Done when it has ended, or calls Requeue if it could not start it.
func (q *Queue) Next(now time.Time, free id.Slots) (Item, bool) {
	q.expire(now)
	q.slots = q.classes[small].inFlight + q.classes[bulk].inFlight + max(int(free), 0)
	if free <= 0 {
		return Item{}, false
	}
	c := q.pickClass(now)
	if c == nil {
		return Item{}, false
	}
	f := c.backlog.flows[0]
	n := first(f.root)
	item := n.item
	q.sequence++
	c.virtualTime = max(c.virtualTime, f.startTag)
	f.startTag += chargedCost(item.Cost)
	f.tieBreak = q.sequence
	if c.name == note.Bulk {
		q.postponeBulk(now)
	}
	c.inFlight++
	f.organisation.inFlight++
	q.detach(n)
	q.recycleNode(n)
	q.pruneIdle(c)
	return item, true
}

// Requeue puts back an item that Next returned and that was not started, and refunds its cost to the organisation.
//
// It does not apply the limits, because the item was admitted before.
func (q *Queue) Requeue(now time.Time, item Item) {
	q.updateSmallMean(now)
	class := classIndex(item.Class)
	o := q.releaseSlot(class, item.Organisation)
	if o == nil {
		return
	}
	f := &o.flows[class]
	f.startTag = max(f.startTag-chargedCost(item.Cost), 0)
	if f.heap != nil {
		f.moveTo(f.heap)
	}
	q.enqueue(now, class, item)
}

// Done reports that an item that Next returned has ended; a serviceTime of zero means that it is unknown.
func (q *Queue) Done(now time.Time, class note.Class, organisation id.Organisation, serviceTime time.Duration) {
	q.updateSmallMean(now)
	i := classIndex(class)
	o := q.releaseSlot(i, organisation)
	if o == nil {
		return
	}
	q.classes[i].recordServiceTime(serviceTime)
	q.dropIfUnused(o)
}

func (q *Queue) releaseSlot(class int, organisation id.Organisation) *organisationState {
	o := q.organisations[organisation]
	if o == nil || o.inFlight == 0 || q.classes[class].inFlight == 0 {
		return nil
	}
	o.inFlight--
	q.classes[class].inFlight--
	return o
}

// Remove removes a waiting item, for example because its caller has disconnected.
func (q *Queue) Remove(request id.Request) (Item, bool) {
	n := q.nodes[request]
	if n == nil {
		return Item{}, false
	}
	item := n.item
	delete(q.nodes, request)
	if n.expired {
		q.expired[n.heapIndex[byDeadline]] = nil
	} else {
		q.detach(n)
	}
	q.recycleNode(n)
	return item, true
}

// PopExpired removes and returns the items whose deadline has passed; they were not started.
func (q *Queue) PopExpired(now time.Time) []Item {
	q.expire(now)
	if len(q.expired) == 0 {
		return nil
	}
	items := make([]Item, 0, len(q.expired))
	for i, n := range q.expired {
		if n == nil {
			continue
		}
		items = append(items, n.item)
		q.expired[i] = nil
		q.recycleNode(n)
	}
	q.expired = q.expired[:0]
	return items
}

// Len returns the number of waiting items whose deadline had not passed at the last call.
func (q *Queue) Len() int {
	return len(q.deadlines.nodes)
}

// OldestPushTime returns the time at which the item that has waited longest was pushed or requeued.
func (q *Queue) OldestPushTime() (time.Time, bool) {
	if len(q.arrivals.nodes) == 0 {
		return time.Time{}, false
	}
	return q.arrivals.nodes[0].pushedAt, true
}
