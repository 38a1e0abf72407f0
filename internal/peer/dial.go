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
	minBackoff = 100 * time.Millisecond
	// maximumBackoff bounds the time until a peer that comes back is dialled.
	maxBackoff = 3 * time.Second
	// steadyAfter is the age of a session from which the next attempts start with the shortest pause again.
	backoffResetAge = 2 * time.Second
	// handshakeTimeout ends connections that do not become sessions; the slowest path has a round trip of 110 ms.
	handshakeTimeout = 3 * time.Second
)

// link is what a node knows about one peer; the node's m guards all fields but wake.
type peerState struct {
	instance   id.Instance
	address    string // empty unless the peer is to be dialled
	session    *session
	isDialling bool // whether a dial loop runs
	wake       chan struct{}
}

func (p *peerState) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// startDialing runs a dial loop unless one runs already; the caller holds m.
func (t *Transport) startDialLoop(p *peerState) {
	if p.address == "" || p.isDialling {
		return
	}
	p.isDialling = true
	t.goroutines.Go(func() { t.dialLoop(p) })
}

// dialLoop keeps a session with one peer for as long as the peer is to be dialled.
func (t *Transport) dialLoop(p *peerState) {
	var retryBackoff backoff
	var nextDial time.Time
	for {
		address, connected, ok := t.dialTarget(p)
		if !ok {
			return
		}
		if connected || time.Now().Before(nextDial) || t.config.IsBlocked(p.instance) {
			t.waitForDial(p, nextDial, connected)
			continue
		}
		dialStart := time.Now()
		s, err := t.connect(p.instance, address)
		if err != nil {
			t.log.Debug("dial failed", "peer", p.instance, "address", address, "err", err)
		}
		if s != nil {
			<-s.done
			if time.Since(dialStart) > backoffResetAge {
				retryBackoff = backoff{}
			}
		}
		nextDial = time.Now().Add(retryBackoff.nextDelay())
	}
}

// target returns where to dial the peer and whether it has a session; not ok ends the dial loop.
func (t *Transport) dialTarget(p *peerState) (address string, connected, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed || p.address == "" {
		p.isDialling = false
		t.removeIfUnused(p)
		return "", false, false
	}
	return p.address, p.session != nil, true
}

// sleep waits for a change of the link or until the next attempt is due.
func (t *Transport) waitForDial(p *peerState, nextDial time.Time, connected bool) {
	var due <-chan time.Time
	if !connected {
		timer := time.NewTimer(max(time.Until(nextDial), blockCheckInterval))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-t.ctx.Done():
	case <-p.wake:
	case <-due:
	}
}

// backoff doubles the pause between attempts up to a cap; jitter of up to a half keeps peers from dialling in step.
type backoff struct {
	delay time.Duration
}

func (b *backoff) nextDelay() time.Duration {
	b.delay = min(max(2*b.delay, minBackoff), maxBackoff)
	return b.delay - rand.N(b.delay/2)
}

// connect dials the peer and installs the session.
func (t *Transport) connect(peer id.Instance, address string) (*session, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, &AddressError{Address: address}
	}
	ctx, cancel := context.WithTimeout(t.ctx, handshakeTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &ConnectionError{Step: "dialling", Cause: err}
	}
	s, err := t.upgradeDialled(ctx, &countingConn{Conn: conn, counters: t.counters}, peer)
	if err != nil {
		conn.Close()
		return nil, err
	}
	return s, nil
}

// greet turns a dialled connection into an installed session.
func (t *Transport) upgradeDialled(ctx context.Context, rawConn net.Conn, peer id.Instance) (*session, error) {
	stop := context.AfterFunc(ctx, func() { rawConn.Close() })
	defer stop()
	conn, err := t.wrapTLS(ctx, rawConn, peer)
	if err != nil {
		return nil, err
	}
	h, err := t.newHandshake(conn)
	if err != nil {
		return nil, err
	}
	hello, err := h.dial(conn, peer)
	if err != nil {
		return nil, err
	}
	return t.openSession(ctx, conn, hello, true)
}

// handshake returns the handshake for one connection.
func (t *Transport) newHandshake(conn net.Conn) (handshake, error) {
	binding, err := channelBinding(conn)
	return handshake{
		secret: t.config.Secret, self: t.config.Self, incarnation: t.config.Incarnation, channelBinding: binding,
	}, err
}

// open divides an authenticated connection into streams and installs the session.
func (t *Transport) openSession(ctx context.Context, conn net.Conn, hello *wire.Hello, dialled bool) (*session, error) {
	s := t.newSession(hello, dialled)
	if err := s.multiplex(ctx, conn); err != nil {
		return nil, err
	}
	if err := t.install(s); err != nil {
		s.mux.Close()
		return nil, err
	}
	t.log.Info("session opened", "peer", s.peer, "incarnation", s.incarnation, "dialled", s.dialled)
	return s, nil
}
