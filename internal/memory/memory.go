package memory

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"bluebellhold/admission"
	"bluebellhold/id"
)

const (
	// waitTimeout is how long a body may wait for memory; callers' objectives are a few hundred ms.
	waitTimeout = 300 * time.Millisecond
	// maxWaiters bounds the bodies that wait.
	maxWaiters = 256
	// idleInterval is the time after which free parts that have not been needed are given back to the runtime.
	idleInterval = 10 * time.Second
)

// Memory counts the memory of bodies and responses, and that of connections and heads. It is safe for concurrent use.
type Memory struct {
	held    metrics.Gauge
	clients metrics.Gauge
	refused metrics.Counter

	mu      sync.Mutex
	ledger  ledger
	waiters int
	// relieve makes a client release memory, and reports whether there is one.
	relieve func() bool
	// released is closed when memory is released.
	released chan struct{}
	// free are parts of payloads that have ended. They are used again, since the garbage collector would give large bodies
	// back too late. lowestFree is the smallest number of them since checkedAt.
	free       [][]byte
	lowestFree int
	checkedAt  time.Time
}

// Requester says on whose behalf a body is read.
type Requester struct {
	Priority admission.Priority
	// IsKnown is set if Priority is known. Requests without a known priority are the least urgent.
	IsKnown bool
}

// New returns a Memory with a limit. Its metrics are registered with r.
func New(limit id.Bytes, r metrics.Registry) *Memory {
	return &Memory{
		ledger: newLedger(limit), released: make(chan struct{}),
		held: metrics.NewRegisteredGauge("memory.held", r), clients: metrics.NewRegisteredGauge("memory.clients", r),
		refused: metrics.NewRegisteredCounter("memory.refused", r),
	}
}

// holdBody counts memory for a body. It waits for memory for a short time, and reports whether there is enough.
func (m *Memory) holdBody(ctx context.Context, size id.Bytes, from Requester) bool {
	return m.holdWithin(ctx, func() bool {
		return m.ledger.holdBody(size, m.ledger.bodyTier(time.Now(), from))
	}, size, m.ledger.allowed(largeTier(0)))
}

// holdResponse counts memory for a response like holdBody, from the reservation of its attempt first.
func (m *Memory) holdResponse(ctx context.Context, size id.Bytes, reservation *id.Bytes) bool {
	return m.holdWithin(ctx, func() bool { return m.ledger.holdResponse(size, reservation) }, size, m.ledger.limit)
}

// OnShort sets the function that makes a client release memory, soon, when there is none, and reports whether there is such a
// client. It must be called before the memory is used.
func (m *Memory) OnShort(relieve func() bool) { m.relieve = relieve }

// HoldClient counts memory for the connection or the request of a client. It waits for memory for a short time, and reports
// whether there is enough.
func (m *Memory) HoldClient(size id.Bytes) bool {
	return m.holdWithin(context.Background(), func() bool { return m.ledger.holdClient(size) }, size, m.ledger.mostForClients())
}

// TryHoldClient is HoldClient without a wait.
func (m *Memory) TryHoldClient(size id.Bytes) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.ledger.holdClient(size) {
		return false
	}
	m.update()
	return true
}

// ChargeClient counts memory that a client uses already.
func (m *Memory) ChargeClient(size id.Bytes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.clients += size
	m.update()
}

// ReleaseClient ends the counting of a client's memory.
func (m *Memory) ReleaseClient(size id.Bytes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.clients = max(m.ledger.clients-size, 0)
	m.update()
	m.wake()
}

// holdWithin tries to hold memory of a size, again after each release for a short time, and reports whether it succeeded.
func (m *Memory) holdWithin(ctx context.Context, hold func() bool, size, most id.Bytes) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	var timeout *time.Timer
	for !hold() {
		if size > most || m.waiters >= maxWaiters {
			m.refused.Inc(1)
			return false
		}
		if m.relieveOne() && hold() {
			break
		}
		if timeout == nil {
			timeout = time.NewTimer(waitTimeout)
			defer timeout.Stop()
		}
		if !m.wait(ctx, timeout) {
			m.refused.Inc(1)
			return false
		}
	}
	m.update()
	return true
}

// relieveOne makes a client release memory, and reports whether there is one. The caller holds mu, which is released meanwhile.
func (m *Memory) relieveOne() bool {
	if m.relieve == nil {
		return false
	}
	m.mu.Unlock()
	defer m.mu.Lock()
	return m.relieve()
}

// wait waits until memory is released and reports whether it has been. The caller holds mu, which is released meanwhile.
func (m *Memory) wait(ctx context.Context, timeout *time.Timer) bool {
	released := m.released
	m.waiters++
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		m.waiters--
	}()
	select {
	case <-released:
		return true
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false
}

// update updates the metric, and drops free parts whose memory is needed otherwise. The caller holds mu.
func (m *Memory) update() {
	m.held.Update(int64(m.ledger.held))
	m.clients.Update(int64(m.ledger.clients))
	room := max(m.ledger.limit-m.ledger.used(), 0)
	m.dropFree(len(m.free) - int(room/PartSize))
}

// dropFree drops n free parts. The caller holds mu.
func (m *Memory) dropFree(n int) {
	for range min(n, len(m.free)) {
		m.popFree()
	}
}

func (m *Memory) popFree() []byte {
	last := len(m.free) - 1
	part := m.free[last]
	m.free[last], m.free = nil, m.free[:last]
	m.lowestFree = min(m.lowestFree, last)
	return part
}

// takePart returns an empty part, for which memory is held.
func (m *Memory) takePart() []byte {
	m.mu.Lock()
	if len(m.free) > 0 {
		defer m.mu.Unlock()
		return m.popFree()
	}
	m.mu.Unlock()
	return make([]byte, 0, PartSize)
}

// release ends the counting of memory, and takes back the full-size parts that used it.
func (m *Memory) release(size id.Bytes, parts [][]byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.ledger.release(now, size)
	for _, part := range parts {
		if cap(part) == int(PartSize) {
			m.free = append(m.free, part[:0])
		}
	}
	if now.Sub(m.checkedAt) >= idleInterval {
		m.dropFree(m.lowestFree)
		m.lowestFree, m.checkedAt = len(m.free), now
	}
	m.update()
	m.wake()
}

// wake makes those that wait try again. The caller holds mu.
func (m *Memory) wake() {
	if m.waiters > 0 {
		close(m.released)
		m.released = make(chan struct{})
	}
}

// Reserve reserves memory for the response to a request that is about to be sent and for a copy of its body that sending
// takes, and reports whether there is enough. If a client can release some, it waits for that for a short time. EndReservation
// must follow.
func (m *Memory) Reserve(ctx context.Context, route id.Route, priority admission.Priority, bodyCopy id.Bytes) (id.Bytes, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	deadline := time.Now().Add(waitTimeout)
	size, ok := m.ledger.reserve(time.Now(), route, priority, bodyCopy)
	for !ok && m.relieveOne() {
		timeout := time.NewTimer(time.Until(deadline))
		isReleased := m.wait(ctx, timeout)
		timeout.Stop()
		if !isReleased {
			break
		}
		size, ok = m.ledger.reserve(time.Now(), route, priority, bodyCopy)
	}
	if !ok {
		m.refused.Inc(1)
	}
	m.update()
	return size, ok
}

// EndReservation ends what is left of a reservation. The size of the route's response, unless it is negative, counts for later
// reservations.
func (m *Memory) EndReservation(size id.Bytes, route id.Route, response id.Bytes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if response >= 0 {
		m.ledger.observeResponse(route, response)
	}
	m.ledger.endReservation(size)
	m.wake()
}

// ReturnAt returns when a request of a size for which there was no memory should return. It counts on the rate at which
// memory was released lately, and on the requests that were told to return before.
func (m *Memory) ReturnAt(size id.Bytes) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.returnAt(time.Now(), size)
}
