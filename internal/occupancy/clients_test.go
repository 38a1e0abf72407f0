package occupancy_test

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/memory"
	"bluebellhold/internal/occupancy"
)

// descriptors leave room for most clients, of which callers may be mostCallers.
const (
	descriptors = 64
	most        = 32
	mostCallers = 30
	plenty      = id.Bytes(64 << 20)
)

// fixture is a process whose clients close their connections when they are evicted.
type fixture struct {
	*occupancy.Clients
	memory  *memory.Memory
	evicted []*occupancy.Client
}

func newFixture(limit id.Bytes) *fixture {
	m := memory.New(limit, metrics.NewRegistry())
	return &fixture{Clients: occupancy.New(occupancy.Config{Memory: m, Descriptors: descriptors}), memory: m}
}

// connect connects a client and reports whether there was room for it.
func (f *fixture) connect(door occupancy.Door) (client *occupancy.Client, ok bool) {
	client = f.NewClient(door, func(bool) bool {
		f.evicted = append(f.evicted, client)
		client.End()
		return true
	})
	return client, client.Open()
}

// connectAll connects a number of clients and puts them into a phase in which they have made no progress for a time.
func (f *fixture) connectAll(t *testing.T, n int, door occupancy.Door, p occupancy.Phase, idle time.Duration) []*occupancy.Client {
	clients := make([]*occupancy.Client, n)
	for i := range clients {
		client, ok := f.connect(door)
		require.True(t, ok)
		client.EnterSince(p, idle)
		clients[i] = client
	}
	return clients
}

// Guards against clients that use up the descriptors, and against the eviction of one that makes progress in place of one that
// does not.
func TestTheLeastUsefulClientMakesRoom(t *testing.T) {
	f := newFixture(plenty)
	f.connectAll(t, mostCallers-3, occupancy.Callers, occupancy.Idle, time.Second)
	silent := f.connectAll(t, 1, occupancy.Callers, occupancy.Unused, 10*time.Second)[0]
	slow := f.connectAll(t, 1, occupancy.Callers, occupancy.Head, 20*time.Second)[0]
	running := f.connectAll(t, 1, occupancy.Callers, occupancy.Running, time.Hour)[0]
	f.connectAll(t, 2, occupancy.Callers, occupancy.Head, 0)
	require.Equal(t, []*occupancy.Client{slow, silent}, f.evicted)
	f.connectAll(t, 2*most, occupancy.Callers, occupancy.Head, 0)
	require.NotContains(t, f.evicted, running)
}

// Guards against a request that is given up for a client that has just connected.
func TestRunningRequestsAreNeverEvicted(t *testing.T) {
	f := newFixture(plenty)
	f.connectAll(t, mostCallers, occupancy.Callers, occupancy.Running, time.Hour)
	_, ok := f.connect(occupancy.Callers)
	require.False(t, ok)
	require.Empty(t, f.evicted)
}

// Guards against callers that leave no room for readiness, look-ups and other instances.
func TestCallersLeaveRoomForControl(t *testing.T) {
	f := newFixture(plenty)
	f.connectAll(t, mostCallers, occupancy.Callers, occupancy.Running, 0)
	f.connectAll(t, most-mostCallers, occupancy.Control, occupancy.Running, 0)
	require.Empty(t, f.evicted)
}

// Guards against clients at other addresses that leave no room for callers.
func TestOthersMakeRoomForCallers(t *testing.T) {
	f := newFixture(plenty)
	f.connectAll(t, most, occupancy.Control, occupancy.Unused, time.Minute)
	f.connectAll(t, mostCallers, occupancy.Callers, occupancy.Running, 0)
	require.Len(t, f.evicted, mostCallers)
}

// Guards against counts that drift, so that a process has no room for anyone after a while.
func TestWhatClientsOccupyIsReleased(t *testing.T) {
	f := newFixture(plenty)
	for range 100 {
		for _, client := range f.connectAll(t, mostCallers, occupancy.Callers, occupancy.Running, 0) {
			require.True(t, client.Hold(200<<10))
			client.Charge(200 << 10)
			client.Drop(100 << 10)
			client.Release()
			require.True(t, client.Hold(300<<10))
			client.End()
			client.End()
			require.False(t, client.Hold(1), "it has ended")
		}
	}
	require.True(t, f.memory.TryHoldClient(plenty/2))
}

// Guards against stalled clients that keep the memory of others.
func TestStalledClientsMakeRoomInMemory(t *testing.T) {
	const size = id.Bytes(1 << 20)
	f := newFixture(8 * size)
	stalled := f.connectAll(t, 1, occupancy.Callers, occupancy.Body, time.Minute)[0]
	busy := f.connectAll(t, 1, occupancy.Callers, occupancy.Body, 0)[0]
	require.True(t, stalled.Hold(3*size))
	require.True(t, busy.Hold(2*size))
	other := f.connectAll(t, 1, occupancy.Callers, occupancy.Head, 0)[0]
	require.True(t, other.Hold(2*size))
	require.Equal(t, []*occupancy.Client{stalled}, f.evicted)
	require.False(t, other.Hold(8*size), "it never fits")
	require.Len(t, f.evicted, 1)
}

// Guards against a client that is counted no more since it could not be evicted.
func TestClientThatMadeProgressIsSpared(t *testing.T) {
	f := newFixture(plenty)
	refusals := 0
	client := f.NewClient(occupancy.Callers, func(bool) bool {
		refusals++
		return false
	})
	require.True(t, client.Open())
	client.EnterSince(occupancy.Head, time.Hour)
	f.connectAll(t, mostCallers-1, occupancy.Callers, occupancy.Running, 0)
	client.EnterSince(occupancy.Running, 0)
	_, ok := f.connect(occupancy.Callers)
	require.False(t, ok)
	client.End()
	_, ok = f.connect(occupancy.Callers)
	require.True(t, ok)
	require.Zero(t, refusals)
}
