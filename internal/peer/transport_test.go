package peer_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/peer"
	"bluebellhold/internal/wire"
	"bluebellhold/store"
)

var sharedSecret = []byte("a secret of enough bytes")

// testInstance is a Transport that records the messages that it receives.
type testInstance struct {
	*peer.Transport
	name     id.Instance
	registry metrics.Registry
	mu       sync.Mutex
	messages []string
	blocked  map[id.Instance]bool
}

func startInstance(t testing.TB, name id.Instance, configure func(*peer.Config)) *testInstance {
	i := &testInstance{name: name, registry: metrics.NewRegistry(), blocked: make(map[id.Instance]bool)}
	config := peer.Config{
		Self: name, Incarnation: 1, Listen: "127.0.0.1:0", Secret: sharedSecret, Registry: i.registry,
		OnMessage: i.record,
		IsBlocked: func(other id.Instance) bool {
			i.mu.Lock()
			defer i.mu.Unlock()
			return i.blocked[other]
		},
	}
	if configure != nil {
		configure(&config)
	}
	transport, err := peer.New(config)
	require.NoError(t, err)
	t.Cleanup(transport.Close)
	i.Transport = transport
	return i
}

func (i *testInstance) record(from id.Instance, m *wire.Envelope) {
	i.mu.Lock()
	defer i.mu.Unlock()
	entry := fmt.Sprintf("%s %d", from, m.GetLoanReturn().GetId())
	if reply := m.GetEpochReply(); reply != nil {
		entry = fmt.Sprintf("%s epoch %d of %d bytes", from, reply.GetEpoch(), len(reply.GetBody()))
	}
	i.messages = append(i.messages, entry)
}

func (i *testInstance) received() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]string(nil), i.messages...)
}

func (i *testInstance) setBlocked(other id.Instance, isBlocked bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.blocked[other] = isBlocked
}

func (i *testInstance) count(name string) int64 {
	return metrics.GetOrRegisterCounter("peer."+name, i.registry).Count()
}

func (i *testInstance) isConnectedTo(other *testInstance) bool {
	for _, status := range i.Status() {
		if status.Peer == other.name {
			return status.Connected
		}
	}
	return false
}

func members(instances ...*testInstance) []store.Member {
	var list []store.Member
	for _, i := range instances {
		list = append(list, store.Member{Instance: i.name, Peer: i.Address()})
	}
	return list
}

func loanReturn(loanID uint64) *wire.Envelope {
	return &wire.Envelope{Payload: &wire.Envelope_LoanReturn{LoanReturn: &wire.LoanReturn{Id: loanID}}}
}

func eventually(t testing.TB, condition func() bool, description string) {
	require.Eventually(t, condition, 20*time.Second, 5*time.Millisecond, description)
}

// waitForSession waits until a and b have one session, which only one of them dialled.
func waitForSession(t testing.TB, a, b *testInstance) {
	eventually(t, func() bool {
		return a.count("sessions") == 1 && b.count("sessions") == 1 &&
			a.count("handshakes") == 0 && b.count("handshakes") == 0 &&
			a.Status()[0].Dialled != b.Status()[0].Dialled
	}, "one session")
}

// Guards against two sessions, no session or duplicate messages when both sides dial at the same time.
func TestSimultaneousDialLeavesOneSession(t *testing.T) {
	for range 20 {
		a, b := startInstance(t, "a", nil), startInstance(t, "b", nil)
		var wg sync.WaitGroup
		wg.Go(func() { a.SetPeers(members(a, b)) })
		wg.Go(func() { b.SetPeers(members(a, b)) })
		wg.Wait()
		waitForSession(t, a, b)
		var sent []string
		for loanID := range uint64(50) {
			a.Send("b", loanReturn(loanID))
			sent = append(sent, fmt.Sprintf("a %d", loanID))
		}
		eventually(t, func() bool { return len(b.received()) == len(sent) }, "all messages")
		require.Equal(t, sent, b.received())
		a.Close()
		b.Close()
	}
}

// Guards against messages that are delivered during a partition, and against a session that is not reopened after it.
func TestReconnectAfterPartition(t *testing.T) {
	a, b := startInstance(t, "a", nil), startInstance(t, "b", nil)
	a.SetPeers(members(b))
	b.SetPeers(members(a))
	waitForSession(t, a, b)
	b.setBlocked("a", true)
	a.Send("b", loanReturn(1))
	eventually(t, func() bool { return !a.isConnectedTo(b) && !b.isConnectedTo(a) }, "the partition closes the session")
	dropped := a.count("dropped")
	a.Send("b", loanReturn(2))
	require.Equal(t, dropped+1, a.count("dropped"), "without a session, messages are dropped")
	b.setBlocked("a", false)
	waitForSession(t, a, b)
	a.Send("b", loanReturn(3))
	eventually(t, func() bool { return len(b.received()) > 0 }, "message after the partition")
	require.Equal(t, []string{"a 3"}, b.received())
}

// Guards against a restarted instance that is refused while the session of its previous process is still open, and
// against a process with a lower incarnation that replaces the session of the newer one.
func TestRestartedInstanceReplacesSession(t *testing.T) {
	a := startInstance(t, "a", nil)
	oldProcess := startInstance(t, "b", nil)
	oldProcess.SetPeers(members(a))
	waitForSession(t, a, oldProcess)
	newProcess := startInstance(t, "b", func(c *peer.Config) { c.Incarnation = 2 })
	newProcess.SetPeers(members(a))
	eventually(t, func() bool { return a.Status()[0].Incarnation == 2 }, "the new process has the session")
	eventually(t, func() bool { return !oldProcess.isConnectedTo(a) }, "the session of the old process is closed")
	oldProcess.Close()
	duplicates := a.count("duplicates")
	lateOldProcess := startInstance(t, "b", nil)
	lateOldProcess.SetPeers(members(a))
	eventually(t, func() bool { return a.count("duplicates") > duplicates }, "refusal")
	require.Equal(t, id.Incarnation(2), a.Status()[0].Incarnation)
}

// Guards against a peer whose OnMessage never returns and which thereby delays the messages to other peers.
func TestStalledPeerDoesNotDelayOthers(t *testing.T) {
	release := make(chan struct{})
	a, c := startInstance(t, "a", nil), startInstance(t, "c", nil)
	stalled := startInstance(t, "b", func(c *peer.Config) {
		c.OnMessage = func(id.Instance, *wire.Envelope) { <-release }
	})
	t.Cleanup(func() { close(release) })
	a.SetPeers(members(stalled, c))
	eventually(t, func() bool { return a.isConnectedTo(stalled) && a.isConnectedTo(c) }, "sessions")
	largeMessage := &wire.Envelope{Payload: &wire.Envelope_LoanReply{
		LoanReply: &wire.LoanReply{Limit: string(make([]byte, 100<<10))},
	}}
	for loanID := range uint64(2000) {
		sharedMessage := loanReturn(loanID)
		a.Send("b", largeMessage)
		a.Send("b", sharedMessage)
		a.Send("c", sharedMessage)
		if loanID%100 == 99 {
			eventually(t, func() bool { return len(c.received()) == int(loanID)+1 }, "messages to c")
		}
	}
	require.Positive(t, a.count("dropped"), "the queue of the stalled peer is bounded")
	eventually(t, func() bool { return a.count("opened") > 2 }, "the write timeout closes the stalled session")
}

// Guards against a session with a suspended process that stays open because its connection does.
func TestKeepAliveClosesSessionOfUnresponsivePeer(t *testing.T) {
	a, b := startInstance(t, "a", nil), startInstance(t, "b", nil)
	proxy := newRecordingProxy(t, b.Address())
	a.SetPeers([]store.Member{{Instance: "b", Peer: proxy.address()}})
	waitForSession(t, a, b)
	proxy.stall()
	eventually(t, func() bool { return !a.isConnectedTo(b) && !b.isConnectedTo(a) }, "keepalive closes the session")
}

// Guards against buffering of a frame whose length prefix exceeds the limit.
func TestOversizedFrameClosesSession(t *testing.T) {
	a, b := startInstance(t, "a", nil), startInstance(t, "b", nil)
	a.SetPeers(members(b))
	waitForSession(t, a, b)
	a.Inject([]byte{0x7f, 0xff, 0xff, 0xff, 0})
	eventually(t, func() bool { return a.count("opened") == 2 && b.count("opened") == 2 }, "a new session")
}

// Guards against an EpochReply of the maximum size that is not delivered or that delays other messages.
func TestLargeEpochDoesNotDelayMessages(t *testing.T) {
	a, b := startInstance(t, "a", nil), startInstance(t, "b", nil)
	a.SetPeers(members(b))
	waitForSession(t, a, b)
	a.Send("b", &wire.Envelope{Payload: &wire.Envelope_EpochReply{
		EpochReply: &wire.EpochReply{Epoch: 7, Body: make([]byte, 32<<20)},
	}})
	a.Send("b", loanReturn(1))
	eventually(t, func() bool { return len(b.received()) == 2 }, "both messages")
	require.Equal(t, []string{"a 1", "a epoch 7 of 33554432 bytes"}, b.received())
}

// Guards against a Farewell that is lost because Close does not flush the queue.
func TestCloseFlushesQueue(t *testing.T) {
	a, b := startInstance(t, "a", nil), startInstance(t, "b", nil)
	a.SetPeers(members(b))
	waitForSession(t, a, b)
	for loanID := range uint64(100) {
		a.Send("b", loanReturn(loanID))
	}
	a.Close()
	eventually(t, func() bool { return len(b.received()) == 100 }, "the last messages")
}
