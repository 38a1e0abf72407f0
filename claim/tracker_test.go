package claim_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bluebellhold/claim"
)

// Guards against a second run for an idempotency key, a request reported as not run although it ran, a replay that
// differs from the first response, a late dispatch and a request without an outcome, under any order of faults at several
// instances.
func TestAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The skews differ by less than the day that purging allows for.
		s := newSimulation(t, 0, 7*time.Hour, -9*time.Hour)
		for range 250 {
			step(t, s)
		}
		s.heal()
	})
}

var actions = []string{
	"want", "want", "want", "want", "execute", "execute", "execute", "flow", "flow", "flow", "flow", "deliver",
	"deliver", "dispatch", "dispatch", "dispatch", "dispatch", "finish", "finish", "finish", "tick", "tick", "advance",
	"advance", "quit", "pause", "resume", "resume", "resume", "resume", "kill", "outage", "land", "days",
}

var clockSteps = []time.Duration{
	time.Millisecond, time.Millisecond, 80 * time.Millisecond, 80 * time.Millisecond, time.Second, time.Second,
	31 * time.Second, 4 * time.Minute,
}

var faults = []fault{faultNone, faultNone, faultNone, faultNone, faultLostResult, faultNotExecuted, faultDelayed}

func step(t *rapid.T, s *simulation) {
	action := rapid.SampledFrom(actions).Draw(t, "action")
	n := s.instances[rapid.IntRange(0, len(s.instances)-1).Draw(t, "node")]
	if !n.paused && stepInstance(t, s, n, action) {
		return
	}
	switch action {
	case "execute":
		if len(s.calls) > 0 {
			i := rapid.IntRange(0, len(s.calls)-1).Draw(t, "call")
			s.execute(i, rapid.SampledFrom(faults).Draw(t, "fault"))
		}
	case "flow":
		for range rapid.IntRange(1, 4).Draw(t, "turns") {
			s.runRound()
		}
	case "advance":
		s.now = s.now.Add(rapid.SampledFrom(clockSteps).Draw(t, "jump"))
	case "days":
		hours := max(0, rapid.IntRange(-400, 100).Draw(t, "hours"))
		s.now = s.now.Add(time.Duration(hours) * time.Hour)
	case "resume":
		n.paused = false
	case "outage":
		s.storeDown = rapid.IntRange(0, 3).Draw(t, "down") == 0
	case "land":
		if len(s.delayed) > 0 {
			i := rapid.IntRange(0, len(s.delayed)-1).Draw(t, "late")
			s.applyDelayed(i)
		}
	}
}

// actionPhases maps an action to the phase of the requests that it applies to.
var actionPhases = map[string]phase{"dispatch": phaseGranted, "finish": phaseRunning, "quit": phaseRequested}

// stepInstance performs the actions that apply to one instance and reports whether action is one of them.
func stepInstance(t *rapid.T, s *simulation, n *instance, action string) bool {
	rare := rapid.IntRange(0, 4).Draw(t, "rare") == 0
	p, ok := actionPhases[action]
	if ok {
		if list := s.requestsIn(n, p); len(list) > 0 {
			stepRequest(t, s, list[rapid.IntRange(0, len(list)-1).Draw(t, "request")], rare)
		}
		return true
	}
	switch action {
	case "want":
		key := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "key")
		content := "content"
		if rare {
			content = "other"
		}
		s.submit(n, key, content, time.Duration(rapid.IntRange(1, 100).Draw(t, "patience"))*time.Second)
	case "deliver":
		if len(n.inbox) > 0 {
			s.deliver(n, rapid.IntRange(0, len(n.inbox)-1).Draw(t, "result"))
		}
	case "tick":
		s.reduce(n, claim.Tick{})
	case "pause":
		n.paused = true
	case "kill":
		s.restart(n)
	default:
		return false
	}
	return true
}

func stepRequest(t *rapid.T, s *simulation, r *request, abort bool) {
	switch r.phase {
	case phaseGranted:
		suffix := rapid.SampledFrom([]string{"", " with a body for the object store"}).Draw(t, "body")
		s.dispatch(r, abort, strconv.Itoa(int(r.Request))+suffix)
	case phaseRunning:
		s.finish(r, abort)
	case phaseRequested:
		// If the request's deadline has passed, the tick makes it Unavailable first.
		s.reduce(r.instance, claim.Tick{})
		switch {
		case r.phase != phaseRequested:
		case abort:
			s.release(r, claim.Abandoned{Request: r.Request})
		default:
			s.release(r, claim.Released{Request: r.Request})
		}
	}
}

// referenceModel is an in-memory claim table without batches, faults or concurrency.
type referenceModel map[string]*modelRow

type modelRow struct {
	*request
	// held is true while the holder runs the request.
	held     bool
	deadline time.Time
	done     bool
}

func (m referenceModel) request(r *request, now time.Time, timeout time.Duration) claim.Outcome {
	row := m[r.Key]
	if row == nil {
		dispatchBy := now.Add(min(timeout, config.DispatchTimeout))
		m[r.Key] = &modelRow{request: r, held: true, deadline: dispatchBy}
		return claim.Granted{DispatchBy: dispatchBy}
	}
	remaining := row.deadline.Add(2 * time.Minute).Sub(now)
	switch {
	case row.Digest != r.Digest:
		return claim.Mismatch{}
	case row.done:
		return claim.Replay{Response: row.response}
	case row.held && row.instance == r.instance:
		return claim.InProgress{RetryAt: now.Add(time.Second)}
	case remaining <= 0:
		return claim.Unknown{}
	}
	return claim.InProgress{RetryAt: now.Add(min(remaining, time.Second))}
}

// finish ends the run of a held row and deletes the row if the request was refused before dispatch.
func (m referenceModel) finish(t *rapid.T, s *simulation, row *modelRow) {
	body := rapid.SampledFrom([]string{"in row", "in the object store"}).Draw(t, "body")
	s.dispatch(row.request, rapid.Bool().Draw(t, "refuse"), body)
	row.held = false
	if row.reportedNotRun {
		delete(m, row.Key)
	} else {
		row.done = rapid.IntRange(0, 3).Draw(t, "abandon") > 0
		s.finish(row.request, !row.done)
	}
	s.runUntilIdle()
}

// Guards against outcomes that differ from those of the reference model, and against more than two row writes per run.
func TestMatchesReferenceModelWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 0, 0, 0)
		model, claims, ends := referenceModel{}, 0, 0
		for range 60 {
			n := s.instances[rapid.IntRange(0, 2).Draw(t, "node")]
			key := strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "key"))
			switch rapid.SampledFrom([]string{"want", "want", "end", "advance"}).Draw(t, "action") {
			case "want":
				content := rapid.SampledFrom([]string{"content", "content", "other"}).Draw(t, "content")
				timeout := time.Duration(rapid.IntRange(1, 60).Draw(t, "patience")) * time.Second
				r := s.submit(n, key, content, timeout)
				s.runUntilIdle()
				require.Equal(t, model.request(r, s.now, timeout), r.outcome)
				require.Equal(t, claim.Stats{Held: len(s.requestsIn(n, phaseGranted))}, n.tracker.Stats())
				if r.phase == phaseGranted {
					claims++
				}
			case "end":
				if row := model[key]; row != nil && row.held {
					ends++
					model.finish(t, s, row)
				}
			case "advance":
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 100_000).Draw(t, "ms")) * time.Millisecond)
			}
		}
		require.LessOrEqual(t, s.writes, claims+ends)
	})
}

// Guards against expired rows that are never deleted, and against rows deleted before their expiry plus the clock skew
// margin.
func TestExpiredRowsArePurged(t *testing.T) {
	s := newSimulation(t, 0)
	n := s.instances[0]
	for i := range 10 {
		r := s.submit(n, strconv.Itoa(i), "content", time.Minute)
		s.runUntilIdle()
		s.dispatch(r, false, "a body for the object store")
		s.finish(r, i == 0)
		s.runUntilIdle()
	}
	countRows := func() int {
		all, err := s.store.Scan(t.Context(), "", "", 100)
		require.NoError(t, err)
		return len(all)
	}
	runMinutes := func(count int) {
		for range count {
			s.reduce(n, claim.Tick{})
			s.runUntilIdle()
			s.now = s.now.Add(time.Minute)
		}
	}
	s.now = s.now.Add(95 * time.Hour)
	runMinutes(30)
	require.Equal(t, 10, countRows())
	s.now = s.now.Add(time.Hour)
	runMinutes(2)
	require.GreaterOrEqual(t, countRows(), 4, "more than one batch per minute")
	runMinutes(8)
	require.Zero(t, countRows())
	r := s.submit(n, "0", "content", time.Minute)
	s.runUntilIdle()
	require.IsType(t, claim.Granted{}, r.outcome)
}

// Guards against a claim that is not granted because the result of its write was lost, and against a grant with the
// dispatch deadline of a write other than the one that took effect.
func TestClaimIsGrantedWhenWriteResultIsLost(t *testing.T) {
	s := newSimulation(t, 0)
	n := s.instances[0]
	lostResult := s.submit(n, "lost", "content", time.Minute)
	s.execute(0, faultLostResult)
	s.runUntilIdle()
	require.Equal(t, claim.Granted{DispatchBy: start.Add(config.DispatchTimeout)}, lostResult.outcome)
	require.Equal(t, 1, s.writes)

	s.now = s.now.Add(time.Minute)
	requestedAt := s.now
	delayed := s.submit(n, "late", "content", time.Minute)
	s.execute(0, faultDelayed)
	s.deliver(n, 0)
	s.execute(0, faultNone)
	s.now = s.now.Add(2 * time.Second)
	s.deliver(n, 0)
	// The second write is in flight when the first one takes effect.
	s.applyDelayed(0)
	s.runUntilIdle()
	require.Equal(t, claim.Granted{DispatchBy: requestedAt.Add(config.DispatchTimeout)}, delayed.outcome)
	require.Equal(t, 2, s.writes)
	s.dispatch(delayed, false, "answer")
}

// Guards against starvation: repeated requests for rows that exist could make every batch conflict, so that nothing
// commits.
func TestDuplicatesDoNotStarveNewClaims(t *testing.T) {
	s := newSimulation(t, 0, 0)
	for i := range 9 {
		s.submit(s.instances[0], strconv.Itoa(i), "content", time.Minute)
	}
	s.runUntilIdle()
	n := s.instances[1]
	s.submit(n, "0", "content", time.Minute)
	newKey := s.submit(n, "fresh", "content", time.Minute)
	for i := range 3 {
		s.submit(n, strconv.Itoa(i+1), "content", time.Minute)
		s.execute(0, faultNone)
		s.deliver(n, 0)
	}
	require.IsType(t, claim.Granted{}, newKey.outcome)
}
