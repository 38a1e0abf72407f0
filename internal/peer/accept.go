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
	// handshakesAtOnce bounds the connections that strangers can hold open.
	handshakesAtOnce = 64
	// acceptPause keeps the accept loop from spinning when the process is out of file descriptors.
	acceptPause = 50 * time.Millisecond
	// refusalInterval spaces the log lines about refused handshakes, which a stranger can cause at will.
	refusalInterval = 10 * time.Second
)

// acceptLoop hands each connection to a goroutine of its own.
func (n *Transport) acceptLoop() {
	for {
		conn, err := n.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.log.Warn("accept failed", "err", err)
			n.pause(acceptPause)
			continue
		}
		select {
		case n.handshakes <- struct{}{}:
			n.wait.Go(func() { n.acceptConn(conn) })
		default:
			n.meters.refused.Inc(1)
			conn.Close()
		}
	}
}

func (n *Transport) pause(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(d):
	}
}

// acceptConn turns an accepted connection into a session or closes it.
func (n *Transport) acceptConn(conn net.Conn) {
	n.meters.handshakes.Inc(1)
	err := n.answer(&meteredConn{Conn: conn, meters: n.meters})
	n.meters.handshakes.Dec(1)
	<-n.handshakes
	if err == nil {
		return
	}
	conn.Close()
	switch err.(type) {
	case *DuplicateSessionError:
		n.meters.duplicates.Inc(1)
	case *BlockedError, *ClosedError:
	default:
		n.meters.refused.Inc(1)
		n.logRefusal(conn.RemoteAddr(), err)
	}
}

func (n *Transport) logRefusal(remote net.Addr, err error) {
	n.m.Lock()
	now := time.Now()
	due := !now.Before(n.refusal)
	if due {
		n.refusal = now.Add(refusalInterval)
	}
	n.m.Unlock()
	if due {
		n.log.Warn("handshake refused", "address", remote, "err", err)
	}
}

// answer turns an accepted connection into an installed session.
func (n *Transport) answer(plain net.Conn) error {
	ctx, cancel := context.WithTimeout(n.ctx, handshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { plain.Close() })
	defer stop()
	conn, err := n.secure(ctx, plain, "")
	if err != nil {
		return err
	}
	h, err := n.handshake(conn)
	if err != nil {
		return err
	}
	hello, err := h.accept(conn, func(hello *wire.Hello) error {
		if err := certified(conn, id.Instance(hello.GetInstance())); err != nil {
			return err
		}
		n.m.Lock()
		defer n.m.Unlock()
		return n.admissible(n.newSession(hello, false))
	})
	if err != nil {
		return err
	}
	_, err = n.open(ctx, conn, hello, false)
	return err
}
