package entry

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bluebellhold/admission"
	"bluebellhold/id"
)

const (
	// newsDuration is how long news of queued work counts at the coordinator, and then again at a member, so that none holds
	// a request back for longer than 1.2 s. It exceeds reportInterval, so that a delayed report makes no gap.
	newsDuration = 600 * time.Millisecond
	// minQueuedAge is the wait from which queued work is reported. Requests that start sooner need no room.
	minQueuedAge = 50 * time.Millisecond
	// pickUpTime is how long room is left for a little work: the instance at which it waits notices a free slot by the next
	// response or probe.
	pickUpTime = 100 * time.Millisecond
	// clearFactor is the time for which room is left, relative to the time in which all instances together would start the
	// work, since the instance at which it waits does not find each free slot. Less room made a fourteenth more of the urgent
	// callers of 26 instances late.
	clearFactor = 6.0
	// congestedUtilisation is the utilisation of a service above which it is congested. If this instance has found upstreams
	// full within fullDuration, the lower fullUtilisation suffices, since the estimate decays without new reports.
	congestedUtilisation = 0.8
	fullUtilisation      = 0.6
	fullDuration         = 1200 * time.Millisecond
	// maxQueuedFactor bounds the work that one report may claim, as a multiple of the service's slots.
	maxQueuedFactor = 4
	// maxQueuedEntries bounds the entries of a message.
	maxQueuedEntries = 64
	// quietDuration is the time without news after which the cut-off counts as lifted, for logs.
	quietDuration = 5 * time.Second
)

// QueuedWork is the work of one priority that waits for the upstreams of a service.
type QueuedWork struct {
	Service  id.Service
	Priority admission.Priority
	// Slots is the number of slots that the work occupies when it starts.
	Slots float64
	// Age is how long the oldest request has waited.
	Age time.Duration
}

// cutOff is what this instance knows of the work that waits elsewhere in its group for a service.
type cutOff struct {
	// news is the last news, the most urgent first, and receivedAt when it arrived.
	news       []QueuedWork
	receivedAt time.Time
	// fullAt is when this instance last found an upstream full.
	fullAt time.Time
	// isCongested is whether the service was congested at checkedAt.
	isCongested bool
	checkedAt   time.Time
	// isInForce is set while the cut-off counts as in force in logs, and newsAt when there was last any.
	isInForce bool
	newsAt    time.Time
	// heldBack counts the requests that were held back on arrival.
	heldBack uint64
}

// ownQueuedWork returns the work that waits at this instance. Rare routes are left out: they go first anyway.
func (s *State) ownQueuedWork() []QueuedWork {
	if !s.Features().Order {
		return nil
	}
	var work []QueuedWork
	for _, name := range s.serviceNames {
		for _, w := range s.services[name].queue.Waiting(s.now) {
			if w.Age >= minQueuedAge && w.Priority.Organisation != math.MinInt {
				work = append(work, QueuedWork{Service: name, Priority: w.Priority, Slots: float64(w.Requests), Age: w.Age})
			}
		}
	}
	return work[:min(len(work), maxQueuedEntries)]
}

// boundQueuedWork returns the entries that make sense: of known services and priorities, and each service's work bounded.
func (s *State) boundQueuedWork(work []QueuedWork) []QueuedWork {
	if !s.Features().Order {
		return nil
	}
	var bounded []QueuedWork
	total := make(map[id.Service]float64)
	for _, w := range work[:min(len(work), maxQueuedEntries)] {
		svc := s.services[w.Service]
		if svc == nil || !(w.Slots > 0) || !s.isKnownPriority(w.Service, w.Priority) {
			continue
		}
		w.Slots = min(w.Slots, maxQueuedFactor*float64(s.slotsOf(w.Service))-total[w.Service])
		if w.Slots > 0 {
			total[w.Service] += w.Slots
			bounded = append(bounded, w)
		}
	}
	return bounded
}

// isKnownPriority reports whether requests of the priority exist for a service.
func (s *State) isKnownPriority(service id.Service, p admission.Priority) bool {
	isOrganisation := p.Organisation == 0
	for _, o := range s.configuration.Organisations {
		isOrganisation = isOrganisation || o.Priority == p.Organisation
	}
	return isOrganisation && slices.ContainsFunc(s.configuration.Routes, func(r Route) bool {
		return r.Priority == p.Route && slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
	})
}

func (s *State) slotsOf(service id.Service) id.Slots {
	var slots id.Slots
	for _, u := range s.upstreams {
		if u.Service == service {
			slots += u.Slots
		}
	}
	return slots
}

// queuedElsewhere returns the sum of the work that waits at all instances of the group but one, as the coordinator knows it.
func (s *State) queuedElsewhere(except id.Instance) []QueuedWork {
	var sum []QueuedWork
	add := func(work []QueuedWork) {
		for _, w := range work {
			i := slices.IndexFunc(sum, func(o QueuedWork) bool { return o.Service == w.Service && o.Priority == w.Priority })
			if i < 0 {
				sum = append(sum, w)
				continue
			}
			sum[i].Slots, sum[i].Age = sum[i].Slots+w.Slots, max(sum[i].Age, w.Age)
		}
	}
	if except != s.config.Instance {
		add(s.ownQueuedWork())
	}
	for name, l := range s.group.lenders {
		if name != except && s.now.Sub(l.reportedAt) < newsDuration {
			add(l.queued)
		}
	}
	slices.SortFunc(sum, func(a, b QueuedWork) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), a.Priority.Compare(b.Priority))
	})
	return s.boundQueuedWork(sum)
}

// setQueuedElsewhere replaces the news of what waits elsewhere.
func (s *State) setQueuedElsewhere(work []QueuedWork) {
	if !s.Features().Order {
		return
	}
	for _, name := range s.serviceNames {
		c := &s.services[name].cutOff
		c.news, c.receivedAt = nil, s.now
		for _, w := range work {
			if w.Service == name {
				c.news = append(c.news, w)
			}
		}
		slices.SortFunc(c.news, func(a, b QueuedWork) int { return a.Priority.Compare(b.Priority) })
		s.noteCutOff(name, c)
	}
}

// noteCutOff reports when work starts to wait elsewhere, and when none has for a while.
func (s *State) noteCutOff(name id.Service, c *cutOff) {
	if len(c.news) > 0 {
		c.newsAt = s.now
	}
	switch {
	case len(c.news) > 0 && !c.isInForce:
		c.isInForce = true
		s.emit(CutOffChanged{Service: name, Waiting: c.news[0].Priority, Slots: c.news[0].Slots})
	case c.isInForce && s.now.Sub(c.newsAt) >= quietDuration:
		c.isInForce = false
		s.emit(CutOffChanged{Service: name})
	}
}

// recordFull notes that this instance has found an upstream of the service full.
func (c *cutOff) recordFull(now time.Time) { c.fullAt = now }

// moreUrgent returns the work elsewhere that goes before a request.
func (c *cutOff) moreUrgent(now time.Time, priority admission.Priority) float64 {
	if len(c.news) == 0 || now.Sub(c.receivedAt) >= newsDuration {
		return 0
	}
	slots := 0.0
	for _, w := range c.news {
		if w.Priority.Compare(priority) < 0 {
			slots += w.Slots
		}
	}
	return slots
}

// isHeldBack reports whether a request leaves room for more urgent work that waits elsewhere in the group: while the service
// is congested, for as long as the group needs to start that work.
func (s *State) isHeldBack(svc *service, priority admission.Priority) bool {
	c := &svc.cutOff
	slots := c.moreUrgent(s.now, priority)
	if slots == 0 || !s.Features().Order {
		return false
	}
	clearTime := clearFactor * s.partOfGroup(slots) / svc.queue.StartRate(s.now)
	if s.now.Sub(c.receivedAt) >= pickUpTime+time.Duration(min(clearTime, 1)*float64(time.Second)) {
		return false
	}
	return s.isCongested(svc)
}

// isCongested reports whether hardly any slots of a service are free. The estimate sums over all upstreams, so it is kept for
// the requests that are tried at the same moment.
func (s *State) isCongested(svc *service) bool {
	c := &svc.cutOff
	if c.checkedAt.Equal(s.now) {
		return c.isCongested
	}
	utilisation := svc.chooser.Utilisation(s.now)
	isFull := !c.fullAt.IsZero() && s.now.Sub(c.fullAt) < fullDuration
	c.checkedAt = s.now
	c.isCongested = utilisation >= congestedUtilisation || isFull && utilisation >= fullUtilisation
	return c.isCongested
}

// workElsewhere returns this instance's part of the work of other instances that goes before a request.
func (s *State) workElsewhere(svc *service, priority admission.Priority) float64 {
	if !s.isHeldBack(svc, priority) {
		return 0
	}
	return s.partOfGroup(svc.cutOff.moreUrgent(s.now, priority))
}

func (s *State) partOfGroup(slots float64) float64 { return slots / float64(max(s.groupSize(), 1)) }
