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

func queuedRequest(n id.Request, priority, latestStart, expires int) admission.QueuedRequest {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	return admission.QueuedRequest{Request: n, Priority: admission.Priority{Route: priority}, LatestStart: at(latestStart), Expires: at(expires)}
}

func sortedIDs(q *admission.Queue, now time.Time) []id.Request {
	var out []id.Request
	for _, r := range q.Sort(now) {
		out = append(out, r.Request)
	}
	return out
}

// Guards against requests of lower priority ahead of those of higher priority, and against late requests ahead of those
// that can still meet their objective.
func TestQueueOrdersByPriorityThenLatestStart(t *testing.T) {
	var q admission.Queue
	q.Add(queuedRequest(1, 2, 500, 900))
	q.Add(queuedRequest(2, 1, 50, 900))
	q.Add(queuedRequest(3, 1, 400, 900))
	q.Add(queuedRequest(4, 1, 300, 900))
	q.Add(queuedRequest(5, 1, 60, 700))
	require.Equal(t, []id.Request{4, 3, 5, 2, 1}, sortedIDs(&q, start.Add(100*time.Millisecond)))
}

// Guards against a route's priority that overrides the organisation's.
func TestOrganisationPriorityPrecedesRoutePriority(t *testing.T) {
	var q admission.Queue
	q.Add(admission.QueuedRequest{Request: 1, Priority: admission.Priority{Organisation: 2, Route: 0}})
	q.Add(admission.QueuedRequest{Request: 2, Priority: admission.Priority{Organisation: 1, Route: 5}})
	require.Equal(t, []id.Request{2, 1}, sortedIDs(&q, start))
}

func TestExpiredRequestsLeaveTheQueue(t *testing.T) {
	var q admission.Queue
	q.Add(queuedRequest(1, 1, 100, 200))
	q.Add(queuedRequest(2, 1, 100, 300))
	expired := q.RemoveExpired(start.Add(250 * time.Millisecond))
	require.Len(t, expired, 1)
	require.Equal(t, id.Request(1), expired[0].Request)
	require.Equal(t, 1, q.Len())
}

// Guards against synchronised retries of requests that were refused together, and against retries after the deadline.
func TestRetryAtIsJitteredAndBounded(t *testing.T) {
	var q admission.Queue
	for i := range 200 {
		q.Add(queuedRequest(id.Request(i), 1, 500, 900))
	}
	low, high := q.RetryAt(start, 0), q.RetryAt(start, 0.99)
	require.LessOrEqual(t, high.Sub(start), time.Second)
	require.False(t, high.Before(low))
	var empty admission.Queue
	require.NotEqual(t, empty.RetryAt(start, 0), empty.RetryAt(start, 0.9))
}

// simulateQueue simulates arrivals at twice the capacity of one server, and returns the fraction of requests that
// started in time. With early refusal a request is queued only if it can be expected to start in time.
func simulateQueue(refuseEarly bool) float64 {
	const (
		arrivalsPerS   = 40.0
		processingTime = 50 * time.Millisecond
		duration       = 20 * time.Second
		objective      = 300 * time.Millisecond
		expiry         = 2 * time.Second
	)
	random := rand.New(rand.NewPCG(3, 4))
	var q admission.Queue
	onTime, total := 0, 0
	nextArrival, freeAt := start, start
	for now := start; now.Sub(start) < duration; now = now.Add(time.Millisecond) {
		for !nextArrival.After(now) {
			total++
			req := admission.QueuedRequest{Request: id.Request(total), LatestStart: now.Add(objective), Expires: now.Add(expiry)}
			if !refuseEarly || !now.Add(q.EstimateWait(now, req.Priority)).After(req.LatestStart) {
				q.Add(req)
			}
			nextArrival = nextArrival.Add(time.Duration(random.ExpFloat64() / arrivalsPerS * float64(time.Second)))
		}
		q.RemoveExpired(now)
		if freeAt.After(now) || q.Len() == 0 {
			continue
		}
		first := q.Sort(now)[0]
		if !refuseEarly {
			first = oldest(&q)
		}
		q.Remove(first.Request)
		q.RecordStart(now)
		freeAt = now.Add(processingTime)
		if !now.After(first.LatestStart) {
			onTime++
		}
	}
	return float64(onTime) / float64(total)
}

func oldest(q *admission.Queue) admission.QueuedRequest {
	requests := q.Sort(start)
	first := requests[0]
	for _, r := range requests {
		if r.Request < first.Request {
			first = r
		}
	}
	return first
}

// Guards against a queue without early refusal at twice the capacity: in FIFO order nearly every request starts late,
// although half could start in time.
func TestEarlyRejectionKeepsAdmittedRequestsOnTime(t *testing.T) {
	early, fifo := simulateQueue(true), simulateQueue(false)
	t.Logf("on time: early rejection %.3f, in order of arrival %.3f", early, fifo)
	require.Greater(t, early, 0.4)
	require.Less(t, fifo, 0.1)
}
