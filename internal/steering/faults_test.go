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

// draw is a request that may run at most once.
func (s *sim) draw(o id.Organisation, key string) *call {
	c := s.newCall(o, "zrebalnik", 200*time.Millisecond, note.Small)
	c.arrival.Method, c.arrival.Path, c.arrival.IdempotencyKey = "POST", "/draws", key
	return c
}

// Guards against a second run of a draw: callers repeat every draw at other instances while instances are killed and
// frozen past their claims, table answers are lost, and the store goes down and comes back.
func TestDrawRunsAtMostOnceUnderFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSim(t, seed, 7)
			s.startZadruga()
			s.loseReply = func() bool { return s.random.IntN(10) == 0 }
			for i := range 400 {
				key := fmt.Sprintf("draw-%d", i)
				at := time.Duration(s.random.IntN(60_000)) * time.Millisecond
				for range 3 {
					s.after(at, func() { s.call(s.nodes[s.random.IntN(7)], s.draw("podjetje", key)) })
					at += time.Duration(s.random.IntN(4_000)) * time.Millisecond
				}
			}
			s.after(10*time.Second, func() { s.nodes[5].dead = true })
			s.after(15*time.Second, func() { s.nodes[1].frozen = true })
			s.after(55*time.Second, func() { s.nodes[1].thaw() })
			s.after(30*time.Second, func() { s.storeDown = func(*node) bool { return true } })
			s.after(40*time.Second, func() { s.storeDown = func(*node) bool { return false } })
			for i := range 12 {
				target := s.servers[id.Upstream(fmt.Sprintf("zrebalnik-%d", i))]
				s.after(time.Duration(5+4*i)*time.Second, func() { target.dead = true })
				s.after(time.Duration(8+4*i)*time.Second, func() { target.dead = false })
			}
			s.run(3 * time.Minute)
			// A repeat long after the first run finds the stored answer or an unknown outcome.
			for i := range 400 {
				s.call(s.nodes[6], s.draw("podjetje", fmt.Sprintf("draw-%d", i)))
				s.run(20 * time.Millisecond)
			}
			s.run(time.Minute)
			s.requireTrueOutcomes()
			require.Greater(t, len(s.runs), 200)
		})
	}
}

// requireTrueOutcomes checks that nothing ran twice and that what was refused as "not run" did not run.
func (s *sim) requireTrueOutcomes() {
	for key, runs := range s.runs {
		require.Equal(s.t, 1, runs, key)
	}
	for _, c := range s.finished {
		if c.refusal != nil && c.refusal.Outcome == steering.NotRun {
			require.Zero(s.t, c.runs, "%s %s was refused as not run with %s", c.organisation, c.arrival.IdempotencyKey, c.refusal.Code)
		}
	}
}

// Guards against a withdrawn key that keeps working: at instances that hear of the withdrawal, and at a region that is
// cut off from the store and from all other regions.
func TestWithdrawnKeyStopsEverywhere(t *testing.T) {
	s := newSim(t, 21, 7)
	s.startZadruga()
	isCutOff := func(n *node) bool { return n.self.Region == "primorska" }
	s.storeDown = isCutOff
	s.cut = func(a, b *node) bool { return isCutOff(a) != isCutOff(b) }
	reply := s.apply(s.nodes[0], note.Note{ID: "gone", Withdraw: note.Withdrawals{Keys: []id.Key{"podjetje-1"}}})
	for reply.Epoch == 0 {
		s.run(10 * time.Millisecond)
	}
	acceptedAt := s.now
	ran := map[id.Instance]time.Time{}
	s.onAdmitted = func(c *call) { ran[c.node.self.Instance] = s.now }
	for i := range 100 {
		s.after(time.Duration(i)*100*time.Millisecond, func() {
			for _, n := range s.nodes {
				s.call(n, s.check("podjetje"))
			}
		})
	}
	s.run(11 * time.Second)
	for _, n := range s.nodes {
		// 2 s is the target for instances that can be told; one that is cut off stops when its evidence is 3 s old.
		bound := 2 * time.Second
		if isCutOff(n) {
			bound = 3*time.Second + s.between
		}
		require.Less(t, ran[n.self.Instance].Sub(acceptedAt), bound, n.self.Instance)
	}
	s.cut = func(_, _ *node) bool { return false }
	s.storeDown = func(*node) bool { return false }
	s.run(2 * time.Second)
	for _, n := range s.nodes {
		require.Equal(t, reply.Epoch, n.state.Configuration().Epoch, n.self.Instance)
	}
}

// Guards against an outage of the store for all instances that stops requests with valid keys.
func TestStoreOutageKeepsInstancesFresh(t *testing.T) {
	s := newSim(t, 22, 7)
	s.startZadruga()
	s.storeDown = func(*node) bool { return true }
	s.run(10 * time.Minute)
	for _, n := range s.nodes {
		c := s.call(n, s.check("gimnazija"))
		s.run(2 * time.Second)
		require.Nil(t, c.refusal, "%s: %v", n.self.Instance, c.refusal)
		require.Equal(t, 1, c.runs)
	}
}

// Guards against a planned stop during a store outage after which the others wait for the word of the stopped instance
// and refuse every key. Holders whose witness it was lose their shares until the store is back, so only the freshness
// is checked.
func TestPlannedStopInStoreOutageKeepsOthersFresh(t *testing.T) {
	s := newSim(t, 32, 7)
	s.startZadruga()
	s.storeDown = func(*node) bool { return true }
	s.run(10 * time.Second)
	s.nodes[5].post(steering.StopRequested{})
	s.run(time.Minute)
	require.True(t, s.nodes[5].stop)
	for _, n := range s.nodes[:5] {
		require.True(t, s.now.Before(n.state.FreshUntil()), n.self.Instance)
	}
}

// Guards against a store outage in which a claimed request is sent without its claim.
func TestStoreOutageRefusesDrawsTruthfully(t *testing.T) {
	s := newSim(t, 23, 7)
	s.startZadruga()
	s.storeDown = func(*node) bool { return true }
	c := s.draw("podjetje", "draw-1")
	c.arrival.Deadline = s.now.Add(5 * time.Second)
	s.call(s.nodes[3], c)
	s.run(10 * time.Second)
	require.NotNil(t, c.refusal)
	require.Equal(t, steering.NotRun, c.refusal.Outcome)
	s.requireTrueOutcomes()
}

// Guards against two racing operators who are both told that their note was accepted as the same epoch, and against a
// configuration that reverts.
func TestRacingNotesHaveOneWinner(t *testing.T) {
	s := newSim(t, 24, 7)
	s.startZadruga()
	s.loseReply = func() bool { return s.random.IntN(3) == 0 }
	epochs := map[id.Epoch]id.Note{}
	for round := range 20 {
		var replies []*steering.Reply
		var names []id.Note
		for i, n := range []*node{s.nodes[0], s.nodes[1], s.nodes[5]} {
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
				require.Empty(t, epochs[r.Epoch], "two notes won epoch %d", r.Epoch)
				epochs[r.Epoch] = names[i]
			default:
				require.True(t, errors.As(r.Err, &conflict), "%v", r.Err)
				require.NotZero(t, conflict.Epoch)
			}
		}
	}
	newest := s.nodes[0].state.Configuration()
	require.GreaterOrEqual(t, len(epochs), 20)
	require.Equal(t, id.Epoch(len(epochs)+1), newest.Epoch)
	require.Len(t, newest.Sites, len(epochs))
}

// Guards against a late or repeated answer with an older epoch that replaces a newer one.
func TestOlderEpochIsNeverAdopted(t *testing.T) {
	s := newSim(t, 29, 7)
	s.startZadruga()
	older := s.nodes[3].state.Configuration()
	body, digest, err := note.Encode(older)
	require.NoError(t, err)
	reply := s.apply(s.nodes[0], note.Note{ID: "second", Withdraw: note.Withdrawals{Keys: []id.Key{"zbor-1"}}})
	s.run(5 * time.Second)
	require.NoError(t, reply.Err)
	s.nodes[3].post(decoded(older.Epoch, digest, body))
	require.Equal(t, reply.Epoch, s.nodes[3].state.Configuration().Epoch)
}

// Guards against a configuration that takes longer than 2 s to be in force at all instances.
func TestConfigurationIsInForceWithinTwoSeconds(t *testing.T) {
	s := newSim(t, 25, 7)
	s.startZadruga()
	reply := s.apply(s.nodes[6], note.Note{ID: "second", Withdraw: note.Withdrawals{Keys: []id.Key{"zbor-1"}}})
	for reply.Epoch == 0 {
		s.run(10 * time.Millisecond)
	}
	s.run(2 * time.Second)
	for _, n := range s.nodes {
		require.Equal(t, id.Epoch(2), n.state.Configuration().Epoch, n.self.Instance)
	}
}

// Guards against new work on a drained upstream more than 2 s after the note was accepted, and against refusals caused
// by the drain while the rest has room.
func TestDrainedUpstreamsGetNoNewWork(t *testing.T) {
	s := newSim(t, 26, 7)
	s.startZadruga()
	until := s.now.Add(30 * time.Second)
	s.load(150, until, func() *call { return s.check("podjetje") }, func() *node { return s.nodes[s.random.IntN(7)] })
	s.run(10 * time.Second)
	drains := map[id.Upstream]note.Drain{}
	for i := range 4 {
		drains[id.Upstream(fmt.Sprintf("pregled-%d", i))] = note.Drain{Service: "pregled"}
	}
	reply := s.apply(s.nodes[2], note.Note{ID: "drain", Add: note.Entries{Drains: drains}})
	for reply.Epoch == 0 {
		require.NoError(t, reply.Err)
		s.run(10 * time.Millisecond)
	}
	acceptedAt := s.now
	s.run(30 * time.Second)
	for name := range drains {
		require.Less(t, s.servers[name].lastWork.Sub(acceptedAt), 2*time.Second, name)
	}
	require.Empty(t, s.refusals)
}

// Guards against a drain that leaves less capacity than the load that all instances together have measured.
func TestDrainBelowMeasuredLoadIsRefused(t *testing.T) {
	s := newSim(t, 33, 7)
	s.startZadruga()
	// 100 requests a second of 400 ms keep 40 of the 84 slots busy.
	until := s.now.Add(20 * time.Second)
	s.load(100, until, func() *call {
		return s.newCall("podjetje", "pregled", 400*time.Millisecond, note.Small)
	}, func() *node { return s.nodes[s.random.IntN(7)] })
	s.run(10 * time.Second)
	drains := func(n int) note.Entries {
		all := map[id.Upstream]note.Drain{}
		for i := range n {
			all[id.Upstream(fmt.Sprintf("pregled-%d", i))] = note.Drain{Service: "pregled"}
		}
		return note.Entries{Drains: all}
	}
	refused := s.apply(s.nodes[4], note.Note{ID: "many", Add: drains(12)})
	accepted := s.apply(s.nodes[4], note.Note{ID: "few", Add: drains(3)})
	s.run(5 * time.Second)
	var infeasible *note.InfeasibleError
	require.ErrorAs(t, refused.Err, &infeasible)
	require.NoError(t, accepted.Err)
	require.Equal(t, id.Epoch(2), accepted.Epoch)
}

// Guards against callers that wait for ever because their service was withdrawn while they waited for a token.
func TestWithdrawnServiceRefusesWaitingRequests(t *testing.T) {
	s := newSim(t, 34, 7)
	s.startZadruga()
	reply := s.apply(s.nodes[0], note.Note{ID: "bye", Withdraw: note.Withdrawals{Services: []id.Service{"pregled"}}})
	for reply.Epoch == 0 {
		require.NoError(t, reply.Err)
		for range 20 {
			s.call(s.nodes[1], s.check("zbor"))
		}
		s.run(20 * time.Millisecond)
	}
	s.run(5 * time.Second)
	require.Empty(t, s.requests)
	require.NotZero(t, s.refusals[steering.CodeNoRoute])
}

// Guards against a retry that waits until its deadline because the service's only upstream failed it once.
func TestRetryMayReturnToTheOnlyUpstream(t *testing.T) {
	s := newSim(t, 35, 7)
	s.startZadruga()
	add := note.Entries{Services: map[id.Service]note.Service{}}
	s.addService(add, "solo", 1, 4, note.Route{Path: "/", Idempotent: true})
	reply := s.apply(s.nodes[0], note.Note{ID: "solo", Add: add})
	s.run(10 * time.Second)
	require.NoError(t, reply.Err)
	s.servers["solo-0"].dead = true
	c := s.call(s.nodes[0], s.newCall("gimnazija", "solo", 10*time.Millisecond, note.Small))
	s.run(50 * time.Millisecond)
	s.servers["solo-0"].dead = false
	s.run(time.Second)
	require.Equal(t, 1, c.runs)
	require.False(t, c.end.IsZero())
	require.Nil(t, c.refusal)
}

// Guards against a planned stop that cuts or refuses a request, or that leaves shares behind.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	s := newSim(t, 27, 7)
	s.startZadruga()
	until := s.now.Add(20 * time.Second)
	stopping := s.nodes[4]
	s.load(100, until, func() *call { return s.check("podjetje") }, func() *node {
		n := s.nodes[s.random.IntN(7)]
		// Callers keep a look-up answer for 5 s.
		if n == stopping && s.now.After(until.Add(-10*time.Second)) {
			return s.nodes[0]
		}
		return n
	})
	s.run(5 * time.Second)
	stopping.post(steering.StopRequested{})
	s.run(30 * time.Second)
	require.True(t, stopping.stop)
	require.Empty(t, s.refusals)
	require.Empty(t, s.requests)
}

// Guards against an instance that is alone in its fleet and never takes its shares.
func TestSingleInstanceServes(t *testing.T) {
	s := newSim(t, 30, 1)
	s.startZadruga()
	c := s.call(s.nodes[0], s.check("zbor"))
	s.run(2 * time.Second)
	require.Nil(t, c.refusal)
	require.Equal(t, 1, c.runs)
}

// Guards against a planned stop that hands its shares back, and so refuses a request, before all callers are gone.
func TestPlannedStopServesUntilCallersAreGone(t *testing.T) {
	s := newSim(t, 36, 7)
	s.startZadruga()
	s.closing = 2 * time.Second
	stopping := s.nodes[4]
	stopping.post(steering.StopRequested{})
	s.run(7 * time.Second)
	c := s.call(stopping, s.check("podjetje"))
	s.run(10 * time.Second)
	require.Nil(t, c.refusal)
	require.Equal(t, 1, c.runs)
	require.True(t, stopping.stop)
}

// Guards against a fleet that serves nothing after all its instances were killed and started again at once.
func TestFleetRecoversAfterTotalRestart(t *testing.T) {
	s := newSim(t, 28, 7)
	s.startZadruga()
	for i, n := range s.nodes {
		n.dead = true
		s.nodes[i] = s.start(n.self, uint64(100+i))
	}
	s.run(15 * time.Second)
	for _, n := range s.nodes {
		c := s.call(n, s.check("gimnazija"))
		s.run(3 * time.Second)
		require.Nil(t, c.refusal, "%s: %v", n.self.Instance, c.refusal)
	}
	s.requireCapacity()
}
