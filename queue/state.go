package queue

import (
	"container/heap"
	"time"

	"bluebellhold/id"
)

// expire dequeues the items whose deadline has passed, so that none is started and none counts towards a limit.
func (q *Queue) expire(now time.Time) {
	q.updateSmallMean(now)
	for len(q.deadlines.nodes) > 0 {
		n := q.deadlines.nodes[0]
		if now.Before(n.item.Deadline) {
			return
		}
		q.detach(n)
		n.expired = true
		n.heapIndex[byDeadline] = len(q.expired)
		q.expired = append(q.expired, n)
	}
}

// detach removes a waiting item from the tree and the heaps.
func (q *Queue) detach(n *node) {
	f := n.flow
	o, c := f.organisation, &q.classes[classIndex(n.item.Class)]
	f.root = remove(f.root, n)
	heap.Remove(&q.deadlines, n.heapIndex[byDeadline])
	heap.Remove(&q.arrivals, n.heapIndex[byArrival])
	c.waiting--
	o.waiting--
	switch {
	case f.root != nil:
		f.moveTo(&c.backlog)
	case f.startTag > c.virtualTime:
		f.moveTo(&c.idle)
	default:
		f.deactivate()
		q.dropIfUnused(o)
	}
	if c.waiting == 0 {
		q.endBusyPeriod(c)
	}
}

// pruneIdle deactivates the idle flows whose start tag the virtual time has passed.
func (q *Queue) pruneIdle(c *class) {
	for len(c.idle.flows) > 0 && c.idle.flows[0].startTag <= c.virtualTime {
		f := c.idle.flows[0]
		f.deactivate()
		q.dropIfUnused(f.organisation)
	}
}

// endBusyPeriod resets the class when nothing waits, which clears the charges of all organisations.
//
// Virtual time restarts at zero, which also keeps it small enough for exact floating-point sums.
func (q *Queue) endBusyPeriod(c *class) {
	for i, f := range c.idle.flows {
		c.idle.flows[i] = nil
		f.heap, f.startTag = nil, 0
		q.dropIfUnused(f.organisation)
	}
	c.idle.flows = c.idle.flows[:0]
	c.virtualTime = 0
}

func (q *Queue) ensureOrganisation(organisation id.Organisation) *organisationState {
	if o := q.organisations[organisation]; o != nil {
		return o
	}
	o := q.newOrganisation()
	*o = organisationState{id: organisation}
	for i := range o.flows {
		o.flows[i].organisation = o
	}
	q.organisations[organisation] = o
	return o
}

// dropIfUnused deletes the state of an organisation that has no items, waiting or in flight, and no outstanding charge.
func (q *Queue) dropIfUnused(o *organisationState) {
	if o.inFlight == 0 && o.flows[small].heap == nil && o.flows[bulk].heap == nil {
		delete(q.organisations, o.id)
		q.organisationPool = append(q.organisationPool, o)
	}
}

func (q *Queue) newOrganisation() *organisationState {
	last := len(q.organisationPool) - 1
	if last < 0 {
		return &organisationState{}
	}
	o := q.organisationPool[last]
	q.organisationPool = q.organisationPool[:last]
	return o
}

func (q *Queue) newNode() *node {
	last := len(q.nodePool) - 1
	if last < 0 {
		return &node{}
	}
	n := q.nodePool[last]
	q.nodePool = q.nodePool[:last]
	return n
}

// recycleNode returns a node to the pool.
func (q *Queue) recycleNode(n *node) {
	delete(q.nodes, n.item.Request)
	*n = node{}
	q.nodePool = append(q.nodePool, n)
}
