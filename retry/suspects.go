package retry

import (
	"bytes"
	"slices"
	"time"

	"bluebellhold/id"
)

// SuspectsConfig describes Suspects; zero values give the defaults.
type SuspectsConfig struct {
	// Window is how long a death counts and how long a digest is refused after its second death, by default 10 min.
	Window time.Duration
	// MaxDigests bounds the digests kept, by default 4096.
	MaxDigests int
	// MaxReports bounds the reports that Tell returns, by default 64.
	MaxReports int
}

// upstreamsKept bounds the deaths kept per digest; two are enough to refuse it, more are only avoided.
const maxCrashesPerDigest = 4

// echoMargin is more than a heartbeat takes. A peer's report of a known death is later by the delay of the message,
// so a report counts as a new death of the same upstream only beyond this margin, and a death is no longer told
// within this margin of its end. Otherwise peers would prolong a death by telling it to each other.
const duplicateMargin = 30 * time.Second

// Suspects keeps the digests of requests that were in flight on upstreams that died.
//
// Every request in flight at a death becomes a suspect, since any of them may have crashed the upstream. One that
// finishes elsewhere is innocent; one that is seen at two deaths of different upstreams is refused.
type Suspects struct {
	config  SuspectsConfig
	records map[id.Digest]*record
}

type record struct {
	crashes []crash
	// cleared is when the request last finished, and zero if it did not.
	clearedAt time.Time
}

type crash struct {
	upstream id.Upstream
	at       time.Time
}

// Status says how a request may be dispatched.
type Status interface{ status() }

// Clear puts no restriction on the request.
type Clear struct{}

// Suspect means that the request must run alone on an upstream other than those in Avoid, and is not retried.
type Suspect struct{ Avoid []id.Upstream }

// Refused means that the request is not dispatched until the given time.
type Refused struct{ Until time.Time }

func (Clear) status()   {}
func (Suspect) status() {}
func (Refused) status() {}

// Report is what instances tell each other about one digest.
type Report struct {
	Digest id.Digest
	// Upstreams are those that died; none means that the request finished.
	Upstreams []id.Upstream
	// Age is the time since the latest of the deaths, or since the request finished.
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

// RecordCrash records the digests that were in flight on an upstream when it died.
func (s *Suspects) RecordCrash(now time.Time, upstream id.Upstream, inFlight []id.Digest) {
	for _, d := range inFlight {
		r := s.findOrCreate(now, d)
		r.removeUpstream(upstream)
		r.addCrash(crash{upstream: upstream, at: now})
	}
}

// RecordCompletion clears a suspect whose request was answered in full by an upstream that lives.
//
// A refused digest stays refused: a request that crashes upstreams only sometimes also finishes sometimes.
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

// MergeReport takes in what a peer reports; a report that is known already, in any order or number, changes nothing.
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

// Reports returns what peers should know: refused digests first, then the latest.
func (s *Suspects) Reports(now time.Time) []Report {
	type entry struct {
		report  Report
		refused bool
	}
	var all []entry
	for d, r := range s.records {
		report, ok := r.report(now, now.Add(duplicateMargin-s.config.Window))
		if ok {
			report.Digest = d
			all = append(all, entry{report: report, refused: len(report.Upstreams) > 1})
		}
	}
	slices.SortFunc(all, func(x, y entry) int {
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
	for _, r := range all[:min(len(all), s.config.MaxReports)] {
		reports = append(reports, r.report)
	}
	return reports
}

// Len returns the number of digests kept.
func (s *Suspects) Len() int {
	return len(s.records)
}
