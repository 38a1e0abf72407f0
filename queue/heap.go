package queue

import "container/heap"

type heapOrder int

const (
	byDeadline heapOrder = iota
	byArrival
)

// nodeHeap holds all waiting items in one of two orders.
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

// flow is the part of an organisation's work that belongs to one class.
//
// start is the virtual time at which the flow's next item starts. An idle flow is remembered until the virtual time
// has passed its start; after that it has no more claim or debt than a new one.
type flow struct {
	organisation *organisationState
	root         *node
	startTag     float64
	tieBreak     uint64 // breaks ties: the flow whose start was set first is first
	heap         *flowHeap
	heapIndex    int
}

type flowHeap struct {
	flows []*flow
}

// Len returns the number of flows.
func (h *flowHeap) Len() int { return len(h.flows) }

// Less compares two flows by start.
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

// move puts f into the heap to, or into none if to is nil, or restores its place after its start has changed.
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

// drop takes f out of its heap and ends its claim or debt.
func (f *flow) deactivate() {
	f.moveTo(nil)
	f.startTag = 0
}
