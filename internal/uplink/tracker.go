package uplink

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bluebellhold/id"
)

const (
	// minFailures is the number of upstreams, or all if there are fewer, that must be out of reach before the instance
	// suspects its own links. Fewer fail together often.
	minFailures = 3
	// failureTTL is how long a failure counts; upstreams that fail one after another say nothing about the instance.
	failureTTL = 3 * time.Second
	// suspicionProbes is the number of connections to other upstreams that are tried to confirm a suspicion.
	suspicionProbes = 3
	// recoveryProbes is the number of upstreams that must be reached in a row before the links count as healed, so that
	// a single connection that gets through does not end it.
	recoveryProbes = 2
	// probeInterval is the time between two tries to reach upstreams again.
	probeInterval = 500 * time.Millisecond
)

// Upstream is an upstream that can be probed.
type Upstream struct {
	ID         id.Upstream
	DataCentre id.DataCentre
}

// Tracker decides whether the instance is severed, that is, reaches no upstream although others may reach them.
//
// When several upstreams could not be reached, it asks for connections to some others, preferably in other data centres. If
// any succeeds, the failures were those of the upstreams; if all fail, the instance is severed until some succeed again.
//
// It is not safe for concurrent use.
type Tracker struct {
	// unreached and silent hold when an upstream last accepted no connection, and when a request was last found without a
	// response that is long overdue. A new connection to any upstream clears both, an answer only the latter.
	unreached, silent map[id.Upstream]time.Time
	answeredAt        map[id.Upstream]time.Time
	// connectedAt is when an upstream last accepted a connection, and lastAnsweredAt when one last answered.
	connectedAt, lastAnsweredAt time.Time
	// probing holds the upstreams that are being probed, and reached those reached since the last failure while severed.
	probing, reached map[id.Upstream]bool
	nextProbeAt      time.Time
	// severedSince is zero while the instance is not severed.
	severedSince time.Time
	// count is the number of upstreams, and rounds that of the probes while severed.
	count, rounds int
}

// Evidence is what a Tracker knows, for the log.
type Evidence struct {
	// Unreached is the number of upstreams that were not reached since the last new connection to any of them, and Silent
	// that of upstreams with overdue responses since the last answer of any.
	Unreached int `json:"unreached"`
	Silent    int `json:"silent"`
	// ConnectedAge and AnsweredAge are the times since the last new connection and the last answer, or -1 if there was none.
	ConnectedAge time.Duration `json:"connected"`
	AnsweredAge  time.Duration `json:"answered"`
	// IsSevered is set while the instance counts as severed.
	IsSevered bool `json:"severed"`
}

// New returns a Tracker that knows nothing.
func New() *Tracker {
	return &Tracker{
		unreached: make(map[id.Upstream]time.Time), silent: make(map[id.Upstream]time.Time),
		answeredAt: make(map[id.Upstream]time.Time), probing: make(map[id.Upstream]bool), reached: make(map[id.Upstream]bool),
	}
}

// IsSevered reports whether the instance reaches no upstream.
func (t *Tracker) IsSevered() bool { return !t.severedSince.IsZero() }

// IsSuspect reports whether the instance is severed or may turn out to be.
func (t *Tracker) IsSuspect() bool { return t.IsSevered() || len(t.probing) > 0 }

// SinceAnswer returns the time since an upstream last answered or accepted a connection.
func (t *Tracker) SinceAnswer(now time.Time) time.Duration {
	latest := t.connectedAt
	if t.lastAnsweredAt.After(latest) {
		latest = t.lastAnsweredAt
	}
	return now.Sub(latest)
}

// RecordConnected records that an upstream accepted a new connection, and reports whether the links have healed.
func (t *Tracker) RecordConnected(now time.Time, upstream id.Upstream) (isHealed bool) {
	t.connectedAt = now
	delete(t.probing, upstream)
	clear(t.unreached)
	clear(t.silent)
	if !t.IsSevered() {
		// The suspicion is refuted, whatever the other probes find.
		clear(t.probing)
		return false
	}
	t.reached[upstream] = true
	if len(t.reached) < min(recoveryProbes, t.count) {
		return false
	}
	t.severedSince = time.Time{}
	clear(t.probing)
	clear(t.reached)
	return true
}

// RecordAnswered records that an upstream answered on a connection of this instance's own.
func (t *Tracker) RecordAnswered(now time.Time, upstream id.Upstream) {
	t.lastAnsweredAt = now
	if t.IsSevered() {
		return
	}
	t.answeredAt[upstream] = now
	clear(t.silent)
}

// RecordSilent records that a response of an upstream is long overdue.
func (t *Tracker) RecordSilent(now time.Time, upstream id.Upstream) { t.silent[upstream] = now }

// RecordUnreached records that an upstream accepted no connection, and reports whether the instance is severed from now on.
func (t *Tracker) RecordUnreached(now time.Time, upstream id.Upstream) (isSevered bool) {
	t.unreached[upstream] = now
	clear(t.reached)
	if !t.probing[upstream] {
		return false
	}
	delete(t.probing, upstream)
	if t.IsSevered() || len(t.probing) > 0 {
		return false
	}
	t.severedSince, t.nextProbeAt = now, now.Add(probeInterval)
	return true
}

// MayNeedProbes reports whether Probes may return any.
func (t *Tracker) MayNeedProbes() bool {
	return t.IsSevered() || len(t.unreached) > 0 || len(t.silent) > 0
}

// Retain forgets the upstreams for which isKnown returns false.
func (t *Tracker) Retain(isKnown func(id.Upstream) bool) {
	isGone := func(u id.Upstream, _ time.Time) bool { return !isKnown(u) }
	maps.DeleteFunc(t.unreached, isGone)
	maps.DeleteFunc(t.silent, isGone)
	maps.DeleteFunc(t.answeredAt, isGone)
	maps.DeleteFunc(t.probing, func(u id.Upstream, _ bool) bool { return !isKnown(u) })
	maps.DeleteFunc(t.reached, func(u id.Upstream, _ bool) bool { return !isKnown(u) })
}

// Probes returns the upstreams that are to be probed now; the results are recorded with RecordConnected and
// RecordUnreached.
func (t *Tracker) Probes(now time.Time, upstreams []Upstream) []id.Upstream {
	t.count = len(upstreams)
	t.expire(now)
	count := suspicionProbes
	switch {
	case len(upstreams) == 0 || now.Before(t.nextProbeAt):
		return nil
	case t.IsSevered():
		// A result that is missing after so long is none.
		clear(t.probing)
		count = recoveryProbes
	case len(t.probing) > 0 || t.failures() < min(minFailures, len(upstreams)):
		return nil
	}
	t.nextProbeAt = now.Add(probeInterval)
	var probes []id.Upstream
	for _, u := range t.rank(upstreams) {
		probes = append(probes, u.ID)
		t.probing[u.ID] = true
		if len(probes) == count {
			break
		}
	}
	return probes
}

// failures returns the number of upstreams that were not reached or are silent.
func (t *Tracker) failures() int {
	n := len(t.unreached)
	for u := range t.silent {
		if _, ok := t.unreached[u]; !ok {
			n++
		}
	}
	return n
}

// expire removes outdated failures.
func (t *Tracker) expire(now time.Time) {
	isOutdated := func(_ id.Upstream, at time.Time) bool { return now.Sub(at) >= failureTTL }
	maps.DeleteFunc(t.unreached, isOutdated)
	maps.DeleteFunc(t.silent, isOutdated)
}

// rank orders the upstreams by how much a probe of them tells: those that did not fail first, and each data centre once
// before any of them twice. While severed, other ones are tried each time.
func (t *Tracker) rank(upstreams []Upstream) []Upstream {
	ranked := slices.Clone(upstreams)
	slices.SortFunc(ranked, func(a, b Upstream) int {
		return cmp.Or(
			cmp.Compare(t.failureRank(a.ID), t.failureRank(b.ID)),
			t.answeredAt[b.ID].Compare(t.answeredAt[a.ID]), cmp.Compare(a.ID, b.ID),
		)
	})
	if t.IsSevered() {
		t.rounds++
		n := t.rounds * recoveryProbes % len(ranked)
		ranked = slices.Concat(ranked[n:], ranked[:n])
	}
	var first, rest []Upstream
	dataCentres := make(map[id.DataCentre]bool)
	for _, u := range ranked {
		if dataCentres[u.DataCentre] {
			rest = append(rest, u)
			continue
		}
		dataCentres[u.DataCentre] = true
		first = append(first, u)
	}
	return append(first, rest...)
}

func (t *Tracker) failureRank(upstream id.Upstream) int {
	_, isUnreached := t.unreached[upstream]
	_, isSilent := t.silent[upstream]
	switch {
	case isUnreached:
		return 2
	case isSilent:
		return 1
	}
	return 0
}

// Evidence returns what is known at the time now.
func (t *Tracker) Evidence(now time.Time) Evidence {
	return Evidence{
		Unreached: len(t.unreached), Silent: len(t.silent), ConnectedAge: age(now, t.connectedAt),
		AnsweredAge: age(now, t.lastAnsweredAt), IsSevered: t.IsSevered(),
	}
}

func age(now, at time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return now.Sub(at)
}
