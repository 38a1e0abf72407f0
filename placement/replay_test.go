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

// The load of the replay: objects of three routes that share a service are asked for at a rate that cold work exceeds and warm work does not.
const (
	replayObjects        = 97
	replayRatePerS       = 250.0
	replayDuration       = 20 * time.Second
	replayWarmUp         = 4 * time.Second
	replayColdProcessing = 480 * time.Millisecond
	replayWarmProcessing = 144 * time.Millisecond
	replayCacheSize      = 47
	replayObjective      = 400 * time.Millisecond
	replayRTT            = 110 * time.Millisecond
)

// machine is an upstream of the replay: slots, a queue and a memory of the objects that it handled last.
type simUpstream struct {
	placement.Upstream
	freeAt []time.Time
	cached []string
}

// run returns when a request that arrives at the time would end.
func (m *simUpstream) serve(at time.Time, object string) time.Time {
	slot := 0
	for i, free := range m.freeAt {
		if free.Before(m.freeAt[slot]) {
			slot = i
		}
	}
	startAt := at
	if m.freeAt[slot].After(at) {
		startAt = m.freeAt[slot]
	}
	processing := replayColdProcessing
	for i, known := range m.cached {
		if known == object {
			processing = replayWarmProcessing
			m.cached = append(m.cached[:i], m.cached[i+1:]...)
			break
		}
	}
	m.cached = append(m.cached, object)
	if len(m.cached) > replayCacheSize {
		m.cached = m.cached[1:]
	}
	m.freeAt[slot] = startAt.Add(processing)
	return m.freeAt[slot]
}

// load returns the requests that the machine has at the time.
func (m *simUpstream) load(at time.Time) *placement.Load {
	running := id.Slots(0)
	for _, free := range m.freeAt {
		if free.After(at) {
			running++
		}
	}
	return &placement.Load{Running: running, Slots: m.Slots}
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

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e completionHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completionHeap) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completionHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replay plays the load with a policy that picks a machine, and returns the part of the requests after the warm-up that
// were answered within the aim.
func replay(t *testing.T, pick func(now time.Time, a arrival) (*simUpstream, func(time.Time, time.Duration, *placement.Load))) float64 {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	now := start
	var pending completionHeap
	onTime, total := 0, 0
	for now.Sub(start) < replayDuration {
		now = now.Add(time.Duration(random.ExpFloat64() / replayRatePerS * float64(time.Second)))
		for len(pending) > 0 && pending[0].at.Before(now) {
			e := heap.Pop(&pending).(completion)
			e.record(e.at)
		}
		a := arrival{at: now, instance: random.IntN(3), object: fmt.Sprint(random.IntN(replayObjects))}
		m, end := pick(now, a)
		if m == nil {
			continue
		}
		path := time.Duration(0)
		if m.Region != instanceRegions[a.instance] {
			path = replayRTT
		}
		at := m.serve(now.Add(path/2), a.object).Add(path / 2)
		heap.Push(&pending, completion{at, func(now time.Time) { end(now, at.Sub(a.at), m.load(at)) }})
		if now.Sub(start) < replayWarmUp {
			continue
		}
		total++
		if at.Sub(a.at) <= replayObjective {
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

// Guards against placement by load alone at a rate of cold work that exceeds the slots: 250 look-ups a second of 480 ms
// cold or 144 ms warm on 84 slots. Homes must serve most of them within 400 ms; the least loaded upstream must not.
func TestHomesServeLoadAboveColdCapacity(t *testing.T) {
	list := func(all map[id.Upstream]*simUpstream) []placement.Upstream {
		var out []placement.Upstream
		for _, m := range all {
			out = append(out, m.Upstream)
		}
		return out
	}
	all := newSimUpstreams()
	var choosers []*placement.Chooser
	for _, region := range instanceRegions {
		c := newChooser(region, list(all))
		for _, other := range instanceRegions {
			if other != region {
				c.ObserveRTT(other, replayRTT)
			}
		}
		choosers = append(choosers, c)
	}
	homes := replay(t, func(now time.Time, a arrival) (*simUpstream, func(time.Time, time.Duration, *placement.Load)) {
		req := newRequest(a.object)
		choice, ok := choosers[a.instance].Choose(now, req)
		require.True(t, ok)
		choice = choosers[a.instance].Start(now, choice, req)
		return all[choice.Upstream], func(now time.Time, elapsed time.Duration, load *placement.Load) {
			choosers[a.instance].End(now, choice, req, placement.Served{Elapsed: elapsed, Load: load})
		}
	})

	all = newSimUpstreams()
	inFlight := make(map[id.Upstream]int)
	least := replay(t, func(_ time.Time, _ arrival) (*simUpstream, func(time.Time, time.Duration, *placement.Load)) {
		var best *simUpstream
		for _, m := range all {
			if best == nil || inFlight[m.ID] < inFlight[best.ID] || inFlight[m.ID] == inFlight[best.ID] && m.ID < best.ID {
				best = m
			}
		}
		inFlight[best.ID]++
		return best, func(time.Time, time.Duration, *placement.Load) { inFlight[best.ID]-- }
	})
	t.Logf("within the aim: homes %.3f, least in flight %.3f", homes, least)
	require.Greater(t, homes, 0.8)
	require.Greater(t, homes, least+0.2)
}
