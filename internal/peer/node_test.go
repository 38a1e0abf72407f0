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

var secret = []byte("a secret of enough bytes")

// instance is a node that records what it receives.
type instance struct {
	*peer.Transport
	name     id.Instance
	registry metrics.Registry
	m        sync.Mutex
	got      []string
	blocked  map[id.Instance]bool
}

func start(t testing.TB, name id.Instance, change func(*peer.Config)) *instance {
	i := &instance{name: name, registry: metrics.NewRegistry(), blocked: make(map[id.Instance]bool)}
	config := peer.Config{
		Self: name, Incarnation: 1, Listen: "127.0.0.1:0", Secret: secret, Registry: i.registry,
		OnMessage: i.receive,
		IsBlocked: func(p id.Instance) bool {
			i.m.Lock()
			defer i.m.Unlock()
			return i.blocked[p]
		},
	}
	if change != nil {
		change(&config)
	}
	node, err := peer.New(config)
	require.NoError(t, err)
	t.Cleanup(node.Close)
	i.Transport = node
	return i
}

func (i *instance) receive(from id.Instance, m *wire.Envelope) {
	i.m.Lock()
	defer i.m.Unlock()
	text := fmt.Sprintf("%s %d", from, m.GetLoanReturn().GetId())
	if reply := m.GetEpochReply(); reply != nil {
		text = fmt.Sprintf("%s epoch %d of %d bytes", from, reply.GetEpoch(), len(reply.GetBody()))
	}
	i.got = append(i.got, text)
}

func (i *instance) received() []string {
	i.m.Lock()
	defer i.m.Unlock()
	return append([]string(nil), i.got...)
}

func (i *instance) block(p id.Instance, cut bool) {
	i.m.Lock()
	defer i.m.Unlock()
	i.blocked[p] = cut
}

func (i *instance) count(name string) int64 {
	return metrics.GetOrRegisterCounter("peer."+name, i.registry).Count()
}

func (i *instance) connected(p *instance) bool {
	for _, s := range i.Status() {
		if s.Peer == p.name {
			return s.Connected
		}
	}
	return false
}

func members(all ...*instance) []store.Member {
	var list []store.Member
	for _, i := range all {
		list = append(list, store.Member{Instance: i.name, Peer: i.Address()})
	}
	return list
}

func loan(number uint64) *wire.Envelope {
	return &wire.Envelope{Payload: &wire.Envelope_LoanReturn{LoanReturn: &wire.LoanReturn{Id: number}}}
}

func eventually(t testing.TB, condition func() bool, why string) {
	require.Eventually(t, condition, 20*time.Second, 5*time.Millisecond, why)
}

// linked waits until a and b agree on one session.
func linked(t testing.TB, a, b *instance) {
	eventually(t, func() bool {
		return a.count("sessions") == 1 && b.count("sessions") == 1 &&
			a.count("handshakes") == 0 && b.count("handshakes") == 0 &&
			a.Status()[0].Dialled != b.Status()[0].Dialled
	}, "one session")
}

// Guards against two surviving sessions, none at all, or messages delivered twice when both sides dial at once.
func TestSimultaneousDialLeavesOneSession(t *testing.T) {
	for range 20 {
		a, b := start(t, "a", nil), start(t, "b", nil)
		var both sync.WaitGroup
		both.Go(func() { a.SetPeers(members(a, b)) })
		both.Go(func() { b.SetPeers(members(a, b)) })
		both.Wait()
		linked(t, a, b)
		var sent []string
		for number := range uint64(50) {
			a.Send("b", loan(number))
			sent = append(sent, fmt.Sprintf("a %d", number))
		}
		eventually(t, func() bool { return len(b.received()) == len(sent) }, "all messages")
		require.Equal(t, sent, b.received())
		a.Close()
		b.Close()
	}
}

// Guards against a cut that lets messages through, and against a session that stays down after the cut.
func TestReconnectAfterCut(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.SetPeers(members(b))
	b.SetPeers(members(a))
	linked(t, a, b)
	b.block("a", true)
	a.Send("b", loan(1))
	eventually(t, func() bool { return !a.connected(b) && !b.connected(a) }, "the cut ends the session")
	dropped := a.count("dropped")
	a.Send("b", loan(2))
	require.Equal(t, dropped+1, a.count("dropped"), "without a session, messages are dropped")
	b.block("a", false)
	linked(t, a, b)
	a.Send("b", loan(3))
	eventually(t, func() bool { return len(b.received()) > 0 }, "message after the cut")
	require.Equal(t, []string{"a 3"}, b.received())
}

// Guards against a restarted instance that is refused while its predecessor's session is still open, and against a
// predecessor that takes over again.
func TestSuccessorReplacesPredecessor(t *testing.T) {
	a := start(t, "a", nil)
	first := start(t, "b", nil)
	first.SetPeers(members(a))
	linked(t, a, first)
	second := start(t, "b", func(c *peer.Config) { c.Incarnation = 2 })
	second.SetPeers(members(a))
	eventually(t, func() bool { return a.Status()[0].Incarnation == 2 }, "the successor has the session")
	eventually(t, func() bool { return !first.connected(a) }, "the predecessor has lost its session")
	first.Close()
	duplicates := a.count("duplicates")
	third := start(t, "b", nil)
	third.SetPeers(members(a))
	eventually(t, func() bool { return a.count("duplicates") > duplicates }, "refusal")
	require.Equal(t, id.Incarnation(2), a.Status()[0].Incarnation)
}

// Guards against a peer whose OnMessage never returns and that delays the messages to the others.
func TestStuckPeerDelaysNoOther(t *testing.T) {
	hold := make(chan struct{})
	a, c := start(t, "a", nil), start(t, "c", nil)
	stuck := start(t, "b", func(c *peer.Config) {
		c.OnMessage = func(id.Instance, *wire.Envelope) { <-hold }
	})
	t.Cleanup(func() { close(hold) })
	a.SetPeers(members(stuck, c))
	eventually(t, func() bool { return a.connected(stuck) && a.connected(c) }, "sessions")
	large := &wire.Envelope{Payload: &wire.Envelope_LoanReply{LoanReply: &wire.LoanReply{Limit: string(make([]byte, 100<<10))}}}
	for number := range uint64(2000) {
		shared := loan(number)
		a.Send("b", large)
		a.Send("b", shared)
		a.Send("c", shared)
		if number%100 == 99 {
			eventually(t, func() bool { return len(c.received()) == int(number)+1 }, "messages to c")
		}
	}
	require.Positive(t, a.count("dropped"), "the stuck peer's queue is bounded")
	eventually(t, func() bool { return a.count("opened") > 2 }, "the write timeout ends the stuck session")
}

// Guards against the session of a frozen process that is never noticed, because its connection stays open.
func TestFrozenPeerLosesItsSession(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	path := newRelay(t, b.Address())
	a.SetPeers([]store.Member{{Instance: "b", Peer: path.address()}})
	linked(t, a, b)
	path.freeze()
	eventually(t, func() bool { return !a.connected(b) && !b.connected(a) }, "keepalive ends the session")
}

// Guards against a frame over the limit that a peer's bytes make the node buffer.
func TestFrameOverLimitEndsSession(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.SetPeers(members(b))
	linked(t, a, b)
	a.Inject([]byte{0x7f, 0xff, 0xff, 0xff, 0})
	eventually(t, func() bool { return a.count("opened") == 2 && b.count("opened") == 2 }, "a new session")
}

// Guards against an epoch's content of the full size that does not arrive, or that other messages wait for.
func TestLargeEpochArrivesBesideMessages(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.SetPeers(members(b))
	linked(t, a, b)
	a.Send("b", &wire.Envelope{Payload: &wire.Envelope_EpochReply{
		EpochReply: &wire.EpochReply{Epoch: 7, Body: make([]byte, 32<<20)},
	}})
	a.Send("b", loan(1))
	eventually(t, func() bool { return len(b.received()) == 2 }, "both messages")
	require.Equal(t, []string{"a 1", "a epoch 7 of 33554432 bytes"}, b.received())
}

// Guards against a farewell that is lost because Close does not wait for it.
func TestCloseSendsWhatIsQueued(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	a.SetPeers(members(b))
	linked(t, a, b)
	for number := range uint64(100) {
		a.Send("b", loan(number))
	}
	a.Close()
	eventually(t, func() bool { return len(b.received()) == 100 }, "the last messages")
}
