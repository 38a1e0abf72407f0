package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/admission"
	"bluebellhold/id"
)

var start = time.Unix(1000, 0)

func waiter(n id.Request, rank, onTime, expires int) admission.QueuedRequest {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	return admission.QueuedRequest{Request: n, Priority: admission.Priority{Route: rank}, LatestStart: at(onTime), Expires: at(expires)}
}

func order(l *admission.Queue, now time.Time) []id.Request {
	var out []id.Request
	for _, w := range l.Sort(now) {
		out = append(out, w.Request)
	}
	return out
}

// Guards against less urgent work ahead of more urgent work, and against late requests ahead of those that can still be
// on time.
func TestLineOrdersByRankThenByWhatCanBeEarned(t *testing.T) {
	var l admission.Queue
	l.Add(waiter(1, 2, 500, 900))
	l.Add(waiter(2, 1, 50, 900))
	l.Add(waiter(3, 1, 400, 900))
	l.Add(waiter(4, 1, 300, 900))
	l.Add(waiter(5, 1, 60, 700))
	require.Equal(t, []id.Request{4, 3, 5, 2, 1}, order(&l, start.Add(100*time.Millisecond)))
}

// Guards against an organisation's rank that a route's rank overrides.
func TestOrganisationsRankGoesFirst(t *testing.T) {
	var l admission.Queue
	l.Add(admission.QueuedRequest{Request: 1, Priority: admission.Priority{Organisation: 2, Route: 0}})
	l.Add(admission.QueuedRequest{Request: 2, Priority: admission.Priority{Organisation: 1, Route: 5}})
	require.Equal(t, []id.Request{2, 1}, order(&l, start))
}

func TestExpiredRequestsLeaveTheLine(t *testing.T) {
	var l admission.Queue
	l.Add(waiter(1, 1, 100, 200))
	l.Add(waiter(2, 1, 100, 300))
	expired := l.RemoveExpired(start.Add(250 * time.Millisecond))
	require.Len(t, expired, 1)
	require.Equal(t, id.Request(1), expired[0].Request)
	require.Equal(t, 1, l.Len())
}

// Guards against callers that are rejected together and return together, or later than their deadlines allow.
func TestReturnIsSpreadAndBounded(t *testing.T) {
	var l admission.Queue
	for i := range 200 {
		l.Add(waiter(id.Request(i), 1, 500, 900))
	}
	low, high := l.RetryAt(start, 0), l.RetryAt(start, 0.99)
	require.LessOrEqual(t, high.Sub(start), time.Second)
	require.False(t, high.Before(low))
	var empty admission.Queue
	require.NotEqual(t, empty.RetryAt(start, 0), empty.RetryAt(start, 0.9))
}

// replayLine serves arrivals at twice the rate that one server can start, and returns the part of all that started in
// time. With early rejection a request joins the line only if it can be expected to start in time.
func replayLine(rejectEarly bool) float64 {
	const (
		perS   = 40.0
		serve  = 50 * time.Millisecond
		length = 20 * time.Second
		aim    = 300 * time.Millisecond
		late   = 2 * time.Second
	)
	random := rand.New(rand.NewPCG(3, 4))
	var l admission.Queue
	onTime, all := 0, 0
	next, free := start, start
	for now := start; now.Sub(start) < length; now = now.Add(time.Millisecond) {
		for !next.After(now) {
			all++
			w := admission.QueuedRequest{Request: id.Request(all), LatestStart: now.Add(aim), Expires: now.Add(late)}
			if !rejectEarly || !now.Add(l.EstimateWait(now, w.Priority)).After(w.LatestStart) {
				l.Add(w)
			}
			next = next.Add(time.Duration(random.ExpFloat64() / perS * float64(time.Second)))
		}
		l.RemoveExpired(now)
		if free.After(now) || l.Len() == 0 {
			continue
		}
		first := l.Sort(now)[0]
		if !rejectEarly {
			first = oldest(&l)
		}
		l.Remove(first.Request)
		l.RecordStart(now)
		free = now.Add(serve)
		if !now.After(first.LatestStart) {
			onTime++
		}
	}
	return float64(onTime) / float64(all)
}

func oldest(l *admission.Queue) admission.QueuedRequest {
	waiters := l.Sort(start)
	first := waiters[0]
	for _, w := range waiters {
		if w.Request < first.Request {
			first = w
		}
	}
	return first
}

// Guards against a line without early rejection at twice the capacity: in order of arrival nearly everything starts
// late, although half could be on time.
func TestEarlyRejectionKeepsTheRestOnTime(t *testing.T) {
	early, fifo := replayLine(true), replayLine(false)
	t.Logf("on time: early rejection %.3f, in order of arrival %.3f", early, fifo)
	require.Greater(t, early, 0.4)
	require.Less(t, fifo, 0.1)
}
