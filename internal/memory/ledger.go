package memory

import (
	"time"

	"bluebellhold/admission"
	"bluebellhold/id"
)

const (
	// clientParts is the part of the limit that connections and heads may use beside it. What they use beyond that is not
	// available to bodies and responses, of which they leave a half free.
	clientParts = 4
	// tiers divide the memory: requests leave one of tierParts free for each more urgent priority, up to maxTier. Bodies of
	// requests above smallBodySize and large responses leave one more, so that there is always room for small requests.
	tierParts = 8
	maxTier   = 3
	// smallBodySize is the size up to which a body finds room beside large ones.
	smallBodySize = id.Bytes(16 << 10)
	// largeSize is the size above which an expected response is large.
	largeSize = id.Bytes(64 << 10)
	// priorityMemory is how long a priority counts as present after its last request.
	priorityMemory = 10 * time.Second
	// assumedResponseSize is the size of a route's responses before any measurement.
	assumedResponseSize = id.Bytes(16 << 10)
	// responseSizeWeight is the weight of a new sample in the moving average of a route's response size.
	responseSizeWeight = 0.1
	// maxLedgerRoutes and maxLedgerPriorities bound what the ledger remembers.
	maxLedgerRoutes     = 1024
	maxLedgerPriorities = 64
	// releaseWindow is the time over which the rate is measured at which memory is released.
	releaseWindow = 2 * time.Second
	// assumedReleaseTime is the time in which all memory is expected to be released if less was released lately.
	assumedReleaseTime = 2 * time.Second
	// minReturnDelay and maxReturnDelay bound the retry time of requests for which there is no memory.
	minReturnDelay = time.Second
	maxReturnDelay = 30 * time.Second
)

// ledger decides which bodies and responses may use the memory. It performs no I/O.
type ledger struct {
	limit id.Bytes
	// held is used by bodies and responses, and reserved is expected to be used by attempts in flight.
	held, reserved id.Bytes
	// clients is used by connections and by the heads of requests.
	clients       id.Bytes
	responseSizes map[id.Route]float64
	// seenAt is when a request of each priority last asked for memory.
	seenAt map[admission.Priority]time.Time
	// released was released since windowStart, and releasedBefore in the releaseWindow before it.
	windowStart              time.Time
	released, releasedBefore id.Bytes
	// bookedUntil is when the memory is expected to be released that refused requests will return for.
	bookedUntil time.Time
}

func newLedger(limit id.Bytes) ledger {
	return ledger{
		limit: limit, responseSizes: make(map[id.Route]float64), seenAt: make(map[admission.Priority]time.Time),
	}
}

// used returns the part of the limit that is used.
func (l *ledger) used() id.Bytes {
	return l.held + l.reserved + max(l.clients-l.limit/clientParts, 0)
}

// mostForClients returns the memory that connections and heads may use.
func (l *ledger) mostForClients() id.Bytes { return l.limit/clientParts + l.limit/2 }

// holdClient counts memory for a connection or a head, and reports whether there is enough.
func (l *ledger) holdClient(size id.Bytes) bool {
	l.clients += size
	if l.clients <= l.mostForClients() && l.used() <= l.limit {
		return true
	}
	l.clients -= size
	return false
}

// bodyTier returns the tier of the requests on whose behalf a body is read.
func (l *ledger) bodyTier(now time.Time, from Requester) int {
	if from.IsKnown {
		return l.tier(now, from.Priority)
	}
	return maxTier - 1
}

// holdBody counts memory for a body that is read, and reports whether there is enough.
func (l *ledger) holdBody(size id.Bytes, tier int) bool {
	if size > smallBodySize {
		tier = largeTier(tier)
	}
	if l.used()+size > l.allowed(min(tier, maxTier)) {
		return false
	}
	l.held += size
	return true
}

// largeTier returns the tier whose memory the bodies of requests and the large responses of a tier may use.
func largeTier(tier int) int { return min(tier+1, maxTier) }

// allowed returns the memory that requests of a tier may use.
func (l *ledger) allowed(tier int) id.Bytes {
	return l.limit * id.Bytes(tierParts-tier) / tierParts
}

// holdResponse counts memory for a response that is read. It takes it from the attempt's reservation first, and reports
// whether there is enough. A response may use all memory, since its request has run.
func (l *ledger) holdResponse(size id.Bytes, reservation *id.Bytes) bool {
	fromReservation := min(size, *reservation)
	if l.used()+size-fromReservation > l.limit {
		return false
	}
	*reservation -= fromReservation
	l.endReservation(fromReservation)
	l.held += size
	return true
}

func (l *ledger) release(now time.Time, size id.Bytes) {
	l.held = max(l.held-size, 0)
	l.advanceWindow(now)
	l.released += size
}

// advanceWindow starts a new window of the release rate if the current one is over.
func (l *ledger) advanceWindow(now time.Time) {
	elapsed := now.Sub(l.windowStart)
	if elapsed < releaseWindow {
		return
	}
	l.releasedBefore = l.released
	if elapsed >= 2*releaseWindow {
		l.releasedBefore = 0
	}
	l.released, l.windowStart = 0, now
}

// releaseRate returns the expected rate in bytes per second at which memory is released.
func (l *ledger) releaseRate(now time.Time) float64 {
	l.advanceWindow(now)
	measured := float64(l.releasedBefore+l.released) / (releaseWindow + now.Sub(l.windowStart)).Seconds()
	return max(measured, float64(l.limit)/assumedReleaseTime.Seconds(), 1)
}

// returnAt returns when a refused request of a size should return. Each one gets a place after those refused before it.
func (l *ledger) returnAt(now time.Time, size id.Bytes) time.Time {
	if l.bookedUntil.Before(now) {
		l.bookedUntil = now
	}
	latest := now.Add(maxReturnDelay)
	if wait := float64(size) / l.releaseRate(now); wait < maxReturnDelay.Seconds() {
		l.bookedUntil = l.bookedUntil.Add(time.Duration(wait * float64(time.Second)))
	} else {
		l.bookedUntil = latest
	}
	if l.bookedUntil.After(latest) {
		l.bookedUntil = latest
	}
	if earliest := now.Add(minReturnDelay); l.bookedUntil.Before(earliest) {
		return earliest
	}
	return l.bookedUntil
}

// reserve reserves memory for the response to a request that is about to be sent and for a copy of its body that sending
// takes, and reports whether there is enough.
func (l *ledger) reserve(now time.Time, route id.Route, priority admission.Priority, bodyCopy id.Bytes) (id.Bytes, bool) {
	tier := l.tier(now, priority)
	size := l.expectedResponse(route) + bodyCopy
	if size > largeSize {
		tier = largeTier(tier)
	}
	if l.used()+size > l.allowed(tier) {
		return 0, false
	}
	l.reserved += size
	return size, true
}

func (l *ledger) endReservation(size id.Bytes) { l.reserved = max(l.reserved-size, 0) }

// tier returns the number of more urgent priorities that are present, up to maxTier.
func (l *ledger) tier(now time.Time, priority admission.Priority) int {
	tier := 0
	for other, at := range l.seenAt {
		switch {
		case now.Sub(at) >= priorityMemory:
			delete(l.seenAt, other)
		case isMoreUrgent(other, priority):
			tier++
		}
	}
	if _, ok := l.seenAt[priority]; ok || len(l.seenAt) < maxLedgerPriorities {
		l.seenAt[priority] = now
	}
	return min(tier, maxTier)
}

func isMoreUrgent(a, b admission.Priority) bool {
	return a.Organisation < b.Organisation || a.Organisation == b.Organisation && a.Route < b.Route
}

func (l *ledger) expectedResponse(route id.Route) id.Bytes {
	if size, ok := l.responseSizes[route]; ok {
		return id.Bytes(size)
	}
	return assumedResponseSize
}

// observeResponse records the size of a route's response.
func (l *ledger) observeResponse(route id.Route, size id.Bytes) {
	known, ok := l.responseSizes[route]
	switch {
	case ok:
		l.responseSizes[route] = known + responseSizeWeight*(float64(size)-known)
	case len(l.responseSizes) < maxLedgerRoutes:
		l.responseSizes[route] = float64(size)
	}
}
