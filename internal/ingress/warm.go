package ingress

import (
	"math"
	"time"

	"bluebellhold/id"
)

const (
	// keepWindow is how long after its last use an upstream may have a connection opened ahead.
	keepWindow = 20 * time.Second
	// usesWindow is the time constant of the count of recent uses. With 15 s, single requests that come close together
	// look like a rate, and more of the connections opened ahead expire unused.
	usesWindow = 30 * time.Second
	// minRecentUses is the count from which connections are kept: one request per 15 s.
	minRecentUses = 2
	// renewLead is the time before the expiry of the last idle connection at which the next one is opened. It covers two
	// sweeps.
	renewLead = time.Second
	// minUsefulLife is the shortest time for which a connection is worth opening.
	minUsefulLife = 3 * time.Second
	// minExpectedUses is the number of requests that a connection must be expected to serve while the others to the
	// upstream are in use. A lower value opens connections that mostly expire unused, since a request that finds all in
	// use opens another one anyway.
	minExpectedUses = 0.5
	// aheadPerRequest bounds the connections opened ahead by the instance's requests to other regions, and aheadBurst is
	// the allowance that may be saved up.
	aheadPerRequest = 0.25
	aheadBurst      = 4
	// maxOpening bounds the connections that are being opened ahead at the same time.
	maxOpening = 4
	// maxKept bounds the connections opened ahead that have not been used yet.
	maxKept = 64
	// maxTargets bounds the upstreams whose use is remembered.
	maxTargets = 1024
	// failureBlock is how long nothing is opened ahead to an upstream that could not be connected to, and closeBlock to
	// one that closed an unused connection early.
	failureBlock = 10 * time.Second
	closeBlock   = time.Minute
	// assumedConnectTime is the time to connect to a region before any measurement.
	assumedConnectTime = 110 * time.Millisecond
	// connectTimeWeight is the weight of a new sample in the moving average of the time to connect.
	connectTimeWeight = 0.2
	// raceMargin is added to two round trips to get the time after which the opening packet of a connection is
	// probably lost.
	raceMargin = 50 * time.Millisecond
)

// warmer decides which connections to upstreams in other regions are opened ahead of their use. It performs no I/O.
type warmer struct {
	targets      map[poolKey]*warmTarget
	connectTimes map[id.Region]time.Duration
	// allowance is the number of connections that may be opened ahead now.
	allowance float64
	// opening is the number of connections being opened ahead, and kept that of open ones that are unused.
	opening, kept int
}

// warmTarget is the use of one upstream in another region.
type warmTarget struct {
	use    farUse
	usedAt time.Time
	// earlierUses counts the uses before usedAt, as of then; the weight of a use decays with usesWindow.
	earlierUses float64
	// inUse is the number of its connections that carry a request.
	inUse     int
	isOpening bool
	// idleTimeout is how long the upstream keeps idle connections.
	idleTimeout time.Duration
	// blockedUntil is when a connection may be opened ahead again after a failure, a rest or a cold start.
	blockedUntil time.Time
}

// farUse is a request to an upstream in another region.
type farUse struct {
	// expectedBusy is how long the connection is expected to carry the request.
	expectedBusy time.Duration
	coldUntil    time.Time
}

func newWarmer() *warmer {
	return &warmer{targets: make(map[poolKey]*warmTarget), connectTimes: make(map[id.Region]time.Duration)}
}

// recordUse records the start of a request.
func (w *warmer) recordUse(now time.Time, key poolKey, use farUse) {
	w.allowance = min(w.allowance+aheadPerRequest, aheadBurst)
	t := w.targets[key]
	if t == nil {
		if len(w.targets) >= maxTargets {
			return
		}
		w.targets[key] = &warmTarget{use: use, usedAt: now, inUse: 1, idleTimeout: defaultIdleTimeout, blockedUntil: use.coldUntil}
		return
	}
	t.earlierUses = (t.earlierUses + 1) * decay(now.Sub(t.usedAt))
	t.use, t.usedAt = use, now
	t.inUse++
	t.block(use.coldUntil)
}

// decay returns the weight of a use after a time.
func decay(elapsed time.Duration) float64 {
	return math.Exp(-float64(elapsed) / float64(usesWindow))
}

// recordEnd records the end of a request; keepAlive is how long its connection may stay idle, or zero if it was closed.
func (w *warmer) recordEnd(key poolKey, keepAlive time.Duration) {
	t := w.targets[key]
	if t == nil {
		return
	}
	t.inUse = max(t.inUse-1, 0)
	if keepAlive > 0 {
		t.idleTimeout = keepAlive
	}
}

// block prevents connections from being opened ahead until a time.
func (t *warmTarget) block(until time.Time) {
	if until.After(t.blockedUntil) {
		t.blockedUntil = until
	}
}

// block prevents connections to an upstream from being opened ahead until a time.
func (w *warmer) block(key poolKey, until time.Time) {
	if t := w.targets[key]; t != nil {
		t.block(until)
	}
}

// isBlocked reports whether an upstream has failed, rests or is cold.
func (w *warmer) isBlocked(now time.Time, key poolKey) bool {
	t := w.targets[key]
	return t != nil && now.Before(t.blockedUntil)
}

// claim reports whether a connection is to be opened ahead now, and counts it as being opened. lasting is the number of
// idle connections to the upstream that do not expire soon.
func (w *warmer) claim(now time.Time, key poolKey, lasting int) bool {
	t := w.targets[key]
	if t == nil || t.isOpening || lasting > 0 || now.Before(t.blockedUntil) {
		return false
	}
	life := min(t.idleTimeout, t.usedAt.Add(keepWindow).Sub(now))
	if life < min(minUsefulLife, t.idleTimeout) || t.earlierUses < minRecentUses || t.inUse > 0 && !t.isBusy(life) {
		return false
	}
	if w.allowance < 1 || w.opening >= maxOpening || w.kept+w.opening >= maxKept {
		return false
	}
	w.allowance--
	w.opening++
	t.isOpening = true
	return true
}

// isBusy reports whether further requests are likely to come while the upstream's connections are in use.
func (t *warmTarget) isBusy(life time.Duration) bool {
	rate := t.earlierUses / usesWindow.Seconds()
	return rate*t.use.expectedBusy.Seconds()*rate*life.Seconds() >= minExpectedUses
}

// recordOpened records the end of opening a connection ahead, and returns when it expires if it is not used.
func (w *warmer) recordOpened(now time.Time, key poolKey, isOpen bool) time.Time {
	w.opening = max(w.opening-1, 0)
	t := w.targets[key]
	if t == nil {
		return now
	}
	t.isOpening = false
	if !isOpen {
		t.block(now.Add(failureBlock))
		return now
	}
	return earliestOf(now.Add(t.idleTimeout), t.usedAt.Add(keepWindow))
}

func earliestOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// forgetUnused forgets the upstreams that have not been used within keepWindow.
func (w *warmer) forgetUnused(now time.Time) {
	for key, t := range w.targets {
		if now.Sub(t.usedAt) >= keepWindow && t.inUse == 0 && !t.isOpening {
			delete(w.targets, key)
		}
	}
}

// forgetAll forgets the use of all upstreams.
func (w *warmer) forgetAll() {
	for key, t := range w.targets {
		if t.inUse == 0 && !t.isOpening {
			delete(w.targets, key)
			continue
		}
		t.earlierUses = 0
	}
}

// observeConnectTime records how long connecting to an upstream of a region took.
func (w *warmer) observeConnectTime(region id.Region, elapsed time.Duration) {
	known, ok := w.connectTimes[region]
	if !ok {
		w.connectTimes[region] = elapsed
		return
	}
	w.connectTimes[region] = known + time.Duration(connectTimeWeight*float64(elapsed-known))
}

// raceDelay returns the time after which a second connection to an upstream of a region is opened for a request.
func (w *warmer) raceDelay(region id.Region) time.Duration {
	connectTime, ok := w.connectTimes[region]
	if !ok {
		connectTime = assumedConnectTime
	}
	return min(2*connectTime+raceMargin, connectTimeout*2/3)
}
