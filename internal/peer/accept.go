package peer

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/occupancy"
	"bluebellhold/internal/wire"
)

const (
	// defaultDescriptors bounds the connections of a Transport whose Config has no Clients.
	defaultDescriptors = 1024
	// defaultMemory is what these connections may take.
	defaultMemory id.Bytes = 64 << 20
	// acceptRetryDelay keeps the accept loop from spinning when the process is out of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
	// refusalLogInterval limits the rate of log messages about refused handshakes, which any client can cause.
	refusalLogInterval = 10 * time.Second
)

// clientConn is an accepted connection, which counts as a client until it is closed. Strangers make room for others until they
// have authenticated themselves.
type clientConn struct {
	net.Conn
	client          *occupancy.Client
	isAuthenticated atomic.Bool
}

// NetConn returns the connection below.
func (c *clientConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.client.End()
	return err
}

// evict closes the connection of a stranger, and reports whether it is one.
func (c *clientConn) evict(bool) bool {
	if c.isAuthenticated.Load() {
		return false
	}
	_ = c.Close()
	return true
}

// authenticate records that the connection is that of another instance.
func (c *clientConn) authenticate() {
	c.isAuthenticated.Store(true)
	c.client.Enter(occupancy.Running)
}

// acceptLoop handles each connection for which there is room in its own goroutine.
func (t *Transport) acceptLoop() {
	for {
		conn, err := t.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			t.log.Warn("accept failed", "err", err)
			t.sleep(acceptRetryDelay)
			continue
		}
		accepted := &clientConn{Conn: conn}
		accepted.client = t.config.Clients.NewClient(occupancy.Control, accepted.evict)
		accepted.client.Enter(occupancy.Head)
		if !accepted.client.Open() {
			t.counters.refused.Inc(1)
			conn.Close()
			continue
		}
		t.goroutines.Go(func() { t.handleConn(accepted) })
	}
}

// sleep waits for d or until the Transport is closed.
func (t *Transport) sleep(d time.Duration) {
	select {
	case <-t.ctx.Done():
	case <-time.After(d):
	}
}

// handleConn turns an accepted connection into a session or closes it.
func (t *Transport) handleConn(conn *clientConn) {
	t.counters.handshakes.Inc(1)
	tunnel, err := t.upgradeAccepted(conn)
	t.counters.handshakes.Dec(1)
	if err == nil && tunnel != nil {
		t.serveTunnel(tunnel)
		return
	}
	if err == nil {
		return
	}
	conn.Close()
	switch err.(type) {
	case *DuplicateSessionError:
		t.counters.duplicates.Inc(1)
	case *BlockedError, *ClosedError:
	default:
		t.counters.refused.Inc(1)
		t.logRefusal(conn.RemoteAddr(), err)
	}
}

func (t *Transport) logRefusal(remote net.Addr, err error) {
	t.mu.Lock()
	now := time.Now()
	due := !now.Before(t.nextRefusalLog)
	if due {
		t.nextRefusalLog = now.Add(refusalLogInterval)
	}
	t.mu.Unlock()
	if due {
		t.log.Warn("handshake refused", "address", remote, "err", err)
	}
}

// upgradeAccepted authenticates an accepted connection and installs a session on it, unless it is for a tunnel, which it
// returns.
func (t *Transport) upgradeAccepted(accepted *clientConn) (*acceptedTunnel, error) {
	ctx, cancel := context.WithTimeout(t.ctx, handshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { accepted.Close() })
	defer stop()
	conn, err := t.wrapTLS(ctx, &countingConn{Conn: accepted, counters: t.counters}, "")
	if err != nil {
		return nil, err
	}
	h, err := t.newHandshake(conn)
	if err != nil {
		return nil, err
	}
	hello, err := h.accept(conn, func(hello *wire.Hello) error {
		accepted.authenticate()
		if err := verifyCertificateName(conn, id.Instance(hello.GetInstance())); err != nil {
			return err
		}
		if hello.GetTunnel() != nil {
			return t.checkTunnel(id.Instance(hello.GetInstance()))
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.checkSession(t.newSession(hello, false))
	})
	if err != nil {
		return nil, err
	}
	if tunnel := hello.GetTunnel(); tunnel != nil {
		return &acceptedTunnel{conn: conn, peer: id.Instance(hello.GetInstance()), target: TunnelTarget{
			Upstream: id.Upstream(tunnel.GetUpstream()), Incarnation: id.Incarnation(tunnel.GetIncarnation()),
		}}, nil
	}
	_, err = t.openSession(ctx, conn, hello, false)
	return nil, err
}
