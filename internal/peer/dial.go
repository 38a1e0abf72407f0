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
	// minBackoff is the initial delay between attempts to reach a peer, for example one that restarts.
	minBackoff = 100 * time.Millisecond
	// maxBackoff limits the time until a recovered peer is dialled again.
	maxBackoff = 3 * time.Second
	// backoffResetAge is the age beyond which a session that closes resets the backoff.
	backoffResetAge = 2 * time.Second
	// handshakeTimeout limits the time from dialling or accepting a connection to an open session; the slowest path has
	// a round trip of 110 ms.
	handshakeTimeout = 3 * time.Second
	// connectTimeout limits the time for a connection. It covers the slowest round trip and no retransmission: a host that
	// starts a moment later is reached sooner by a second attempt.
	connectTimeout = 300 * time.Millisecond
)

// peerState is the state of one peer. The Transport's mu guards all fields but wake.
type peerState struct {
	instance   id.Instance
	address    string // empty if the peer is not to be dialled
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

// startDialLoop starts a dial loop unless one is running; the caller holds mu.
func (t *Transport) startDialLoop(p *peerState) {
	if p.address == "" || p.isDialling {
		return
	}
	p.isDialling = true
	t.goroutines.Go(func() { t.dialLoop(p) })
}

// dialLoop reconnects to one peer for as long as the peer is to be dialled.
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

// dialTarget returns the address to dial and whether the peer has a session; the dial loop ends when ok is false.
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

// waitForDial waits until the state of the peer changes or the next dial is due. A peer that is due but blocked is
// checked again after blockCheckInterval.
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

// backoff is an exponential backoff with a cap. Jitter of up to a half keeps instances from dialling at the same time.
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
	dialer := net.Dialer{Timeout: connectTimeout}
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

// upgradeDialled authenticates a dialled connection and installs a session on it.
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

// newHandshake returns the handshake for one connection.
func (t *Transport) newHandshake(conn net.Conn) (handshake, error) {
	binding, err := channelBinding(conn)
	return handshake{
		secret: t.config.Secret, self: t.config.Self, incarnation: t.config.Incarnation, channelBinding: binding,
	}, err
}

// openSession starts multiplexing on an authenticated connection and installs the session.
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
	t.config.OnOpened(s.peer)
	return s, nil
}
