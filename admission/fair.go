package admission

import (
	"cmp"
	"slices"
	"time"

	"bluebellhold/id"
)

// fairness is the state of fair queueing: start-time fair queueing among the organisations of each priority.
//
// Each organisation has a tag in virtual time, the work that it has got. The organisation with the lowest tag goes next, so
// that each one with waiting requests gets the same work, however many it queues. One that starts to wait takes the current
// virtual time as its tag: it neither saves up turns while it sends nothing nor pays for requests that found free slots.
type fairness struct {
	classes  map[Priority]*class
	measured measured
	promises promises
}

// class is the fair queueing of one priority. It is forgotten when none of its requests waits.
type class struct {
	virtual time.Duration
	tags    map[id.Organisation]time.Duration
}

// minWork bounds the work of a request from below, so that one that is expected to take no time is not free.
const minWork = time.Millisecond

// SetFair switches fair queueing among organisations, and the estimates that take it into account, on or off.
func (q *Queue) SetFair(isFair bool) {
	switch {
	case isFair == (q.fairness != nil):
	case isFair:
		q.fairness = &fairness{classes: make(map[Priority]*class), measured: newMeasured(), promises: newPromises()}
		waiting := q.requests
		for i, r := range waiting {
			q.fairness.add(r, waiting[:i])
		}
	default:
		q.fairness = nil
	}
}

// add gives the organisation of a request its tag if none of its requests of the priority waits.
func (f *fairness) add(r QueuedRequest, waiting []QueuedRequest) {
	c := f.classes[r.Priority]
	if c == nil {
		c = &class{tags: make(map[id.Organisation]time.Duration)}
		f.classes[r.Priority] = c
	}
	for _, w := range waiting {
		if w.Priority == r.Priority && w.Organisation == r.Organisation {
			return
		}
	}
	c.tags[r.Organisation] = max(c.tags[r.Organisation], c.virtual)
}

// charge counts a waiting request that starts.
func (f *fairness) charge(r QueuedRequest) {
	if c := f.classes[r.Priority]; c != nil {
		tag := c.tags[r.Organisation]
		c.virtual = max(c.virtual, tag)
		c.tags[r.Organisation] = tag + max(r.Work, minWork)
	}
}

// tag returns the tag of an organisation's next request.
func (f *fairness) tag(priority Priority, organisation id.Organisation) time.Duration {
	c := f.classes[priority]
	if c == nil {
		return 0
	}
	if tag, ok := c.tags[organisation]; ok {
		return tag
	}
	return c.virtual
}

// forgetIdleClasses forgets the priorities of which no request waits any more.
func (q *Queue) forgetIdleClasses() {
	if q.fairness == nil {
		return
	}
	for priority := range q.fairness.classes {
		if !slices.ContainsFunc(q.requests, func(r QueuedRequest) bool { return r.Priority == priority }) {
			delete(q.fairness.classes, priority)
		}
	}
}

// sort returns the requests in the order of service.
func (f *fairness) sort(now time.Time, requests []QueuedRequest) []QueuedRequest {
	slices.SortStableFunc(requests, func(a, b QueuedRequest) int {
		return cmp.Or(a.Priority.Compare(b.Priority), cmp.Compare(a.Organisation, b.Organisation), compareUrgency(now, a, b))
	})
	sorted := make([]QueuedRequest, 0, len(requests))
	for len(requests) > 0 {
		n := 1
		for n < len(requests) && requests[n].Priority == requests[0].Priority {
			n++
		}
		sorted = f.merge(now, requests[:n], sorted)
		requests = requests[n:]
	}
	return sorted
}

// flow is the waiting requests of one organisation and priority, and its tag.
type flow struct {
	requests []QueuedRequest
	tag      time.Duration
}

// merge appends the requests of one priority, which are sorted by organisation, in the order of their organisations' tags.
func (f *fairness) merge(now time.Time, requests, sorted []QueuedRequest) []QueuedRequest {
	var flows []flow
	for len(requests) > 0 {
		n := 1
		for n < len(requests) && requests[n].Organisation == requests[0].Organisation {
			n++
		}
		tag := f.tag(requests[0].Priority, requests[0].Organisation)
		flows = append(flows, flow{requests: requests[:n], tag: tag})
		requests = requests[n:]
	}
	for len(flows) > 0 {
		next := 0
		for i := range flows[1:] {
			a, b := flows[i+1], flows[next]
			if cmp.Or(cmp.Compare(a.tag, b.tag), compareUrgency(now, a.requests[0], b.requests[0])) < 0 {
				next = i + 1
			}
		}
		fl := &flows[next]
		first := fl.requests[0]
		sorted = append(sorted, first)
		fl.tag += max(first.Work, minWork)
		if fl.requests = fl.requests[1:]; len(fl.requests) == 0 {
			flows = slices.Delete(flows, next, next+1)
		}
	}
	return sorted
}
