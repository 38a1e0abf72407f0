package entry

import (
	"time"

	"bluebellhold/admission"
	"bluebellhold/placement"
)

// usefulWaitFraction is the fraction of its latency objective for which a request may wait although its response will be
// late. Under lasting overload, each late start takes the place of one in time.
const usefulWaitFraction = 0.5

// admitInOrder dispatches a request if its upstream has capacity that nobody more urgent waits for, queues it if it is
// expected to start in time, or refuses it.
func (s *State) admitInOrder(r *request, choice placement.Choice) {
	svc := r.service
	if !choice.HasCapacity {
		svc.cutOff.recordFull(s.now)
	}
	isHeld := s.isHeldBack(svc, r.priority)
	if isHeld {
		svc.cutOff.heldBack++
	}
	if choice.HasCapacity && svc.queue.Len() == 0 && !isHeld {
		s.dispatch(r, choice)
		return
	}
	queued := s.orderedRequest(r, choice)
	if choice.NotBefore.After(queued.Expires) {
		s.refuse(r, Refusal{Code: CodeOverloaded, RetryAt: choice.NotBefore})
		return
	}
	svc.queue.Add(queued)
	r.setExpectedUpstream(choice.Upstream)
	if choice.HasCapacity && !isHeld {
		if s.dispatchQueued(svc); r.stage != stageQueued {
			return
		}
	}
	startsAt := svc.queue.EstimateStart(s.now, queued, s.workElsewhere(svc, r.priority))
	if r.estimatedWait = startsAt.Sub(s.now); startsAt.After(queued.Expires) {
		svc.queue.Remove(r.id)
		s.refuse(r, s.orderedRefusal(svc, queued))
	}
}

// orderedRequest returns the queue entry of a request, which expires when it can no longer start in time.
func (s *State) orderedRequest(r *request, choice placement.Choice) admission.QueuedRequest {
	// The estimate for a full upstream includes the wait there for the requests of this queue, which have not started.
	if measured := r.service.latencies[r.route.ID]; measured > 0 {
		choice.EstimatedLatency = min(choice.EstimatedLatency, measured)
	}
	queued := r.queuedRequest(s.now, choice)
	queued.Organisation, queued.Digest, queued.HasPlace = r.organisation, r.digest, r.hasPlace
	queued.LatestReturn = r.callerDeadline.Add(-r.route.LatencyObjective - refusalMargin)
	queued.GivesUp, queued.QueuedAt = r.callerDeadline, s.now
	queued.Work = r.service.chooser.WarmProcessingTime(r.placementRequest)
	usefulUntil := s.now.Add(time.Duration(usefulWaitFraction * float64(r.route.LatencyObjective)))
	queued.Expires = earlier(queued.Expires, later(queued.LatestStart, usefulUntil))
	return queued
}

// latencyWeight is the weight of one attempt in the mean latency of its route.
const latencyWeight = 0.1

// recordAttempt records the end of an attempt for the estimates of waits.
func (v *service) recordAttempt(now time.Time, r *request, o AttemptOutcome) {
	_, hasRun := o.(Answered)
	v.queue.RecordEnd(now, r.sentAt, hasRun)
	if _, isShed := o.(Shed); isShed {
		v.cutOff.recordFull(now)
	}
	if !hasRun {
		return
	}
	elapsed, mean := now.Sub(r.sentAt), v.latencies[r.route.ID]
	if mean == 0 {
		mean = elapsed
	}
	v.latencies[r.route.ID] = mean + time.Duration(latencyWeight*float64(elapsed-mean))
}

// orderedRefusal returns the refusal of a request that cannot start in time, with the time of the place that it is given.
func (s *State) orderedRefusal(svc *service, queued admission.QueuedRequest) Refusal {
	elsewhere := s.workElsewhere(svc, queued.Priority)
	return Refusal{
		Code: CodeOverloaded, RetryAt: svc.queue.PromiseRetry(s.now, queued, elsewhere, s.random.Float64()),
	}
}
