package steering_test

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/claim"
	"bluebellhold/id"
	"bluebellhold/internal/steering"
	"bluebellhold/note"
	"bluebellhold/store"
)

// simulation runs several reducers in virtual time with one in-memory platform and with seeded delays and faults.
type simulation struct {
	t             *testing.T
	now           time.Time
	random        *rand.Rand
	actions       actions
	lastOrder     int
	store         store.Memory
	instances     []*instance
	upstreams     map[id.Upstream]*upstream
	regionLoads   map[string]*regionLoad
	requests      map[id.Request]*request
	lastRequest   id.Request
	storeDown     func(n *instance) bool
	loseResult    func() bool
	partitioned   func(from, to *instance) bool
	regionLatency time.Duration
	refusalCounts map[steering.Code]int
	runsByKey     map[string]int
	finished      []*request
	lastProposal  steering.ProposalID
	// closeDuration is the time that a stopping instance takes to close its callers' connections.
	closeDuration time.Duration
	onArrival     func(*request)
	// onTransferGranted is called when a request may transfer bytes over its link.
	onTransferGranted func(*instance, steering.GrantTransfer)
	// onStart is called when a request starts at an upstream.
	onStart func(*request)
	replies map[steering.ProposalID]*steering.Reply
	// severed are the instances that reach no upstream.
	severed map[id.Instance]bool
}

// instance is one simulated instance.
type instance struct {
	sim      *simulation
	self     store.Member
	state    *steering.State
	killed   bool
	paused   bool
	deferred []func()
	stopped  bool
}

// upstream is one upstream in the simulation.
type upstream struct {
	id           id.Upstream
	region       id.Region
	service      id.Service
	slots        int
	inFlight     int
	peakInFlight int
	shed         int
	started      int
	lastStart    time.Time
	down         bool
	rest         time.Duration // it turns all requests away and asks for so long
}

// regionLoad counts the requests that are in flight in a region, from their dispatch to the instance's AttemptEnded.
type regionLoad struct{ inFlight, peak, slots int }

// request is one caller's request.
type request struct {
	id                      id.Request
	organisation            id.Organisation
	class                   note.Class
	instance                *instance
	arrival                 steering.RequestArrived
	arrivedAt, endedAt      time.Time
	startedAt               time.Time
	refusal                 *steering.Refusal
	response                *claim.Response
	runs                    int
	crashesUpstream, broken bool
	withinRate              bool
	upstream                *upstream
	serviceTime             time.Duration
	onDone                  func(*request)
}

type action struct {
	at    time.Time
	order int
	do    func()
}

type actions []action

func (a actions) Len() int { return len(a) }
func (a actions) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || (a[i].at.Equal(a[j].at) && a[i].order < a[j].order)
}
func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *actions) Push(x any)   { *a = append(*a, x.(action)) }
func (a *actions) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

var simulationRegions = []id.Region{"osrednja", "stajerska", "primorska"}

func newSimulation(t *testing.T, seed uint64, instances int) *simulation {
	s := &simulation{
		t: t, now: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC), random: rand.New(rand.NewPCG(seed, 1)),
		upstreams: map[id.Upstream]*upstream{}, regionLoads: map[string]*regionLoad{}, requests: map[id.Request]*request{},
		storeDown: func(*instance) bool { return false }, loseResult: func() bool { return false },
		partitioned: func(_, _ *instance) bool { return false }, regionLatency: 55 * time.Millisecond,
		refusalCounts: map[steering.Code]int{}, replies: map[steering.ProposalID]*steering.Reply{},
		severed:   map[id.Instance]bool{},
		runsByKey: map[string]int{}, onStart: func(*request) {}, onArrival: func(*request) {},
	}
	var members []store.Member
	for i := range instances {
		region := simulationRegions[i%len(simulationRegions)]
		members = append(members, store.Member{
			Instance: id.Instance(fmt.Sprintf("%s-%d", region, i)), Region: region,
			DataCentre: id.DataCentre(fmt.Sprintf("%s-%d", region, i%2)),
			Caller:     fmt.Sprintf("127.0.0.1:%d", 1000+i), Peer: fmt.Sprintf("127.0.0.1:%d", 2000+i),
		})
	}
	s.store.SetMembers(members)
	for i, m := range members {
		s.instances = append(s.instances, s.start(m, uint64(i)))
	}
	return s
}

// start returns an instance for the member; its ticks begin immediately.
func (s *simulation) start(m store.Member, seed uint64) *instance {
	n := &instance{sim: s, self: m, state: steering.New(steering.Config{
		Self: m, Incarnation: id.Incarnation(s.now.UnixNano()) + id.Incarnation(seed), Seed: seed + 1,
	})}
	s.tick(n)
	return n
}

func (s *simulation) tick(n *instance) {
	if n.killed || n.stopped {
		return
	}
	n.post(steering.Tick{})
	s.after(20*time.Millisecond, func() { s.tick(n) })
}

func (s *simulation) after(d time.Duration, do func()) {
	s.lastOrder++
	heap.Push(&s.actions, action{s.now.Add(d), s.lastOrder, do})
}

// run advances the virtual time and runs the actions that are due.
func (s *simulation) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.actions) > 0 && !s.actions[0].at.After(end) {
		a := heap.Pop(&s.actions).(action)
		s.now = a.at
		a.do()
	}
	s.now = end
}

// post delivers an event to an instance; a paused one receives it when it resumes, a killed one never.
func (n *instance) post(e steering.Event) {
	if n.killed {
		return
	}
	if n.paused {
		n.deferred = append(n.deferred, func() { n.post(e) })
		return
	}
	for _, effect := range append([]steering.Effect(nil), n.state.Reduce(n.sim.now, e)...) {
		n.execute(effect)
	}
}

func (n *instance) resume() {
	n.paused = false
	for _, do := range n.deferred {
		do()
	}
	n.deferred = nil
}

func (s *simulation) delay(a, b id.Region) time.Duration {
	if a == b {
		return time.Millisecond + time.Duration(s.random.IntN(200))*time.Microsecond
	}
	return s.regionLatency + time.Duration(s.random.IntN(1000))*time.Microsecond
}

func (n *instance) execute(effect steering.Effect) {
	s := n.sim
	switch e := effect.(type) {
	case steering.Send:
		s.sendMessage(n, e)
	case steering.Dispatch:
		s.dispatch(n, e)
	case steering.ReadBody:
		n.post(steering.BodyRead{Request: e.Request, Digest: id.DigestOf([]byte(s.requests[e.Request].arrival.Path))})
	case steering.GrantTransfer:
		s.onTransferGranted(n, e)
	case steering.Refuse:
		s.finish(e.Request, func(r *request) { r.refusal = &e.Refusal })
	case steering.Replay:
		s.finish(e.Request, func(r *request) { r.response = &e.Response })
	case steering.CloseCallerConnections:
		s.after(s.closeDuration, func() { n.post(steering.CallerConnectionsClosed{}) })
	case steering.StopProcess:
		n.stopped = true
	case steering.TestConnection:
		s.after(connectTimeout, func() {
			n.post(steering.ConnectionTested{
				Upstream: e.Upstream, IsReached: !s.severed[n.self.Instance] && !s.upstreams[e.Upstream].down,
			})
		})
	case steering.Reply:
		*s.replies[e.ID] = e
	default:
		s.callPlatform(n, effect)
	}
}

func (s *simulation) sendMessage(n *instance, e steering.Send) {
	for _, to := range s.instances {
		if to.self.Instance != e.To || to.killed || s.partitioned(n, to) {
			continue
		}
		s.after(s.delay(n.self.Region, to.self.Region), func() {
			to.post(steering.MessageReceived{From: n.self.Instance, Message: e.Message})
		})
	}
}

// callPlatform executes a call with the delay to the store's region; the result can be lost after the write.
func (s *simulation) callPlatform(n *instance, effect steering.Effect) {
	sentAt := s.now
	delay := s.delay(n.self.Region, simulationRegions[0]) + 2*time.Millisecond
	s.after(delay, func() {
		event := s.platformEvent(n, effect, sentAt)
		if event != nil {
			s.after(delay, func() { n.post(event) })
		}
	})
}

func (s *simulation) platformEvent(n *instance, effect steering.Effect, sentAt time.Time) steering.Event {
	ctx := context.Background()
	down := s.storeDown(n)
	failure := &store.UnavailableError{Operation: "call"}
	switch e := effect.(type) {
	case steering.Transact:
		if down {
			return steering.TransactionDone{Call: e.Call, Err: failure}
		}
		result, _ := s.store.Transact(ctx, e.Transaction)
		if s.loseResult() {
			return steering.TransactionDone{Call: e.Call, Err: failure}
		}
		return steering.TransactionDone{Call: e.Call, Result: result}
	case steering.ReadRows:
		if down {
			return steering.RowsRead{Call: e.Call, SentAt: sentAt, Err: failure}
		}
		rows, _ := s.store.Read(ctx, e.Names)
		return steering.RowsRead{Call: e.Call, SentAt: sentAt, Rows: rows}
	case steering.ScanRows:
		rows, _ := s.store.Scan(ctx, e.Prefix, e.After, e.Limit)
		return steering.RowsScanned{Call: e.Call, SentAt: sentAt, Rows: rows}
	case steering.ReadHead:
		if down {
			return steering.HeadRead{SentAt: sentAt, Err: failure}
		}
		rows, _ := s.store.Read(ctx, []string{steering.HeadRow})
		return steering.HeadRead{SentAt: sentAt, Row: rows[0]}
	case steering.ListMembers:
		members, _ := s.store.List(ctx)
		return steering.MembersListed{Members: members}
	default:
		return s.objectEvent(ctx, effect, down)
	}
}

func (s *simulation) objectEvent(ctx context.Context, effect steering.Effect, down bool) steering.Event {
	switch e := effect.(type) {
	case steering.WriteObject:
		if down {
			return steering.ObjectDone{Call: e.Call, IsWrite: true, Err: &store.UnavailableError{}}
		}
		return steering.ObjectDone{Call: e.Call, IsWrite: true, Err: s.store.Put(ctx, e.Name, e.Body)}
	case steering.ReadObject:
		body, err := s.store.Get(ctx, e.Name)
		return steering.ObjectDone{Call: e.Call, Body: body, Err: err}
	case steering.LoadEpoch:
		body, err := s.store.Get(ctx, steering.EpochObject(e.Epoch, e.Digest))
		if err != nil || down {
			return nil
		}
		return decodeEpoch(e.Epoch, e.Digest, body)
	case steering.DecodeEpoch:
		return decodeEpoch(e.Epoch, e.Digest, e.Body)
	default:
		return nil
	}
}

func decodeEpoch(epoch id.Epoch, digest id.Digest, body []byte) steering.Event {
	c, err := note.Decode(body)
	if err != nil {
		panic(err)
	}
	return steering.EpochLoaded{Epoch: epoch, Digest: digest, Configuration: note.Compile(c), Body: body}
}

// dispatch runs a request at its upstream, which sheds it when all slots are taken.
func (s *simulation) dispatch(n *instance, e steering.Dispatch) {
	r := s.requests[e.Request]
	target := s.upstreams[e.Upstream]
	networkDelay := s.delay(n.self.Region, target.region)
	require.False(s.t, s.now.After(e.DispatchBy), "dispatched after DispatchBy")
	region := s.regionOf(target)
	if !s.canReach(n, e.Via.Instance, e.Upstream) {
		region.inFlight++
		outcome := steering.NothingSent{IsHelperFailed: e.Via.Instance != ""}
		s.after(connectTimeout, func() { s.attemptEnded(n, target, e.Request, outcome) })
		return
	}
	region.inFlight++
	region.peak = max(region.peak, region.inFlight)
	s.after(networkDelay, func() {
		switch {
		case target.down:
			s.after(networkDelay, func() { s.attemptEnded(n, target, e.Request, steering.NothingSent{}) })
			return
		case target.rest > 0:
			target.shed++
			s.after(networkDelay, func() { s.attemptEnded(n, target, e.Request, steering.Shed{Rest: target.rest}) })
			return
		case target.inFlight >= target.slots:
			target.shed++
			s.after(networkDelay, func() { s.attemptEnded(n, target, e.Request, steering.Shed{}) })
			return
		}
		s.runRequest(n, target, r, networkDelay)
	})
}

// connectTimeout is the time after which a connect to an upstream that is out of reach fails.
const connectTimeout = 600 * time.Millisecond

// canReach reports whether an instance reaches an upstream, directly or through another one.
func (s *simulation) canReach(n *instance, via id.Instance, upstream id.Upstream) bool {
	if via == "" {
		return !s.severed[n.self.Instance]
	}
	for _, helper := range s.instances {
		if helper.self.Instance == via && !helper.killed && !s.severed[via] {
			_, ok := helper.state.TunnelAddress(upstream)
			return ok && helper.state.LendsLinks()
		}
	}
	return false
}

func (s *simulation) regionOf(u *upstream) *regionLoad {
	return s.regionLoads[string(u.service)+"/"+string(u.region)]
}

func (s *simulation) attemptEnded(n *instance, u *upstream, request id.Request, outcome steering.AttemptOutcome) {
	s.regionOf(u).inFlight--
	n.post(steering.AttemptEnded{Request: request, Outcome: outcome})
}

func (s *simulation) runRequest(n *instance, target *upstream, r *request, networkDelay time.Duration) {
	r.runs++
	if r.arrival.IdempotencyKey != "" {
		s.runsByKey[string(r.organisation)+"/"+r.arrival.IdempotencyKey]++
	}
	r.startedAt = s.now
	r.upstream = target
	s.onStart(r)
	target.inFlight++
	target.started++
	target.lastStart = s.now
	target.peakInFlight = max(target.peakInFlight, target.inFlight)
	if r.crashesUpstream {
		target.down = true
	}
	s.after(r.serviceTime, func() {
		target.inFlight--
		var outcome steering.AttemptOutcome = steering.Answered{
			Response: claim.Response{Status: 200, Body: []byte(r.arrival.Path)},
		}
		if target.down || r.broken {
			outcome = steering.Broken{}
		}
		s.after(networkDelay, func() {
			s.attemptEnded(n, target, r.id, outcome)
			if _, ok := outcome.(steering.Answered); ok && !n.paused {
				s.finish(r.id, func(*request) {})
			}
		})
	})
}

func (s *simulation) finish(request id.Request, set func(*request)) {
	r := s.requests[request]
	if r == nil {
		return
	}
	delete(s.requests, request)
	set(r)
	r.endedAt = s.now
	if r.refusal != nil {
		s.refusalCounts[r.refusal.Code]++
	}
	s.finished = append(s.finished, r)
	if r.onDone != nil {
		r.onDone(r)
	}
}

// sendRequest sends a caller's request to an instance now.
func (s *simulation) sendRequest(n *instance, r *request) *request {
	s.lastRequest++
	r.id, r.instance, r.arrivedAt = s.lastRequest, n, s.now
	r.arrival.Request = s.lastRequest
	if r.arrival.Deadline.IsZero() {
		r.arrival.Deadline = s.now.Add(30 * time.Second)
	}
	s.requests[s.lastRequest] = r
	s.onArrival(r)
	n.post(r.arrival)
	return r
}
