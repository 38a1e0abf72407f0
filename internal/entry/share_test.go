package entry_test

import (
	"fmt"
	"slices"
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
	f := newFleet(t, 1, 7)
	limit := (organisationRate*5+organisationBurst)*1.1 + 20
	f.run()
	highest := maxInWindow(f.dispatches, 5*time.Second)
	t.Logf("maximum in a window: %d of %.0f", highest, limit)
	require.LessOrEqual(t, float64(highest), limit)
	require.Greater(t, float64(highest), limit/2)
}

// Guards against limits of a few requests a second that are divided into parts below one request, so that requests
// within them are refused: on a deployment of 118 instances and 190 organisations, 43 in 100 requests were. The callers
// send 1 / 1.6 of what is allowed, through instances chosen at random.
func TestSmallLimitsAreUsableInALargeFleet(t *testing.T) {
	for _, size := range []int{7, 36, 118, 300} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 1, size)
			f.rate, f.burst = 10, 10
			for _, m := range f.members {
				f.restart(m)
			}
			warmUp := testStart.Add(8 * time.Second)
			sent := 0
			for f.now.Before(testStart.Add(runDuration)) {
				f.now = f.now.Add(stepInterval)
				f.deliverMessages()
				for _, m := range f.members {
					m.now = f.now
					if f.now.Sub(testStart)/stepInterval%10 == 0 {
						f.step(m)
					}
				}
				if f.now.After(warmUp) && f.random.IntN(32) == 0 {
					f.sendRequest(f.members[f.random.IntN(size)])
					sent++
				}
			}
			t.Logf("%d requests, refused %v, %.1f messages a second and instance", sent, f.refusals,
				float64(f.sent)/float64(size)/runDuration.Seconds())
			require.LessOrEqual(t, f.refusals[entry.CodeRateLimited], sent/50, "refused within the limit")
			require.Less(t, float64(f.sent)/float64(size)/runDuration.Seconds(), 12.0, "messages a second and instance")
		})
	}
}

// Guards against a new instance that claims the whole limit because it has seen no other yet: in the fault soak, four
// that started within a second admitted 152 requests where 141 were allowed (seed 1).
func TestNewInstanceWaitsUntilOthersReadItsHeartbeat(t *testing.T) {
	h := newStartingHarness(t)
	h.reduce(entry.ConfigurationChanged{Configuration: configuration()})
	h.reduce(entry.UpstreamsChanged{Upstreams: upstreams()})
	h.now = h.now.Add(joinTime)
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

// Guards against homes that start from zero after a restart: when all instances of a recorded day of Cascadia had been
// killed, 366 requests within their limits were refused in the next four seconds, against 10 in any four seconds before.
func TestRestartedProcessInheritsLoadAndLocalShares(t *testing.T) {
	h := newStartingHarness(t)
	h.reduce(entry.MembersRead{Members: []entry.Member{{
		Instance: "osrednja-1", Version: 3, StartTime: 2, OfferedLoad: map[id.Service]float64{"pregled": 3},
		LocalShares: map[id.Service]float64{"pregled": 0.4, "darila": 0.9},
	}, {Instance: "osrednja-2", Version: 2}}})
	require.Equal(t, map[id.Service]float64{"pregled": 3}, h.state.OfferedLoad(h.now),
		"its first heartbeat precedes the configuration")
	h.limitRate(2, 100, 100)
	h.reduce(entry.UpstreamsChanged{Upstreams: upstreams()})
	require.True(t, h.state.IsReady(), "it has its predecessor's place")
	require.Equal(t, map[id.Service]float64{"pregled": 3}, h.state.OfferedLoad(h.now))
	require.Equal(t, map[id.Service]float64{"pregled": 0.4, "darila": 0.9}, h.state.LocalShares())
}

// Guards against a new coordinator that reads the configuration after or before the rows of the groups and then has no
// shares, as three of seven restarted instances on ccbw-hold trouble-3.
func TestCoordinatorTakesOverSharesInAnyReadOrder(t *testing.T) {
	for _, isConfigurationFirst := range []bool{false, true} {
		h := newStartingHarness(t)
		if isConfigurationFirst {
			h.limitRate(2, 10, 10)
		}
		h.reduce(entry.UpstreamsChanged{Upstreams: upstreams()})
		h.reduce(entry.MembersRead{Members: []entry.Member{{Instance: "osrednja-1", Version: 1, StartTime: 2}}})
		own := groupRow("osrednja", 0.5)
		own.Writer = "osrednja-2"
		h.reduce(entry.GroupsRead{Groups: []entry.GroupRow{own, groupRow("koper", 0.5)}})
		if !isConfigurationFirst {
			h.limitRate(2, 10, 10)
		}
		h.now = h.now.Add(1700 * time.Millisecond)
		h.reduce(entry.Tick{})
		h.now = h.now.Add(300 * time.Millisecond)
		h.completeAttempt(h.requireDispatch("/look/1"))
	}
}

// Guards against two groups that both claim the same free share of a limit.
func TestConflictingClaimsAreNotApplied(t *testing.T) {
	h := newHarness(t)
	h.limitRate(2, 10, 10)
	require.Zero(t, h.syncGroups(), "the other groups are unknown")
	h.syncGroups()
	require.Equal(t, 1.0, h.syncGroups(groupRow("koper", 0.5)))
	require.Equal(t, 0.5, h.syncGroups(groupRow("koper", 0.5)), "the share that the other group leaves")
	h.now = h.now.Add(2 * time.Second)
	h.reduce(entry.Tick{})
	h.now = h.now.Add(time.Second)
	h.completeAttempt(h.requireDispatch("/look/1"))
}

// Guards against a coordinator that applies a claim of its predecessor which did not fit and was never applied, as in the
// simulation with FLEET_SEED=271 and 376.
func TestCoordinatorDoesNotTakeOverUnconfirmedClaim(t *testing.T) {
	h := newStartingHarness(t)
	h.limitRate(2, 10, 10)
	h.reduce(entry.UpstreamsChanged{Upstreams: upstreams()})
	h.reduce(entry.MembersRead{Members: []entry.Member{{Instance: "osrednja-1", Version: 1, StartTime: 2}}})
	h.reduce(entry.GroupsRead{Groups: []entry.GroupRow{groupRow("osrednja", 0.5), groupRow("koper", 1)}})
	h.now = h.now.Add(2 * time.Second)
	h.reduce(entry.Tick{})
	h.now = h.now.Add(time.Second)
	_, effects := h.sendRequest("/look/1")
	require.Empty(t, effects, "it waits for a share")
	h.now = h.now.Add(time.Second)
	require.Equal(t, entry.CodeRateLimited, requireRefusal(t, h.reduce(entry.Tick{})).Code)
}

// Guards against instances that wait for each other after all were killed: each took the predecessors of the others, whose
// heartbeats were still in the store, for older processes that coordinate the group. On zadruga-zreb scale-1 half of the
// requests of the next two seconds were refused.
func TestFleetServesAgainAfterAllWereKilled(t *testing.T) {
	f := newFleet(t, 3, 7)
	const killedAt, downFor, bound = 12 * time.Second, 500 * time.Millisecond, 1500 * time.Millisecond
	restartAt := testStart.Add(killedAt + downFor)
	admittedSince := func(at time.Time) int {
		return len(slices.DeleteFunc(slices.Clone(f.dispatches), func(d time.Time) bool { return d.Before(at) }))
	}
	isKilled := false
	for f.now.Before(restartAt.Add(bound + time.Second)) {
		f.now = f.now.Add(stepInterval)
		f.deliverMessages()
		for _, m := range f.members {
			m.now = f.now
			switch {
			case !isKilled && f.now.After(testStart.Add(killedAt)):
				m.restartAt = restartAt
			case f.now.Before(m.restartAt):
			case isKilled && f.now.Equal(restartAt):
				f.restart(m)
			default:
				f.step(m)
				if f.random.IntN(28) == 0 {
					f.sendRequest(m) // 50 a second in all, half of the limit
				}
			}
		}
		isKilled = f.now.After(testStart.Add(killedAt))
	}
	admitted := admittedSince(restartAt.Add(bound))
	t.Logf("%d admitted in the second after the bound, refused %v", admitted, f.refusals)
	require.GreaterOrEqual(t, admitted, 40)
}

// Guards against a limit that is exceeded after the store has returned from an older copy, in which another group holds
// less than it does by now, and against shares that never grow again.
func TestRestoredRowsOfOtherGroupsFreeNoShare(t *testing.T) {
	h := newHarness(t)
	h.limitRate(2, organisationRate, organisationBurst)
	koper := groupRow("koper", 0.7)
	h.holdFreeShares(koper)
	held := h.syncGroups(koper)
	require.LessOrEqual(t, held, 0.31)
	restored := groupRow("koper", 0.1)
	restored.Version, restored.IsRestored = 3, true
	for range 6 {
		require.LessOrEqual(t, h.syncGroups(restored), held, "the other group holds 0.7")
	}
	koper.Version, koper.Shares = 4, map[id.Organisation]float64{"school": 0.1}
	for range 6 {
		h.syncGroups(koper)
	}
	require.Greater(t, h.syncGroups(koper), 0.4, "the other group has written its row")
}

// Guards against a coordinator that takes over the share of its group from a restored row of its predecessor, although
// the group has shrunk its share since and others use it.
func TestRestoredRowOfAFormerCoordinatorIsNotTakenOver(t *testing.T) {
	h := newHarness(t)
	h.limitRate(2, organisationRate, organisationBurst)
	koper := groupRow("koper", 0.7)
	h.holdFreeShares(koper)
	held := h.syncGroups(koper)
	require.LessOrEqual(t, held, 0.31)
	own := groupRow("osrednja", 0.9)
	own.Version, own.IsRestored = 9, true
	koper.Version, koper.IsRestored, koper.Shares = 9, true, map[id.Organisation]float64{"school": 0.1}
	h.reduce(entry.GroupsRead{Groups: []entry.GroupRow{own, koper}})
	row, ok := h.state.GroupRow(h.now)
	require.True(t, ok)
	require.LessOrEqual(t, row.Shares["school"], held)
}

// Guards against a limit that is exceeded because a process that starts while the store returns from an older copy takes over
// what its group held at the time of the copy, although the group has given that up since (soak seed 5003: 160 of 141).
func TestNewProcessDoesNotTakeOverAnOutdatedShare(t *testing.T) {
	h := newHarness(t)
	h.limitRate(2, organisationRate, organisationBurst)
	own, koper := groupRow("osrednja", 1), groupRow("koper", 0)
	own.IsRestored, koper.IsRestored = true, true
	h.reduce(entry.GroupsRead{Groups: []entry.GroupRow{own, koper}})
	row, ok := h.state.GroupRow(h.now)
	require.True(t, ok)
	require.LessOrEqual(t, row.Shares["school"], 0.21, "the other group may hold all but the even part of this one")
	require.Positive(t, row.Shares["school"])
	// The other group writes what it holds, and later less.
	koper = groupRow("koper", 0.75)
	for range 6 {
		koper.Version++
		require.LessOrEqual(t, h.syncGroups(koper), 0.26)
	}
	koper.Shares = map[id.Organisation]float64{"school": 0.3}
	for range 6 {
		koper.Version++
		h.syncGroups(koper)
	}
	require.Greater(t, h.syncGroups(koper), 0.4)
}
