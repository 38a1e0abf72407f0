package memory

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"bluebellhold/admission"
	"bluebellhold/id"
)

var start = time.Unix(1_700_000_000, 0)

var (
	urgent = admission.Priority{Organisation: 0, Route: 0}
	middle = admission.Priority{Organisation: 0, Route: 1}
	late   = admission.Priority{Organisation: 1, Route: 0}
)

// Guards against memory that is used up by less urgent requests, so that urgent ones are refused.
func TestLeastUrgentRequestsAreRefusedFirst(t *testing.T) {
	l := newLedger(8 << 20)
	refusedAt := make(map[admission.Priority]id.Bytes)
	for range 1000 {
		for _, p := range []admission.Priority{urgent, middle, late} {
			if _, ok := l.reserve(start, "r", p, 0); !ok && refusedAt[p] == 0 {
				refusedAt[p] = l.reserved
			}
		}
	}
	require.Less(t, refusedAt[late], refusedAt[middle])
	require.Less(t, refusedAt[middle], refusedAt[urgent])
	require.LessOrEqual(t, l.reserved, l.limit)
}

// Guards against memory that stays free for urgent requests although there have been none for long.
func TestMemoryIsNotKeptForAbsentPriorities(t *testing.T) {
	l := newLedger(8 << 20)
	_, ok := l.reserve(start, "r", urgent, 0)
	require.True(t, ok)
	l.held += l.allowed(1)
	_, ok = l.reserve(start.Add(time.Second), "r", late, 0)
	require.False(t, ok)
	_, ok = l.reserve(start.Add(priorityMemory), "r", late, 0)
	require.True(t, ok)
}

// Guards against a request that is sent although its route's responses do not fit.
func TestLargeResponsesAreReserved(t *testing.T) {
	l := newLedger(1 << 20)
	for range 100 {
		l.observeResponse("bundles", 600<<10)
	}
	size, ok := l.reserve(start, "bundles", urgent, 0)
	require.True(t, ok)
	require.Equal(t, id.Bytes(600<<10), size)
	_, ok = l.reserve(start, "bundles", urgent, 0)
	require.False(t, ok)
	l.endReservation(size)
	_, ok = l.reserve(start, "bundles", urgent, 0)
	require.True(t, ok)
}

// Guards against large responses, of callers that don't read them, that leave no room for small requests.
func TestLargeResponsesLeaveRoomForSmallOnes(t *testing.T) {
	l := newLedger(64 << 20)
	for range 100 {
		l.observeResponse("bundles", 7<<20)
	}
	for isFull := false; !isFull; {
		_, ok := l.reserve(start, "bundles", urgent, 0)
		isFull = !ok
	}
	for range 400 {
		_, ok := l.reserve(start, "r", urgent, 0)
		require.True(t, ok)
	}
}

// Guards against bodies that exceed their part of the memory, and against counts that drift.
func TestLedgerStaysWithinItsLimit(t *testing.T) {
	l, random := newLedger(4<<20), rand.New(rand.NewPCG(1, 2))
	var bodies []id.Bytes
	for range 20_000 {
		if size := id.Bytes(random.IntN(200 << 10)); random.IntN(2) == 0 && l.holdBody(size, maxTier) {
			bodies = append(bodies, size)
		} else if len(bodies) > 0 {
			l.release(start, bodies[0])
			bodies = bodies[1:]
		}
		require.LessOrEqual(t, l.held, l.allowed(maxTier))
	}
	for _, size := range bodies {
		l.release(start, size)
	}
	require.Zero(t, l.held)
}

// Guards against a body that is refused although memory is released shortly, or that waits for its caller's end.
func TestBodyWaitsForMemory(t *testing.T) {
	m := New(8<<20, metrics.NewRegistry())
	require.True(t, m.holdBody(context.Background(), 5<<20, Requester{}))
	require.False(t, m.holdBody(context.Background(), 6<<20, Requester{}), "it never fits")
	require.False(t, m.holdBody(context.Background(), 1<<20, Requester{}), "nothing is released")
	ended, end := context.WithCancel(context.Background())
	end()
	require.False(t, m.holdBody(ended, 1<<20, Requester{}))
	done := make(chan bool)
	go func() { done <- m.holdBody(context.Background(), 1<<20, Requester{}) }()
	m.release(5<<20, nil)
	require.True(t, <-done)
	require.Zero(t, m.waiters)
}

// Guards against large bodies that leave no room at all, so that a request with a small one is refused as long as others wait for
// what is released.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	for _, from := range []Requester{{}, {Priority: late, IsKnown: true}} {
		m := New(16<<20, metrics.NewRegistry())
		m.ledger.tier(start, urgent)
		for m.ledger.holdBody(1<<20, m.ledger.bodyTier(start, from)) {
			continue
		}
		for range 100 {
			require.True(t, m.ledger.holdBody(1<<10, m.ledger.bodyTier(start, from)))
		}
	}
}
