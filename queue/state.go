package queue

import (
	"container/heap"
	"time"

	"bluebellhold/id"
)

// sweep takes out the items whose deadline has passed, so that none is started and none counts against a bound.
func (q *Queue) sweep(now time.Time) {
	q.observe(now)
	for len(q.deadlines.nodes) > 0 {
		n := q.deadlines.nodes[0]
		if now.Before(n.item.Deadline) {
			return
		}
		q.detach(n)
		n.late = true
		n.position[byDeadline] = len(q.late)
		q.late = append(q.late, n)
	}
}

// detach takes a waiting item out of the tree and the heaps.
func (q *Queue) detach(n *node) {
	f := n.flow
	t, c := f.tenant, &q.classes[index(n.item.Class)]
	f.root = remove(f.root, n)
	heap.Remove(&q.deadlines, n.position[byDeadline])
	heap.Remove(&q.arrivals, n.position[byArrival])
	c.waiting--
	t.waiting--
	switch {
	case f.root != nil:
		f.move(&c.backlog)
	case f.start > c.virtual:
		f.move(&c.idle)
	default:
		f.drop()
		q.release(t)
	}
	if c.waiting == 0 {
		q.reset(c)
	}
}

// forget drops the idle flows whose start the virtual time has passed.
func (q *Queue) forget(c *class) {
	for len(c.idle.flows) > 0 && c.idle.flows[0].start <= c.virtual {
		f := c.idle.flows[0]
		f.drop()
		q.release(f.tenant)
	}
}

// reset ends a busy period: nothing waits, so no organisation has a claim or debt against another one.
//
// Virtual time starts at zero again, which also keeps it small enough for exact sums.
func (q *Queue) reset(c *class) {
	for i, f := range c.idle.flows {
		c.idle.flows[i] = nil
		f.heap, f.start = nil, 0
		q.release(f.tenant)
	}
	c.idle.flows = c.idle.flows[:0]
	c.virtual = 0
}

func (q *Queue) tenant(organisation id.Organisation) *tenant {
	if t := q.tenants[organisation]; t != nil {
		return t
	}
	t := q.newTenant()
	*t = tenant{organisation: organisation}
	for i := range t.flows {
		t.flows[i].tenant = t
	}
	q.tenants[organisation] = t
	return t
}

// release drops an organisation that has neither waiting nor running items and no charge to remember.
func (q *Queue) release(t *tenant) {
	if t.running == 0 && t.flows[small].heap == nil && t.flows[bulk].heap == nil {
		delete(q.tenants, t.organisation)
		q.spareTenants = append(q.spareTenants, t)
	}
}

func (q *Queue) newTenant() *tenant {
	last := len(q.spareTenants) - 1
	if last < 0 {
		return &tenant{}
	}
	t := q.spareTenants[last]
	q.spareTenants = q.spareTenants[:last]
	return t
}

func (q *Queue) newNode() *node {
	last := len(q.spareNodes) - 1
	if last < 0 {
		return &node{}
	}
	n := q.spareNodes[last]
	q.spareNodes = q.spareNodes[:last]
	return n
}

// free keeps a node for the next item.
func (q *Queue) free(n *node) {
	delete(q.nodes, n.item.Request)
	*n = node{}
	q.spareNodes = append(q.spareNodes, n)
}
