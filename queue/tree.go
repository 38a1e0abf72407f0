package queue

import (
	"time"

	"bluebellhold/id"
)

// node is a waiting item. It is in its flow's treap and in the queue's two heaps.
type node struct {
	item     Item
	sequence uint64 // order of arrival
	pushedAt time.Time
	flow     *flow

	left, right *node
	size        int
	priority    uint64

	heapIndex [2]int // by heapOrder; for an expired item, byDeadline is its index in Queue.expired
	expired   bool
}

// before orders the items of an organisation by deadline, then by arrival.
func (n *node) before(o *node) bool {
	if c := n.item.Deadline.Compare(o.item.Deadline); c != 0 {
		return c < 0
	}
	return n.sequence < o.sequence
}

// mix derives a pseudo-random treap priority from a sequence number (the finaliser of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func treeSize(t *node) int {
	if t == nil {
		return 0
	}
	return t.size
}

func (n *node) updateSize() *node {
	n.size = 1 + treeSize(n.left) + treeSize(n.right)
	return n
}

// insert adds n to the treap t. Its expected depth is logarithmic, and subtree sizes let countAhead run in that time.
func insert(t, n *node) *node {
	if t == nil {
		return n.updateSize()
	}
	if n.priority > t.priority {
		n.left, n.right = split(t, n)
		return n.updateSize()
	}
	if n.before(t) {
		t.left = insert(t.left, n)
	} else {
		t.right = insert(t.right, n)
	}
	return t.updateSize()
}

// split divides t into the nodes ordered before n and the others.
func split(t, n *node) (low, high *node) {
	if t == nil {
		return nil, nil
	}
	if t.before(n) {
		t.right, high = split(t.right, n)
		return t.updateSize(), high
	}
	low, t.left = split(t.left, n)
	return low, t.updateSize()
}

func merge(low, high *node) *node {
	if low == nil {
		return high
	}
	if high == nil {
		return low
	}
	if low.priority > high.priority {
		low.right = merge(low.right, high)
		return low.updateSize()
	}
	high.left = merge(low, high.left)
	return high.updateSize()
}

func remove(t, n *node) *node {
	if t == n {
		t = merge(n.left, n.right)
		n.left, n.right = nil, nil
		return t
	}
	if n.before(t) {
		t.left = remove(t.left, n)
	} else {
		t.right = remove(t.right, n)
	}
	return t.updateSize()
}

func first(t *node) *node {
	for t.left != nil {
		t = t.left
	}
	return t
}

// countAhead returns the number of items that are served before a new item with this deadline.
func countAhead(t *node, deadline time.Time) int {
	count := 0
	for t != nil {
		if t.item.Deadline.After(deadline) {
			t = t.left
			continue
		}
		count += 1 + treeSize(t.left)
		t = t.right
	}
	return count
}

// organisationState is the state of an organisation with items that wait, are in flight or were served recently.
type organisationState struct {
	id       id.Organisation
	flows    [2]flow
	waiting  int
	inFlight int
}
