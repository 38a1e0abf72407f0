package policy_test

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"bluebellhold/balance"
	"bluebellhold/id"
	"bluebellhold/note"
	"bluebellhold/queue"
)

var startTime = time.Unix(0, 0)

// requestKind is a kind of request: its class, its service time as a fixed part and an exponentially distributed one, and
// the caller's timeout.
type requestKind struct {
	class                    note.Class
	fixedTime, meanExtraTime time.Duration
	timeout                  time.Duration
	isIdempotent             bool
	share                    float64 // of the requests of an organisation within its rate
	floodShare               float64 // of the requests of the organisation above its rate
}

// request is one arrival. Its service time is drawn beforehand, so that all schedulers get the same load.
type request struct {
	organisation             int
	kind                     *requestKind
	region                   int
	instanceDraw             uint64 // selects the instance
	arrivalTime, serviceTime time.Duration

	item          queue.Item
	excluded      []id.Upstream
	startedAt     time.Duration
	upstreamIndex int  // -1 while the request waits
	isOverload    bool // all slots of the upstream were in use at the start
}

// upstream is a simulated upstream that sheds requests above its slots.
type upstream struct {
	name                       id.Upstream
	region, slots              int
	running                    int
	coldRequests               int  // number of next requests with three times the service time
	isMisreporting, isDraining bool // misreporting: reports no load, sheds half of the requests, slows the others 5 times
	starts, startsAtDrainBound int  // at the drain bound: number of starts until 2 s after the drain was accepted
}

// scheduler is the queueing and balancing policy of one instance.
type scheduler interface {
	setUpstreams(now time.Time, list []balance.Upstream)
	push(now time.Time, r *request) bool
	next(now time.Time, freeSlots int) (*request, id.Upstream, bool)
	recordOutcome(now time.Time, r *request, name id.Upstream, outcome balance.Outcome, serviceTime time.Duration) (isRequeued bool)
	recordLoad(now time.Time, name id.Upstream, running int)
	popExpired(now time.Time) []*request
}

type instance struct {
	scheduler
	region     int
	slotShares []int // this instance's share of each upstream's slots
	running    []int // requests on each upstream
	isKilled   bool
	pending    map[*request]bool // waiting or running
}

// freeSlots returns the instance's unused share of the slots of upstreams that are not draining.
func (i *instance) freeSlots() int {
	free := 0
	for n, share := range i.slotShares {
		if share > 0 {
			free += share - i.running[n]
		}
	}
	return free
}

// event is a scheduled call; seq keeps events of the same time in order.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []*event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// sim is a discrete-event simulation of one scheduler over a list of arrivals.
type sim struct {
	now         time.Duration
	seq         int
	events      eventHeap
	random      *rand.Rand
	upstreams   []*upstream
	indexByName map[id.Upstream]int
	instances   []*instance
	reportsLoad bool // load reports are delivered
	onDone      func(r *request, latency time.Duration, ok bool)
	overloads   int // requests sent to an upstream whose slots were all in use
}

func (s *sim) currentTime() time.Time { return startTime.Add(s.now) }

func (s *sim) schedule(delay time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, &event{at: s.now + delay, seq: s.seq, run: run})
}

func (s *sim) scheduleEvery(delay, end time.Duration, run func()) {
	s.schedule(delay, func() {
		run()
		if s.now < end {
			s.scheduleEvery(delay, end, run)
		}
	})
}

func (s *sim) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(*event)
		s.now = e.at
		e.run()
	}
}

// liveInstances returns the instances of a region that have not been killed.
func (s *sim) liveInstances(region int) []*instance {
	var live []*instance
	for _, i := range s.instances {
		if i.region == region && !i.isKilled {
			live = append(live, i)
		}
	}
	return live
}

// divideSlots divides each upstream's slots among the live instances of its region. The shares sum up to the slots.
func (s *sim) divideSlots(region int) {
	live := s.liveInstances(region)
	for n, i := range live {
		s.setSlotShares(i, n, len(live))
	}
}

func (s *sim) setSlotShares(i *instance, index, liveCount int) {
	var upstreams []balance.Upstream
	clear(i.slotShares)
	for j, u := range s.upstreams {
		if u.region != i.region {
			continue
		}
		share := (u.slots + (index+j)%liveCount) / liveCount
		upstreams = append(upstreams, balance.Upstream{
			ID: u.name, Region: regions[u.region], Slots: id.Slots(share), Draining: u.isDraining,
		})
		if !u.isDraining {
			i.slotShares[j] = share
		}
	}
	i.scheduler.setUpstreams(s.currentTime(), upstreams)
	s.dispatch(i)
}

// scheduleArrivals schedules the arrivals of a list that is sorted by time.
func (s *sim) scheduleArrivals(arrivals []request) {
	if len(arrivals) == 0 {
		return
	}
	s.schedule(arrivals[0].arrivalTime-s.now, func() {
		s.arrive(&arrivals[0])
		s.scheduleArrivals(arrivals[1:])
	})
}

// arrive passes a request to a live instance of its region, as callers fail over to another instance.
func (s *sim) arrive(r *request) {
	live := s.liveInstances(r.region)
	i := live[r.instanceDraw%uint64(len(live))]
	if s.now >= r.arrivalTime+r.kind.timeout || !i.push(s.currentTime(), r) {
		s.completeRequest(r, false)
		return
	}
	i.pending[r] = true
	s.dispatch(i)
}

func (s *sim) completeRequest(r *request, ok bool) {
	s.onDone(r, s.now-r.arrivalTime+9*time.Millisecond, ok)
}

func (s *sim) dispatch(i *instance) {
	if i.isKilled {
		return
	}
	for _, r := range i.popExpired(s.currentTime()) {
		delete(i.pending, r)
		s.completeRequest(r, false)
	}
	for {
		r, name, ok := i.next(s.currentTime(), i.freeSlots())
		if !ok {
			return
		}
		s.startRequest(i, r, s.indexByName[name])
	}
}

func (s *sim) startRequest(i *instance, r *request, index int) {
	u := s.upstreams[index]
	r.startedAt, r.upstreamIndex, r.isOverload = s.now, index, u.running >= u.slots
	u.starts++
	i.running[index]++
	serviceTime, outcome := r.serviceTime, balance.Outcome(balance.Succeeded{})
	if u.coldRequests > 0 {
		u.coldRequests--
		serviceTime *= 3
	}
	if r.isOverload {
		s.overloads++
	} else {
		u.running++
	}
	if r.isOverload || u.isMisreporting && s.random.IntN(2) == 0 {
		serviceTime, outcome = time.Millisecond, balance.Shed{}
	} else if u.isMisreporting {
		serviceTime *= 5
	}
	s.schedule(serviceTime+time.Millisecond, func() { s.finishRequest(i, r, u, outcome) })
}

func (s *sim) finishRequest(i *instance, r *request, u *upstream, outcome balance.Outcome) {
	if i.isKilled {
		return
	}
	if !r.isOverload {
		u.running--
	}
	i.running[r.upstreamIndex]--
	isRequeued := i.recordOutcome(s.currentTime(), r, u.name, outcome, s.now-r.startedAt)
	if _, ok := outcome.(balance.Succeeded); ok || !isRequeued {
		delete(i.pending, r)
		s.completeRequest(r, ok)
	}
	s.dispatch(i)
}

// kill kills an instance. Callers retry its waiting requests and its running idempotent ones on another instance.
func (s *sim) kill(i *instance) {
	i.isKilled = true
	var orphaned []*request
	for r := range i.pending {
		orphaned = append(orphaned, r)
		if r.upstreamIndex >= 0 && !r.isOverload {
			s.upstreams[r.upstreamIndex].running--
		}
	}
	sortRequests(orphaned)
	for _, r := range orphaned {
		isRetried := r.kind.isIdempotent || r.upstreamIndex < 0
		r.upstreamIndex, r.excluded = -1, nil
		if !isRetried {
			s.completeRequest(r, false)
			continue
		}
		s.schedule(10*time.Millisecond, func() { s.arrive(r) })
	}
}
