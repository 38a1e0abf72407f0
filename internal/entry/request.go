package entry

import (
	"math"
	"slices"
	"time"

	"bluebellhold/admission"
	"bluebellhold/id"
	"bluebellhold/placement"
)

// request is one caller's request from its arrival to its answer.
type request struct {
	id           id.Request
	route        *Route
	organisation id.Organisation
	service      *service
	want         placement.Request
	rank         admission.Priority
	// objectiveAt is when an answer stops being fully useful, and deadline when it is of no use at all.
	objectiveAt time.Time
	deadline    time.Time
	stage       stage
	choice      placement.Choice
	// waitsFor is the upstream that a waiting request was last expected to run on.
	waitsFor id.Upstream
	// sends counts dispatches; mayHaveRun counts those after which the upstream may have run the request.
	sends      int
	mayHaveRun int
	isGone     bool
	digest     id.Digest
	// process is the process of the upstream that has the request.
	process id.Upstream
}

type stage int

const (
	stageWaiting stage = iota
	stageRunning
)

const (
	// longestDeadline bounds a request whose caller and route name no limit.
	longestDeadline = 60 * time.Second
	// lateWait is the part of the objective that a request may wait although its answer will be late.
	lateWait = 1.0
	// mostFinish bounds the estimated time of a run, as a part of the time to the deadline, so that some time to wait is
	// always left.
	mostFinish = 0.7
	// startMargin is the time before its deadline at which a request that has not started is given up, so that the
	// caller still gets the answer.
	startMargin = 50 * time.Millisecond
)

// arrive checks a request against the configuration and its organisation's limit, and then starts or queues it.
func (s *State) arrive(e RequestArrived) {
	s.counts.Arrived++
	r := &request{id: e.Request, digest: e.Digest}
	if !s.isConfigured || !s.isListed || !s.members.isJoined {
		s.refuse(r, Refusal{Code: CodeStarting, RetryAt: s.now.Add(startingReturn)})
		return
	}
	r.route = s.hosts.match(e.Host, e.Path)
	if r.route == nil {
		s.refuse(r, Refusal{Code: CodeNoRoute})
		return
	}
	if !s.authorise(r, e) {
		s.refuse(r, Refusal{Code: CodeKey})
		return
	}
	s.setDeadlines(r, e.CallerTimeout)
	organisation := s.current.Organisations[r.organisation]
	r.rank = rankOf(organisation, r.route)
	r.want = placement.Request{Route: r.route.ID, ExpectedProcessingTime: expectedWork(r.route), Regions: r.route.Regions, IsBulk: r.route.IsBulk}
	if r.route.Sticky {
		r.want.Object = e.Object
	}
	if !r.restrict(organisation.Regions) {
		s.refuse(r, Refusal{Code: CodeNoUpstream})
		return
	}
	if s.suspects.isRefused(s.now, r.digest) {
		s.refuse(r, Refusal{Code: CodeSuspect, RetryAt: s.now.Add(suspectReturn)})
		return
	}
	if after, ok := s.spend(r.organisation); !ok {
		s.refuse(r, Refusal{Code: CodeRate, RetryAt: after})
		return
	}
	s.requests[r.id] = r
	r.service = s.services[s.splits[r.route.ID].next()]
	if r.service.isRare(s.now, r.route.ID) {
		r.rank = admission.Priority{Organisation: math.MinInt}
	}
	r.service.budget.RecordFirstAttempt(s.now)
	r.service.addWork(s.now, s.config.Region, r.want)
	s.admit(r)
}

// startingReturn is when a caller should come back to an instance that has not read its configuration; a read takes a
// fraction of a second.
const startingReturn = 300 * time.Millisecond

func (s *State) authorise(r *request, e RequestArrived) bool {
	if e.HasKey {
		if organisation, ok := s.current.Keys[e.KeyDigest]; ok {
			r.organisation = organisation
			return true
		}
	}
	return r.route.Public || len(s.current.Organisations) == 0
}

// setDeadlines computes the request's times.
func (s *State) setDeadlines(r *request, patience time.Duration) {
	if patience <= 0 || patience > longestDeadline {
		patience = longestDeadline
	}
	r.deadline = s.now.Add(patience)
	if r.route.Timeout > 0 {
		r.deadline = s.now.Add(min(patience, r.route.Timeout))
	}
	r.objectiveAt = s.now.Add(r.route.LatencyObjective)
}

// restrict narrows the allowed regions to those of the organisation and reports whether any is left.
func (r *request) restrict(regions []id.Region) bool {
	switch {
	case len(regions) == 0:
		return true
	case len(r.want.Regions) == 0:
		r.want.Regions = regions
		return true
	}
	var both []id.Region
	for _, region := range r.want.Regions {
		if slices.Contains(regions, region) {
			both = append(both, region)
		}
	}
	r.want.Regions = both
	return len(both) > 0
}

// spend takes a token of the organisation's limit; if there is none it returns when the next one is there.
func (s *State) spend(name id.Organisation) (time.Time, bool) {
	o := s.organisations[name]
	if o == nil || s.current.Organisations[name].Rate <= 0 {
		return time.Time{}, true
	}
	o.demand.add(s.now, 1)
	if !o.share.Take(s.now) {
		return o.share.NextTokenAt(s.now), false
	}
	if !s.hasAsked && o.share.Spent(s.now) > o.told+o.untold(o.told)+s.unasked(name, o) {
		s.mustTell, s.hasAsked = true, true
	}
	return time.Time{}, true
}

// admit starts a request, lets it wait if it can be expected to start in time, or rejects it at once.
func (s *State) admit(r *request) {
	svc := r.service
	choice, ok := svc.chooser.Choose(s.now, r.want)
	if !ok {
		s.refuse(r, Refusal{Code: CodeNoUpstream, MayHaveRun: r.mayHaveRun > 0, RetryAt: svc.line.RetryAt(s.now, s.random.Float64())})
		return
	}
	if choice.HasCapacity && svc.line.Len() == 0 {
		s.start(r, choice)
		return
	}
	w := r.waiter(s.now, choice)
	if wait := svc.line.EstimateWait(s.now, r.rank); s.now.Add(wait).After(w.Expires) {
		s.refuse(r, s.busy(svc))
		return
	}
	svc.line.Add(w)
	r.waitAt(choice.Upstream)
	s.pump(svc)
}

// waiter returns the request's place in the line, given where it would run now.
func (r *request) waiter(now time.Time, c placement.Choice) admission.QueuedRequest {
	// The estimate may be far too high for a route that has not been measured.
	finish := min(c.EstimatedLatency, time.Duration(mostFinish*float64(r.deadline.Sub(now))))
	w := admission.QueuedRequest{Request: r.id, Priority: r.rank, LatestStart: r.objectiveAt.Add(-finish)}
	late := now.Add(time.Duration(lateWait * float64(r.route.LatencyObjective)))
	w.Expires = earlier(later(w.LatestStart, late), r.deadline.Add(-finish-startMargin))
	return w
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// busy is the refusal of a request that could not be started.
func (s *State) busy(svc *service) Refusal {
	return Refusal{Code: CodeBusy, RetryAt: svc.line.RetryAt(s.now, s.random.Float64())}
}

func (s *State) refuse(r *request, refusal Refusal) {
	if r.mayHaveRun > 0 {
		refusal.MayHaveRun = true
	}
	refusal.Diagnostics = s.basis(r)
	r.waitAt("")
	delete(s.requests, r.id)
	s.counts.Refused++
	s.emit(Refuse{Request: r.id, Refusal: refusal})
}

// callerGone drops a request that nobody waits for. Work that may not be repeated runs to its end, since its result
// counts although nobody hears of it.
func (s *State) callerGone(e CallerDisconnected) {
	r := s.requests[e.Request]
	if r == nil {
		return
	}
	r.isGone = true
	if r.stage == stageWaiting {
		r.service.line.Remove(r.id)
		s.refuse(r, Refusal{Code: CodeTimeout})
		return
	}
	if r.route.Idempotent {
		s.emit(Cancel{Request: r.id})
	}
}

// refuseUnknown drops waiting requests whose service the configuration no longer has.
func (s *State) refuseUnknown() {
	for _, r := range s.requests {
		if _, ok := s.current.Services[r.service.id]; !ok && r.stage == stageWaiting {
			r.service.line.Remove(r.id)
			s.refuse(r, Refusal{Code: CodeNoUpstream, RetryAt: s.now.Add(startingReturn)})
		}
	}
}
