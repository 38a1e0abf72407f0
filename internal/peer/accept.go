package peer

import (
	"context"
	"errors"
	"net"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/wire"
)

const (
	// maxConcurrentHandshakes limits the connections that unauthenticated clients can hold open.
	maxConcurrentHandshakes = 64
	// acceptRetryDelay keeps the accept loop from spinning when the process is out of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
	// refusalLogInterval limits the rate of log messages about refused handshakes, which any client can cause.
	refusalLogInterval = 10 * time.Second
)

// acceptLoop handles each connection in its own goroutine, and closes connections that exceed maxConcurrentHandshakes.
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
		select {
		case t.handshakeSlots <- struct{}{}:
			t.goroutines.Go(func() { t.handleConn(conn) })
		default:
			t.counters.refused.Inc(1)
			conn.Close()
		}
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
func (t *Transport) handleConn(conn net.Conn) {
	t.counters.handshakes.Inc(1)
	tunnel, err := t.upgradeAccepted(&countingConn{Conn: conn, counters: t.counters})
	t.counters.handshakes.Dec(1)
	<-t.handshakeSlots
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
func (t *Transport) upgradeAccepted(rawConn net.Conn) (*acceptedTunnel, error) {
	ctx, cancel := context.WithTimeout(t.ctx, handshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { rawConn.Close() })
	defer stop()
	conn, err := t.wrapTLS(ctx, rawConn, "")
	if err != nil {
		return nil, err
	}
	h, err := t.newHandshake(conn)
	if err != nil {
		return nil, err
	}
	hello, err := h.accept(conn, func(hello *wire.Hello) error {
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
