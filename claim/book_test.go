package claim_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bluebellhold/claim"
)

// Guards against a second run of an idempotency key, an untrue "not run", a replay that differs from the first
// answer, a late dispatch and a request without an outcome, under any order of faults at several instances.
func TestFaultsNeverRunTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Clocks differ by less than the day that clearing allows for.
		w := newWorld(t, 0, 7*time.Hour, -9*time.Hour)
		for range 250 {
			step(t, w)
		}
		w.heal()
	})
}

var actions = []string{
	"want", "want", "want", "want", "execute", "execute", "execute", "flow", "flow", "flow", "flow", "deliver",
	"deliver", "dispatch", "dispatch", "dispatch", "dispatch", "finish", "finish", "finish", "tick", "tick", "advance",
	"advance", "quit", "pause", "resume", "resume", "resume", "resume", "kill", "outage", "land", "days",
}

var jumps = []time.Duration{
	time.Millisecond, time.Millisecond, 80 * time.Millisecond, 80 * time.Millisecond, time.Second, time.Second,
	31 * time.Second, 4 * time.Minute,
}

var faults = []fault{faultNone, faultNone, faultNone, faultNone, faultLost, faultNoCall, faultLate}

func step(t *rapid.T, w *world) {
	action := rapid.SampledFrom(actions).Draw(t, "action")
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
	if !n.paused && stepNode(t, w, n, action) {
		return
	}
	switch action {
	case "execute":
		if len(w.calls) > 0 {
			i := rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")
			w.execute(i, rapid.SampledFrom(faults).Draw(t, "fault"))
		}
	case "flow":
		for range rapid.IntRange(1, 4).Draw(t, "turns") {
			w.flow()
		}
	case "advance":
		w.now = w.now.Add(rapid.SampledFrom(jumps).Draw(t, "jump"))
	case "days":
		hours := max(0, rapid.IntRange(-400, 100).Draw(t, "hours"))
		w.now = w.now.Add(time.Duration(hours) * time.Hour)
	case "resume":
		n.paused = false
	case "outage":
		w.down = rapid.IntRange(0, 3).Draw(t, "down") == 0
	case "land":
		if len(w.late) > 0 {
			i := rapid.IntRange(0, len(w.late)-1).Draw(t, "late")
			w.land(i)
		}
	}
}

// phases gives the phase of the requests that an action concerns.
var phases = map[string]phase{"dispatch": won, "finish": running, "quit": wanted}

// stepNode performs the actions that concern one node and reports whether action was one of them.
func stepNode(t *rapid.T, w *world, n *node, action string) bool {
	rare := rapid.IntRange(0, 4).Draw(t, "rare") == 0
	p, concerns := phases[action]
	if concerns {
		if list := w.in(n, p); len(list) > 0 {
			stepRequest(t, w, list[rapid.IntRange(0, len(list)-1).Draw(t, "request")], rare)
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
		w.want(n, key, content, time.Duration(rapid.IntRange(1, 100).Draw(t, "patience"))*time.Second)
	case "deliver":
		if len(n.inbox) > 0 {
			w.deliver(n, rapid.IntRange(0, len(n.inbox)-1).Draw(t, "result"))
		}
	case "tick":
		w.reduce(n, claim.Tick{})
	case "pause":
		n.paused = true
	case "kill":
		w.restart(n)
	default:
		return false
	}
	return true
}

func stepRequest(t *rapid.T, w *world, r *request, rare bool) {
	switch r.phase {
	case won:
		long := rapid.SampledFrom([]string{"", " with a body for the object store"}).Draw(t, "body")
		w.dispatch(r, rare, strconv.Itoa(int(r.Request))+long)
	case running:
		w.finish(r, rare)
	case wanted:
		// The clock may have passed the request's deadline, and then Unavailable comes first.
		w.reduce(r.node, claim.Tick{})
		switch {
		case r.phase != wanted:
		case rare:
			w.release(r, claim.Abandoned{Request: r.Request})
		default:
			w.release(r, claim.Released{Request: r.Request})
		}
	}
}

// naive is a claim table in memory, without batches, faults or concurrency.
type naive map[string]*naiveRow

type naiveRow struct {
	*request
	// held is true while the holder runs the request.
	held     bool
	deadline time.Time
	done     bool
}

func (m naive) want(r *request, now time.Time, patience time.Duration) claim.Outcome {
	row := m[r.Key]
	if row == nil {
		by := now.Add(min(patience, config.DispatchTimeout))
		m[r.Key] = &naiveRow{request: r, held: true, deadline: by}
		return claim.Granted{DispatchBy: by}
	}
	left := row.deadline.Add(2 * time.Minute).Sub(now)
	switch {
	case row.Digest != r.Digest:
		return claim.Mismatch{}
	case row.done:
		return claim.Replay{Answer: row.answer}
	case row.held && row.node == r.node:
		return claim.InProgress{RetryAt: now.Add(time.Second)}
	case left <= 0:
		return claim.Unknown{}
	}
	return claim.InProgress{RetryAt: now.Add(min(left, time.Second))}
}

// end ends the run of a held row and frees it if the request was refused before dispatch.
func (m naive) end(t *rapid.T, w *world, row *naiveRow) {
	body := rapid.SampledFrom([]string{"in row", "in the object store"}).Draw(t, "body")
	w.dispatch(row.request, rapid.Bool().Draw(t, "refuse"), body)
	row.held = false
	if row.notRun {
		delete(m, row.Key)
	} else {
		row.done = rapid.IntRange(0, 3).Draw(t, "abandon") > 0
		w.finish(row.request, !row.done)
	}
	w.drain()
}

// Guards against outcomes that differ from those of a plain table, and against more than two row writes per run.
func TestSameAsNaiveTableWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 0, 0, 0)
		model, claims, ends := naive{}, 0, 0
		for range 60 {
			n := w.nodes[rapid.IntRange(0, 2).Draw(t, "node")]
			key := strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "key"))
			switch rapid.SampledFrom([]string{"want", "want", "end", "advance"}).Draw(t, "action") {
			case "want":
				content := rapid.SampledFrom([]string{"content", "content", "other"}).Draw(t, "content")
				patience := time.Duration(rapid.IntRange(1, 60).Draw(t, "patience")) * time.Second
				r := w.want(n, key, content, patience)
				w.drain()
				require.Equal(t, model.want(r, w.now, patience), r.outcome)
				require.Equal(t, claim.Stats{Held: len(w.in(n, won))}, n.book.Stats())
				if r.phase == won {
					claims++
				}
			case "end":
				if row := model[key]; row != nil && row.held {
					ends++
					model.end(t, w, row)
				}
			case "advance":
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 100_000).Draw(t, "ms")) * time.Millisecond)
			}
		}
		require.LessOrEqual(t, w.writes, claims+ends)
	})
}

// Guards against rows that are never deleted, and against rows that are deleted before expiry and margin.
func TestExpiredRowsAreCleared(t *testing.T) {
	w := newWorld(t, 0)
	n := w.nodes[0]
	for i := range 10 {
		r := w.want(n, strconv.Itoa(i), "content", time.Minute)
		w.drain()
		w.dispatch(r, false, "a body for the object store")
		w.finish(r, i == 0)
		w.drain()
	}
	rows := func() int {
		all, err := w.store.Scan(t.Context(), "", "", 100)
		require.NoError(t, err)
		return len(all)
	}
	minutes := func(count int) {
		for range count {
			w.reduce(n, claim.Tick{})
			w.drain()
			w.now = w.now.Add(time.Minute)
		}
	}
	w.now = w.now.Add(95 * time.Hour)
	minutes(30)
	require.Equal(t, 10, rows())
	w.now = w.now.Add(time.Hour)
	minutes(2)
	require.GreaterOrEqual(t, rows(), 4, "more than one batch per minute")
	minutes(8)
	require.Zero(t, rows())
	r := w.want(n, "0", "content", time.Minute)
	w.drain()
	require.IsType(t, claim.Granted{}, r.outcome)
}

// Guards against a claim that is given away because the answer to its write was lost, and against a dispatch deadline
// that belongs to another write than the one that took effect.
func TestLostAnswerIsWonByItsOwnWrite(t *testing.T) {
	w := newWorld(t, 0)
	n := w.nodes[0]
	lost := w.want(n, "lost", "content", time.Minute)
	w.execute(0, faultLost)
	w.drain()
	require.Equal(t, claim.Granted{DispatchBy: start.Add(config.DispatchTimeout)}, lost.outcome)
	require.Equal(t, 1, w.writes)

	w.now = w.now.Add(time.Minute)
	sent := w.now
	late := w.want(n, "late", "content", time.Minute)
	w.execute(0, faultLate)
	w.deliver(n, 0)
	w.execute(0, faultNone)
	w.now = w.now.Add(2 * time.Second)
	w.deliver(n, 0)
	// The second write is in flight when the first one takes effect.
	w.land(0)
	w.drain()
	require.Equal(t, claim.Granted{DispatchBy: sent.Add(config.DispatchTimeout)}, late.outcome)
	require.Equal(t, 2, w.writes)
	w.dispatch(late, false, "answer")
}

// Guards against callers that ask again for rows that exist making every group fail, so that nothing commits.
func TestRepeatsDoNotStarveClaims(t *testing.T) {
	w := newWorld(t, 0, 0)
	for i := range 9 {
		w.want(w.nodes[0], strconv.Itoa(i), "content", time.Minute)
	}
	w.drain()
	n := w.nodes[1]
	w.want(n, "0", "content", time.Minute)
	fresh := w.want(n, "fresh", "content", time.Minute)
	for i := range 3 {
		w.want(n, strconv.Itoa(i+1), "content", time.Minute)
		w.execute(0, faultNone)
		w.deliver(n, 0)
	}
	require.IsType(t, claim.Granted{}, fresh.outcome)
}
