package claim_test

import (
	"context"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bluebellhold/claim"
	"bluebellhold/id"
	"bluebellhold/platform"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// config keeps bodies of more than eight bytes in the object store and lets dispatch deadlines pass often.
var config = claim.Config{InlineLimit: 8, GroupSize: 5, ScanLimit: 3, DispatchLimit: 5 * time.Second, Seed: 1}

type fault int

const (
	faultNone   fault = iota
	faultLost         // the call takes effect, its answer is lost
	faultNoCall       // the call has no effect
	faultLate         // the call is reported as failed and takes effect later
)

// call is an effect on its way from a node to the store.
type call struct {
	from   *node
	effect claim.Effect
}

// node is one instance: a Book with its clock, its unread results and the requests that it won.
type node struct {
	book    *claim.Book
	name    id.Instance
	skew    time.Duration
	paused  bool
	inbox   []claim.Event
	won     map[id.Request]time.Time
	running map[id.Request]claim.Answer
	wanted  map[id.Request]bool
	settles map[id.Request]bool
}

type attempt struct {
	key    string
	digest id.Digest
}

type run struct {
	at     time.Time
	answer claim.Answer
}

// world simulates instances, store, callers and the upstream, and checks what must hold at each step.
type world struct {
	t        require.TestingT
	store    platform.Memory
	now      time.Time
	down     bool
	nodes    []*node
	calls    []call
	late     []platform.Transaction
	attempts map[id.Request]attempt
	// ranAt is the upstream's record of the last run per idempotency key.
	ranAt    map[string]time.Time
	runs     map[attempt][]run
	ran      map[id.Request]time.Time
	notRun   map[id.Request]bool
	outcomes map[id.Request]claim.Outcome
	books    int
	writes   int
}

func newWorld(t require.TestingT, skews ...time.Duration) *world {
	w := &world{
		t: t, now: start, attempts: map[id.Request]attempt{}, ranAt: map[string]time.Time{},
		runs: map[attempt][]run{}, ran: map[id.Request]time.Time{}, notRun: map[id.Request]bool{},
		outcomes: map[id.Request]claim.Outcome{},
	}
	for i, skew := range skews {
		n := &node{name: id.Instance(rune('a' + i)), skew: skew}
		w.nodes = append(w.nodes, n)
		w.restart(n)
	}
	return w
}

// restart kills the node's process and starts a successor; calls that are under way still reach the store.
func (w *world) restart(n *node) {
	w.books++
	c := config
	c.Instance, c.Incarnation = n.name, id.Incarnation(w.books)
	*n = node{
		book: claim.New(c), name: n.name, skew: n.skew, won: map[id.Request]time.Time{},
		running: map[id.Request]claim.Answer{}, wanted: map[id.Request]bool{}, settles: map[id.Request]bool{},
	}
	w.calls = slices.DeleteFunc(w.calls, func(c call) bool {
		transact, isWrite := c.effect.(claim.Transact)
		if c.from == n && isWrite {
			w.late = append(w.late, transact.Transaction)
		}
		return c.from == n
	})
}

func (w *world) clock(n *node) time.Time { return w.now.Add(n.skew) }

func (w *world) reduce(n *node, e claim.Event) {
	for _, effect := range n.book.Reduce(w.clock(n), e) {
		switch effect := effect.(type) {
		case claim.Decided:
			w.decided(n, effect)
		case claim.Settled:
			// Only a run that outlives its row's lifetime finds the row cleared and claimed by another.
			require.False(w.t, effect.Lost && w.now.Sub(w.ran[effect.Request]) < 72*time.Hour, "answer lost")
			require.True(w.t, n.settles[effect.Request], "settled twice or without cause")
			delete(n.settles, effect.Request)
		default:
			w.calls = append(w.calls, call{from: n, effect: effect})
		}
	}
	transactions := 0
	for _, c := range w.calls {
		if _, ok := c.effect.(claim.Transact); ok && c.from == n {
			transactions++
		}
	}
	require.LessOrEqual(w.t, transactions, 1, "more than one transaction in flight")
}

func (w *world) decided(n *node, d claim.Decided) {
	require.True(w.t, n.wanted[d.Request], "decided twice or without cause")
	delete(n.wanted, d.Request)
	w.outcomes[d.Request] = d.Outcome
	a := w.attempts[d.Request]
	switch o := d.Outcome.(type) {
	case claim.Won:
		require.True(w.t, w.clock(n).Before(o.DispatchBy), "won too late to dispatch")
		n.won[d.Request] = o.DispatchBy
	case claim.Replay:
		w.replayed(a, o.Answer)
	case claim.Unavailable:
		w.refuse(d.Request)
	}
}

// replayed checks that the answer is that of a run of the same request. There is one run per lifetime of a row, so an
// older answer can only come from an instance that was paused for longer than that.
func (w *world) replayed(a attempt, answer claim.Answer) {
	for _, run := range w.runs[a] {
		first := run.answer
		if answer.Truncated && w.now.Sub(run.at) >= 10*time.Minute {
			// The object store has rejected the body for ten minutes.
			first.Body, first.Truncated = nil, true
		}
		if reflect.DeepEqual(first, answer) {
			return
		}
	}
	require.Fail(w.t, "replay of an answer that no upstream gave")
}

func (w *world) refuse(r id.Request) {
	require.NotContains(w.t, w.ran, r, "reported as not run although it ran")
	w.notRun[r] = true
}

func (w *world) want(n *node, key string, digest id.Digest, patience time.Duration) id.Request {
	r := id.Request(len(w.attempts) + 1)
	w.attempts[r] = attempt{key: key, digest: digest}
	n.wanted[r] = true
	w.reduce(n, claim.Wanted{
		Request: r, Organisation: "school", Service: "draw", Route: "/draws", Key: key, Digest: digest,
		Deadline: w.clock(n).Add(patience),
	})
	return r
}

// dispatch sends a won request to the upstream, or refuses it if it is too late or if refuse is set.
func (w *world) dispatch(n *node, r id.Request, refuse bool, body string) {
	by := n.won[r]
	delete(n.won, r)
	if refuse || !w.clock(n).Before(by) {
		n.settles[r] = true
		w.refuse(r)
		w.reduce(n, claim.Released{Request: r})
		return
	}
	a := w.attempts[r]
	require.False(w.t, w.notRun[r], "runs although it was reported as not run")
	last, again := w.ranAt[a.key]
	require.False(w.t, again && w.now.Sub(last) < 72*time.Hour, "second run of %s", a.key)
	w.inForce(n, a.key)
	w.ran[r], w.ranAt[a.key] = w.now, w.now
	n.running[r] = claim.Answer{Status: 201, Header: map[string][]string{"Number": {body}}, Body: []byte(body)}
	w.runs[a] = append(w.runs[a], run{at: w.now, answer: n.running[r]})
}

// quit withdraws a request that waits for its outcome.
func (w *world) quit(n *node, r id.Request, abandon bool) {
	w.refuse(r)
	n.settles[r] = true
	// The clock may have passed the request's deadline, so that Unavailable comes first and nothing is settled.
	w.reduce(n, claim.Tick{})
	if !n.wanted[r] {
		delete(n.settles, r)
		return
	}
	delete(n.wanted, r)
	if abandon {
		w.reduce(n, claim.Abandoned{Request: r})
		return
	}
	w.reduce(n, claim.Released{Request: r})
}

// inForce checks that the row that permits the dispatch is in the table and that its dispatch deadline is not past.
func (w *world) inForce(n *node, key string) {
	rows, err := w.store.Scan(context.Background(), "claim/school/draw/%2Fdraws/"+id.DigestOf([]byte(key)).String(), "", 1)
	require.NoError(w.t, err)
	require.Len(w.t, rows, 1, "dispatch without a row")
	var row struct {
		State    string
		Deadline int64
	}
	require.NoError(w.t, json.Unmarshal(rows[0].Value, &row))
	require.Equal(w.t, "claimed", row.State)
	require.LessOrEqual(w.t, w.clock(n).UnixMilli(), row.Deadline, "dispatch after the row's dispatch deadline")
}

func (w *world) finish(n *node, r id.Request, abandon bool) {
	answer := n.running[r]
	delete(n.running, r)
	if abandon {
		w.reduce(n, claim.Abandoned{Request: r})
		return
	}
	n.settles[r] = true
	w.reduce(n, claim.Finished{Request: r, Answer: answer})
}

// execute performs the call i at the store and puts its result into the node's inbox.
func (w *world) execute(i int, f fault) {
	c := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	var lost error
	if w.down && f == faultNone {
		f = faultNoCall
	}
	if f != faultNone {
		lost = &platform.UnavailableError{Call: "test"}
	}
	ctx := context.Background()
	skip := f == faultNoCall || f == faultLate
	switch e := c.effect.(type) {
	case claim.Transact:
		done := claim.TransactionDone{ID: e.ID, Err: lost}
		if f == faultLate {
			w.late = append(w.late, e.Transaction)
		}
		if !skip {
			result := w.transact(e.Transaction)
			if lost == nil {
				done.Result = result
			}
		}
		c.from.inbox = append(c.from.inbox, done)
	case claim.ReadRows:
		done := claim.RowsRead{ID: e.ID, Err: lost}
		if lost == nil {
			done.Rows, _ = w.store.Read(ctx, e.Names)
		}
		c.from.inbox = append(c.from.inbox, done)
	case claim.ScanRows:
		done := claim.RowsScanned{ID: e.ID, Err: lost}
		if lost == nil {
			done.Rows, _ = w.store.Scan(ctx, e.Prefix, e.After, e.Limit)
		}
		c.from.inbox = append(c.from.inbox, done)
	case claim.WriteObject:
		if !skip {
			require.NoError(w.t, w.store.Put(ctx, e.Name, e.Body))
		}
		c.from.inbox = append(c.from.inbox, claim.ObjectWritten{ID: e.ID, Err: lost})
	case claim.ReadObject:
		done := claim.ObjectRead{ID: e.ID, Err: lost}
		if lost == nil {
			done.Body, done.Err = w.store.Get(ctx, e.Name)
		}
		c.from.inbox = append(c.from.inbox, done)
	case claim.DeleteObject:
		require.NoError(w.t, w.store.Delete(ctx, e.Name))
	}
}

func (w *world) transact(t platform.Transaction) platform.Result {
	result, err := w.store.Transact(context.Background(), t)
	require.NoError(w.t, err)
	if result.Committed {
		w.writes += len(t.Writes)
	}
	return result
}

func (w *world) deliver(n *node, i int) {
	e := n.inbox[i]
	n.inbox = slices.Delete(n.inbox, i, i+1)
	w.reduce(n, e)
}

// drain executes and delivers everything without faults.
func (w *world) drain() {
	for busy := true; busy; {
		busy = len(w.calls) > 0
		for len(w.calls) > 0 {
			w.execute(0, faultNone)
		}
		for _, n := range w.nodes {
			for len(n.inbox) > 0 {
				busy = true
				w.deliver(n, 0)
			}
		}
	}
}

// heal ends all faults, finishes all requests and checks that nothing stays behind.
func (w *world) heal() {
	w.down = false
	for _, t := range w.late {
		w.transact(t)
	}
	w.late = nil
	for range 6 {
		for _, n := range w.nodes {
			n.paused = false
			for _, r := range slices.Sorted(maps.Keys(n.won)) {
				w.dispatch(n, r, true, "")
			}
			for _, r := range slices.Sorted(maps.Keys(n.running)) {
				w.finish(n, r, false)
			}
			w.reduce(n, claim.Tick{})
		}
		w.drain()
		w.now = w.now.Add(20 * time.Second)
	}
	for _, n := range w.nodes {
		require.Empty(w.t, n.wanted, "requests without an outcome")
		require.Empty(w.t, n.settles, "answers that never became durable")
		require.Equal(w.t, claim.Load{}, n.book.Load())
	}
}

// pick draws one of the nodes that are not paused, or nil.
func (w *world) pick(t *rapid.T) *node {
	awake := slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.paused })
	if len(awake) == 0 {
		return nil
	}
	return awake[rapid.IntRange(0, len(awake)-1).Draw(t, "node")]
}

// digestFor returns the digest of a request's content.
func digestFor(content ...string) id.Digest {
	return id.DigestOf([]byte(strings.Join(content, " ")))
}
