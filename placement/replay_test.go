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
	replayObjects  = 97
	replayPerS     = 250.0
	replayLength   = 20 * time.Second
	replayWarmUp   = 4 * time.Second
	replayCold     = 480 * time.Millisecond
	replayWarm     = 144 * time.Millisecond
	replayRemember = 47
	replayAim      = 400 * time.Millisecond
	replayPath     = 110 * time.Millisecond
)

// machine is an upstream of the replay: slots, a queue and a memory of the objects that it handled last.
type machine struct {
	placement.Upstream
	free    []time.Time
	objects []string
}

// run returns when a request that arrives at the time would end.
func (m *machine) run(at time.Time, object string) time.Time {
	slot := 0
	for i, free := range m.free {
		if free.Before(m.free[slot]) {
			slot = i
		}
	}
	begin := at
	if m.free[slot].After(at) {
		begin = m.free[slot]
	}
	work := replayCold
	for i, known := range m.objects {
		if known == object {
			work = replayWarm
			m.objects = append(m.objects[:i], m.objects[i+1:]...)
			break
		}
	}
	m.objects = append(m.objects, object)
	if len(m.objects) > replayRemember {
		m.objects = m.objects[1:]
	}
	m.free[slot] = begin.Add(work)
	return m.free[slot]
}

// load returns the requests that the machine has at the time.
func (m *machine) load(at time.Time) *placement.Load {
	running := id.Slots(0)
	for _, free := range m.free {
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

type ending struct {
	at     time.Time
	finish func(time.Time)
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replay plays the load with a policy that picks a machine, and returns the part of the requests after the warm-up that
// were answered within the aim.
func replay(t *testing.T, pick func(now time.Time, a arrival) (*machine, func(time.Time, time.Duration, *placement.Load))) float64 {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	now := start
	var pending endings
	good, all := 0, 0
	for now.Sub(start) < replayLength {
		now = now.Add(time.Duration(random.ExpFloat64() / replayPerS * float64(time.Second)))
		for len(pending) > 0 && pending[0].at.Before(now) {
			e := heap.Pop(&pending).(ending)
			e.finish(e.at)
		}
		a := arrival{at: now, instance: random.IntN(3), object: fmt.Sprint(random.IntN(replayObjects))}
		m, end := pick(now, a)
		if m == nil {
			continue
		}
		path := time.Duration(0)
		if m.Region != regionsOf[a.instance] {
			path = replayPath
		}
		at := m.run(now.Add(path/2), a.object).Add(path / 2)
		heap.Push(&pending, ending{at, func(now time.Time) { end(now, at.Sub(a.at), m.load(at)) }})
		if now.Sub(start) < replayWarmUp {
			continue
		}
		all++
		if at.Sub(a.at) <= replayAim {
			good++
		}
	}
	return float64(good) / float64(all)
}

var regionsOf = []id.Region{"osrednja", "stajerska", "koper"}

func machines() map[id.Upstream]*machine {
	out := make(map[id.Upstream]*machine)
	for _, u := range append(fleet(6, "osrednja", "koper"), fleet(2, "stajerska")...) {
		u.Slots = 6
		out[u.ID] = &machine{Upstream: u, free: make([]time.Time, u.Slots)}
	}
	return out
}

// Guards against placement by load alone at a rate of cold work that exceeds the slots: 250 look-ups a second of 480 ms
// cold or 144 ms warm on 84 slots. Homes must serve most of them within 400 ms; the least loaded upstream must not.
func TestHomesTurnOverloadIntoRoom(t *testing.T) {
	list := func(all map[id.Upstream]*machine) []placement.Upstream {
		var out []placement.Upstream
		for _, m := range all {
			out = append(out, m.Upstream)
		}
		return out
	}
	all := machines()
	var choosers []*placement.Chooser
	for _, region := range regionsOf {
		c := newChooser(region, list(all))
		for _, other := range regionsOf {
			if other != region {
				c.ObserveRTT(other, replayPath)
			}
		}
		choosers = append(choosers, c)
	}
	homes := replay(t, func(now time.Time, a arrival) (*machine, func(time.Time, time.Duration, *placement.Load)) {
		w := want(a.object)
		choice, ok := choosers[a.instance].Choose(now, w)
		require.True(t, ok)
		choice = choosers[a.instance].Start(now, choice, w)
		return all[choice.Upstream], func(now time.Time, took time.Duration, load *placement.Load) {
			choosers[a.instance].End(now, choice, w, placement.Served{Elapsed: took, Load: load})
		}
	})

	all = machines()
	inFlight := make(map[id.Upstream]int)
	least := replay(t, func(_ time.Time, _ arrival) (*machine, func(time.Time, time.Duration, *placement.Load)) {
		var best *machine
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
