package entry

import (
	"strconv"
	"time"

	"bluebellhold/id"
	"bluebellhold/retry"
)

const (
	// deathWithin is the time after a broken attempt within which the loss of the upstream shows that the upstream died
	// rather than the connection; a crashed upstream refuses connections at once and leaves the list within seconds.
	deathWithin = 5 * time.Second
	// breaksKept bounds the broken attempts kept per upstream.
	breaksKept = 32
	// suspectReturn is when the caller of a request that crashes upstreams may come back.
	suspectReturn = 10 * time.Second
)

// brokenAttempt is a request whose attempt at an upstream broke.
type brokenAttempt struct {
	digest id.Digest
	at     time.Time
}

// suspects finds requests that crash the upstreams that run them.
//
// An attempt that breaks makes its request a suspect only if the upstream turns out to have died: connections break
// far more often than upstreams do.
type suspects struct {
	deaths *retry.Suspects
	breaks map[id.Upstream][]brokenAttempt
}

func newSuspects() suspects {
	return suspects{deaths: retry.NewSuspects(retry.SuspectsConfig{}), breaks: make(map[id.Upstream][]brokenAttempt)}
}

// process names one process of an upstream: a restarted one can be crashed again.
func process(u Upstream) id.Upstream {
	return u.ID + "/" + id.Upstream(strconv.FormatUint(uint64(u.Incarnation), 10))
}

// broke records an attempt that broke at an upstream.
func (s *suspects) broke(now time.Time, upstream id.Upstream, digest id.Digest) {
	list := s.breaks[upstream]
	if len(list) == breaksKept {
		list = list[1:]
	}
	s.breaks[upstream] = append(list, brokenAttempt{digest, now})
}

// died records that a process of an upstream can't be reached or has ended.
func (s *suspects) died(now time.Time, upstream id.Upstream) {
	var digests []id.Digest
	for _, b := range s.breaks[upstream] {
		if now.Sub(b.at) < deathWithin {
			digests = append(digests, b.digest)
		}
	}
	delete(s.breaks, upstream)
	if len(digests) > 0 {
		s.deaths.RecordCrash(now, upstream, digests)
	}
}

// isRefused reports whether a request has crashed two upstreams.
func (s *suspects) isRefused(now time.Time, digest id.Digest) bool {
	if s.deaths.Len() == 0 {
		return false
	}
	_, isRefused := s.deaths.Status(now, digest).(retry.Refused)
	return isRefused
}

// Suspects returns what the other instances should know of requests that crash upstreams, for this instance's heartbeat.
func (s *State) Suspects(now time.Time) []retry.Report {
	return s.suspects.deaths.Reports(now)
}

// learnSuspects takes in what the other instances know.
func (s *State) learnSuspects(list []Member) {
	for _, m := range list {
		if m.Instance == s.config.Instance {
			continue
		}
		for _, report := range m.Suspects {
			s.suspects.deaths.MergeReport(s.now, report)
		}
	}
}
