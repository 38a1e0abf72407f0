package entry

import (
	"strconv"
	"time"

	"bluebellhold/id"
	"bluebellhold/retry"
)

const (
	// crashWindow is the time after a broken attempt within which the loss of the upstream indicates that the upstream
	// crashed and not just the connection broke. A crashed upstream refuses connections at once and is removed from the
	// list within seconds.
	crashWindow = 5 * time.Second
	// maxBrokenAttempts bounds the broken attempts recorded per upstream process.
	maxBrokenAttempts = 32
	// suspectRetryDelay is the retry delay for requests that crash upstreams.
	suspectRetryDelay = 10 * time.Second
)

// brokenAttempt is a request whose attempt at an upstream broke.
type brokenAttempt struct {
	digest id.Digest
	at     time.Time
}

// crashDetector detects poison requests, which crash the upstreams that run them.
//
// A broken attempt makes its request a suspect only if the upstream turns out to have crashed, since connections break
// far more often than upstreams crash.
type crashDetector struct {
	suspects       *retry.Suspects
	brokenAttempts map[id.Upstream][]brokenAttempt
}

func newCrashDetector() crashDetector {
	return crashDetector{
		suspects: retry.NewSuspects(retry.SuspectsConfig{}), brokenAttempts: make(map[id.Upstream][]brokenAttempt),
	}
}

// processID identifies one process of an upstream, so that a crash of the restarted upstream counts as another one.
func processID(u Upstream) id.Upstream {
	return u.ID + "/" + id.Upstream(strconv.FormatUint(uint64(u.Incarnation), 10))
}

// recordBroken records a broken attempt at a process of an upstream.
func (d *crashDetector) recordBroken(now time.Time, process id.Upstream, digest id.Digest) {
	attempts := d.brokenAttempts[process]
	if len(attempts) == maxBrokenAttempts {
		attempts = attempts[1:]
	}
	d.brokenAttempts[process] = append(attempts, brokenAttempt{digest, now})
}

// forgetBroken forgets the broken attempts, which were not the upstreams' fault.
func (d *crashDetector) forgetBroken() { clear(d.brokenAttempts) }

// recordCrash records that a process of an upstream refuses connections or has ended.
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

// Suspects returns the requests that crash upstreams, for this instance's heartbeat. A member reports them to
// its coordinator instead: all of them know the same, and the heartbeats of a large fleet would exceed what an instance
// can read in a second.
func (s *State) Suspects(now time.Time) []retry.Report {
	if !s.IsCoordinator() {
		return nil
	}
	return s.crashDetector.suspects.Reports(now)
}

// suspectReports remembers what another instance has been told about the suspects.
type suspectReports map[id.Digest]int

// completed is the value for a suspect that has completed since.
const completed = -1

// changes returns the suspects that the other instance does not know as they are now, and remembers that it does.
func (r suspectReports) changes(current []retry.Report) []retry.Report {
	var changed []retry.Report
	for _, report := range current {
		state := len(report.Upstreams)
		if state == 0 {
			state = completed
		}
		if r[report.Digest] != state {
			r[report.Digest] = state
			changed = append(changed, report)
		}
	}
	if len(r) > maxRememberedSuspects {
		clear(r)
	}
	return changed
}

// maxRememberedSuspects bounds a suspectReports; when it is full, all suspects are reported again.
const maxRememberedSuspects = 1024

// mergeSuspects merges the suspects that the other instances report.
func (s *State) mergeSuspects(heartbeats []Member) {
	for _, h := range heartbeats {
		if h.Instance == s.config.Instance || h.IsRestored {
			continue
		}
		for _, report := range h.Suspects {
			s.crashDetector.suspects.MergeReport(s.now, report)
		}
	}
}
