package entry

import (
	"time"

	"bluebellhold/id"
	"bluebellhold/placement"
)

// pumpAll starts what can start at all services.
func (s *State) pumpAll() {
	for _, name := range s.names {
		s.pump(s.services[name])
	}
}

// pumpLimit bounds the waiting requests that are tried in one go; later ones find no room either when so many did not.
const pumpLimit = 64

// pump starts waiting requests, the most urgent first, as far as there is room where they are settled.
func (s *State) pump(svc *service) {
	if svc.line.Len() == 0 {
		return
	}
	var started []*request
	for i, w := range svc.line.Sort(s.now) {
		if i >= pumpLimit {
			break
		}
		r := s.requests[w.Request]
		if r == nil {
			continue
		}
		r.waitAt("")
		choice, ok := svc.chooser.Choose(s.now, r.want)
		switch {
		case ok && choice.HasCapacity:
			s.start(r, choice)
			started = append(started, r)
		case ok:
			r.waitAt(choice.Upstream)
		}
	}
	for _, r := range started {
		svc.line.Remove(r.id)
	}
}

// waitAt records the upstream that a request waits for, or that it waits no longer.
func (r *request) waitAt(upstream id.Upstream) {
	if r.waitsFor != "" {
		r.service.chooser.Dequeue(r.waitsFor)
	}
	r.waitsFor = upstream
	if upstream != "" {
		r.service.chooser.Enqueue(upstream)
	}
}

// start dispatches a request to the chosen upstream.
func (s *State) start(r *request, choice placement.Choice) {
	u := s.upstreams[choice.Upstream]
	r.stage = stageRunning
	r.process = process(u)
	r.sends++
	s.counts.Started++
	r.service.line.RecordStart(s.now)
	r.choice = r.service.chooser.Start(s.now, choice, r.want)
	s.emit(Dispatch{
		Request: r.id, Organisation: r.organisation, Service: r.service.id, Upstream: u.ID, Incarnation: u.Incarnation,
		Address: u.Address, Deadline: r.deadline,
		EstimatedLatency: choice.EstimatedLatency, Diagnostics: s.basis(r),
	})
}

func (s *State) connected(e Connected) {
	r := s.requests[e.Request]
	if r == nil {
		return
	}
	if u, ok := s.upstreams[r.choice.Upstream]; ok {
		r.service.chooser.ObserveRTT(u.Region, e.Elapsed)
	}
}

// attemptEnded records the outcome and decides whether the request is answered, sent again or refused.
func (s *State) attemptEnded(e AttemptEnded) {
	r := s.requests[e.Request]
	if r == nil || r.stage != stageRunning {
		return
	}
	svc := r.service
	svc.chooser.End(s.now, r.choice, r.want, outcome(e.Outcome))
	switch ending := e.Outcome.(type) {
	case Answered:
		r.mayHaveRun++
		s.suspects.deaths.RecordCompletion(s.now, r.digest)
		s.answered(r)
	case Shed, Misdirected:
		s.counts.Rejected++
		s.again(r, Refusal{Code: CodeBusy})
	case NothingSent:
		if !ending.IsStaleConnection {
			s.suspects.died(s.now, r.process)
		}
		s.again(r, Refusal{Code: CodeNoUpstream})
	case Broken:
		r.mayHaveRun++
		s.counts.Broken++
		s.suspects.broke(s.now, r.process, r.digest)
		s.broken(r)
	case TimedOut:
		r.mayHaveRun++
		s.counts.TimedOut++
		s.refuse(r, Refusal{Code: CodeTimeout})
	case Cancelled:
		r.mayHaveRun++
		s.refuse(r, Refusal{Code: CodeTimeout})
	}
	s.pump(svc)
}

// outcome translates an ending into what it says about the upstream.
func outcome(e Outcome) placement.Outcome {
	switch e := e.(type) {
	case Answered:
		return placement.Served{Elapsed: e.Elapsed, Size: e.Size, Load: e.Load}
	case Shed:
		return placement.Shed{Load: e.Load}
	case Misdirected:
		return placement.Misdirected{}
	case NothingSent:
		if e.IsStaleConnection {
			return placement.Cancelled{}
		}
		return placement.ConnectFailed{}
	case Broken:
		return placement.Broken{}
	case TimedOut:
		return placement.TimedOut{Elapsed: e.Elapsed}
	default:
		return placement.Cancelled{}
	}
}

func (s *State) answered(r *request) {
	s.counts.Answered++
	delete(s.requests, r.id)
	s.emit(Deliver{Request: r.id})
}

func (s *State) broken(r *request) {
	if !r.route.Idempotent || r.mayHaveRun >= max(r.route.MaxAttempts, 1) {
		s.refuse(r, Refusal{Code: CodeBroken})
		return
	}
	s.again(r, Refusal{Code: CodeBroken})
}

// leastRetryTime is the time to the deadline below which another send is pointless.
const leastRetryTime = 50 * time.Millisecond

// again sends a request to another upstream if the budget, the deadline and the caller allow it.
func (s *State) again(r *request, refusal Refusal) {
	if s.suspects.isRefused(s.now, r.digest) {
		refusal.Code = CodeSuspect
		s.refuse(r, refusal)
		return
	}
	r.want.Avoid = append(r.want.Avoid, r.choice.Upstream)
	r.stage = stageWaiting
	switch {
	case r.isGone, r.deadline.Sub(s.now) < leastRetryTime, r.sends > maxSends, !r.service.budget.Take(s.now):
		refusal.RetryAt = r.service.line.RetryAt(s.now, s.random.Float64())
		s.refuse(r, refusal)
		return
	}
	s.counts.Second++
	s.admit(r)
}

// maxSends bounds the sends of one request that upstreams rejected without running it.
const maxSends = 4
