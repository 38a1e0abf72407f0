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
	crashWindow = 5 * time.Second
	// breaksKept bounds the broken attempts kept per upstream.
	maxBrokenAttempts = 32
	// suspectReturn is when the caller of a request that crashes upstreams may come back.
	suspectRetryDelay = 10 * time.Second
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
type crashDetector struct {
	suspects       *retry.Suspects
	brokenAttempts map[id.Upstream][]brokenAttempt
}

func newCrashDetector() crashDetector {
	return crashDetector{
		suspects: retry.NewSuspects(retry.SuspectsConfig{}), brokenAttempts: make(map[id.Upstream][]brokenAttempt),
	}
}

// process names one process of an upstream: a restarted one can be crashed again.
func processID(u Upstream) id.Upstream {
	return u.ID + "/" + id.Upstream(strconv.FormatUint(uint64(u.Incarnation), 10))
}

// broke records an attempt that broke at an upstream.
func (d *crashDetector) recordBroken(now time.Time, process id.Upstream, digest id.Digest) {
	attempts := d.brokenAttempts[process]
	if len(attempts) == maxBrokenAttempts {
		attempts = attempts[1:]
	}
	d.brokenAttempts[process] = append(attempts, brokenAttempt{digest, now})
}

// died records that a process of an upstream can't be reached or has ended.
func (d *crashDetector) recordCrash(now time.Time, process id.Upstream) {
	var digests []id.Digest
	for _, b := range d.brokenAttempts[process] {
		if now.Sub(b.at) < crashWindow {
			digests = append(digests, b.digest)
		}
	}
	delete(d.brokenAttempts, process)
	if len(digests) > 0 {
		d.suspects.RecordCrash(now, process, digests)
	}
}

// isRefused reports whether a request has crashed two upstreams.
func (d *crashDetector) isRefused(now time.Time, digest id.Digest) bool {
	if d.suspects.Len() == 0 {
		return false
	}
	_, isRefused := d.suspects.Status(now, digest).(retry.Refused)
	return isRefused
}

// Suspects returns what the other instances should know of requests that crash upstreams, for this instance's heartbeat.
func (s *State) Suspects(now time.Time) []retry.Report {
	return s.crashDetector.suspects.Reports(now)
}

// learnSuspects takes in what the other instances know.
func (s *State) mergeSuspects(heartbeats []Member) {
	for _, h := range heartbeats {
		if h.Instance == s.config.Instance {
			continue
		}
		for _, report := range h.Suspects {
			s.crashDetector.suspects.MergeReport(s.now, report)
		}
	}
}
