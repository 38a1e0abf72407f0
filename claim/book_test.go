package claim_test

import (
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bluebellhold/claim"
	"bluebellhold/id"
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
	"advance", "quit", "pause", "resume", "resume", "kill", "outage", "land", "days",
}

var jumps = []time.Duration{
	time.Millisecond, time.Millisecond, 80 * time.Millisecond, 80 * time.Millisecond, time.Second, time.Second,
	31 * time.Second, 4 * time.Minute,
}

var faults = []fault{faultNone, faultNone, faultNone, faultNone, faultLost, faultNoCall, faultLate}

func step(t *rapid.T, w *world) {
	action := rapid.SampledFrom(actions).Draw(t, "action")
	n := w.pick(t)
	if n != nil && stepNode(t, w, n, action) {
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
			flow(w)
		}
	case "advance":
		w.now = w.now.Add(rapid.SampledFrom(jumps).Draw(t, "jump"))
	case "days":
		if rapid.IntRange(0, 4).Draw(t, "leap") == 0 {
			w.now = w.now.Add(time.Duration(rapid.IntRange(10, 100).Draw(t, "hours")) * time.Hour)
		}
	case "resume":
		w.nodes[rapid.IntRange(0, 2).Draw(t, "resumed")].paused = false
	case "outage":
		w.down = rapid.IntRange(0, 3).Draw(t, "down") == 0
	case "land":
		if len(w.late) > 0 {
			i := rapid.IntRange(0, len(w.late)-1).Draw(t, "late")
			w.transact(w.late[i])
			w.late = slices.Delete(w.late, i, i+1)
		}
	}
}

// flow executes all calls that are under way and delivers all results to the nodes that are not paused.
func flow(w *world) {
	for range len(w.calls) {
		w.execute(0, faultNone)
	}
	for _, n := range w.nodes {
		for len(n.inbox) > 0 && !n.paused {
			w.deliver(n, 0)
		}
	}
}

// stepNode performs the actions that concern one node and reports whether action was one of them.
func stepNode(t *rapid.T, w *world, n *node, action string) bool {
	switch action {
	case "want":
		key := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "key")
		variant := rapid.SampledFrom([]string{"", "", "", "", "", "other"}).Draw(t, "variant")
		patience := time.Duration(rapid.IntRange(1, 100).Draw(t, "patience")) * time.Second
		w.want(n, key, digestFor(key, variant), patience)
	case "deliver":
		if len(n.inbox) > 0 {
			w.deliver(n, rapid.IntRange(0, len(n.inbox)-1).Draw(t, "result"))
		}
	case "dispatch":
		if len(n.won) > 0 {
			r := rapid.SampledFrom(slices.Sorted(maps.Keys(n.won))).Draw(t, "won")
			long := []string{"", " with a body for the object store"}
			body := strconv.Itoa(int(r)) + rapid.SampledFrom(long).Draw(t, "body")
			w.dispatch(n, r, rapid.IntRange(0, 3).Draw(t, "refuse") == 0, body)
		}
	case "finish":
		if len(n.running) > 0 {
			r := rapid.SampledFrom(slices.Sorted(maps.Keys(n.running))).Draw(t, "running")
			w.finish(n, r, rapid.IntRange(0, 4).Draw(t, "abandon") == 0)
		}
	case "quit":
		if len(n.wanted) > 0 {
			r := rapid.SampledFrom(slices.Sorted(maps.Keys(n.wanted))).Draw(t, "quitter")
			w.quit(n, r, rapid.Bool().Draw(t, "abandon"))
		}
	case "tick":
		w.reduce(n, claim.Tick{})
	case "pause":
		n.paused = true
	case "kill":
		if rapid.Bool().Draw(t, "die") {
			w.restart(n)
		}
	default:
		return false
	}
	return true
}

// naive is a claim table in memory, without batches, faults or concurrency.
type naive map[string]*naiveRow

type naiveRow struct {
	digest   id.Digest
	holder   *node
	deadline time.Time
	answer   *claim.Answer
}

func (m naive) want(n *node, key string, digest id.Digest, now time.Time, patience time.Duration) claim.Outcome {
	row := m[key]
	if row == nil {
		by := now.Add(min(patience, config.DispatchLimit))
		m[key] = &naiveRow{digest: digest, holder: n, deadline: by}
		return claim.Won{DispatchBy: by}
	}
	end := row.deadline.Add(2 * time.Minute)
	ask := now.Add(time.Second)
	switch {
	case row.digest != digest:
		return claim.Mismatch{}
	case row.answer != nil:
		return claim.Replay{Answer: *row.answer}
	case row.holder == n:
		return claim.InProgress{AskAt: ask}
	case !now.Before(end):
		return claim.Unknown{}
	case end.Before(ask):
		return claim.InProgress{AskAt: end}
	}
	return claim.InProgress{AskAt: ask}
}

// Guards against outcomes that differ from those of a plain table, and against more than two row writes per run.
func TestSameAsNaiveTableWithoutFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 0, 0, 0)
		model := naive{}
		runs, releases := 0, 0
		for range 60 {
			n := w.nodes[rapid.IntRange(0, 2).Draw(t, "node")]
			key := strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "key"))
			row := model[key]
			switch rapid.SampledFrom([]string{"want", "want", "end", "advance"}).Draw(t, "action") {
			case "want":
				digest := digestFor(key, rapid.SampledFrom([]string{"", "", "other"}).Draw(t, "variant"))
				patience := time.Duration(rapid.IntRange(1, 60).Draw(t, "patience")) * time.Second
				r := w.want(n, key, digest, patience)
				w.drain()
				require.Equal(t, claim.Load{Held: len(n.won)}, n.book.Load())
				require.Equal(t, model.want(n, key, digest, w.now, patience), w.outcomes[r])
			case "end":
				if row == nil || row.holder == nil || row.answer != nil {
					continue
				}
				n = row.holder
				r := wonBy(w, n, key)
				w.dispatch(n, r, rapid.Bool().Draw(t, "refuse"), "body "+rapid.SampledFrom([]string{"", "in the object store"}).Draw(t, "body"))
				if w.notRun[r] {
					releases++
					delete(model, key)
					w.drain()
					continue
				}
				runs++
				answer := n.running[r]
				abandon := rapid.IntRange(0, 3).Draw(t, "abandon") == 0
				w.finish(n, r, abandon)
				w.drain()
				row.holder = nil
				if !abandon {
					row.answer = &answer
				}
			case "advance":
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 100_000).Draw(t, "ms")) * time.Millisecond)
			}
		}
		claims := runs + releases
		for _, n := range w.nodes {
			claims += len(n.won)
		}
		require.LessOrEqual(t, w.writes, claims+runs+releases)
	})
}

func wonBy(w *world, n *node, key string) id.Request {
	for r := range n.won {
		if w.attempts[r].key == key {
			return r
		}
	}
	return 0
}

// Guards against rows that are never deleted, and against rows that are deleted before expiry and margin.
func TestExpiredRowsAreCleared(t *testing.T) {
	w := newWorld(t, 0)
	n := w.nodes[0]
	for i := range 10 {
		r := w.want(n, strconv.Itoa(i), digestFor("content"), time.Minute)
		w.drain()
		w.dispatch(n, r, false, "a body for the object store")
		w.finish(n, r, i == 0)
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
	for i := range 10 {
		r := w.want(n, strconv.Itoa(i), digestFor("content"), time.Minute)
		w.drain()
		require.IsType(t, claim.Won{}, w.outcomes[r])
	}
}

// Guards against a claim that is given away because the answer to its write was lost, and against a dispatch deadline
// that belongs to another write than the one that took effect.
func TestLostAnswerIsWonByItsOwnWrite(t *testing.T) {
	w := newWorld(t, 0)
	n := w.nodes[0]
	lost := w.want(n, "lost", digestFor("lost"), time.Minute)
	w.execute(0, faultLost)
	w.drain()
	require.Equal(t, claim.Won{DispatchBy: start.Add(config.DispatchLimit)}, w.outcomes[lost])
	require.Equal(t, 1, w.writes)

	w.now = w.now.Add(time.Minute)
	sent := w.now
	late := w.want(n, "late", digestFor("late"), time.Minute)
	w.execute(0, faultLate)
	w.deliver(n, 0)
	w.execute(0, faultNone)
	w.now = w.now.Add(2 * time.Second)
	w.deliver(n, 0)
	// The second write is in flight when the first one takes effect.
	w.transact(w.late[0])
	w.drain()
	require.Equal(t, claim.Won{DispatchBy: sent.Add(config.DispatchLimit)}, w.outcomes[late])
	require.Equal(t, 2, w.writes)
	w.dispatch(n, late, false, "answer")
}
