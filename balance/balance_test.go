package balance_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/balance"
	"bluebellhold/id"
)

var inRegionX = balance.Criteria{Regions: []id.Region{"x"}}

func newUpstreams(count int, slots id.Slots) []balance.Upstream {
	list := make([]balance.Upstream, count)
	for i := range list {
		list[i] = balance.Upstream{ID: id.Upstream(strconv.Itoa(i)), Region: "x", Slots: slots}
	}
	return list
}

// fakeUpstream has configurable load reports, outcomes and service times, and counts its requests.
type fakeUpstream struct {
	inFlight, peak, starts, sheds int
	report                        func(*fakeUpstream) int
	outcome                       balance.Outcome
	serviceTime                   time.Duration
}

// cluster simulates choosers and fake upstreams in steps of a millisecond.
type cluster struct {
	t             *testing.T
	now           time.Time
	step          int
	slots         int
	choosers      []*balance.Chooser
	fakeUpstreams []*fakeUpstream
	completions   map[int][]func()
	upstreams     []balance.Upstream
}

func newCluster(t *testing.T, choosers, upstreamCount, slots int) *cluster {
	c := &cluster{t: t, now: epoch, slots: slots, completions: map[int][]func(){}, upstreams: newUpstreams(upstreamCount, id.Slots(slots))}
	for range upstreamCount {
		c.fakeUpstreams = append(c.fakeUpstreams, &fakeUpstream{
			report: func(s *fakeUpstream) int { return s.inFlight }, outcome: balance.Succeeded{}, serviceTime: 20 * time.Millisecond,
		})
	}
	for i := range choosers {
		c.choosers = append(c.choosers, balance.New(balance.Config{Seed: uint64(i)}))
		c.choosers[i].SetUpstreams(c.now, c.upstreams)
	}
	return c
}

// run starts rate requests per millisecond for a number of steps; reports arrive every 500 ms and are 500 ms old.
func (c *cluster) run(steps int, rate float64, reports bool) {
	due := 0.0
	for range steps {
		for _, end := range c.completions[c.step] {
			end()
		}
		delete(c.completions, c.step)
		if c.step%500 == 0 {
			c.scheduleReports(reports)
		}
		for due += rate; due >= 1; due-- {
			c.startRequest(c.choosers[c.step%len(c.choosers)])
		}
		c.step++
		c.now = c.now.Add(time.Millisecond)
	}
}

func (c *cluster) scheduleReports(reports bool) {
	for i, s := range c.fakeUpstreams {
		value := s.report(s)
		c.completions[c.step+500] = append(c.completions[c.step+500], func() {
			for _, chooser := range c.choosers {
				if reports {
					chooser.RecordLoad(c.now, c.upstreams[i].ID, balance.Load{Running: value, Age: 500 * time.Millisecond})
				}
			}
		})
	}
}

func (c *cluster) startRequest(chooser *balance.Chooser) {
	name, ok := chooser.Choose(c.now, inRegionX)
	if !ok {
		return
	}
	i, _ := strconv.Atoi(string(name))
	s, outcome, serviceTime := c.fakeUpstreams[i], c.fakeUpstreams[i].outcome, c.fakeUpstreams[i].serviceTime
	chooser.RecordStart(c.now, name)
	s.starts++
	full := s.inFlight >= c.slots
	if full {
		s.sheds++
		outcome, serviceTime = balance.Shed{}, time.Millisecond
	} else {
		s.inFlight++
		s.peak = max(s.peak, s.inFlight)
	}
	end := c.step + int(serviceTime.Milliseconds())
	c.completions[end] = append(c.completions[end], func() {
		if !full {
			s.inFlight--
		}
		chooser.RecordOutcome(c.now, name, outcome, serviceTime)
	})
}

// startsOn returns the number of requests started on upstream i and the mean over all upstreams.
func (c *cluster) startsOn(i int) (own, mean float64) {
	sum := 0
	for _, s := range c.fakeUpstreams {
		sum += s.starts
	}
	return float64(c.fakeUpstreams[i].starts), float64(sum) / float64(len(c.fakeUpstreams))
}

func (c *cluster) resetCounts() {
	for _, s := range c.fakeUpstreams {
		s.starts, s.sheds, s.peak = 0, 0, 0
	}
}

// Guards against herding: all choosers send to the upstream whose stale report shows it as idle.
func TestLaggingReportsCauseNoHerd(t *testing.T) {
	c := newCluster(t, 2, 8, 6)
	c.run(20_000, 1.4, true) // 28 of 48 slots
	sheds := 0
	for i, s := range c.fakeUpstreams {
		own, mean := c.startsOn(i)
		require.InEpsilon(t, mean, own, 0.2)
		sheds += s.sheds
	}
	own, mean := c.startsOn(0)
	t.Logf("mean %.0f starts, first %.0f, %d sheds", mean, own, sheds)
	require.Less(t, float64(sheds), 0.01*mean*8)
}

// Guards against an upstream that attracts requests because it reports itself idle although it sheds or fails them.
func TestFailingUpstreamThatReportsIdleIsAvoided(t *testing.T) {
	for _, upstreamCount := range []int{2, 8} {
		for name, outcome := range map[string]balance.Outcome{"sheds": balance.Shed{}, "fails": balance.Failed{}} {
			c := newCluster(t, 2, upstreamCount, 6)
			c.fakeUpstreams[1].report = func(*fakeUpstream) int { return 0 }
			c.fakeUpstreams[1].outcome, c.fakeUpstreams[1].serviceTime = outcome, time.Millisecond
			c.run(20_000, 0.15*float64(upstreamCount-1), true)
			own, mean := c.startsOn(1)
			t.Logf("%s, %d upstreams: %.0f starts, mean %.0f", name, upstreamCount, own, mean)
			require.Less(t, own, mean/10)
		}
	}
}

// Guards against ignored reports: an upstream that is loaded by other instances must get fewer requests.
func TestReportedLoadIsAvoided(t *testing.T) {
	c := newCluster(t, 1, 6, 6)
	c.fakeUpstreams[0].report = func(s *fakeUpstream) int { return s.inFlight + 3 }
	c.run(20_000, 0.6, true)
	own, mean := c.startsOn(0)
	require.Less(t, own, mean*3/4)
}

// Guards against an upstream that appears idle and attracts most requests because only its own reports have stopped.
func TestUpstreamWithoutReportsIsNotPreferred(t *testing.T) {
	c := balance.New(balance.Config{})
	c.SetUpstreams(epoch, newUpstreams(6, 6))
	now, starts := epoch, 0
	for tick := range 10_000 {
		now = now.Add(time.Millisecond)
		for i := range 6 {
			if u := id.Upstream(strconv.Itoa(i)); i > 0 || now.Before(epoch.Add(time.Second)) {
				c.RecordLoad(now, u, balance.Load{Running: 3 + (tick*7+i*5)%3})
			}
		}
		name, _ := c.Choose(now, inRegionX)
		if name == "0" {
			starts++
		}
	}
	// An upstream that wins every comparison is in a third of all pairs.
	require.Less(t, starts, 10_000/4)
}

// Guards against a choice that depends on reports: after all reports stop, requests must still be spread evenly and
// headroom must fall to the floor.
func TestReportsStop(t *testing.T) {
	c := newCluster(t, 1, 6, 6)
	c.run(3000, 0.9, true)
	require.Greater(t, c.choosers[0].Headroom(c.now, "x").Spare, 10.0)
	c.resetCounts()
	c.run(20_000, 0.9, false)
	for i := range c.fakeUpstreams {
		own, mean := c.startsOn(i)
		require.InEpsilon(t, mean, own, 0.15)
	}
	h := c.choosers[0].Headroom(c.now, "x")
	require.Equal(t, 6, h.Stale)
	require.InDelta(t, 0.1*36, h.Spare, 0.1)
}

// Guards against ejecting all upstreams when most fail, which would leave none to choose.
func TestPanicIgnoresHealth(t *testing.T) {
	c := newCluster(t, 1, 9, 6)
	for _, s := range c.fakeUpstreams[:5] {
		s.outcome = balance.ConnectionFailed{}
	}
	c.run(1000, 2, true)
	d := c.choosers[0].Dump()
	require.True(t, d.PanicMode)
	c.resetCounts()
	c.run(1000, 1, true)
	for i := range c.fakeUpstreams {
		own, mean := c.startsOn(i)
		require.Greater(t, own, mean/3)
	}
	for _, s := range c.fakeUpstreams {
		s.outcome = balance.Succeeded{}
	}
	c.run(60_000, 0.5, true)
	require.False(t, c.choosers[0].Dump().PanicMode)
}

// Guards against a crashing upstream that keeps getting requests because it sends reports: its ejection time grows.
func TestEjectionTimeGrows(t *testing.T) {
	c := balance.New(balance.Config{})
	c.SetUpstreams(epoch, newUpstreams(6, 6))
	now, last := epoch, time.Duration(0)
	for range 6 {
		c.RecordLoad(now, "2", balance.Load{Running: 0})
		for c.InFlight("2") < 3 {
			name, _ := c.Choose(now, balance.Criteria{Regions: inRegionX.Regions, Exclude: []id.Upstream{"0", "1", "3", "4", "5"}})
			require.Equal(t, id.Upstream("2"), name)
			c.RecordStart(now, name)
		}
		for range 3 {
			c.RecordOutcome(now, "2", balance.ConnectionFailed{}, time.Second)
		}
		h := c.Health("2")
		require.True(t, h.Ejected)
		backoff := h.UnhealthyUntil.Sub(now)
		require.Greater(t, backoff, last*3/2, "requests that fail in the same crash count once")
		_, ok := c.Choose(h.UnhealthyUntil.Add(-1), balance.Criteria{Regions: inRegionX.Regions, Exclude: []id.Upstream{"0", "1", "3", "4", "5"}})
		require.False(t, ok)
		now, last = h.UnhealthyUntil, backoff
		c.Choose(now, inRegionX)
		require.Equal(t, now.Add(10*time.Second), c.Dump().Upstreams[2].SlowStartEnd, "slow start after the ejection")
	}
	require.Greater(t, last, 30*time.Second)
}

// Guards against full load on an upstream whose caches are still cold.
func TestColdUpstreamStartsSlowly(t *testing.T) {
	c := newCluster(t, 2, 8, 6)
	c.run(2000, 1, true)
	c.fakeUpstreams = append(c.fakeUpstreams, &fakeUpstream{report: func(s *fakeUpstream) int { return s.inFlight }, outcome: balance.Succeeded{}, serviceTime: 20 * time.Millisecond})
	c.upstreams = newUpstreams(9, 6)
	for _, chooser := range c.choosers {
		chooser.SetUpstreams(c.now, c.upstreams)
	}
	var relativeStarts []float64
	for range 4 {
		c.resetCounts()
		c.run(4000, 1, true)
		own, mean := c.startsOn(8)
		relativeStarts = append(relativeStarts, own/mean)
	}
	t.Logf("shares of the cold upstream in 4 s each: %.2f", relativeStarts)
	require.Less(t, relativeStarts[0], 0.5)
	require.Less(t, relativeStarts[0], relativeStarts[1])
	require.Less(t, relativeStarts[1], relativeStarts[2])
	require.InDelta(t, 1, relativeStarts[3], 0.15)
}

// Guards against new requests on a draining upstream, and against a wrong count of those still in flight on it.
func TestDrainingUpstreamGetsNoNewWork(t *testing.T) {
	c := newCluster(t, 2, 6, 6)
	c.run(1000, 1.2, true)
	for i := range 2 {
		c.upstreams[i].Draining = true
	}
	for _, chooser := range c.choosers {
		chooser.SetUpstreams(c.now, c.upstreams)
	}
	require.NotZero(t, c.fakeUpstreams[0].inFlight)
	c.resetCounts()
	c.run(5000, 1, true)
	require.Zero(t, c.fakeUpstreams[0].starts+c.fakeUpstreams[1].starts)
	require.Zero(t, c.choosers[0].InFlight("0")+c.choosers[1].InFlight("0"))
}

// Guards against too many probes: each costs the upstream 6 ms.
func TestProbesAreFew(t *testing.T) {
	c := balance.New(balance.Config{})
	c.SetUpstreams(epoch, newUpstreams(6, 6))
	probes := map[id.Upstream]int{}
	for second := range 300 {
		now := epoch.Add(time.Duration(second) * time.Second)
		c.RecordStart(now, "0")
		c.RecordOutcome(now, "0", balance.Succeeded{}, time.Millisecond)
		for _, u := range c.NextProbes(now) {
			probes[u]++
			c.RecordProbe(now, u, balance.Succeeded{})
		}
	}
	require.Zero(t, probes["0"])
	for _, u := range []id.Upstream{"1", "2", "3", "4", "5"} {
		require.InDelta(t, 9, probes[u], 1)
	}
}

func newCycle(upstreams int) func() {
	c := balance.New(balance.Config{})
	c.SetUpstreams(epoch, newUpstreams(upstreams, 6))
	for i := range upstreams {
		c.RecordLoad(epoch, id.Upstream(strconv.Itoa(i)), balance.Load{Running: i % 6})
	}
	now := epoch
	return func() {
		now = now.Add(time.Microsecond)
		name, _ := c.Choose(now, inRegionX)
		c.RecordStart(now, name)
		c.RecordOutcome(now, name, balance.Succeeded{}, time.Millisecond)
	}
}

// Guards against allocations in Choose.
func TestChooseDoesNotAllocate(t *testing.T) {
	require.Zero(t, testing.AllocsPerRun(1000, newCycle(36)))
}

func BenchmarkChoose(b *testing.B) {
	for _, upstreams := range []int{14, 5200} {
		b.Run(strconv.Itoa(upstreams), func(b *testing.B) {
			step := newCycle(upstreams)
			b.ReportAllocs()
			for b.Loop() {
				step()
			}
		})
	}
}

func ExampleChooser() {
	c, now := balance.New(balance.Config{Seed: 1}), time.Unix(0, 0)
	c.SetUpstreams(now, []balance.Upstream{
		{ID: "darila-1", Region: "osrednja", Slots: 3, Draining: true},
		{ID: "darila-2", Region: "osrednja", Slots: 3},
		{ID: "darila-3", Region: "primorska", Slots: 3},
	})
	criteria := balance.Criteria{Regions: []id.Region{"osrednja", "primorska"}}
	for range 4 {
		u, _ := c.Choose(now, criteria)
		c.RecordStart(now, u)
		fmt.Println(u)
	}
	c.RecordOutcome(now, "darila-2", balance.Succeeded{}, 20*time.Millisecond)
	fmt.Println(c.InFlight("darila-2"))
	// Output:
	// darila-2
	// darila-2
	// darila-2
	// darila-3
	// 2
}
