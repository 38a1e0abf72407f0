package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"bluebellhold/id"
	"bluebellhold/internal/wire"
	"bluebellhold/store"
)

// Transport keeps the sessions of one instance. It is safe for concurrent use.
type Transport struct {
	config     Config
	log        *log.Logger
	meters     meters
	listener   net.Listener
	ctx        context.Context
	cancel     context.CancelFunc
	wait       sync.WaitGroup
	handshakes chan struct{}

	m       sync.Mutex
	links   map[id.Instance]*link
	closed  bool
	refusal time.Time // earliest time of the next log line about a refused handshake
}

// New binds the listener and starts to accept sessions.
func New(config Config) (*Transport, error) {
	config, err := config.validated()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, &ListenError{Address: config.Listen, Cause: err}
	}
	n := newNode(config, listener)
	n.wait.Go(n.acceptLoop)
	n.wait.Go(n.blockLoop)
	return n, nil
}

func newNode(config Config, listener net.Listener) *Transport {
	n := &Transport{
		config:     config,
		log:        config.Log.WithPrefix("peer"),
		meters:     newMeters(config.Registry),
		listener:   listener,
		handshakes: make(chan struct{}, handshakesAtOnce),
		links:      make(map[id.Instance]*link),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Address returns the address that the node listens on.
func (n *Transport) Address() string {
	return n.listener.Addr().String()
}

// SetPeers sets which instances the node dials.
//
// A session with an instance that is not among them stays while it lives but is not re-established from this side.
func (n *Transport) SetPeers(members []store.Member) {
	n.m.Lock()
	defer n.m.Unlock()
	if n.closed {
		return
	}
	for _, l := range n.links {
		l.address = ""
	}
	for _, member := range members {
		if member.Instance != n.config.Self {
			n.link(member.Instance).address = member.Peer
		}
	}
	for _, l := range n.links {
		n.startDialing(l)
		l.signal()
		n.forget(l)
	}
}

// Send queues m for the peer and never blocks. The same m may be sent to several peers but not be changed any more.
//
// Without a session, or when the peer's queue is full, m is dropped and counted. A heartbeat, a reply to one or an
// announcement takes the place of one that still waits.
func (n *Transport) Send(to id.Instance, m *wire.Envelope) {
	n.m.Lock()
	defer n.m.Unlock()
	l := n.links[to]
	if n.closed || l == nil || l.session == nil || n.config.IsBlocked(to) {
		n.meters.dropped.Inc(1)
		return
	}
	n.meters.dropped.Inc(int64(l.session.put(m)))
}

// Close sends what is queued, ends all sessions and waits until the node has stopped.
func (n *Transport) Close() {
	n.m.Lock()
	if n.closed {
		n.m.Unlock()
		n.wait.Wait()
		return
	}
	n.closed = true
	for _, l := range n.links {
		if l.session != nil {
			n.wait.Go(l.session.finish)
		}
	}
	n.m.Unlock()
	n.cancel()
	n.listener.Close()
	n.wait.Wait()
}

// link returns the link to a peer and creates it if needed; the caller holds m.
func (n *Transport) link(peer id.Instance) *link {
	l := n.links[peer]
	if l == nil {
		l = &link{peer: peer, wake: make(chan struct{}, 1)}
		n.links[peer] = l
	}
	return l
}

// forget drops a link that has no session and is not dialled; the caller holds m.
func (n *Transport) forget(l *link) {
	if l.session == nil && l.address == "" && !l.dialing && n.links[l.peer] == l {
		delete(n.links, l.peer)
	}
}

// precedes tells whether a session s takes the place of the session old with the same peer.
//
// Both sides decide alike: the newer process wins. Of two sessions of the same processes, the one that the instance
// with the lower name dialled wins, and the later one if the same instance dialled both, because an instance dials
// again only when its earlier session has ended.
func (s *session) precedes(old *session) bool {
	if s.incarnation != old.incarnation {
		return s.incarnation > old.incarnation
	}
	if s.dialled == old.dialled {
		return true
	}
	return s.dialled == (s.node.config.Self < s.peer)
}

// admissible checks whether s may be installed; the caller holds m.
func (n *Transport) admissible(s *session) error {
	if n.closed {
		return &ClosedError{}
	}
	if n.config.IsBlocked(s.peer) {
		return &BlockedError{Peer: s.peer}
	}
	l := n.links[s.peer]
	if l != nil && l.session != nil && !s.precedes(l.session) {
		return &DuplicateSessionError{Peer: s.peer}
	}
	return nil
}

// install makes s the session with its peer, hands it the messages of the one it replaces and starts it.
func (n *Transport) install(s *session) error {
	n.m.Lock()
	defer n.m.Unlock()
	if err := n.admissible(s); err != nil {
		return err
	}
	l := n.link(s.peer)
	old := l.session
	l.session = s
	n.meters.sessions.Inc(1)
	n.meters.opened.Inc(1)
	if old != nil {
		s.adopt(old)
		n.wait.Go(func() { old.end(&DuplicateSessionError{Peer: s.peer}) })
	}
	n.wait.Go(s.readLoop)
	n.wait.Go(s.writeLoop)
	n.wait.Go(s.acceptLoop)
	l.signal()
	return nil
}

// uninstall removes s after it has ended.
func (n *Transport) uninstall(s *session) {
	n.m.Lock()
	defer n.m.Unlock()
	n.meters.sessions.Dec(1)
	l := n.links[s.peer]
	if l == nil || l.session != s {
		return
	}
	l.session = nil
	l.signal()
	n.forget(l)
}
