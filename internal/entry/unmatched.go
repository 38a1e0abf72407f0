package entry

// An answer belongs to the request in flight if it names the attempt, or if it names none and the connection has carried no
// other request. Any other answer is unmatched, and nothing that it says is believed.
//
// An upstream whose refusals don't name the attempt gets each request on a new connection, where they are believed.

// recordAnonymous records whether the process of an upstream sends answers that don't name the attempt.
func (s *State) recordAnonymous(r *request, isAnonymous bool) {
	u, ok := s.upstreams[r.choice.Upstream]
	if !ok || processID(u) != r.processID {
		return
	}
	if !isAnonymous {
		delete(s.anonymous, u.ID)
		return
	}
	s.anonymous[u.ID] = u.Incarnation
}

// isAnonymous reports whether the latest refusal or unmatched answer of the upstream's process named no attempt.
func (s *State) isAnonymous(u Upstream) bool {
	incarnation, ok := s.anonymous[u.ID]
	return ok && incarnation == u.Incarnation
}

// forgetAnonymous forgets the upstreams' processes that have ended.
func (s *State) forgetAnonymous() {
	for name := range s.anonymous {
		if u, ok := s.upstreams[name]; !ok || !s.isAnonymous(u) {
			delete(s.anonymous, name)
		}
	}
}

// handleAnonymousResponse records that an unmatched answer without an attempt's id has come while a request was in flight.
func (s *State) handleAnonymousResponse(e AnonymousResponse) {
	if r := s.requests[e.Request]; r != nil && r.stage == stageInFlight {
		s.recordAnonymous(r, true)
	}
}

// handleUnmatched retries or refuses a request that was in flight when an unmatched answer came. The upstream may run it.
func (s *State) handleUnmatched(r *request) {
	r.possibleRuns++
	s.counts.Unmatched++
	s.recordAnswered(r)
	s.handleBroken(r)
}
