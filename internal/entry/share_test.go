package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
)

// Guards against shares that together exceed a limit while they follow the demand, as on zadruga-zreb mix --seed
// 822772842511 and ccbw-hold mix --seed 14740201555: an organisation sends far beyond its limit from the first second
// on, and the instance that its callers use changes.
func TestSharesStayWithinLimitWhileDemandMoves(t *testing.T) {
	const instances, rate, burst = 7, 100, 100
	limit := (rate*5+burst)*1.1 + 20
	var fleet []*harness
	for i := range instances {
		h := &harness{T: t, now: testStart, state: entry.New(entry.Config{
			Instance: id.Instance(fmt.Sprint("instance-", i)), Region: "osrednja", DataCentre: "osrednja-1",
			Bounds: bounds(), StartTime: 1,
		})}
		c := configuration()
		c.Organisations["school"] = entry.Organisation{Rate: rate, Burst: burst}
		h.reduce(entry.ConfigurationChanged{Configuration: c})
		h.reduce(entry.UpstreamsChanged{Upstreams: upstreams()})
		fleet = append(fleet, h)
	}
	shares := make([]map[id.Organisation]float64, instances)
	var dispatchTimes []time.Time
	now := testStart
	for step := range 6000 {
		now = now.Add(5 * time.Millisecond)
		for i, h := range fleet {
			h.now = now
			if (step+i*57)%400 != 0 {
				continue
			}
			var members []entry.Member
			shares[i] = h.state.LimitShares(now)
			for n, other := range fleet {
				members = append(members, entry.Member{
					Instance: id.Instance(fmt.Sprint("instance-", n)), Version: uint64(step), ReadVersion: uint64(step), StartTime: 1,
					Demand: other.state.Demand(now), LimitShares: shares[n],
				})
			}
			h.reduce(entry.MembersRead{Members: members})
		}
		busiest := step / 500 % instances
		for n := range 3 {
			h := fleet[busiest]
			if n == 0 {
				h = fleet[step%instances]
			}
			_, effects := h.sendRequest("/open/1")
			if d, ok := effects[0].(entry.Dispatch); ok {
				dispatchTimes = append(dispatchTimes, now)
				h.endAttempt(d, entry.Answered{Status: 200, Elapsed: time.Millisecond})
			}
		}
	}
	highest := 0
	for i, from := range dispatchTimes {
		n := 0
		for _, at := range dispatchTimes[i:] {
			if at.Sub(from) >= 5*time.Second {
				break
			}
			n++
		}
		highest = max(highest, n)
	}
	t.Logf("maximum in a window: %d of %.0f", highest, limit)
	require.LessOrEqual(t, float64(highest), limit)
	require.Greater(t, float64(highest), limit/3)
}

// Guards against a new instance that claims the whole limit because it has seen no other yet: in the fault soak, four
// that started within a second admitted 152 requests where 141 were allowed (seed 1).
func TestNewInstanceWaitsUntilOthersReadItsHeartbeat(t *testing.T) {
	h := newStartingHarness(t)
	h.reduce(entry.ConfigurationChanged{Configuration: configuration()})
	h.reduce(entry.UpstreamsChanged{Upstreams: upstreams()})
	own := entry.Member{Instance: "osrednja-1", Version: 20, StartTime: 7}
	other := entry.Member{Instance: "osrednja-2", Version: 18, ReadVersion: 15, StartTime: 3}
	h.reduce(entry.MembersRead{Members: []entry.Member{other}})
	require.False(t, h.state.IsReady(), "its own heartbeat has not been read back")
	h.reduce(entry.MembersRead{Members: []entry.Member{own, other}})
	require.False(t, h.state.IsReady(), "the other instance has not read its heartbeat")
	_, effects := h.sendRequest("/look/1")
	require.Equal(t, entry.CodeStarting, requireRefusal(t, effects).Code)
	other.Version, other.ReadVersion = 22, 20
	h.reduce(entry.MembersRead{Members: []entry.Member{own, other}})
	require.True(t, h.state.IsReady())
	h.completeAttempt(h.requireDispatch("/look/1"))
}

// Guards against a new instance that waits for one that died long ago.
func TestNewInstanceDoesNotWaitForDeadInstance(t *testing.T) {
	h := newStartingHarness(t)
	h.reduce(entry.ConfigurationChanged{Configuration: configuration()})
	h.reduce(entry.UpstreamsChanged{Upstreams: upstreams()})
	for n := range 5 {
		require.False(t, h.state.IsReady())
		h.reduce(entry.MembersRead{Members: []entry.Member{
			{Instance: "osrednja-1", Version: uint64(20 + n), StartTime: 7}, {Instance: "osrednja-2", Version: 18, StartTime: 3},
		}})
		h.now = h.now.Add(time.Second)
	}
	require.True(t, h.state.IsReady())
}

// Guards against shares and homes that start from zero after a restart: when all instances of a recorded day of
// Cascadia had been killed, 366 requests within their limits were refused in the next four seconds, against 10 in any
// four seconds before.
func TestRestartedProcessInheritsDemandAndLocalShares(t *testing.T) {
	h := newStartingHarness(t)
	h.reduce(entry.MembersRead{Members: []entry.Member{{
		Instance: "osrednja-1", Version: 3, StartTime: 2, Demand: map[id.Organisation]float64{"school": 40},
		OfferedLoad: map[id.Service]float64{"pregled": 3}, LocalShares: map[id.Service]float64{"pregled": 0.4, "darila": 0.9},
	}, {Instance: "osrednja-2", Version: 2, Demand: map[id.Organisation]float64{"school": 10}}}})
	require.Equal(t, map[id.Organisation]float64{"school": 40}, h.state.Demand(h.now),
		"its first heartbeat precedes the configuration")
	c := configuration()
	c.Organisations["school"] = entry.Organisation{Rate: 100, Burst: 100}
	h.reduce(entry.ConfigurationChanged{Configuration: c})
	h.reduce(entry.UpstreamsChanged{Upstreams: upstreams()})
	require.True(t, h.state.IsReady(), "it takes over its predecessor's shares")
	require.Equal(t, map[id.Organisation]float64{"school": 40}, h.state.Demand(h.now))
	require.Equal(t, map[id.Service]float64{"pregled": 3}, h.state.OfferedLoad(h.now))
	require.Equal(t, map[id.Service]float64{"pregled": 0.4, "darila": 0.9}, h.state.LocalShares())
}

// Guards against a restarted instance that reads the configuration before the heartbeats and is then limited for a
// whole window to the share of zero that it had until then, as three of seven were on ccbw-hold trouble-3.
func TestRestartedProcessInheritsShareInAnyReadOrder(t *testing.T) {
	h := newStartingHarness(t)
	c := configuration()
	c.Organisations["school"] = entry.Organisation{Rate: 10, Burst: 10}
	h.reduce(entry.ConfigurationChanged{Configuration: c})
	h.reduce(entry.UpstreamsChanged{Upstreams: upstreams()})
	h.reduce(entry.MembersRead{Members: []entry.Member{
		{
			Instance: "osrednja-1", Version: 1, StartTime: 2, Demand: map[id.Organisation]float64{"school": 4},
			LimitShares: map[id.Organisation]float64{"school": 0.5},
		},
		{Instance: "osrednja-2", Version: 2, StartTime: 3, Demand: map[id.Organisation]float64{"school": 4}},
	}})
	h.completeAttempt(h.requireDispatch("/look/1"))
}

// Guards against spending that the successor of a killed process would not count: a spike requests one heartbeat, and
// the usual spending requests none.
func TestSpendingSpikeTriggersHeartbeat(t *testing.T) {
	h := newHarness(t)
	c := configuration()
	c.Version = 2
	c.Organisations["school"] = entry.Organisation{Rate: 100, Burst: 100}
	h.reduce(entry.ConfigurationChanged{Configuration: c})
	h.reduce(entry.MembersRead{Members: []entry.Member{
		{Instance: "osrednja-1", Version: 2, StartTime: 1, LimitShares: h.state.LimitShares(h.now)},
	}})
	countHeartbeatEffects := func(requests int) int {
		count := 0
		for range requests {
			_, effects := h.sendRequest("/look/1")
			for _, e := range effects {
				switch e := e.(type) {
				case entry.Dispatch:
					h.endAttempt(e, entry.Answered{Status: 200, Elapsed: time.Millisecond})
				case entry.WriteHeartbeat:
					count++
				}
			}
		}
		return count
	}
	require.Zero(t, countHeartbeatEffects(20), "the tolerance beyond the limit covers these")
	require.Equal(t, 1, countHeartbeatEffects(200), "requested once until the heartbeat is written")
	h.state.SpentBuckets(h.now)
	require.Zero(t, countHeartbeatEffects(100))
}

// Guards against two instances that both claim the same free share of a limit.
func TestConflictingClaimsAreNotApplied(t *testing.T) {
	h := newHarness(t)
	c := configuration()
	c.Version = 2
	c.Organisations["school"] = entry.Organisation{Rate: 10, Burst: 10}
	h.reduce(entry.ConfigurationChanged{Configuration: c})
	claim := h.state.LimitShares(h.now)
	require.Equal(t, map[id.Organisation]float64{"school": 1}, claim)
	readMembers := func(other float64) {
		h.lastRequest++
		h.reduce(entry.MembersRead{Members: []entry.Member{
			{Instance: "osrednja-1", Version: 10 + uint64(h.lastRequest), StartTime: 1, LimitShares: claim},
			{Instance: "osrednja-2", Version: 2, LimitShares: map[id.Organisation]float64{"school": other}},
		}})
	}
	readMembers(0.5)
	_, effects := h.sendRequest("/look/1")
	require.Equal(t, entry.CodeRateLimited, requireRefusal(t, effects).Code)
	claim = h.state.LimitShares(h.now)
	require.Equal(t, map[id.Organisation]float64{"school": 0.5}, claim, "the share that the other instance leaves")
	readMembers(0.5)
	h.completeAttempt(h.requireDispatch("/look/1"))
}

// Guards against a successor that applies a claim of its predecessor which did not fit and was never applied, as in the
// simulation with FLEET_SEED=271 and 376.
func TestSuccessorDoesNotInheritUnconfirmedClaim(t *testing.T) {
	h := newStartingHarness(t)
	c := configuration()
	c.Organisations["school"] = entry.Organisation{Rate: 10, Burst: 10}
	h.reduce(entry.ConfigurationChanged{Configuration: c})
	h.reduce(entry.UpstreamsChanged{Upstreams: upstreams()})
	shares := func(share float64) map[id.Organisation]float64 { return map[id.Organisation]float64{"school": share} }
	h.reduce(entry.MembersRead{Members: []entry.Member{
		{Instance: "osrednja-1", Version: 1, StartTime: 2, LimitShares: shares(0.5)},
		{Instance: "osrednja-2", Version: 2, StartTime: 3, LimitShares: shares(1)},
	}})
	_, effects := h.sendRequest("/look/1")
	require.Equal(t, entry.CodeRateLimited, requireRefusal(t, effects).Code)
}
