package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
)

// Guards against parts of a limit that together exceed it while they follow the demand, as on zadruga-zreb mix --seed
// 822772842511 and ccbw-hold mix --seed 14740201555: an organisation sends far beyond its limit from the first second on,
// and the instance that its callers use changes.
func TestPartsHoldWhileTheDemandMoves(t *testing.T) {
	const instances, rate, burst = 7, 100, 100
	most := (rate*5+burst)*1.1 + 20
	var fleet []*world
	for i := range instances {
		w := &world{T: t, now: start, state: entry.New(entry.Config{
			Instance: id.Instance(fmt.Sprint("instance-", i)), Region: "osrednja", DataCentre: "osrednja-1",
			Bounds: bounds(), StartTime: 1,
		})}
		c := configuration()
		c.Organisations["school"] = entry.Organisation{Rate: rate, Burst: burst}
		w.reduce(entry.ConfigurationRead{Configuration: c})
		w.reduce(entry.UpstreamsRead{Upstreams: upstreams()})
		fleet = append(fleet, w)
	}
	held := make([]map[id.Organisation]float64, instances)
	var sent []time.Time
	now := start
	for step := range 6000 {
		now = now.Add(5 * time.Millisecond)
		for i, w := range fleet {
			w.now = now
			if (step+i*57)%400 != 0 {
				continue
			}
			var members []entry.Member
			held[i] = w.state.LimitShares(now)
			for n, other := range fleet {
				members = append(members, entry.Member{
					Instance: id.Instance(fmt.Sprint("instance-", n)), Version: uint64(step), ReadVersion: uint64(step), StartTime: 1,
					Demand: other.state.Demand(now), LimitShares: held[n],
				})
			}
			w.reduce(entry.MembersRead{Members: members})
		}
		favourite := step / 500 % instances
		for n := range 3 {
			w := fleet[favourite]
			if n == 0 {
				w = fleet[step%instances]
			}
			_, effects := w.arrive("/open/1")
			if d, ok := effects[0].(entry.Dispatch); ok {
				sent = append(sent, now)
				w.end(d, entry.Answered{Status: 200, Elapsed: time.Millisecond})
			}
		}
	}
	worst := 0
	for i, from := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(from) >= 5*time.Second {
				break
			}
			n++
		}
		worst = max(worst, n)
	}
	t.Logf("most in a window: %d of %.0f", worst, most)
	require.LessOrEqual(t, float64(worst), most)
	require.Greater(t, float64(worst), most/3)
}

// Guards against a new instance that takes the whole limit because it has seen no other yet: in the fault soak, four that
// started within a second let 152 requests through where 141 were allowed (seed 1).
func TestANewInstanceWaitsUntilTheOthersHaveSeenIt(t *testing.T) {
	w := newProcess(t)
	w.reduce(entry.ConfigurationRead{Configuration: configuration()})
	w.reduce(entry.UpstreamsRead{Upstreams: upstreams()})
	own := entry.Member{Instance: "osrednja-1", Version: 20, StartTime: 7}
	other := entry.Member{Instance: "osrednja-2", Version: 18, ReadVersion: 15, StartTime: 3}
	w.reduce(entry.MembersRead{Members: []entry.Member{other}})
	require.False(t, w.state.IsReady(), "its own heartbeat has not been read back")
	w.reduce(entry.MembersRead{Members: []entry.Member{own, other}})
	require.False(t, w.state.IsReady(), "the other one has not seen its heartbeat")
	_, effects := w.arrive("/look/1")
	require.Equal(t, entry.CodeStarting, refusal(t, effects).Code)
	other.Version, other.ReadVersion = 22, 20
	w.reduce(entry.MembersRead{Members: []entry.Member{own, other}})
	require.True(t, w.state.IsReady())
	w.answer(w.dispatched("/look/1"))
}

// Guards against a new instance that waits for one that has been dead for long.
func TestANewInstanceDoesNotWaitForADeadOne(t *testing.T) {
	w := newProcess(t)
	w.reduce(entry.ConfigurationRead{Configuration: configuration()})
	w.reduce(entry.UpstreamsRead{Upstreams: upstreams()})
	for n := range 5 {
		require.False(t, w.state.IsReady())
		w.reduce(entry.MembersRead{Members: []entry.Member{
			{Instance: "osrednja-1", Version: uint64(20 + n), StartTime: 7}, {Instance: "osrednja-2", Version: 18, StartTime: 3},
		}})
		w.now = w.now.Add(time.Second)
	}
	require.True(t, w.state.IsReady())
}

// Guards against parts and homes that start anew after a restart: when all instances of a recorded day of Cascadia had been
// killed, 366 requests within their limits were refused in the next four seconds, against 10 in any four seconds before.
func TestARestartedProcessGoesOnFromItsPredecessorsDemand(t *testing.T) {
	w := newProcess(t)
	w.reduce(entry.MembersRead{Members: []entry.Member{{
		Instance: "osrednja-1", Version: 3, StartTime: 2, Demand: map[id.Organisation]float64{"school": 40},
		OfferedLoad: map[id.Service]float64{"pregled": 3}, LocalShares: map[id.Service]float64{"pregled": 0.4, "darila": 0.9},
	}, {Instance: "osrednja-2", Version: 2, Demand: map[id.Organisation]float64{"school": 10}}}})
	require.Equal(t, map[id.Organisation]float64{"school": 40}, w.state.Demand(w.now), "its first heartbeat comes before")
	c := configuration()
	c.Organisations["school"] = entry.Organisation{Rate: 100, Burst: 100}
	w.reduce(entry.ConfigurationRead{Configuration: c})
	w.reduce(entry.UpstreamsRead{Upstreams: upstreams()})
	require.True(t, w.state.IsReady(), "it takes over the parts of its predecessor")
	require.Equal(t, map[id.Organisation]float64{"school": 40}, w.state.Demand(w.now))
	require.Equal(t, map[id.Service]float64{"pregled": 3}, w.state.OfferedLoad(w.now))
	require.Equal(t, map[id.Service]float64{"pregled": 0.4, "darila": 0.9}, w.state.LocalShares())
}

// Guards against a restarted instance that reads the configuration before the heartbeats and then holds itself for a whole
// window to the part of zero that it had until then, as three of seven did on ccbw-hold trouble-3.
func TestTheOrderOfTheFirstReadsLeavesThePart(t *testing.T) {
	w := newProcess(t)
	c := configuration()
	c.Organisations["school"] = entry.Organisation{Rate: 10, Burst: 10}
	w.reduce(entry.ConfigurationRead{Configuration: c})
	w.reduce(entry.UpstreamsRead{Upstreams: upstreams()})
	w.reduce(entry.MembersRead{Members: []entry.Member{
		{
			Instance: "osrednja-1", Version: 1, StartTime: 2, Demand: map[id.Organisation]float64{"school": 4},
			LimitShares: map[id.Organisation]float64{"school": 0.5},
		},
		{Instance: "osrednja-2", Version: 2, StartTime: 3, Demand: map[id.Organisation]float64{"school": 4}},
	}})
	w.answer(w.dispatched("/look/1"))
}

// Guards against spending that a successor of a killed process would not know of: a jump asks for a heartbeat once, and
// usual spending does not.
func TestAJumpOfTheSpendingIsToldSoon(t *testing.T) {
	w := newWorld(t)
	c := configuration()
	c.Version = 2
	c.Organisations["school"] = entry.Organisation{Rate: 100, Burst: 100}
	w.reduce(entry.ConfigurationRead{Configuration: c})
	w.reduce(entry.MembersRead{Members: []entry.Member{
		{Instance: "osrednja-1", Version: 2, StartTime: 1, LimitShares: w.state.LimitShares(w.now)},
	}})
	tells := func(requests int) int {
		count := 0
		for range requests {
			_, effects := w.arrive("/look/1")
			for _, e := range effects {
				switch e := e.(type) {
				case entry.Dispatch:
					w.end(e, entry.Answered{Status: 200, Elapsed: time.Millisecond})
				case entry.WriteHeartbeat:
					count++
				}
			}
		}
		return count
	}
	require.Zero(t, tells(20), "what is tolerated beyond the limit covers these")
	require.Equal(t, 1, tells(200), "asked once until the heartbeat is written")
	w.state.SpentBuckets(w.now)
	require.Zero(t, tells(100))
}

// Guards against two instances that both grow into the same free part of a limit.
func TestClaimsThatDoNotFitTogetherAreNotUsed(t *testing.T) {
	w := newWorld(t)
	c := configuration()
	c.Version = 2
	c.Organisations["school"] = entry.Organisation{Rate: 10, Burst: 10}
	w.reduce(entry.ConfigurationRead{Configuration: c})
	claim := w.state.LimitShares(w.now)
	require.Equal(t, map[id.Organisation]float64{"school": 1}, claim)
	list := func(other float64) {
		w.next++
		w.reduce(entry.MembersRead{Members: []entry.Member{
			{Instance: "osrednja-1", Version: 10 + uint64(w.next), StartTime: 1, LimitShares: claim},
			{Instance: "osrednja-2", Version: 2, LimitShares: map[id.Organisation]float64{"school": other}},
		}})
	}
	list(0.5)
	_, effects := w.arrive("/look/1")
	require.Equal(t, entry.CodeRate, refusal(t, effects).Code)
	claim = w.state.LimitShares(w.now)
	require.Equal(t, map[id.Organisation]float64{"school": 0.5}, claim, "what the other one leaves")
	list(0.5)
	w.answer(w.dispatched("/look/1"))
}

// Guards against a successor that uses a claim of its predecessor which did not fit and was never used, as in the simulation
// with FLEET_SEED=271 and 376.
func TestASuccessorDoesNotUseAClaimThatDidNotFit(t *testing.T) {
	w := newProcess(t)
	c := configuration()
	c.Organisations["school"] = entry.Organisation{Rate: 10, Burst: 10}
	w.reduce(entry.ConfigurationRead{Configuration: c})
	w.reduce(entry.UpstreamsRead{Upstreams: upstreams()})
	held := func(part float64) map[id.Organisation]float64 { return map[id.Organisation]float64{"school": part} }
	w.reduce(entry.MembersRead{Members: []entry.Member{
		{Instance: "osrednja-1", Version: 1, StartTime: 2, LimitShares: held(0.5)},
		{Instance: "osrednja-2", Version: 2, StartTime: 3, LimitShares: held(1)},
	}})
	_, effects := w.arrive("/look/1")
	require.Equal(t, entry.CodeRate, refusal(t, effects).Code)
}
