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

// config stores bodies of more than eight bytes as objects; its short dispatch timeout makes deadlines pass often.
var config = claim.Config{InlineLimit: 8, BatchSize: 5, ScanLimit: 3, DispatchTimeout: 5 * time.Second, Seed: 1}

type fault int

const (
	faultNone        fault = iota
	faultLostResult        // the call takes effect, but its result is lost
	faultNotExecuted       // the call has no effect
	faultDelayed           // the call is reported as failed and takes effect later
)

// call is a call to the store in flight.
type call struct {
	from   *instance
	effect claim.Effect
}

// instance is one simulated instance: a Tracker with its clock skew and its undelivered results.
type instance struct {
	tracker *claim.Tracker
	skew    time.Duration
	paused  bool
	inbox   []claim.Event
}

type phase int

const (
	phaseRequested phase = iota
	phaseGranted
	phaseRunning
	phaseSettling
	phaseDone
)

// request is one caller's request.
type request struct {
	claim.Requested
	instance   *instance
	phase      phase
	outcome    claim.Outcome
	dispatchBy time.Time
	response   claim.Response
	// claimant is the claimant id in the row when the claim was granted.
	claimant string
	// ranAt is when the upstream ran it; reportedNotRun is true when it was reported as not run.
	ranAt          time.Time
	reportedNotRun bool
}

// simulation simulates instances, store, callers and the upstream, and checks the invariants at each step.
type simulation struct {
	t         require.TestingT
	store     store.Memory
	now       time.Time
	storeDown bool
	instances []*instance
	calls     []call
	delayed   []store.Transaction
	// delayedValues concatenates the values of the delayed writes that took effect.
	delayedValues string
	requests      []*request
	incarnations  id.Incarnation
	writes        int
}

func newSimulation(t require.TestingT, skews ...time.Duration) *simulation {
	s := &simulation{t: t, now: start}
	for _, skew := range skews {
		s.instances = append(s.instances, &instance{skew: skew})
		s.restart(s.instances[len(s.instances)-1])
	}
	return s
}

// restart replaces the instance's process; transactions in flight may still take effect.
func (s *simulation) restart(n *instance) {
	s.incarnations++
	c := config
	c.Incarnation = s.incarnations
	*n = instance{tracker: claim.New(c), skew: n.skew}
	for _, r := range s.requests {
		if r.instance == n {
			r.phase = phaseDone
		}
	}
	s.calls = slices.DeleteFunc(s.calls, func(c call) bool {
		transact, isWrite := c.effect.(claim.Transact)
		if c.from == n && isWrite {
			s.delayed = append(s.delayed, transact.Transaction)
		}
		return c.from == n
	})
}

func (s *simulation) clock(n *instance) time.Time { return s.now.Add(n.skew) }

// requestsIn returns the requests of n in a phase.
func (s *simulation) requestsIn(n *instance, p phase) []*request {
	return slices.DeleteFunc(slices.Clone(s.requests), func(r *request) bool { return r.instance != n || r.phase != p })
}

func (s *simulation) reduce(n *instance, e claim.Event) {
	for _, effect := range n.tracker.Reduce(s.clock(n), e) {
		switch effect := effect.(type) {
		case claim.Decided:
			s.handleDecided(s.requests[effect.Request-1], effect.Outcome)
		case claim.Settled:
			s.handleSettled(s.requests[effect.Request-1], effect.ResponseLost)
		default:
			s.calls = append(s.calls, call{from: n, effect: effect})
		}
	}
	transactions := slices.DeleteFunc(slices.Clone(s.calls), func(c call) bool {
		_, ok := c.effect.(claim.Transact)
		return !ok || c.from != n
	})
	require.LessOrEqual(s.t, len(transactions), 1, "more than one transaction in flight")
}

func (s *simulation) handleDecided(r *request, o claim.Outcome) {
	require.Equal(s.t, phaseRequested, r.phase, "decided twice or without cause")
	r.phase, r.outcome = phaseDone, o
	switch o := o.(type) {
	case claim.Granted:
		require.True(s.t, s.clock(r.instance).Before(o.DispatchBy), "granted too late to dispatch")
		r.phase, r.dispatchBy, r.claimant = phaseGranted, o.DispatchBy, s.row(r).Claimant
	case claim.Replay:
		s.checkReplay(r, o.Response)
	case claim.Unavailable:
		s.markNotRun(r)
	}
}

// checkReplay checks that the response comes from a run of the same request. There is one run per lifetime of a row, so
// an older response can only come from an instance that was paused for longer than that.
func (s *simulation) checkReplay(r *request, response claim.Response) {
	require.True(s.t, slices.ContainsFunc(s.requests, func(run *request) bool {
		first := run.response
		if response.Truncated && s.now.Sub(run.ranAt) >= 10*time.Minute {
			// The object store has rejected the body for ten minutes.
			first.Body, first.Truncated = nil, true
		}
		same := run.Key == r.Key && run.Digest == r.Digest && !run.ranAt.IsZero()
		return same && reflect.DeepEqual(first, response)
	}), "replay of a response that no upstream sent")
}

func (s *simulation) markNotRun(r *request) {
	require.True(s.t, r.ranAt.IsZero(), "reported as not run although it ran")
	r.reportedNotRun = true
}

func (s *simulation) submit(n *instance, key, content string, timeout time.Duration) *request {
	r := &request{instance: n, Requested: claim.Requested{
		Request: id.Request(len(s.requests) + 1), Organisation: "school", Service: "draw", Route: "/draws", Key: key,
		Digest: id.DigestOf([]byte(content)), Deadline: s.clock(n).Add(timeout),
	}}
	s.requests = append(s.requests, r)
	s.reduce(n, r.Requested)
	return r
}

// dispatch sends a granted request to the upstream, or releases it if its dispatch deadline has passed or refuse is set.
func (s *simulation) dispatch(r *request, refuse bool, body string) {
	if refuse || !s.clock(r.instance).Before(r.dispatchBy) {
		s.release(r, claim.Released{Request: r.Request})
		return
	}
	require.False(s.t, r.reportedNotRun, "runs although it was reported as not run")
	for _, other := range s.requests {
		alreadyRan := other.Key == r.Key && !other.ranAt.IsZero() && s.now.Sub(other.ranAt) < 72*time.Hour
		require.False(s.t, alreadyRan, "second run of %s", r.Key)
	}
	row := s.row(r)
	require.Equal(s.t, "claimed "+r.claimant, row.State+" "+row.Claimant)
	require.LessOrEqual(s.t, s.clock(r.instance).UnixMilli(), row.Deadline, "dispatch after the row's dispatch deadline")
	r.phase, r.ranAt = phaseRunning, s.now
	r.response = claim.Response{Status: 201, Header: map[string][]string{"Number": {body}}, Body: []byte(body)}
}

// release releases or abandons a request that has not run.
func (s *simulation) release(r *request, e claim.Event) {
	s.markNotRun(r)
	r.phase = phaseSettling
	s.reduce(r.instance, e)
}

type row struct {
	State, Claimant string
	Deadline        int64
}

// row returns the row of r's key, or the zero row.
func (s *simulation) row(r *request) (value row) {
	name := "claim/school/draw/%2Fdraws/" + id.DigestOf([]byte(r.Key)).String()
	rows, err := s.store.Read(context.Background(), []string{name})
	require.NoError(s.t, err)
	if rows[0].Version != 0 {
		require.NoError(s.t, json.Unmarshal(rows[0].Value, &value))
	}
	return value
}

// handleSettled checks that the response, or the deletion of the claim, is durable.
func (s *simulation) handleSettled(r *request, responseLost bool) {
	require.Equal(s.t, phaseSettling, r.phase, "settled twice or without cause")
	r.phase = phaseDone
	row := s.row(r)
	if r.reportedNotRun {
		// A delayed write may restore a deleted row; its request is never run.
		restored := strings.Contains(s.delayedValues, r.claimant)
		require.True(s.t, r.claimant == "" || restored || row.Claimant != r.claimant, "the claim still exists")
		return
	}
	// The row can only be purged or claimed by another request when the run outlasts the row's lifetime.
	if s.now.Sub(r.ranAt) < 72*time.Hour {
		require.False(s.t, responseLost, "response lost")
		require.Equal(s.t, "done "+r.claimant, row.State+" "+row.Claimant)
	}
}

func (s *simulation) finish(r *request, abandon bool) {
	if abandon {
		r.phase = phaseDone
		s.reduce(r.instance, claim.Abandoned{Request: r.Request})
		return
	}
	r.phase = phaseSettling
	s.reduce(r.instance, claim.Finished{Request: r.Request, Response: r.response})
}

// execute performs the call i at the store and puts its result into the instance's inbox.
func (s *simulation) execute(i int, f fault) {
	c := s.calls[i]
	s.calls = slices.Delete(s.calls, i, i+1)
	if s.storeDown && f == faultNone {
		f = faultNotExecuted
	}
	var err error
	// A failed read returns the rows of an empty table, which the Tracker must ignore.
	ctx, source := context.Background(), &s.store
	if f != faultNone {
		err, source = &store.UnavailableError{Operation: "test"}, &store.Memory{}
	}
	applied := f == faultNone || f == faultLostResult
	var result claim.Event
	switch e := c.effect.(type) {
	case claim.Transact:
		done := claim.TransactionDone{ID: e.ID, Err: err}
		if f == faultDelayed {
			s.delayed = append(s.delayed, e.Transaction)
		}
		if applied {
			done.Result = s.transact(e.Transaction)
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
			require.NoError(s.t, s.store.Put(ctx, e.Name, e.Body))
		}
		result = claim.ObjectWritten{ID: e.ID, Err: err}
	case claim.ReadObject:
		body, getErr := source.Get(ctx, e.Name)
		if err == nil {
			err = getErr
		}
		result = claim.ObjectRead{ID: e.ID, Body: body, Err: err}
	case claim.DeleteObject:
		require.NoError(s.t, s.store.Delete(ctx, e.Name))
		return
	}
	c.from.inbox = append(c.from.inbox, result)
}

func (s *simulation) transact(t store.Transaction) store.Result {
	result, err := s.store.Transact(context.Background(), t)
	require.NoError(s.t, err)
	if result.Committed {
		s.writes += len(t.Writes)
	}
	return result
}

// applyDelayed applies the delayed transaction i.
func (s *simulation) applyDelayed(i int) {
	for _, write := range s.delayed[i].Writes {
		s.delayedValues += string(write.Value)
	}
	s.transact(s.delayed[i])
	s.delayed = slices.Delete(s.delayed, i, i+1)
}

func (s *simulation) deliver(n *instance, i int) {
	e := n.inbox[i]
	n.inbox = slices.Delete(n.inbox, i, i+1)
	s.reduce(n, e)
}

// runRound executes all calls in flight and delivers all results to the instances that are not paused.
func (s *simulation) runRound() {
	for range len(s.calls) {
		s.execute(0, faultNone)
	}
	for _, n := range s.instances {
		for len(n.inbox) > 0 && !n.paused {
			s.deliver(n, 0)
		}
	}
}

// runUntilIdle runs rounds until no call is in flight.
func (s *simulation) runUntilIdle() {
	for s.runRound(); len(s.calls) > 0; {
		s.runRound()
	}
}

// heal ends all faults, finishes all requests and checks that no request or claim is left.
func (s *simulation) heal() {
	s.storeDown = false
	for len(s.delayed) > 0 {
		s.applyDelayed(0)
	}
	for range 6 {
		for _, n := range s.instances {
			n.paused = false
			for _, r := range s.requestsIn(n, phaseGranted) {
				s.dispatch(r, true, "")
			}
			for _, r := range s.requestsIn(n, phaseRunning) {
				s.finish(r, false)
			}
			s.reduce(n, claim.Tick{})
		}
		s.runUntilIdle()
		s.now = s.now.Add(20 * time.Second)
	}
	for _, r := range s.requests {
		require.Equal(s.t, phaseDone, r.phase, "request without an outcome or without a durable response")
	}
	for _, n := range s.instances {
		require.Equal(s.t, claim.Stats{}, n.tracker.Stats())
	}
}
