package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/placement"
)

// The load of the simulation: objects of three routes that share a service are requested at a rate that exceeds the
// capacity with cold caches but not with warm ones.
const (
	simObjects        = 97
	simRatePerS       = 250.0
	simDuration       = 20 * time.Second
	simWarmUp         = 4 * time.Second
	simColdProcessing = 480 * time.Millisecond
	simWarmProcessing = 144 * time.Millisecond
	simCacheSize      = 47
	simObjective      = 400 * time.Millisecond
	simRTT            = 110 * time.Millisecond
)

// simUpstream simulates an upstream with slots, a queue and an LRU cache of objects.
type simUpstream struct {
	placement.Upstream
	freeAt []time.Time
	cached []string
}

// serve runs a request that arrives at the given time and returns when it ends.
func (u *simUpstream) serve(at time.Time, object string) time.Time {
	slot := 0
	for i, free := range u.freeAt {
		if free.Before(u.freeAt[slot]) {
			slot = i
		}
	}
	startAt := at
	if u.freeAt[slot].After(at) {
		startAt = u.freeAt[slot]
	}
	processing := simColdProcessing
	for i, known := range u.cached {
		if known == object {
			processing = simWarmProcessing
			u.cached = append(u.cached[:i], u.cached[i+1:]...)
			break
		}
	}
	u.cached = append(u.cached, object)
	if len(u.cached) > simCacheSize {
		u.cached = u.cached[1:]
	}
	u.freeAt[slot] = startAt.Add(processing)
	return u.freeAt[slot]
}

// load returns the load that the upstream reports at the given time.
func (u *simUpstream) load(at time.Time) *placement.Load {
	running := id.Slots(0)
	for _, free := range u.freeAt {
		if free.After(at) {
			running++
		}
	}
	return &placement.Load{Running: running, Slots: u.Slots}
}

type arrival struct {
	at       time.Time
	instance int
	object   string
}

type completion struct {
	at     time.Time
	record func(time.Time)
}

type completionHeap []completion

func (h completionHeap) Len() int           { return len(h) }
func (h completionHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h completionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(x any)        { *h = append(*h, x.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulate runs the load with a policy that picks an upstream, and returns the fraction of requests after the warm-up
// that completed within the objective.
func simulate(t *testing.T, pick func(now time.Time, a arrival) (*simUpstream, func(time.Time, time.Duration, *placement.Load))) float64 {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	now := start
	var pending completionHeap
	onTime, total := 0, 0
	for now.Sub(start) < simDuration {
		now = now.Add(time.Duration(random.ExpFloat64() / simRatePerS * float64(time.Second)))
		for len(pending) > 0 && pending[0].at.Before(now) {
			e := heap.Pop(&pending).(completion)
			e.record(e.at)
		}
		a := arrival{at: now, instance: random.IntN(3), object: fmt.Sprint(random.IntN(simObjects))}
		u, complete := pick(now, a)
		if u == nil {
			continue
		}
		rtt := time.Duration(0)
		if u.Region != instanceRegions[a.instance] {
			rtt = simRTT
		}
		at := u.serve(now.Add(rtt/2), a.object).Add(rtt / 2)
		heap.Push(&pending, completion{at, func(now time.Time) { complete(now, at.Sub(a.at), u.load(at)) }})
		if now.Sub(start) < simWarmUp {
			continue
		}
		total++
		if at.Sub(a.at) <= simObjective {
			onTime++
		}
	}
	return float64(onTime) / float64(total)
}

var instanceRegions = []id.Region{"osrednja", "stajerska", "koper"}

func newSimUpstreams() map[id.Upstream]*simUpstream {
	out := make(map[id.Upstream]*simUpstream)
	for _, u := range append(newUpstreams(6, "osrednja", "koper"), newUpstreams(2, "stajerska")...) {
		u.Slots = 6
		out[u.ID] = &simUpstream{Upstream: u, freeAt: make([]time.Time, u.Slots)}
	}
	return out
}

// Guards against placement by load alone when cold caches exceed the capacity: 250 look-ups a second of 480 ms cold or
// 144 ms warm on 84 slots. Placement by home must serve most within 400 ms; by least requests in flight must not.
func TestHomesServeLoadAboveColdCapacity(t *testing.T) {
	upstreams := func(all map[id.Upstream]*simUpstream) []placement.Upstream {
		var out []placement.Upstream
		for _, u := range all {
			out = append(out, u.Upstream)
		}
		return out
	}
	all := newSimUpstreams()
	var choosers []*placement.Chooser
	for _, region := range instanceRegions {
		c := newChooser(region, upstreams(all))
		for _, other := range instanceRegions {
			if other != region {
				c.ObserveRTT(other, simRTT)
			}
		}
		choosers = append(choosers, c)
	}
	byHome := simulate(t, func(now time.Time, a arrival) (*simUpstream, func(time.Time, time.Duration, *placement.Load)) {
		req := newRequest(a.object)
		choice, ok := choosers[a.instance].Choose(now, req)
		require.True(t, ok)
		choice = choosers[a.instance].RecordStart(now, choice, req)
		return all[choice.Upstream], func(now time.Time, elapsed time.Duration, load *placement.Load) {
			choosers[a.instance].RecordOutcome(now, choice, req, placement.Answered{Elapsed: elapsed, Load: load})
		}
	})

	all = newSimUpstreams()
	inFlight := make(map[id.Upstream]int)
	leastInFlight := simulate(t, func(_ time.Time, _ arrival) (*simUpstream, func(time.Time, time.Duration, *placement.Load)) {
		var best *simUpstream
		for _, u := range all {
			if best == nil || inFlight[u.ID] < inFlight[best.ID] || inFlight[u.ID] == inFlight[best.ID] && u.ID < best.ID {
				best = u
			}
		}
		inFlight[best.ID]++
		return best, func(time.Time, time.Duration, *placement.Load) { inFlight[best.ID]-- }
	})
	t.Logf("within the objective: homes %.3f, least in flight %.3f", byHome, leastInFlight)
	require.Greater(t, byHome, 0.8)
	require.Greater(t, byHome, leastInFlight+0.2)
}
