package entry

import (
	"maps"
	"slices"
	"time"
)

// stopping is the progress of a stop.
type stopping struct {
	isRequested bool
	// answerBy and endAt are those of StopRequested; zero means that the stop has no end.
	answerBy, endAt time.Time
	// hasEnded is set once the attempts that were left have been broken off.
	hasEnded bool
}

// stopLatencyFactor is how many times the estimated latency of a request that may be repeated must fit into what is left of a
// stop. An attempt that the stop breaks off may have run, while a refusal costs its caller one more connection.
const stopLatencyFactor = 3

// handleStopRequested starts a stop. A request that arrives from now on is sent on only if its response will be there in
// time.
func (s *State) handleStopRequested(e StopRequested) {
	if s.stopping.isRequested {
		return
	}
	s.stopping = stopping{isRequested: true, answerBy: e.AnswerBy, endAt: e.EndAt}
	s.endCoordination()
}

// endCoordination ends the coordination of the group: the parts that the members lent are given out no more, and the beats that
// say so let the members lend them to another coordinator at once. This instance becomes a member of that one.
func (s *State) endCoordination() {
	for _, name := range slices.Sorted(maps.Keys(s.group.lenders)) {
		l := s.group.lenders[name]
		l.lendsUntil = time.Time{}
		s.emit(Send{To: name, Message: CoordinatorBeat{Stamp: s.stamp(), Echo: l.stamp, Leaving: true, StartTime: s.config.StartTime}})
	}
	s.updateFraction()
	s.group.nextReportAt = s.now
	s.sendReports()
}

// outlivesStop reports whether the response to a request may come too late for a stop, if it is sent to an upstream now. The
// estimate decides only for a request that its caller may repeat.
func (s *State) outlivesStop(r *request, latency time.Duration) bool {
	if s.stopping.answerBy.IsZero() || !r.deadline.After(s.stopping.answerBy) {
		return false
	}
	return !r.route.Idempotent || s.now.Add(stopLatencyFactor*latency).After(s.stopping.answerBy)
}

// refuseForStop refuses a request that this instance has no time for; another one may serve it at once.
func (s *State) refuseForStop(r *request) {
	s.refuse(r, Refusal{Code: CodeStopping, RetryAt: s.now})
}

// attemptDeadlines returns when the upstream should give up on a request, and when this instance does. In a stop, the
// upstream's own answer comes before the attempt is broken off.
func (s *State) attemptDeadlines(r *request) (upstream, own time.Time) {
	if s.stopping.answerBy.IsZero() {
		return r.deadline, r.deadline
	}
	return earlier(r.deadline, s.stopping.answerBy), earlier(r.deadline, s.stopping.endAt)
}

// endStop breaks off the attempts that are left at the end of a stop, and refuses all other requests.
func (s *State) endStop() {
	st := &s.stopping
	if st.endAt.IsZero() || st.hasEnded || s.now.Before(st.endAt) {
		return
	}
	st.hasEnded = true
	for _, name := range slices.Sorted(maps.Keys(s.requests)) {
		r := s.requests[name]
		switch r.stage {
		case stageInFlight:
			s.emit(EndAttempt{Request: r.id})
			continue
		case stageAwaitingToken:
			s.removeWaiting(r)
		case stageQueued:
			r.service.queue.Remove(r.id)
		}
		s.refuseForStop(r)
	}
}
