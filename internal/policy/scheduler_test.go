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

// productScheduler is the scheduler under test: queue and balance, with a retry budget of a tenth of the first attempts.
type productScheduler struct {
	queue       *queue.Queue
	chooser     *balance.Chooser
	criteria    balance.Criteria
	waiting     map[id.Request]*request
	retryTokens float64
}

func newProductScheduler(seed uint64, region int) scheduler {
	return &productScheduler{
		queue: queue.New(queue.Config{}), chooser: balance.New(balance.Config{Seed: seed}),
		criteria: balance.Criteria{Regions: regions[region : region+1]}, waiting: map[id.Request]*request{}, retryTokens: 10,
	}
}

func (p *productScheduler) setUpstreams(now time.Time, list []balance.Upstream) {
	p.chooser.SetUpstreams(now, list)
}

func (p *productScheduler) push(now time.Time, r *request) bool {
	if p.queue.Push(now, r.item) != nil {
		return false
	}
	p.retryTokens = min(p.retryTokens+0.1, 10)
	p.waiting[r.item.Request] = r
	return true
}

func (p *productScheduler) next(now time.Time, freeSlots int) (*request, id.Upstream, bool) {
	item, ok := p.queue.Next(now, id.Slots(freeSlots))
	if !ok {
		return nil, "", false
	}
	r := p.waiting[item.Request]
	criteria := p.criteria
	criteria.Exclude = r.excluded
	name, ok := p.chooser.Choose(now, criteria)
	if !ok {
		p.queue.Requeue(now, item)
		return nil, "", false
	}
	p.chooser.RecordStart(now, name)
	delete(p.waiting, item.Request)
	return r, name, true
}

func (p *productScheduler) recordOutcome(
	now time.Time, r *request, name id.Upstream, outcome balance.Outcome, serviceTime time.Duration,
) bool {
	p.chooser.RecordOutcome(now, name, outcome, serviceTime)
	if _, isShed := outcome.(balance.Shed); !isShed || p.retryTokens < 1 || !now.Before(r.item.Deadline) {
		p.queue.Done(now, r.item.Class, r.item.Organisation, serviceTime)
		return false
	}
	p.retryTokens--
	r.excluded, r.upstreamIndex = append(r.excluded, name), -1
	p.waiting[r.item.Request] = r
	p.queue.Requeue(now, r.item)
	return true
}

func (p *productScheduler) recordLoad(now time.Time, name id.Upstream, running int) {
	p.chooser.RecordLoad(now, name, balance.Load{Running: running, Age: 100 * time.Millisecond})
}

func (p *productScheduler) popExpired(now time.Time) []*request {
	var list []*request
	for _, item := range p.queue.PopExpired(now) {
		list = append(list, p.waiting[item.Request])
		delete(p.waiting, item.Request)
	}
	return list
}

// naiveScheduler is the baseline: one FIFO queue, round robin over the upstreams and a retry after any failure.
type naiveScheduler struct {
	requests  []*request
	head      int // index of the first waiting request
	upstreams []id.Upstream
	cursor    int
}

func newNaiveScheduler(seed uint64, _ int) scheduler { return &naiveScheduler{cursor: int(seed % 97)} }

func (n *naiveScheduler) setUpstreams(_ time.Time, list []balance.Upstream) {
	n.upstreams = nil
	for _, u := range list {
		if !u.Draining {
			n.upstreams = append(n.upstreams, u.ID)
		}
	}
}

func (n *naiveScheduler) push(_ time.Time, r *request) bool {
	n.requests = append(n.requests, r)
	return true
}

func (n *naiveScheduler) next(_ time.Time, freeSlots int) (*request, id.Upstream, bool) {
	if freeSlots <= 0 || n.head == len(n.requests) || len(n.upstreams) == 0 {
		return nil, "", false
	}
	r := n.requests[n.head]
	n.head++
	n.cursor++
	return r, n.upstreams[n.cursor%len(n.upstreams)], true
}

func (n *naiveScheduler) recordOutcome(now time.Time, r *request, _ id.Upstream, outcome balance.Outcome, _ time.Duration) bool {
	if _, ok := outcome.(balance.Succeeded); ok || !now.Before(r.item.Deadline) {
		return false
	}
	r.upstreamIndex = -1
	n.head--
	n.requests[n.head] = r
	return true
}

func (n *naiveScheduler) recordLoad(time.Time, id.Upstream, int) {}

func (n *naiveScheduler) popExpired(now time.Time) []*request {
	start := n.head
	for n.head < len(n.requests) && !now.Before(n.requests[n.head].item.Deadline) {
		n.head++
	}
	return n.requests[start:n.head]
}
