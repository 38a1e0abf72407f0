package retry

import (
	"bytes"
	"slices"
	"time"

	"bluebellhold/id"
)

// record returns the record of d. When there is no room it drops the records that are over, or else the one whose
// last death is the oldest, sparing refused ones.
func (s *Suspects) record(now time.Time, d id.Digest) *record {
	if r := s.records[d]; r != nil {
		return r
	}
	if len(s.records) >= s.config.MaxDigests {
		s.expire(now)
	}
	if len(s.records) >= s.config.MaxDigests {
		delete(s.records, s.least(now))
	}
	r := &record{}
	s.records[d] = r
	return r
}

func (s *Suspects) expire(now time.Time) {
	since := now.Add(-s.config.Window)
	for d, r := range s.records {
		if !slices.ContainsFunc(r.deaths, func(x death) bool { return x.at.After(since) }) {
			delete(s.records, d)
		}
	}
}

// least returns the digest that matters least; the digest breaks ties, so that the choice is deterministic.
func (s *Suspects) least(now time.Time) id.Digest {
	var found id.Digest
	var worst *record
	since := now.Add(-s.config.Window)
	for d, r := range s.records {
		if worst == nil || lessImportant(r, worst, since) ||
			(!lessImportant(worst, r, since) && bytes.Compare(d[:], found[:]) < 0) {
			found, worst = d, r
		}
	}
	return found
}

func lessImportant(x, y *record, since time.Time) bool {
	a, b := min(len(x.counted(since)), 2), min(len(y.counted(since)), 2)
	if a != b {
		return a < b
	}
	return latest(x.deaths).Before(latest(y.deaths))
}

// counted returns the deaths after since that the request has not been cleared of.
func (r *record) counted(since time.Time) []death {
	var counted []death
	for _, d := range r.deaths {
		if d.at.After(since) && d.at.After(r.cleared) {
			counted = append(counted, d)
		}
	}
	return counted
}

func (r *record) drop(u id.Upstream) {
	r.deaths = slices.DeleteFunc(r.deaths, func(d death) bool { return d.upstream == u })
}

func (r *record) add(d death) {
	if len(r.deaths) == upstreamsKept {
		r.deaths = slices.Delete(r.deaths, 0, 1)
	}
	r.deaths = append(r.deaths, d)
}

// learn adds a death that a peer reports, unless it is the echo of one that is known.
func (r *record) learn(d death) {
	for _, known := range r.deaths {
		if known.upstream == d.upstream && !d.at.After(known.at.Add(echoMargin)) {
			return
		}
	}
	r.drop(d.upstream)
	r.add(d)
}

func (r *record) clear(at time.Time) {
	if at.After(r.cleared) {
		r.cleared = at
	}
}

// report returns what to tell of deaths after since, or else of the clearance from them.
func (r *record) report(now, since time.Time) (Report, bool) {
	counted := r.counted(since)
	if len(counted) == 0 {
		return Report{Age: now.Sub(r.cleared)}, r.cleared.After(since)
	}
	var upstreams []id.Upstream
	for _, d := range counted {
		upstreams = append(upstreams, d.upstream)
	}
	slices.Sort(upstreams)
	return Report{Upstreams: upstreams, Age: now.Sub(latest(counted))}, true
}

func latest(deaths []death) time.Time {
	var at time.Time
	for _, d := range deaths {
		if d.at.After(at) {
			at = d.at
		}
	}
	return at
}
