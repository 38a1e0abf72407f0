package policy_test

import (
	"sort"
	"time"

	"bluebellhold/balance"
	"bluebellhold/id"
	"bluebellhold/queue"
)

var regions = []id.Region{"first", "second", "third"}

func sortRequests(list []*request) {
	sort.Slice(list, func(i, j int) bool { return list[i].item.Request < list[j].item.Request })
}

// ours is the policy under test, with a retry budget of a tenth of the first attempts.
type ours struct {
	queue   *queue.Queue
	chooser *balance.Chooser
	wish    balance.Criteria
	waiting map[id.Request]*request
	budget  float64
}

func newOurs(seed uint64, region int) scheduler {
	return &ours{
		queue: queue.New(queue.Config{}), chooser: balance.New(balance.Config{Seed: seed}),
		wish: balance.Criteria{Regions: regions[region : region+1]}, waiting: map[id.Request]*request{}, budget: 10,
	}
}

func (o *ours) configure(now time.Time, list []balance.Upstream) { o.chooser.SetUpstreams(now, list) }

func (o *ours) push(now time.Time, r *request) bool {
	if o.queue.Push(now, r.item) != nil {
		return false
	}
	o.budget = min(o.budget+0.1, 10)
	o.waiting[r.item.Request] = r
	return true
}

func (o *ours) next(now time.Time, free int) (*request, id.Upstream, bool) {
	item, ok := o.queue.Next(now, id.Slots(free))
	if !ok {
		return nil, "", false
	}
	r := o.waiting[item.Request]
	wish := o.wish
	wish.Exclude = r.exclude
	name, ok := o.chooser.Choose(now, wish)
	if !ok {
		o.queue.Requeue(now, item)
		return nil, "", false
	}
	o.chooser.RecordStart(now, name)
	delete(o.waiting, item.Request)
	return r, name, true
}

func (o *ours) finished(now time.Time, r *request, name id.Upstream, outcome balance.Outcome, took time.Duration) bool {
	o.chooser.RecordOutcome(now, name, outcome, took)
	if _, shed := outcome.(balance.Shed); !shed || o.budget < 1 || !now.Before(r.item.Deadline) {
		o.queue.Done(now, r.item.Class, r.item.Organisation, took)
		return false
	}
	o.budget--
	r.exclude, r.server = append(r.exclude, name), -1
	o.waiting[r.item.Request] = r
	o.queue.Requeue(now, r.item)
	return true
}

func (o *ours) report(now time.Time, name id.Upstream, running int) {
	o.chooser.RecordLoad(now, name, balance.Load{Running: running, Age: 100 * time.Millisecond})
}

func (o *ours) expired(now time.Time) []*request {
	var list []*request
	for _, item := range o.queue.PopExpired(now) {
		list = append(list, o.waiting[item.Request])
		delete(o.waiting, item.Request)
	}
	return list
}

// naive is one queue in order of arrival, round robin over the upstreams and a retry after any failure.
type naive struct {
	list []*request
	head int // of those that wait
	open []id.Upstream
	turn int
}

func newNaive(seed uint64, _ int) scheduler { return &naive{turn: int(seed % 97)} }

func (n *naive) configure(_ time.Time, list []balance.Upstream) {
	n.open = nil
	for _, u := range list {
		if !u.Draining {
			n.open = append(n.open, u.ID)
		}
	}
}

func (n *naive) push(_ time.Time, r *request) bool {
	n.list = append(n.list, r)
	return true
}

func (n *naive) next(_ time.Time, free int) (*request, id.Upstream, bool) {
	if free <= 0 || n.head == len(n.list) || len(n.open) == 0 {
		return nil, "", false
	}
	r := n.list[n.head]
	n.head++
	n.turn++
	return r, n.open[n.turn%len(n.open)], true
}

func (n *naive) finished(now time.Time, r *request, _ id.Upstream, o balance.Outcome, _ time.Duration) bool {
	if _, ok := o.(balance.Succeeded); ok || !now.Before(r.item.Deadline) {
		return false
	}
	r.server = -1
	n.head--
	n.list[n.head] = r
	return true
}

func (n *naive) report(time.Time, id.Upstream, int) {}

func (n *naive) expired(now time.Time) []*request {
	start := n.head
	for n.head < len(n.list) && !now.Before(n.list[n.head].item.Deadline) {
		n.head++
	}
	return n.list[start:n.head]
}
