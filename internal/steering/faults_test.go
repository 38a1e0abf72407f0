package steering_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/steering"
	"bluebellhold/note"
)

// newClaimedRequest returns a request that may run at most once.
func (s *simulation) newClaimedRequest(o id.Organisation, key string) *request {
	r := s.newRequest(o, "zrebalnik", 200*time.Millisecond, note.Small)
	r.arrival.Method, r.arrival.Path, r.arrival.IdempotencyKey = "POST", "/draws", key
	return r
}

// Guards against a second run of a claimed request: callers repeat each one at other instances while an instance is
// killed, another is paused beyond the expiry of its claims, results of the table are lost, and the store has an
// outage.
func TestAtMostOnceUnderFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSimulation(t, seed, 7)
			s.startFleet()
			s.loseResult = func() bool { return s.random.IntN(10) == 0 }
			for i := range 400 {
				key := fmt.Sprintf("draw-%d", i)
				at := time.Duration(s.random.IntN(60_000)) * time.Millisecond
				for range 3 {
					s.after(at, func() { s.sendRequest(s.instances[s.random.IntN(7)], s.newClaimedRequest("podjetje", key)) })
					at += time.Duration(s.random.IntN(4_000)) * time.Millisecond
				}
			}
			s.after(10*time.Second, func() { s.instances[5].killed = true })
			s.after(15*time.Second, func() { s.instances[1].paused = true })
			s.after(55*time.Second, func() { s.instances[1].resume() })
			s.after(30*time.Second, func() { s.storeDown = func(*instance) bool { return true } })
			s.after(40*time.Second, func() { s.storeDown = func(*instance) bool { return false } })
			for i := range 12 {
				target := s.upstreams[id.Upstream(fmt.Sprintf("zrebalnik-%d", i))]
				s.after(time.Duration(5+4*i)*time.Second, func() { target.down = true })
				s.after(time.Duration(8+4*i)*time.Second, func() { target.down = false })
			}
			s.run(3 * time.Minute)
			// A duplicate long after the first run gets the stored response or an unknown outcome.
			for i := range 400 {
				s.sendRequest(s.instances[6], s.newClaimedRequest("podjetje", fmt.Sprintf("draw-%d", i)))
				s.run(20 * time.Millisecond)
			}
			s.run(time.Minute)
			s.requireAtMostOnce()
			require.Greater(t, len(s.runsByKey), 200)
		})
	}
}

// requireAtMostOnce checks that no request ran twice and that none ran that was refused as "not run".
func (s *simulation) requireAtMostOnce() {
	for key, runs := range s.runsByKey {
		require.Equal(s.t, 1, runs, key)
	}
	for _, r := range s.finished {
		if r.refusal != nil && r.refusal.Outcome == steering.NotRun {
			require.Zero(s.t, r.runs, "%s %s was refused as not run with %s",
				r.organisation, r.arrival.IdempotencyKey, r.refusal.Code)
		}
	}
}

// Guards against a withdrawn key that keeps working, both at instances that get the new configuration and in a region
// that is partitioned from the store and from all other regions.
func TestWithdrawnKeyIsRefusedEverywhere(t *testing.T) {
	s := newSimulation(t, 21, 7)
	s.startFleet()
	isPartitioned := func(n *instance) bool { return n.self.Region == "primorska" }
	s.storeDown = isPartitioned
	s.partitioned = func(a, b *instance) bool { return isPartitioned(a) != isPartitioned(b) }
	reply := s.apply(s.instances[0], note.Note{ID: "gone", Withdraw: note.Withdrawals{Keys: []id.Key{"podjetje-1"}}})
	for reply.Epoch == 0 {
		s.run(10 * time.Millisecond)
	}
	acceptedAt := s.now
	lastStartAt := map[id.Instance]time.Time{}
	s.onStart = func(r *request) { lastStartAt[r.instance.self.Instance] = s.now }
	for i := range 100 {
		s.after(time.Duration(i)*100*time.Millisecond, func() {
			for _, n := range s.instances {
				s.sendRequest(n, s.newIdempotentRequest("podjetje"))
			}
		})
	}
	s.run(11 * time.Second)
	for _, n := range s.instances {
		// 2 s is the target for instances that can be reached; a partitioned one stops 3 s after its last verification.
		bound := 2 * time.Second
		if isPartitioned(n) {
			bound = 3*time.Second + s.regionLatency
		}
		require.Less(t, lastStartAt[n.self.Instance].Sub(acceptedAt), bound, n.self.Instance)
	}
	s.partitioned = func(_, _ *instance) bool { return false }
	s.storeDown = func(*instance) bool { return false }
	s.run(2 * time.Second)
	for _, n := range s.instances {
		require.Equal(t, reply.Epoch, n.state.Configuration().Epoch, n.self.Instance)
	}
}

// Guards against refusals of valid keys during an outage of the store for all instances.
func TestStoreOutageKeepsInstancesFresh(t *testing.T) {
	s := newSimulation(t, 22, 7)
	s.startFleet()
	s.storeDown = func(*instance) bool { return true }
	s.run(10 * time.Minute)
	for _, n := range s.instances {
		r := s.sendRequest(n, s.newIdempotentRequest("gimnazija"))
		s.run(2 * time.Second)
		require.Nil(t, r.refusal, "%s: %v", n.self.Instance, r.refusal)
		require.Equal(t, 1, r.runs)
	}
}

// Guards against a planned stop during a store outage after which the others wait for a confirmation of the stopped
// instance and refuse every key. Instances whose witness it was lose their shares until the store is available again,
// so only the freshness is checked.
func TestPlannedStopInStoreOutageKeepsOthersFresh(t *testing.T) {
	s := newSimulation(t, 32, 7)
	s.startFleet()
	s.storeDown = func(*instance) bool { return true }
	s.run(10 * time.Second)
	s.instances[5].post(steering.StopRequested{})
	s.run(time.Minute)
	require.True(t, s.instances[5].stopped)
	for _, n := range s.instances[:5] {
		require.True(t, s.now.Before(n.state.FreshUntil()), n.self.Instance)
	}
}

// Guards against a store outage in which a request is dispatched without the claim that it needs.
func TestStoreOutageRefusesClaimedRequestsAsNotRun(t *testing.T) {
	s := newSimulation(t, 23, 7)
	s.startFleet()
	s.storeDown = func(*instance) bool { return true }
	r := s.newClaimedRequest("podjetje", "draw-1")
	r.arrival.Deadline = s.now.Add(5 * time.Second)
	s.sendRequest(s.instances[3], r)
	s.run(10 * time.Second)
	require.NotNil(t, r.refusal)
	require.Equal(t, steering.NotRun, r.refusal.Outcome)
	s.requireAtMostOnce()
}

// Guards against concurrent notes of which two are reported as accepted for the same epoch, and against a configuration
// that reverts.
func TestConcurrentNotesGetDistinctEpochs(t *testing.T) {
	s := newSimulation(t, 24, 7)
	s.startFleet()
	s.loseResult = func() bool { return s.random.IntN(3) == 0 }
	epochs := map[id.Epoch]id.Note{}
	for round := range 20 {
		var replies []*steering.Reply
		var names []id.Note
		for i, n := range []*instance{s.instances[0], s.instances[1], s.instances[5]} {
			name := id.Note(fmt.Sprintf("note-%d-%d", round, i))
			site := id.Site(fmt.Sprintf("site-%d-%d", round, i))
			names = append(names, name)
			replies = append(replies, s.apply(n, note.Note{ID: name, Add: note.Entries{
				Sites: map[id.Site]note.Site{site: {Region: "osrednja", DataCentre: "osrednja-0"}},
			}}))
		}
		s.run(25 * time.Second)
		for i, r := range replies {
			var conflict *note.ConflictError
			switch {
			case r.Err == nil:
				require.NotZero(t, r.Epoch)
				require.Empty(t, epochs[r.Epoch], "two notes were accepted as epoch %d", r.Epoch)
				epochs[r.Epoch] = names[i]
			default:
				require.True(t, errors.As(r.Err, &conflict), "%v", r.Err)
				require.NotZero(t, conflict.Epoch)
			}
		}
	}
	newest := s.instances[0].state.Configuration()
	require.GreaterOrEqual(t, len(epochs), 20)
	require.Equal(t, id.Epoch(len(epochs)+1), newest.Epoch)
	require.Len(t, newest.Sites, len(epochs))
}

// Guards against a late or duplicate reply with an older epoch that replaces a newer one.
func TestOlderEpochIsNotApplied(t *testing.T) {
	s := newSimulation(t, 29, 7)
	s.startFleet()
	older := s.instances[3].state.Configuration()
	body, digest, err := note.Encode(older)
	require.NoError(t, err)
	reply := s.apply(s.instances[0], note.Note{ID: "second", Withdraw: note.Withdrawals{Keys: []id.Key{"zbor-1"}}})
	s.run(5 * time.Second)
	require.NoError(t, reply.Err)
	s.instances[3].post(decodeEpoch(older.Epoch, digest, body))
	require.Equal(t, reply.Epoch, s.instances[3].state.Configuration().Epoch)
}

// Guards against a configuration that takes longer than 2 s to be in force at all instances.
func TestConfigurationIsInForceWithinTwoSeconds(t *testing.T) {
	s := newSimulation(t, 25, 7)
	s.startFleet()
	reply := s.apply(s.instances[6], note.Note{ID: "second", Withdraw: note.Withdrawals{Keys: []id.Key{"zbor-1"}}})
	for reply.Epoch == 0 {
		s.run(10 * time.Millisecond)
	}
	s.run(2 * time.Second)
	for _, n := range s.instances {
		require.Equal(t, id.Epoch(2), n.state.Configuration().Epoch, n.self.Instance)
	}
}

// Guards against new requests on a drained upstream more than 2 s after the note was accepted, and against refusals
// caused by the drain although the remaining upstreams have capacity.
func TestDrainedUpstreamsGetNoNewRequests(t *testing.T) {
	s := newSimulation(t, 26, 7)
	s.startFleet()
	until := s.now.Add(30 * time.Second)
	s.load(150, until, func() *request { return s.newIdempotentRequest("podjetje") },
		func() *instance { return s.instances[s.random.IntN(7)] })
	s.run(10 * time.Second)
	drains := map[id.Upstream]note.Drain{}
	for i := range 4 {
		drains[id.Upstream(fmt.Sprintf("pregled-%d", i))] = note.Drain{Service: "pregled"}
	}
	reply := s.apply(s.instances[2], note.Note{ID: "drain", Add: note.Entries{Drains: drains}})
	for reply.Epoch == 0 {
		require.NoError(t, reply.Err)
		s.run(10 * time.Millisecond)
	}
	acceptedAt := s.now
	s.run(30 * time.Second)
	for name := range drains {
		require.Less(t, s.upstreams[name].lastStart.Sub(acceptedAt), 2*time.Second, name)
	}
	require.Empty(t, s.refusalCounts)
}

// Guards against accepting a drain that leaves less capacity than the measured load of all instances.
func TestDrainBelowMeasuredLoadIsRefused(t *testing.T) {
	s := newSimulation(t, 33, 7)
	s.startFleet()
	// 100 requests a second of 400 ms keep 40 of the 84 slots busy.
	until := s.now.Add(20 * time.Second)
	s.load(100, until, func() *request {
		return s.newRequest("podjetje", "pregled", 400*time.Millisecond, note.Small)
	}, func() *instance { return s.instances[s.random.IntN(7)] })
	s.run(10 * time.Second)
	drains := func(n int) note.Entries {
		all := map[id.Upstream]note.Drain{}
		for i := range n {
			all[id.Upstream(fmt.Sprintf("pregled-%d", i))] = note.Drain{Service: "pregled"}
		}
		return note.Entries{Drains: all}
	}
	refused := s.apply(s.instances[4], note.Note{ID: "many", Add: drains(12)})
	accepted := s.apply(s.instances[4], note.Note{ID: "few", Add: drains(3)})
	s.run(5 * time.Second)
	var infeasible *note.InfeasibleError
	require.ErrorAs(t, refused.Err, &infeasible)
	require.NoError(t, accepted.Err)
	require.Equal(t, id.Epoch(2), accepted.Epoch)
}

// Guards against requests that never end because their service was withdrawn while they waited for a token.
func TestWithdrawnServiceRefusesWaitingRequests(t *testing.T) {
	s := newSimulation(t, 34, 7)
	s.startFleet()
	reply := s.apply(s.instances[0], note.Note{ID: "bye", Withdraw: note.Withdrawals{Services: []id.Service{"pregled"}}})
	for reply.Epoch == 0 {
		require.NoError(t, reply.Err)
		for range 20 {
			s.sendRequest(s.instances[1], s.newIdempotentRequest("zbor"))
		}
		s.run(20 * time.Millisecond)
	}
	s.run(5 * time.Second)
	require.Empty(t, s.requests)
	require.NotZero(t, s.refusalCounts[steering.CodeNoRoute])
}

// Guards against a retry that waits until its deadline because its only upstream is excluded after one failed attempt.
func TestRetryReusesTheOnlyUpstream(t *testing.T) {
	s := newSimulation(t, 35, 7)
	s.startFleet()
	add := note.Entries{Services: map[id.Service]note.Service{}}
	s.addService(add, "solo", 1, 4, note.Route{Path: "/", Idempotent: true})
	reply := s.apply(s.instances[0], note.Note{ID: "solo", Add: add})
	s.run(10 * time.Second)
	require.NoError(t, reply.Err)
	s.upstreams["solo-0"].down = true
	r := s.sendRequest(s.instances[0], s.newRequest("gimnazija", "solo", 10*time.Millisecond, note.Small))
	s.run(50 * time.Millisecond)
	s.upstreams["solo-0"].down = false
	s.run(time.Second)
	require.Equal(t, 1, r.runs)
	require.False(t, r.endedAt.IsZero())
	require.Nil(t, r.refusal)
}

// Guards against a planned stop that aborts or refuses a request, or that does not release its shares.
func TestPlannedStopFinishesAllRequests(t *testing.T) {
	s := newSimulation(t, 27, 7)
	s.startFleet()
	until := s.now.Add(20 * time.Second)
	stopping := s.instances[4]
	s.load(100, until, func() *request { return s.newIdempotentRequest("podjetje") }, func() *instance {
		n := s.instances[s.random.IntN(7)]
		// Callers cache a look-up result for 5 s.
		if n == stopping && s.now.After(until.Add(-10*time.Second)) {
			return s.instances[0]
		}
		return n
	})
	s.run(5 * time.Second)
	stopping.post(steering.StopRequested{})
	s.run(30 * time.Second)
	require.True(t, stopping.stopped)
	require.Empty(t, s.refusalCounts)
	require.Empty(t, s.requests)
}

// Guards against a fleet of one instance that never acquires its shares.
func TestSingleInstanceServes(t *testing.T) {
	s := newSimulation(t, 30, 1)
	s.startFleet()
	r := s.sendRequest(s.instances[0], s.newIdempotentRequest("zbor"))
	s.run(2 * time.Second)
	require.Nil(t, r.refusal)
	require.Equal(t, 1, r.runs)
}

// Guards against a planned stop that releases its shares, and so refuses requests, before all callers have
// disconnected.
func TestPlannedStopServesUntilConnectionsAreClosed(t *testing.T) {
	s := newSimulation(t, 36, 7)
	s.startFleet()
	s.closeDuration = 2 * time.Second
	stopping := s.instances[4]
	stopping.post(steering.StopRequested{})
	s.run(7 * time.Second)
	r := s.sendRequest(stopping, s.newIdempotentRequest("podjetje"))
	s.run(10 * time.Second)
	require.Nil(t, r.refusal)
	require.Equal(t, 1, r.runs)
	require.True(t, stopping.stopped)
}

// Guards against a fleet that serves nothing after all its instances were killed and restarted at once.
func TestFleetRecoversAfterTotalRestart(t *testing.T) {
	s := newSimulation(t, 28, 7)
	s.startFleet()
	for i, n := range s.instances {
		n.killed = true
		s.instances[i] = s.start(n.self, uint64(100+i))
	}
	s.run(15 * time.Second)
	for _, n := range s.instances {
		r := s.sendRequest(n, s.newIdempotentRequest("gimnazija"))
		s.run(3 * time.Second)
		require.Nil(t, r.refusal, "%s: %v", n.self.Instance, r.refusal)
	}
	s.requireCapacity()
}
