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

var epoch = time.Unix(0, 0)

// kind is a sort of request: its class, time on an upstream (a fixed part and an exponential one) and caller's timeout.
type kind struct {
	class       note.Class
	fixed, mean time.Duration
	timeout     time.Duration
	repeat      bool
	share       float64 // of an ordinary organisation's requests
	flood       float64 // of the requests of the organisation that sends too much
}

// request is one arrival; its demand on an upstream is drawn beforehand, so that all policies see the same.
type request struct {
	organisation int
	kind         *kind
	region       int
	pick         uint64 // chooses the instance
	at, demand   time.Duration

	item    queue.Item
	exclude []id.Upstream
	started time.Duration
	server  int
	over    bool
}

// server is a fake upstream that sheds what exceeds its slots.
type server struct {
	name           id.Upstream
	region, slots  int
	running        int
	cold           int // this many requests more take three times as long
	lying, drained bool
	starts, late   int // late: starts 2 s after the drain was accepted
}

// scheduler is the policy of one instance.
type scheduler interface {
	configure(now time.Time, list []balance.Upstream)
	push(now time.Time, r *request) bool
	next(now time.Time, free int) (*request, id.Upstream, bool)
	finished(now time.Time, r *request, name id.Upstream, o balance.Outcome, took time.Duration) (again bool)
	report(now time.Time, name id.Upstream, running int)
	expired(now time.Time) []*request
}

type instance struct {
	scheduler
	region int
	parts  []int // slots of each upstream that it may use
	runs   []int
	dead   bool
	inside map[*request]bool // waiting or running here
}

// free counts the slots of open upstreams that it may still use.
func (i *instance) free() int {
	free := 0
	for n, part := range i.parts {
		if part > 0 {
			free += part - i.runs[n]
		}
	}
	return free
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []*event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(*event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// sim runs one policy over a list of arrivals.
type sim struct {
	now       time.Duration
	seq       int
	queue     events
	random    *rand.Rand
	servers   []*server
	byName    map[id.Upstream]int
	instances []*instance
	reports   bool
	done      func(r *request, took time.Duration, ok bool)
	over      int // requests sent to an upstream whose slots were all in use
}

func (s *sim) time() time.Time { return epoch.Add(s.now) }

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, &event{at: s.now + d, seq: s.seq, do: do})
}

func (s *sim) every(d, end time.Duration, do func()) {
	s.after(d, func() {
		do()
		if s.now < end {
			s.every(d, end, do)
		}
	})
}

func (s *sim) run() {
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(*event)
		s.now = e.at
		e.do()
	}
}

// peers returns the live instances of a region.
func (s *sim) peers(region int) []*instance {
	var live []*instance
	for _, i := range s.instances {
		if i.region == region && !i.dead {
			live = append(live, i)
		}
	}
	return live
}

// divide gives each live instance of a region its part of each upstream's slots. The parts sum up to the slots.
func (s *sim) divide(region int) {
	peers := s.peers(region)
	for n, i := range peers {
		s.configure(i, n, len(peers))
	}
}

func (s *sim) configure(i *instance, n, peers int) {
	var list []balance.Upstream
	clear(i.parts)
	for j, u := range s.servers {
		if u.region != i.region {
			continue
		}
		part := (u.slots + (n+j)%peers) / peers
		list = append(list, balance.Upstream{ID: u.name, Region: regions[u.region], Slots: id.Slots(part), Draining: u.drained})
		if !u.drained {
			i.parts[j] = part
		}
	}
	i.scheduler.configure(s.time(), list)
	s.pump(i)
}

// feed lets the requests of a sorted list arrive.
func (s *sim) feed(list []request) {
	if len(list) == 0 {
		return
	}
	s.after(list[0].at-s.now, func() {
		s.arrive(&list[0])
		s.feed(list[1:])
	})
}

// arrive hands a request to an instance of its region; a caller that finds it dead asks the next.
func (s *sim) arrive(r *request) {
	peers := s.peers(r.region)
	i := peers[r.pick%uint64(len(peers))]
	if s.now >= r.at+r.kind.timeout || !i.push(s.time(), r) {
		s.end(r, false)
		return
	}
	i.inside[r] = true
	s.pump(i)
}

func (s *sim) end(r *request, ok bool) { s.done(r, s.now-r.at+9*time.Millisecond, ok) }

func (s *sim) pump(i *instance) {
	if i.dead {
		return
	}
	for _, r := range i.expired(s.time()) {
		delete(i.inside, r)
		s.end(r, false)
	}
	for {
		r, name, ok := i.next(s.time(), i.free())
		if !ok {
			return
		}
		s.start(i, r, s.byName[name])
	}
}

func (s *sim) start(i *instance, r *request, n int) {
	u := s.servers[n]
	r.started, r.server, r.over = s.now, n, u.running >= u.slots
	u.starts++
	i.runs[n]++
	took, outcome := r.demand, balance.Outcome(balance.Succeeded{})
	if u.cold > 0 {
		u.cold--
		took *= 3
	}
	if r.over {
		s.over++
	} else {
		u.running++
	}
	if r.over || u.lying && s.random.IntN(2) == 0 {
		took, outcome = time.Millisecond, balance.Shed{}
	} else if u.lying {
		took *= 5
	}
	s.after(took+time.Millisecond, func() { s.finish(i, r, u, outcome) })
}

func (s *sim) finish(i *instance, r *request, u *server, outcome balance.Outcome) {
	if i.dead {
		return
	}
	if !r.over {
		u.running--
	}
	i.runs[r.server]--
	again := i.finished(s.time(), r, u.name, outcome, s.now-r.started)
	if _, ok := outcome.(balance.Succeeded); ok || !again {
		delete(i.inside, r)
		s.end(r, ok)
	}
	s.pump(i)
}

// kill ends an instance. Callers send what waited there, and what ran and may be repeated, to the next instance.
func (s *sim) kill(i *instance) {
	i.dead = true
	var moved []*request
	for r := range i.inside {
		moved = append(moved, r)
		if r.server >= 0 && !r.over {
			s.servers[r.server].running--
		}
	}
	sortRequests(moved)
	for _, r := range moved {
		again := r.kind.repeat || r.server < 0
		r.server, r.exclude = -1, nil
		if !again {
			s.end(r, false)
			continue
		}
		s.after(10*time.Millisecond, func() { s.arrive(r) })
	}
}
