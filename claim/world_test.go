package claim_test

import (
	"context"
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/claim"
	"bluebellhold/id"
	"bluebellhold/store"
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

// node is one instance: a Book with its clock and its unread results.
type node struct {
	book   *claim.Book
	skew   time.Duration
	paused bool
	inbox  []claim.Event
}

type phase int

const (
	wanted phase = iota
	won
	running
	settling
	over
)

// request is one call by a caller.
type request struct {
	claim.Wanted
	node    *node
	phase   phase
	outcome claim.Outcome
	by      time.Time
	answer  claim.Answer
	// claimant is the claimant id in the row when the request was won.
	claimant string
	// ranAt is when the upstream ran it, and notRun is true when the caller was told that it did not run.
	ranAt  time.Time
	notRun bool
}

// world simulates instances, store, callers and the upstream, and checks what must hold at each step.
type world struct {
	t     require.TestingT
	store store.Memory
	now   time.Time
	down  bool
	nodes []*node
	calls []call
	late  []store.Transaction
	// landed holds the values of the late writes that took effect.
	landed   string
	requests []*request
	books    id.Incarnation
	writes   int
}

func newWorld(t require.TestingT, skews ...time.Duration) *world {
	w := &world{t: t, now: start}
	for _, skew := range skews {
		w.nodes = append(w.nodes, &node{skew: skew})
		w.restart(w.nodes[len(w.nodes)-1])
	}
	return w
}

// restart kills the node's process and starts a successor; transactions that are under way still reach the store.
func (w *world) restart(n *node) {
	w.books++
	c := config
	c.Incarnation = w.books
	*n = node{book: claim.New(c), skew: n.skew}
	for _, r := range w.requests {
		if r.node == n {
			r.phase = over
		}
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

// in returns the requests of n in a phase.
func (w *world) in(n *node, p phase) []*request {
	return slices.DeleteFunc(slices.Clone(w.requests), func(r *request) bool { return r.node != n || r.phase != p })
}

func (w *world) reduce(n *node, e claim.Event) {
	for _, effect := range n.book.Reduce(w.clock(n), e) {
		switch effect := effect.(type) {
		case claim.Decided:
			w.decided(w.requests[effect.Request-1], effect.Outcome)
		case claim.Settled:
			w.settled(w.requests[effect.Request-1], effect.Lost)
		default:
			w.calls = append(w.calls, call{from: n, effect: effect})
		}
	}
	ofNode := slices.DeleteFunc(slices.Clone(w.calls), func(c call) bool {
		_, ok := c.effect.(claim.Transact)
		return !ok || c.from != n
	})
	require.LessOrEqual(w.t, len(ofNode), 1, "more than one transaction in flight")
}

func (w *world) decided(r *request, o claim.Outcome) {
	require.Equal(w.t, wanted, r.phase, "decided twice or without cause")
	r.phase, r.outcome = over, o
	switch o := o.(type) {
	case claim.Won:
		require.True(w.t, w.clock(r.node).Before(o.DispatchBy), "won too late to dispatch")
		r.phase, r.by, r.claimant = won, o.DispatchBy, w.row(r).Claimant
	case claim.Replay:
		w.replayed(r, o.Answer)
	case claim.Unavailable:
		w.refuse(r)
	}
}

// replayed checks that the answer is that of a run of the same request. There is one run per lifetime of a row, so an
// older answer can only come from an instance that was paused for longer than that.
func (w *world) replayed(r *request, answer claim.Answer) {
	require.True(w.t, slices.ContainsFunc(w.requests, func(run *request) bool {
		first := run.answer
		if answer.Truncated && w.now.Sub(run.ranAt) >= 10*time.Minute {
			// The object store has rejected the body for ten minutes.
			first.Body, first.Truncated = nil, true
		}
		same := run.Key == r.Key && run.Digest == r.Digest && !run.ranAt.IsZero()
		return same && reflect.DeepEqual(first, answer)
	}), "replay of an answer that no upstream gave")
}

func (w *world) refuse(r *request) {
	require.True(w.t, r.ranAt.IsZero(), "reported as not run although it ran")
	r.notRun = true
}

func (w *world) want(n *node, key, content string, patience time.Duration) *request {
	r := &request{node: n, Wanted: claim.Wanted{
		Request: id.Request(len(w.requests) + 1), Organisation: "school", Service: "draw", Route: "/draws", Key: key,
		Digest: id.DigestOf([]byte(content)), Deadline: w.clock(n).Add(patience),
	}}
	w.requests = append(w.requests, r)
	w.reduce(n, r.Wanted)
	return r
}

// dispatch sends a won request to the upstream, or refuses it if it is too late or if refuse is set.
func (w *world) dispatch(r *request, refuse bool, body string) {
	if refuse || !w.clock(r.node).Before(r.by) {
		w.release(r, claim.Released{Request: r.Request})
		return
	}
	require.False(w.t, r.notRun, "runs although it was reported as not run")
	for _, other := range w.requests {
		again := other.Key == r.Key && !other.ranAt.IsZero() && w.now.Sub(other.ranAt) < 72*time.Hour
		require.False(w.t, again, "second run of %s", r.Key)
	}
	row := w.row(r)
	require.Equal(w.t, "claimed "+r.claimant, row.State+" "+row.Claimant)
	require.LessOrEqual(w.t, w.clock(r.node).UnixMilli(), row.Deadline, "dispatch after the row's dispatch deadline")
	r.phase, r.ranAt = running, w.now
	r.answer = claim.Answer{Status: 201, Header: map[string][]string{"Number": {body}}, Body: []byte(body)}
}

// release withdraws a request that has not run.
func (w *world) release(r *request, e claim.Event) {
	w.refuse(r)
	r.phase = settling
	w.reduce(r.node, e)
}

type row struct {
	State, Claimant string
	Deadline        int64
}

// row returns the row of r's key, or the zero row.
func (w *world) row(r *request) (value row) {
	name := "claim/school/draw/%2Fdraws/" + id.DigestOf([]byte(r.Key)).String()
	rows, err := w.store.Read(context.Background(), []string{name})
	require.NoError(w.t, err)
	if rows[0].Version != 0 {
		require.NoError(w.t, json.Unmarshal(rows[0].Value, &value))
	}
	return value
}

// settled checks that the answer, or the deletion of the claim, is durable.
func (w *world) settled(r *request, lost bool) {
	require.Equal(w.t, settling, r.phase, "settled twice or without cause")
	r.phase = over
	row := w.row(r)
	if r.notRun {
		// A late write may restore a row that was deleted; nobody runs it.
		restored := strings.Contains(w.landed, r.claimant)
		require.True(w.t, r.claimant == "" || restored || row.Claimant != r.claimant, "the claim is still there")
		return
	}
	// Only a run that outlives its row's lifetime finds the row cleared or claimed by another.
	if w.now.Sub(r.ranAt) < 72*time.Hour {
		require.False(w.t, lost, "answer lost")
		require.Equal(w.t, "done "+r.claimant, row.State+" "+row.Claimant)
	}
}

func (w *world) finish(r *request, abandon bool) {
	if abandon {
		r.phase = over
		w.reduce(r.node, claim.Abandoned{Request: r.Request})
		return
	}
	r.phase = settling
	w.reduce(r.node, claim.Finished{Request: r.Request, Answer: r.answer})
}

// execute performs the call i at the store and puts its result into the node's inbox.
func (w *world) execute(i int, f fault) {
	c := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	if w.down && f == faultNone {
		f = faultNoCall
	}
	var err error
	// A failed read comes with the rows of an empty table, which the Book must not believe.
	ctx, source := context.Background(), &w.store
	if f != faultNone {
		err, source = &store.UnavailableError{Operation: "test"}, &store.Memory{}
	}
	applied := f == faultNone || f == faultLost
	var result claim.Event
	switch e := c.effect.(type) {
	case claim.Transact:
		done := claim.TransactionDone{ID: e.ID, Err: err}
		if f == faultLate {
			w.late = append(w.late, e.Transaction)
		}
		if applied {
			done.Result = w.transact(e.Transaction)
		}
		if err != nil {
			done.Result = store.Result{}
		}
		result = done
	case claim.ReadRows:
		rows, _ := source.Read(ctx, e.Names)
		result = claim.RowsRead{ID: e.ID, Rows: rows, Err: err}
	case claim.ScanRows:
		rows, _ := source.Scan(ctx, e.Prefix, e.After, e.Limit)
		result = claim.RowsScanned{ID: e.ID, Rows: rows, Err: err}
	case claim.WriteObject:
		if applied {
			require.NoError(w.t, w.store.Put(ctx, e.Name, e.Body))
		}
		result = claim.ObjectWritten{ID: e.ID, Err: err}
	case claim.ReadObject:
		body, absent := source.Get(ctx, e.Name)
		if err == nil {
			err = absent
		}
		result = claim.ObjectRead{ID: e.ID, Body: body, Err: err}
	case claim.DeleteObject:
		require.NoError(w.t, w.store.Delete(ctx, e.Name))
		return
	}
	c.from.inbox = append(c.from.inbox, result)
}

func (w *world) transact(t store.Transaction) store.Result {
	result, err := w.store.Transact(context.Background(), t)
	require.NoError(w.t, err)
	if result.Committed {
		w.writes += len(t.Writes)
	}
	return result
}

// land lets the late transaction i take effect.
func (w *world) land(i int) {
	for _, write := range w.late[i].Writes {
		w.landed += string(write.Value)
	}
	w.transact(w.late[i])
	w.late = slices.Delete(w.late, i, i+1)
}

func (w *world) deliver(n *node, i int) {
	e := n.inbox[i]
	n.inbox = slices.Delete(n.inbox, i, i+1)
	w.reduce(n, e)
}

// flow executes all calls that are under way and delivers all results to the nodes that are not paused.
func (w *world) flow() {
	for range len(w.calls) {
		w.execute(0, faultNone)
	}
	for _, n := range w.nodes {
		for len(n.inbox) > 0 && !n.paused {
			w.deliver(n, 0)
		}
	}
}

// drain lets everything flow until nothing is under way.
func (w *world) drain() {
	for w.flow(); len(w.calls) > 0; {
		w.flow()
	}
}

// heal ends all faults, finishes all requests and checks that nothing stays behind.
func (w *world) heal() {
	w.down = false
	for len(w.late) > 0 {
		w.land(0)
	}
	for range 6 {
		for _, n := range w.nodes {
			n.paused = false
			for _, r := range w.in(n, won) {
				w.dispatch(r, true, "")
			}
			for _, r := range w.in(n, running) {
				w.finish(r, false)
			}
			w.reduce(n, claim.Tick{})
		}
		w.drain()
		w.now = w.now.Add(20 * time.Second)
	}
	for _, r := range w.requests {
		require.Equal(w.t, over, r.phase, "request without an outcome or without a durable answer")
	}
	for _, n := range w.nodes {
		require.Equal(w.t, claim.Load{}, n.book.Load())
	}
}
