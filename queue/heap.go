package queue

import "container/heap"

type heapOrder int

const (
	byDeadline heapOrder = iota
	byArrival
)

// nodeHeap is a heap of all waiting items, ordered by deadline or by arrival.
type nodeHeap struct {
	order heapOrder
	nodes []*node
}

// Len returns the number of items.
func (h *nodeHeap) Len() int { return len(h.nodes) }

// Less compares two items in the heap's order.
func (h *nodeHeap) Less(i, j int) bool {
	if h.order == byArrival {
		return h.nodes[i].sequence < h.nodes[j].sequence
	}
	return h.nodes[i].item.Deadline.Before(h.nodes[j].item.Deadline)
}

// Swap exchanges two items.
func (h *nodeHeap) Swap(i, j int) {
	h.nodes[i], h.nodes[j] = h.nodes[j], h.nodes[i]
	h.nodes[i].heapIndex[h.order] = i
	h.nodes[j].heapIndex[h.order] = j
}

// Push appends an item.
func (h *nodeHeap) Push(x any) {
	n := x.(*node)
	n.heapIndex[h.order] = len(h.nodes)
	h.nodes = append(h.nodes, n)
}

// Pop removes the last item.
func (h *nodeHeap) Pop() any {
	last := len(h.nodes) - 1
	n := h.nodes[last]
	h.nodes[last] = nil
	h.nodes = h.nodes[:last]
	return n
}

// flow holds the items of one organisation in one class.
//
// startTag is the virtual time at which the flow's next item starts. An idle flow is kept until the virtual time has
// passed its start tag; from then on it is equivalent to a new flow.
type flow struct {
	organisation *organisationState
	root         *node
	startTag     float64
	tieBreak     uint64 // orders flows with equal start tags by when the tag was set
	heap         *flowHeap
	heapIndex    int
}

type flowHeap struct {
	flows []*flow
}

// Len returns the number of flows.
func (h *flowHeap) Len() int { return len(h.flows) }

// Less compares two flows by start tag.
func (h *flowHeap) Less(i, j int) bool {
	a, b := h.flows[i], h.flows[j]
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.tieBreak < b.tieBreak
}

// Swap exchanges two flows.
func (h *flowHeap) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].heapIndex = i
	h.flows[j].heapIndex = j
}

// Push appends a flow.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(h.flows)
	f.heap = h
	h.flows = append(h.flows, f)
}

// Pop removes the last flow.
func (h *flowHeap) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	f.heap = nil
	h.flows[last] = nil
	h.flows = h.flows[:last]
	return f
}

// moveTo moves f to another heap, or to none if to is nil, or restores the heap order after a change of the start tag.
func (f *flow) moveTo(to *flowHeap) {
	if f.heap == to && to != nil {
		heap.Fix(to, f.heapIndex)
		return
	}
	if f.heap != nil {
		heap.Remove(f.heap, f.heapIndex)
	}
	if to != nil {
		heap.Push(to, f)
	}
}

// deactivate removes f from its heap and clears its start tag.
func (f *flow) deactivate() {
	f.moveTo(nil)
	f.startTag = 0
}
