package steering

import (
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/wire"
	"bluebellhold/retry"
)

// checkSuspect returns a refusal for a request that crashed upstreams. A suspect, which may have crashed one, must run
// alone on another upstream.
func (s *State) checkSuspect(r *request) *Refusal {
	if s.suspects.Len() == 0 {
		return nil
	}
	switch status := s.suspects.Status(s.now, r.digest()).(type) {
	case retry.Refused:
		return &Refusal{Code: CodeSuspect, Outcome: NotRun, RetryAt: status.Until}
	case retry.Suspect:
		r.suspect = true
		r.excluded = append(r.excluded, status.Avoid...)
	}
	return nil
}

func (s *State) isSuspect(r *request) bool {
	if s.suspects.Len() == 0 {
		return false
	}
	_, isClear := s.suspects.Status(s.now, r.digest()).(retry.Clear)
	return !isClear
}

// updateSuspects records a crash for all requests in flight on the upstream, or the completion of a request.
func (s *State) updateSuspects(r *request, e AttemptOutcome) {
	switch e.(type) {
	case Broken:
		if s.uplink.IsSevered() && r.via.Instance == "" {
			// This instance's links have failed, and not the upstream.
			return
		}
		inFlight := s.inFlightDigests(r.upstream)
		s.suspects.RecordCrash(s.now, r.upstream, inFlight)
		if r.via.Instance == "" {
			s.pendingCrashes = append(s.pendingCrashes, pendingCrash{r.upstream, inFlight, s.now})
		}
		s.log("retry", "upstream closed its connection during a request",
			"upstream", r.upstream, "requests", len(inFlight))
	case Answered:
		if s.suspects.Len() > 0 {
			s.suspects.RecordCompletion(s.now, r.digest())
		}
	}
}

// inFlightDigests returns the digests of the requests in flight on an upstream.
func (s *State) inFlightDigests(upstream id.Upstream) []id.Digest {
	var digests []id.Digest
	for _, r := range s.requests {
		if r.stage == stageInFlight && r.upstream == upstream {
			digests = append(digests, r.digest())
		}
	}
	return digests
}

// suspectReports returns the reports for peers on requests that may crash upstreams.
func (s *State) suspectReports() []*wire.Suspect {
	var reports []*wire.Suspect
	for _, report := range s.suspects.Reports(s.now) {
		m := &wire.Suspect{Digest: report.Digest[:], Age: int64(report.Age)}
		for _, u := range report.Upstreams {
			if !s.isPendingCrash(u, report.Digest) {
				m.Upstreams = append(m.Upstreams, string(u))
			}
		}
		// A report without upstreams means that the request has completed.
		if len(m.Upstreams) > 0 || len(report.Upstreams) == 0 {
			reports = append(reports, m)
		}
	}
	return reports
}

func (s *State) mergeSuspectReports(reports []*wire.Suspect) {
	for _, m := range reports {
		if len(m.GetDigest()) != len(id.Digest{}) {
			continue
		}
		report := retry.Report{Digest: id.Digest(m.GetDigest()), Age: time.Duration(m.GetAge())}
		for _, u := range m.GetUpstreams() {
			report.Upstreams = append(report.Upstreams, id.Upstream(u))
		}
		s.suspects.MergeReport(s.now, report)
	}
}
