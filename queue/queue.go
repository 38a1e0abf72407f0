package queue

import (
	"container/heap"
	"time"

	"bluebellhold/id"
	"bluebellhold/note"
)

const (
	defaultLength = 1024
	defaultHold   = time.Second
)

// Config sets the bounds of a Queue; zero fields have usable defaults.
type Config struct {
	// ClassLimit is the largest number of waiting items of each class, 1024 by default. The classes are bounded apart, so
	// that a backlog of bulk never leads to the refusal of small requests.
	ClassLimit int
	// OrganisationLimit is the largest number of waiting items of one organisation in a class, half of ClassLimit by default. An
	// organisation also never has more items than there are places left, so several busy ones leave room for others.
	OrganisationLimit int
	// SmallIdleTimeout is how long bulk stays limited to a third of the slots after the last small request came, 1 s by default.
	// Without it, bulk would take each slot that is free for a moment, and the next small request would wait for the
	// end of a bulk request. A negative value limits bulk only while small requests wait.
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
	config    Config
	classes   [2]class
	tenants   map[id.Organisation]*tenant
	nodes     map[id.Request]*node
	deadlines nodeHeap
	arrivals  nodeHeap
	late      []*node // past their deadline, until PopExpired returns them
	sequence  uint64
	slots     int // running and free slots at the last call of Next
	holdUntil time.Time
	bulkDue   time.Time // when bulk is to be served even if small requests wait
	level     float64   // mean number of small requests that wait or run
	levelAt   time.Time

	spareNodes   []*node
	spareTenants []*tenant
}

// New returns an empty queue.
func New(c Config) *Queue {
	if c.ClassLimit <= 0 {
		c.ClassLimit = defaultLength
	}
	if c.OrganisationLimit <= 0 {
		c.OrganisationLimit = max(1, c.ClassLimit/2)
	}
	if c.SmallIdleTimeout == 0 {
		c.SmallIdleTimeout = defaultHold
	}
	return &Queue{
		config:    c,
		classes:   [2]class{{name: note.Small}, {name: note.Bulk}},
		tenants:   make(map[id.Organisation]*tenant),
		nodes:     make(map[id.Request]*node),
		deadlines: nodeHeap{order: byDeadline},
		arrivals:  nodeHeap{order: byArrival},
	}
}

// Push adds an item or refuses it with a FullError, DeadlineError or DuplicateError.
func (q *Queue) Push(now time.Time, item Item) error {
	q.sweep(now)
	if _, ok := q.nodes[item.Request]; ok {
		return &DuplicateError{Request: item.Request}
	}
	class := index(item.Class)
	if class == small {
		q.holdUntil = now.Add(q.config.SmallIdleTimeout)
	}
	if err := q.admit(now, class, item); err != nil {
		return err
	}
	q.add(now, class, item)
	return nil
}

func (q *Queue) admit(now time.Time, class int, item Item) error {
	var own *flow
	waiting, c := 0, &q.classes[class]
	if t := q.tenants[item.Organisation]; t != nil {
		own = &t.flows[class]
		waiting = size(own.root)
	}
	if bound := min(q.config.OrganisationLimit, q.config.ClassLimit-c.waiting); waiting >= bound {
		return &FullError{Organisation: item.Organisation, Class: c.name, Waiting: waiting, Limit: bound}
	}
	start := now.Add(q.wait(now, c, position(c, own, item.Deadline)))
	if !start.Before(item.Deadline) {
		return &DeadlineError{Deadline: item.Deadline, EstimatedStart: start}
	}
	return nil
}

// add puts an item into the tree and the heaps and its flow into the backlog.
func (q *Queue) add(now time.Time, class int, item Item) {
	q.sequence++
	t := q.tenant(item.Organisation)
	f, c := &t.flows[class], &q.classes[class]
	n := q.newNode()
	*n = node{item: item, sequence: q.sequence, pushed: now, flow: f, priority: mix(q.sequence)}
	f.root = insert(f.root, n)
	q.nodes[item.Request] = n
	heap.Push(&q.deadlines, n)
	heap.Push(&q.arrivals, n)
	if c.name == note.Bulk && c.waiting == 0 && now.After(q.bulkDue) {
		q.postponeBulk(now)
	}
	c.waiting++
	t.waiting++
	if f.heap != &c.backlog {
		f.start = max(f.start, c.virtual)
		f.turn = q.sequence
		f.move(&c.backlog)
	}
}

// Next returns the item to be started now, if any; free is the number of slots that this instance may still use.
//
// The caller starts the item and calls Done when it has ended, or calls Requeue if it could not start it.
func (q *Queue) Next(now time.Time, free id.Slots) (Item, bool) {
	q.sweep(now)
	q.slots = q.classes[small].running + q.classes[bulk].running + max(int(free), 0)
	if free <= 0 {
		return Item{}, false
	}
	c := q.pick(now)
	if c == nil {
		return Item{}, false
	}
	f := c.backlog.flows[0]
	n := first(f.root)
	item := n.item
	q.sequence++
	c.virtual = max(c.virtual, f.start)
	f.start += toCost(item.Cost)
	f.turn = q.sequence
	if c.name == note.Bulk {
		q.postponeBulk(now)
	}
	c.running++
	f.tenant.running++
	q.detach(n)
	q.free(n)
	q.forget(c)
	return item, true
}

// Requeue puts back an item that Next returned and that was not started, without charge to its organisation.
//
// Bounds don't apply: the item had a place before.
func (q *Queue) Requeue(now time.Time, item Item) {
	q.observe(now)
	class := index(item.Class)
	t := q.end(class, item.Organisation)
	if t == nil {
		return
	}
	f := &t.flows[class]
	f.start = max(f.start-toCost(item.Cost), 0)
	if f.heap != nil {
		f.move(f.heap)
	}
	q.add(now, class, item)
}

// Done reports that an item that Next returned has ended; a took of zero says that its service time is not known.
func (q *Queue) Done(now time.Time, class note.Class, organisation id.Organisation, took time.Duration) {
	q.observe(now)
	i := index(class)
	t := q.end(i, organisation)
	if t == nil {
		return
	}
	q.classes[i].measure(took)
	q.release(t)
}

func (q *Queue) end(class int, organisation id.Organisation) *tenant {
	t := q.tenants[organisation]
	if t == nil || t.running == 0 || q.classes[class].running == 0 {
		return nil
	}
	t.running--
	q.classes[class].running--
	return t
}

// Remove takes a waiting item out, for example because its caller is gone.
func (q *Queue) Remove(request id.Request) (Item, bool) {
	n := q.nodes[request]
	if n == nil {
		return Item{}, false
	}
	item := n.item
	delete(q.nodes, request)
	if n.late {
		q.late[n.position[byDeadline]] = nil
	} else {
		q.detach(n)
	}
	q.free(n)
	return item, true
}

// PopExpired returns the items whose deadline has passed, each once; they were not started.
func (q *Queue) PopExpired(now time.Time) []Item {
	q.sweep(now)
	if len(q.late) == 0 {
		return nil
	}
	items := make([]Item, 0, len(q.late))
	for i, n := range q.late {
		if n == nil {
			continue
		}
		items = append(items, n.item)
		q.late[i] = nil
		q.free(n)
	}
	q.late = q.late[:0]
	return items
}

// Len returns the number of waiting items whose deadline had not passed at the last call.
func (q *Queue) Len() int {
	return len(q.deadlines.nodes)
}

// OldestPushTime returns the time at which the longest waiting item was pushed or returned.
func (q *Queue) OldestPushTime() (time.Time, bool) {
	if len(q.arrivals.nodes) == 0 {
		return time.Time{}, false
	}
	return q.arrivals.nodes[0].pushed, true
}
