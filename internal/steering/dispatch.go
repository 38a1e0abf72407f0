package steering

import (
	"slices"
	"time"

	"bluebellhold/balance"
	"bluebellhold/id"
	"bluebellhold/internal/uplink"
	"bluebellhold/queue"
)

const (
	// claimedAttemptTimeout limits the attempts that may run past their caller's deadline.
	claimedAttemptTimeout = time.Minute
	// estimatedHeaderSize is charged for a request's header on a link; the response is metered separately.
	estimatedHeaderSize id.Bytes = 1 << 10
)

func (s *State) dispatchAll() {
	for _, name := range s.serviceNames {
		s.dispatchConstrained(s.services[name])
		s.dispatchQueued(s.services[name])
	}
}

// dispatchQueued dispatches the queued requests of a service until none is left or no slot is free.
func (s *State) dispatchQueued(svc *service) {
	for svc.queue.Len() > 0 {
		free := s.freeSlots(svc)
		if free == 0 {
			s.requestSlotLoans(svc)
			return
		}
		item, ok := svc.queue.Next(s.now, free)
		if !ok {
			return
		}
		if !s.dispatchItem(svc, item) {
			svc.queue.Requeue(s.now, item)
			return
		}
	}
}

// dispatchItem dispatches or refuses a dequeued item or makes it a constrained request. It returns false if the item
// cannot be started now and must be requeued.
func (s *State) dispatchItem(svc *service, item queue.Item) bool {
	r := s.requests[item.Request]
	if r == nil || r.stage != stageQueued {
		svc.queue.Done(s.now, item.Class, item.Organisation, 0)
		return true
	}
	if refusal := s.revalidate(r); refusal != nil {
		svc.queue.Done(s.now, item.Class, item.Organisation, 0)
		s.refuse(r, *refusal)
		return true
	}
	if s.tryDispatch(r) {
		return true
	}
	if !r.suspect && len(r.excluded) == 0 {
		return false
	}
	// A request that is not eligible for every upstream must not block those behind it.
	svc.queue.Done(s.now, item.Class, item.Organisation, 0)
	r.stage = stageConstrained
	r.isOutsideQueue = true
	svc.constrained = append(svc.constrained, r)
	return true
}

// dispatchConstrained dispatches the constrained requests, which the queue does not count as in flight.
func (s *State) dispatchConstrained(svc *service) {
	svc.constrained = slices.DeleteFunc(svc.constrained, func(r *request) bool {
		if r.stage != stageConstrained {
			return true
		}
		if refusal := s.revalidate(r); refusal != nil {
			s.refuse(r, *refusal)
			return true
		}
		if !r.suspect && s.now.Sub(r.queuedAt) >= spilloverDelay {
			// No other upstream has a free slot, so those that shed or failed the request before may be tried again.
			r.excluded = nil
		}
		return s.tryDispatch(r)
	})
}

// freeSlots returns the number of slots that this instance may use now for the service.
func (s *State) freeSlots(svc *service) id.Slots {
	free := id.Slots(0)
	for _, target := range svc.targets {
		if target.region == s.self.Region || s.canOldestSpillOver(svc) {
			free += id.Slots(s.ledger.Available(s.now, target.slotLimit))
		}
	}
	return free
}

// requestSlotLoans makes the ledger request slots from the regions' home instances. Taking a slot that is not available
// requests a loan; a slot that could be taken is returned.
func (s *State) requestSlotLoans(svc *service) {
	for _, target := range svc.targets {
		if target.region != s.self.Region && !s.canOldestSpillOver(svc) {
			continue
		}
		if s.take(target.slotLimit, 1) {
			s.ledger.Return(s.now, target.slotLimit, 1)
		}
	}
}

// canOldestSpillOver reports whether the request that has waited longest may go to another region than the own one.
func (s *State) canOldestSpillOver(svc *service) bool {
	oldest, ok := svc.queue.OldestPushTime()
	return ok && s.canSpillOver(svc, oldest)
}

// revalidate returns a refusal if the key, the route or the deadline of a request is no longer valid after its wait.
func (s *State) revalidate(r *request) *Refusal {
	if !s.now.Before(r.deadline) || (r.isClaimed() && !s.now.Before(r.claimDispatchBy)) {
		return &Refusal{Code: CodeDeadline, Outcome: NotRun, RetryAt: s.now.Add(time.Second)}
	}
	current := s.epochs.current
	if r.validatedEpoch != current.Epoch {
		route, ok := current.MatchRoute(r.service.id, r.line.method, r.line.path)
		if !ok || route.Idempotent != r.route.Idempotent {
			return &Refusal{Code: CodeNoRoute, Outcome: NotRun}
		}
		r.route.Public = route.Public
		r.validatedEpoch = current.Epoch
	}
	return s.authorise(r, true)
}

// tryDispatch dispatches a request if it can take a slot in a region and choose an upstream there.
func (s *State) tryDispatch(r *request) bool {
	if target, limit, ok := s.drawShift(r); ok {
		if s.tryDispatchTo(r, target) {
			return true
		}
		s.ledger.Return(s.now, limit, 1)
	}
	for i, target := range r.service.targets {
		isLocal := i == 0 && target.region == s.self.Region
		if !isLocal && !s.canSpillOver(r.service, r.queuedAt) {
			return false
		}
		if s.tryDispatchTo(r, target) {
			return true
		}
	}
	return false
}

// canSpillOver reports whether a request that was queued at the given time may go to another region than the own one.
func (s *State) canSpillOver(svc *service, queuedAt time.Time) bool {
	first := svc.targets[0]
	if first.region != s.self.Region || !s.hasUsableUpstream(svc, first.region) || !s.canReach(first.region) {
		return true
	}
	return s.now.Sub(queuedAt) >= spilloverDelay
}

func (s *State) hasUsableUpstream(svc *service, region id.Region) bool {
	return svc.chooser.Headroom(s.now, region).Slots > 0
}

// drawShift decides at random whether a traffic shift moves the request, and returns the target and the limit that a
// token was taken from.
func (s *State) drawShift(r *request) (regionTarget, id.Limit, bool) {
	for _, shift := range r.service.shifts {
		if s.random.IntN(100) >= shift.percent {
			continue
		}
		for _, target := range r.service.targets {
			if target.region == shift.to && s.take(shift.limit, 1) {
				return target, shift.limit, true
			}
		}
	}
	return regionTarget{}, "", false
}

// tryDispatchTo takes a slot of the region and link tokens, chooses an upstream and starts an attempt. It returns the
// slot if one of them is not available.
func (s *State) tryDispatchTo(r *request, target regionTarget) bool {
	if !s.canReach(target.region) || !s.take(target.slotLimit, 1) {
		return false
	}
	if !s.takeLinkTokens(r, target) {
		s.ledger.Return(s.now, target.slotLimit, 1)
		return false
	}
	upstream, ok := r.service.chooser.Choose(s.now, balance.Criteria{
		Regions: []id.Region{target.region}, Exclude: r.excluded, Exclusive: r.suspect,
	})
	if !ok {
		s.ledger.Return(s.now, target.slotLimit, 1)
		return false
	}
	s.startAttempt(r, target, upstream)
	return true
}

func (s *State) takeLinkTokens(r *request, target regionTarget) bool {
	return target.requestLink == "" || s.take(target.requestLink, id.Tokens(r.size+estimatedHeaderSize))
}

func (s *State) startAttempt(r *request, target regionTarget, upstream id.Upstream) {
	svc := r.service
	r.stage = stageInFlight
	r.upstream = upstream
	r.target = target
	r.via = uplink.Helper{}
	if s.uplink.IsSevered() {
		r.via, _ = s.helpers.Choose(s.now, []id.Region{target.region})
	}
	r.startedAt = s.now
	r.attempts++
	if r.attempts == 1 {
		svc.retryBudget.RecordFirstAttempt(s.now)
	}
	svc.chooser.RecordStart(s.now, upstream)
	svc.inFlight[target.region]++
	s.emit(Dispatch{
		Request:       r.id,
		Organisation:  r.organisation.id,
		Upstream:      upstream,
		Address:       svc.upstreams[upstream].Address,
		Via:           r.via,
		DispatchBy:    s.dispatchBy(r),
		Deadline:      attemptDeadline(r, s.now),
		StoreResponse: r.isClaimed(),
		Metered:       target.responseLink != "",
	})
}

// dispatchBy returns the time by which a request must be sent: the earliest expiry of the lease, the claim, the
// freshness and the caller's deadline.
func (s *State) dispatchBy(r *request) time.Time {
	earliest := r.deadline
	expiries := []time.Time{s.ledger.LeaseExpiry()}
	if r.isClaimed() {
		expiries = append(expiries, r.claimDispatchBy)
	}
	if !r.route.Public {
		expiries = append(expiries, s.freshness.validUntil)
	}
	for _, expiry := range expiries {
		if expiry.Before(earliest) {
			earliest = expiry
		}
	}
	return earliest
}

// attemptDeadline returns when an attempt is cancelled. A claimed request continues after its caller's deadline,
// because it can never run again and a duplicate needs its response.
func attemptDeadline(r *request, now time.Time) time.Time {
	if r.isClaimed() {
		return now.Add(claimedAttemptTimeout)
	}
	return r.deadline
}
