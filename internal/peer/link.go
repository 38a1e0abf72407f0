package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/wire"
)

const (
	// minimumBackoff spaces the first attempts to reach a restarting peer.
	minimumBackoff = 100 * time.Millisecond
	// maximumBackoff bounds the time until a peer that comes back is dialled.
	maximumBackoff = 3 * time.Second
	// steadyAfter is the age of a session from which the next attempts start with the shortest pause again.
	steadyAfter = 2 * time.Second
	// handshakeTimeout ends connections that do not become sessions; the slowest path has a round trip of 110 ms.
	handshakeTimeout = 3 * time.Second
)

// link is what a node knows about one peer; the node's m guards all fields but wake.
type link struct {
	peer    id.Instance
	address string // empty unless the peer is to be dialled
	session *session
	dialing bool // whether a dial loop runs
	wake    chan struct{}
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// startDialing runs a dial loop unless one runs already; the caller holds m.
func (n *Transport) startDialing(l *link) {
	if l.address == "" || l.dialing {
		return
	}
	l.dialing = true
	n.wait.Go(func() { n.dialLoop(l) })
}

// dialLoop keeps a session with one peer for as long as the peer is to be dialled.
func (n *Transport) dialLoop(l *link) {
	var pause backoff
	var next time.Time
	for {
		address, connected, ok := n.target(l)
		if !ok {
			return
		}
		if connected || time.Now().Before(next) || n.config.IsBlocked(l.peer) {
			n.sleep(l, next, connected)
			continue
		}
		started := time.Now()
		lived, err := n.connect(l.peer, address)
		if err != nil {
			n.log.Debug("dial failed", "peer", l.peer, "address", address, "err", err)
		}
		if lived != nil {
			<-lived.ended
			if time.Since(started) > steadyAfter {
				pause = backoff{}
			}
		}
		next = time.Now().Add(pause.next())
	}
}

// target returns where to dial the peer and whether it has a session; not ok ends the dial loop.
func (n *Transport) target(l *link) (address string, connected, ok bool) {
	n.m.Lock()
	defer n.m.Unlock()
	if n.closed || l.address == "" {
		l.dialing = false
		n.forget(l)
		return "", false, false
	}
	return l.address, l.session != nil, true
}

// sleep waits for a change of the link or until the next attempt is due.
func (n *Transport) sleep(l *link, next time.Time, connected bool) {
	var due <-chan time.Time
	if !connected {
		timer := time.NewTimer(max(time.Until(next), blockInterval))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-n.ctx.Done():
	case <-l.wake:
	case <-due:
	}
}

// backoff doubles the pause between attempts up to a cap; jitter of up to a half keeps peers from dialling in step.
type backoff struct {
	pause time.Duration
}

func (b *backoff) next() time.Duration {
	b.pause = min(max(2*b.pause, minimumBackoff), maximumBackoff)
	return b.pause - rand.N(b.pause/2)
}

// connect dials the peer and installs the session.
func (n *Transport) connect(peer id.Instance, address string) (*session, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, &AddressError{Address: address}
	}
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &ConnectionError{Step: "dialling", Cause: err}
	}
	s, err := n.greet(ctx, &meteredConn{Conn: conn, meters: n.meters}, peer)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return s, nil
}

// greet turns a dialled connection into an installed session.
func (n *Transport) greet(ctx context.Context, plain net.Conn, peer id.Instance) (*session, error) {
	stop := context.AfterFunc(ctx, func() { plain.Close() })
	defer stop()
	conn, err := n.secure(ctx, plain, peer)
	if err != nil {
		return nil, err
	}
	h, err := n.handshake(conn)
	if err != nil {
		return nil, err
	}
	hello, err := h.dial(conn, peer)
	if err != nil {
		return nil, err
	}
	return n.open(ctx, conn, hello, true)
}

// handshake returns the handshake for one connection.
func (n *Transport) handshake(conn net.Conn) (handshake, error) {
	material, err := binding(conn)
	return handshake{
		secret: n.config.Secret, self: n.config.Self, own: n.config.Incarnation, binding: material,
	}, err
}

// open divides an authenticated connection into streams and installs the session.
func (n *Transport) open(ctx context.Context, conn net.Conn, hello *wire.Hello, dialled bool) (*session, error) {
	s := n.newSession(hello, dialled)
	if err := s.multiplex(ctx, conn); err != nil {
		return nil, err
	}
	if err := n.install(s); err != nil {
		s.mux.Close()
		return nil, err
	}
	n.log.Info("session opened", "peer", s.peer, "incarnation", s.incarnation, "dialled", s.dialled)
	return s, nil
}
