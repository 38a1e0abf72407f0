package retry

import (
	"bytes"
	"slices"
	"time"

	"bluebellhold/id"
)

// SuspectsConfig configures Suspects; zero values give the defaults.
type SuspectsConfig struct {
	// Window is how long a crash counts and how long a digest is refused after its second crash, by default 10 min.
	Window time.Duration
	// MaxDigests bounds the digests tracked, by default 4096.
	MaxDigests int
	// MaxReports bounds the result of Suspects.Reports, by default 64.
	MaxReports int
}

// maxCrashesPerDigest bounds the crashes recorded per digest. Two are enough to refuse it; more only add upstreams to
// avoid.
const maxCrashesPerDigest = 4

// duplicateMargin is longer than a heartbeat takes. A peer's report of a known crash appears later by the delay of the
// message, so a report counts as a new crash of the same upstream only beyond this margin, and a crash is no longer
// reported within this margin of the end of its window. Otherwise peers would extend a crash by reporting it to each
// other.
const duplicateMargin = 30 * time.Second

// Suspects tracks the digests of requests that were in flight at upstreams that crashed.
//
// Every request in flight at a crash becomes a suspect, since any of them may have caused it. A suspect that completes
// at another upstream is cleared; one that was in flight at crashes of two different upstreams is refused.
type Suspects struct {
	config  SuspectsConfig
	records map[id.Digest]*record
}

type record struct {
	crashes []crash
	// clearedAt is when the request last completed, and zero if it did not.
	clearedAt time.Time
}

type crash struct {
	upstream id.Upstream
	at       time.Time
}

// Status is how a request may be dispatched: Clear, Suspect or Refused.
type Status interface{ status() }

// Clear means that the request is dispatched without restriction.
type Clear struct{}

// Suspect means that the request must run alone on an upstream other than those in Avoid, and is not retried.
type Suspect struct{ Avoid []id.Upstream }

// Refused means that the request is not dispatched until the given time.
type Refused struct{ Until time.Time }

func (Clear) status()   {}
func (Suspect) status() {}
func (Refused) status() {}

// Report is the state of one digest as exchanged between instances.
type Report struct {
	Digest id.Digest
	// Upstreams are those that crashed; empty means that the request completed.
	Upstreams []id.Upstream
	// Age is the time since the latest of the crashes, or since the request completed.
	Age time.Duration
}

// NewSuspects returns an empty Suspects.
func NewSuspects(config SuspectsConfig) *Suspects {
	if config.Window <= 0 {
		config.Window = 10 * time.Minute
	}
	if config.MaxDigests <= 0 {
		config.MaxDigests = 4096
	}
	if config.MaxReports <= 0 {
		config.MaxReports = 64
	}
	return &Suspects{config: config, records: make(map[id.Digest]*record)}
}

// RecordCrash records the digests that were in flight at an upstream when it crashed.
func (s *Suspects) RecordCrash(now time.Time, upstream id.Upstream, inFlight []id.Digest) {
	for _, d := range inFlight {
		r := s.findOrCreate(now, d)
		r.removeUpstream(upstream)
		r.addCrash(crash{upstream: upstream, at: now})
	}
}

// WithdrawCrash undoes RecordCrash, since the upstream turned out not to have crashed.
func (s *Suspects) WithdrawCrash(upstream id.Upstream, inFlight []id.Digest) {
	for _, d := range inFlight {
		r := s.records[d]
		if r == nil {
			continue
		}
		r.removeUpstream(upstream)
		if len(r.crashes) == 0 && r.clearedAt.IsZero() {
			delete(s.records, d)
		}
	}
}

// RecordCompletion clears a suspect whose request got a complete response from an upstream that did not crash.
//
// A refused digest stays refused: a request that crashes upstreams only sometimes also completes sometimes.
func (s *Suspects) RecordCompletion(now time.Time, d id.Digest) {
	r := s.records[d]
	if r == nil {
		return
	}
	if _, refused := s.Status(now, d).(Refused); !refused {
		r.clear(now)
	}
}

// Status returns how a request with the digest may be dispatched.
func (s *Suspects) Status(now time.Time, d id.Digest) Status {
	r := s.records[d]
	if r == nil {
		return Clear{}
	}
	active := r.activeCrashes(now.Add(-s.config.Window))
	switch len(active) {
	case 0:
		return Clear{}
	case 1:
		return Suspect{Avoid: []id.Upstream{active[0].upstream}}
	}
	return Refused{Until: latestCrash(active).Add(s.config.Window)}
}

// MergeReport applies a peer's report. It is idempotent, and reports may arrive in any order.
func (s *Suspects) MergeReport(now time.Time, report Report) {
	at := now.Add(-max(report.Age, 0))
	if !at.After(now.Add(-s.config.Window)) {
		return
	}
	if len(report.Upstreams) == 0 {
		r := s.records[report.Digest]
		if r == nil {
			return
		}
		if _, refused := s.Status(now, report.Digest).(Refused); !refused {
			r.clear(at)
		}
		return
	}
	r := s.findOrCreate(now, report.Digest)
	for _, u := range report.Upstreams[:min(len(report.Upstreams), maxCrashesPerDigest)] {
		r.merge(crash{upstream: u, at: at})
	}
}

// Reports returns the reports to send to peers: refused digests first, then by ascending age.
func (s *Suspects) Reports(now time.Time) []Report {
	type rankedReport struct {
		report  Report
		refused bool
	}
	var all []rankedReport
	for d, r := range s.records {
		report, ok := r.report(now, now.Add(duplicateMargin-s.config.Window))
		if ok {
			report.Digest = d
			all = append(all, rankedReport{report: report, refused: len(report.Upstreams) > 1})
		}
	}
	slices.SortFunc(all, func(x, y rankedReport) int {
		switch {
		case x.refused != y.refused && x.refused:
			return -1
		case x.refused != y.refused:
			return 1
		case x.report.Age != y.report.Age:
			return int(min(max(x.report.Age-y.report.Age, -1), 1))
		}
		return bytes.Compare(x.report.Digest[:], y.report.Digest[:])
	})
	reports := make([]Report, 0, min(len(all), s.config.MaxReports))
	for _, e := range all[:min(len(all), s.config.MaxReports)] {
		reports = append(reports, e.report)
	}
	return reports
}

// Len returns the number of digests tracked.
func (s *Suspects) Len() int {
	return len(s.records)
}
