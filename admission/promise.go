package admission

import (
	"cmp"
	"slices"
	"time"

	"bluebellhold/id"
)

const (
	// maxPlaceDelay bounds the delay to the place of a refused request. Callers wait a few seconds; a place later than that
	// is no use to them, and the estimate of the rate does not hold for longer.
	maxPlaceDelay = 3 * time.Second
	// promiseGrace is how long after its place a request that has not returned still counts as work ahead.
	promiseGrace = time.Second
	// maxPromises bounds the places that are remembered, and with them the time for an estimate.
	maxPromises = 512
	// returnWeight is the weight of one outcome in the measured fraction of refused requests that return, and
	// minReturnFraction bounds it from below, so that it is measured again when callers change.
	returnWeight      = 0.05
	minReturnFraction = 0.1
	// minAvailable is the fraction of the starts that is assumed to remain for a priority when more urgent requests take all.
	minAvailable = 0.1
)

// promise is the place that a refused request was given.
type promise struct {
	at      time.Time
	request QueuedRequest
}

// promises are the places of the refused requests that have not returned, in the order of time.
type promises struct {
	list []promise
	// returned is the measured fraction of refused requests that return to this queue: callers may give up, or retry at
	// another instance.
	returned float64
}

func newPromises() promises { return promises{returned: 1} }

func (p *promises) recordReturn(hasReturned bool) {
	value := 0.0
	if hasReturned {
		value = 1
	}
	p.returned = max(p.returned+returnWeight*(value-p.returned), minReturnFraction)
}

// expire forgets the places whose requests have not returned in time.
func (p *promises) expire(now time.Time) {
	n := 0
	for n < len(p.list) && now.Sub(p.list[n].at) >= promiseGrace {
		p.recordReturn(false)
		n++
	}
	p.list = slices.Delete(p.list, 0, n)
}

func (p *promises) add(at time.Time, r QueuedRequest) {
	if len(p.list) >= maxPromises {
		return
	}
	i, _ := slices.BinarySearchFunc(p.list, at, func(other promise, at time.Time) int {
		return cmp.Or(other.at.Compare(at), -1)
	})
	p.list = slices.Insert(p.list, i, promise{at: at, request: r})
}

// RecordReturn notes that a request has arrived, and reports whether it is the retry of one that was given a place.
func (q *Queue) RecordReturn(now time.Time, digest id.Digest) bool {
	if q.fairness == nil {
		return false
	}
	p := &q.fairness.promises
	p.expire(now)
	i := slices.IndexFunc(p.list, func(p promise) bool { return p.request.Digest == digest })
	if i < 0 {
		return false
	}
	p.list = slices.Delete(p.list, i, i+1)
	p.recordReturn(true)
	return true
}

// Promised returns the number of places of refused requests that are counted as work ahead.
func (q *Queue) Promised() int {
	if q.fairness == nil {
		return 0
	}
	return len(q.fairness.promises.list)
}

// maxEstimateRounds bounds the rounds of an estimate, each of which adds the places that are due before the result of the
// previous one.
const maxEstimateRounds = 4

// EstimateStart estimates when a request will start that waits or is about to: after the requests that really go first, and
// those of refused ones that are due before. A request that has returned for its place goes before the other ones that have
// not. The additional work ahead is that of other instances, in requests.
func (q *Queue) EstimateStart(now time.Time, r QueuedRequest, additional float64) time.Time {
	f := q.fairness
	f.promises.expire(now)
	rate := q.availableRate(now, r.Priority)
	due := now.Add(durationOf((additional + q.workAhead(now, r, now.Add(-maxPlaceDelay))) / rate))
	if r.HasPlace || len(f.promises.list) == 0 {
		return due
	}
	for range maxEstimateRounds {
		next := now.Add(durationOf((additional + q.workAhead(now, r, due)) / rate))
		if !next.After(due) {
			break
		}
		due = next
	}
	return due
}

// flowAhead is the work of one organisation that competes with a request of another one.
type flowAhead struct {
	requests float64
	work     time.Duration
}

// workAhead returns the number of requests that go before one, with those refused ones that are due until the given time.
// Within the request's organisation and priority, the refused ones go first.
func (q *Queue) workAhead(now time.Time, r QueuedRequest, until time.Time) float64 {
	ahead, own := 0.0, time.Duration(0)
	others := make(map[id.Organisation]flowAhead)
	add := func(other QueuedRequest, weight float64, isBefore bool) {
		switch c := other.Priority.Compare(r.Priority); {
		case c > 0:
		case c < 0:
			ahead += weight
		case other.Organisation != r.Organisation:
			fl := others[other.Organisation]
			work := time.Duration(weight * float64(max(other.Work, minWork)))
			others[other.Organisation] = flowAhead{fl.requests + weight, fl.work + work}
		case isBefore:
			ahead += weight
			own += time.Duration(weight * float64(max(other.Work, minWork)))
		}
	}
	for _, waiting := range q.requests {
		if waiting.Request != r.Request {
			add(waiting, 1, compareUrgency(now, waiting, r) <= 0)
		}
	}
	for _, p := range q.fairness.promises.list {
		if p.at.After(until) {
			break
		}
		add(p.request, q.fairness.promises.returned, true)
	}
	tag := q.fairness.tag(r.Priority, r.Organisation) + own
	for organisation, fl := range others {
		// The other organisation takes its turns until its tag exceeds that of the request.
		mean := time.Duration(float64(fl.work) / fl.requests)
		turns := float64(tag-q.fairness.tag(r.Priority, organisation))/float64(max(mean, 1)) + 0.5
		ahead += min(max(turns, 0), fl.requests)
	}
	return ahead
}

// PromiseRetry returns when a refused request should be retried. Its place counts as work ahead from then on, so that each
// refused request gets a place after those of the earlier ones that go before it. No place is kept that is too late for the
// caller.
func (q *Queue) PromiseRetry(now time.Time, r QueuedRequest, additional, jitter float64) time.Time {
	f := q.fairness
	f.promises.expire(now)
	delay := durationOf((additional + 1 + q.workAhead(now, r, now.Add(maxPlaceDelay))) / q.availableRate(now, r.Priority))
	if delay > maxPlaceDelay {
		return now.Add(maxPlaceDelay - time.Duration(jitter*float64(maxPlaceDelay)/4))
	}
	at := now.Add(max(delay, minRetryDelay))
	if at.After(r.LatestReturn) {
		// The caller could not be served then. One that returns anyway finds no place, so it is told to return when it would
		// have given up.
		return at.Add(max(r.GivesUp.Sub(at), 0))
	}
	f.promises.add(at, r)
	return at
}

// measured is what the estimates of a fair queue are based on, besides the rate of all starts.
type measured struct {
	// starts holds the rates of starts of each priority.
	starts map[Priority]*startRate
	// running is the number of requests that have started and not ended, and elapsed their mean time.
	running int
	elapsed time.Duration
}

func newMeasured() measured { return measured{starts: make(map[Priority]*startRate)} }

// elapsedWeight is the weight of one request in the mean time from start to end.
const elapsedWeight = 0.1

// RecordPriorityStart counts a request that was sent to an upstream, by its priority. It charges the organisation of one
// that waited.
func (q *Queue) RecordPriorityStart(now time.Time, priority Priority, request id.Request) {
	if q.fairness == nil {
		return
	}
	m := &q.fairness.measured
	m.running++
	if m.starts[priority] == nil {
		m.starts[priority] = &startRate{}
	}
	m.starts[priority].add(now)
	for _, r := range q.requests {
		if r.Request == request {
			q.fairness.charge(r)
			break
		}
	}
}

// RecordEnd counts a request that was sent at the given time and has ended. Only one that has run says how long they take: an
// upstream that sheds responds at once.
func (q *Queue) RecordEnd(now, sentAt time.Time, hasRun bool) {
	if q.fairness == nil {
		return
	}
	m := &q.fairness.measured
	// Requests that started before fair queueing was switched on were not counted.
	m.running = max(m.running-1, 0)
	if !hasRun {
		return
	}
	elapsed := now.Sub(sentAt)
	if m.elapsed == 0 {
		m.elapsed = elapsed
	}
	m.elapsed += time.Duration(elapsedWeight * float64(elapsed-m.elapsed))
}

// StartRate returns the estimated rate of starts per second, at least a low one.
//
// At an instance with few requests, or after a pause, the starts within the last second say little. The requests that run
// make room as they end.
func (q *Queue) StartRate(now time.Time) float64 {
	rate := q.startRate.perSecond(now)
	if q.fairness == nil {
		return rate
	}
	if m := &q.fairness.measured; m.elapsed > 0 {
		rate = max(rate, float64(m.running)/m.elapsed.Seconds())
	}
	return rate
}

// availableRate returns the rate of starts that remains for a priority: that of all starts, less those of more urgent
// requests, which will go first also if they arrive later.
func (q *Queue) availableRate(now time.Time, priority Priority) float64 {
	m := &q.fairness.measured
	rate := q.StartRate(now)
	urgent := 0.0
	for other, starts := range m.starts {
		if other.Compare(priority) < 0 {
			if s := starts.perSecond(now); s > minStartRate {
				urgent += s
			}
		}
	}
	return max(rate-urgent, minAvailable*rate)
}

func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
