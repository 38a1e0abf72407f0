package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"bluebellhold/id"
	"bluebellhold/internal/wire"
	"bluebellhold/store"
)

// Transport maintains the sessions of one instance with its peers. It is safe for concurrent use.
type Transport struct {
	config     Config
	log        *log.Logger
	counters   counters
	listener   net.Listener
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	// servedTunnels counts the tunnels that lead to upstreams through this instance, those being opened among them.
	servedTunnels atomic.Int64

	mu             sync.Mutex
	peers          map[id.Instance]*peerState
	closed         bool
	nextRefusalLog time.Time // earliest time of the next log message about a refused handshake
}

// New binds the listener and starts to accept connections.
func New(config Config) (*Transport, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, &ListenError{Address: config.Listen, Cause: err}
	}
	t := newTransport(config, listener)
	t.goroutines.Go(t.acceptLoop)
	t.goroutines.Go(t.blockCheckLoop)
	return t, nil
}

func newTransport(config Config, listener net.Listener) *Transport {
	t := &Transport{
		config:   config,
		log:      config.Log.WithPrefix("peer"),
		counters: newCounters(config.Registry),
		listener: listener,
		peers:    make(map[id.Instance]*peerState),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Address returns the address that the Transport listens on.
func (t *Transport) Address() string {
	return t.listener.Addr().String()
}

// SetPeers sets the instances to dial; this instance is skipped.
//
// An open session with an instance that is no longer a member stays open, but this side does not reconnect to it.
func (t *Transport) SetPeers(members []store.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	for _, p := range t.peers {
		p.address = ""
	}
	for _, member := range members {
		if member.Instance != t.config.Self {
			t.ensurePeer(member.Instance).address = member.Peer
		}
	}
	for _, p := range t.peers {
		t.startDialLoop(p)
		p.signal()
		t.removeIfUnused(p)
	}
}

// Send queues m for the peer and never blocks. The caller must not modify m afterwards, but may send it to several
// peers.
//
// If there is no session or its queue is full, m is dropped and counted. A Heartbeat, HeartbeatReply or EpochAnnounced
// replaces a queued message of the same type.
func (t *Transport) Send(to id.Instance, m *wire.Envelope) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[to]
	if t.closed || p == nil || p.session == nil || t.config.IsBlocked(to) {
		t.counters.dropped.Inc(1)
		return
	}
	t.counters.dropped.Inc(int64(p.session.enqueue(m)))
}

// Close sends the queued messages, closes all sessions and waits until all goroutines have returned. A peer that does
// not read in time loses the rest of its messages, and Close does not wait for EpochReply messages.
func (t *Transport) Close() {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		t.goroutines.Wait()
		return
	}
	t.closed = true
	for _, p := range t.peers {
		if p.session != nil {
			t.goroutines.Go(p.session.closeGracefully)
		}
	}
	t.mu.Unlock()
	t.cancel()
	t.listener.Close()
	t.goroutines.Wait()
}

// ensurePeer returns the state of a peer and creates it if needed; the caller holds mu.
func (t *Transport) ensurePeer(peer id.Instance) *peerState {
	p := t.peers[peer]
	if p == nil {
		p = &peerState{instance: peer, wake: make(chan struct{}, 1)}
		t.peers[peer] = p
	}
	return p
}

// removeIfUnused removes the state of a peer that has no session and is not dialled; the caller holds mu.
func (t *Transport) removeIfUnused(p *peerState) {
	if p.session == nil && p.address == "" && !p.isDialling && t.peers[p.instance] == p {
		delete(t.peers, p.instance)
	}
}

// supersedes reports whether s replaces the session old with the same peer.
//
// Both sides reach the same decision. A session with a newer process takes precedence. Between the same two processes,
// the session that the instance with the lower name dialled takes precedence; if one instance dialled both, the later
// one does, because an instance dials again only after its earlier session has closed.
func (s *session) supersedes(old *session) bool {
	if s.incarnation != old.incarnation {
		return s.incarnation > old.incarnation
	}
	if s.dialled == old.dialled {
		return true
	}
	return s.dialled == (s.transport.config.Self < s.peer)
}

// checkSession returns an error unless s may be installed; the caller holds mu.
func (t *Transport) checkSession(s *session) error {
	if t.closed {
		return &ClosedError{}
	}
	if t.config.IsBlocked(s.peer) {
		return &BlockedError{Peer: s.peer}
	}
	p := t.peers[s.peer]
	if p != nil && p.session != nil && !s.supersedes(p.session) {
		return &DuplicateSessionError{Peer: s.peer}
	}
	return nil
}

// install makes s the session with its peer and starts its goroutines. The messages that are queued in a replaced
// session move to s.
func (t *Transport) install(s *session) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.checkSession(s); err != nil {
		return err
	}
	p := t.ensurePeer(s.peer)
	old := p.session
	p.session = s
	t.counters.sessions.Inc(1)
	t.counters.opened.Inc(1)
	if old != nil {
		s.requeueFrom(old)
		t.goroutines.Go(func() { old.close(&DuplicateSessionError{Peer: s.peer}) })
	}
	t.goroutines.Go(s.readLoop)
	t.goroutines.Go(s.writeLoop)
	t.goroutines.Go(s.epochReadLoop)
	p.signal()
	return nil
}

// uninstall removes s when it closes, and reports whether it was the session with its peer.
func (t *Transport) uninstall(s *session) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counters.sessions.Dec(1)
	p := t.peers[s.peer]
	if p == nil || p.session != s {
		return false
	}
	p.session = nil
	p.signal()
	t.removeIfUnused(p)
	return true
}
