package retry

import (
	"bytes"
	"slices"
	"time"

	"bluebellhold/id"
)

// findOrCreate returns the record of d. If the limit is reached, it removes the records without crashes in the window.
// If there are none, it evicts the one with the fewest active crashes, and among those the one with the oldest last
// crash.
func (s *Suspects) findOrCreate(now time.Time, d id.Digest) *record {
	if r := s.records[d]; r != nil {
		return r
	}
	if len(s.records) >= s.config.MaxDigests {
		s.removeExpired(now)
	}
	if len(s.records) >= s.config.MaxDigests {
		delete(s.records, s.evictionCandidate(now))
	}
	r := &record{}
	s.records[d] = r
	return r
}

func (s *Suspects) removeExpired(now time.Time) {
	since := now.Add(-s.config.Window)
	for d, r := range s.records {
		if !slices.ContainsFunc(r.crashes, func(c crash) bool { return c.at.After(since) }) {
			delete(s.records, d)
		}
	}
}

// evictionCandidate returns the digest to evict first; the digest breaks ties, so that the choice is deterministic.
func (s *Suspects) evictionCandidate(now time.Time) id.Digest {
	var digest id.Digest
	var candidate *record
	since := now.Add(-s.config.Window)
	for d, r := range s.records {
		if candidate == nil || evictsBefore(r, candidate, since) ||
			(!evictsBefore(candidate, r, since) && bytes.Compare(d[:], digest[:]) < 0) {
			digest, candidate = d, r
		}
	}
	return digest
}

func evictsBefore(x, y *record, since time.Time) bool {
	a, b := min(len(x.activeCrashes(since)), 2), min(len(y.activeCrashes(since)), 2)
	if a != b {
		return a < b
	}
	return latestCrash(x.crashes).Before(latestCrash(y.crashes))
}

// activeCrashes returns the crashes after since that the request has not been cleared of.
func (r *record) activeCrashes(since time.Time) []crash {
	var active []crash
	for _, c := range r.crashes {
		if c.at.After(since) && c.at.After(r.clearedAt) {
			active = append(active, c)
		}
	}
	return active
}

func (r *record) removeUpstream(u id.Upstream) {
	r.crashes = slices.DeleteFunc(r.crashes, func(c crash) bool { return c.upstream == u })
}

func (r *record) addCrash(c crash) {
	if len(r.crashes) == maxCrashesPerDigest {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	r.crashes = append(r.crashes, c)
}

// merge adds a crash that a peer reported, unless it duplicates a known one.
func (r *record) merge(c crash) {
	for _, known := range r.crashes {
		if known.upstream == c.upstream && !c.at.After(known.at.Add(duplicateMargin)) {
			return
		}
	}
	r.removeUpstream(c.upstream)
	r.addCrash(c)
}

func (r *record) clear(at time.Time) {
	if at.After(r.clearedAt) {
		r.clearedAt = at
	}
}

// report returns the report of the active crashes after since. If there are none, it reports the completion that
// cleared the request, if that was after since.
func (r *record) report(now, since time.Time) (Report, bool) {
	active := r.activeCrashes(since)
	if len(active) == 0 {
		return Report{Age: now.Sub(r.clearedAt)}, r.clearedAt.After(since)
	}
	var upstreams []id.Upstream
	for _, c := range active {
		upstreams = append(upstreams, c.upstream)
	}
	slices.Sort(upstreams)
	return Report{Upstreams: upstreams, Age: now.Sub(latestCrash(active))}, true
}

func latestCrash(crashes []crash) time.Time {
	var at time.Time
	for _, c := range crashes {
		if c.at.After(at) {
			at = c.at
		}
	}
	return at
}
