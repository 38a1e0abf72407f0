package peer

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/occupancy"
	"bluebellhold/internal/tcp"
	"bluebellhold/internal/wire"
)

const (
	// tunnelTimeout limits the time from dialling a peer to the open tunnel, including the peer's connect to the upstream.
	tunnelTimeout = 1500 * time.Millisecond
	// maxChunkSize is the largest chunk of an upstream's bytes, and the size of the copy buffers of a tunnel.
	maxChunkSize = 16 << 10
	// maxServedTunnels bounds the tunnels that lead to upstreams through this instance, each of which takes two descriptors and
	// two buffers.
	maxServedTunnels = 256
)

// TunnelTarget names the process of an upstream that a tunnel leads to.
type TunnelTarget struct {
	Upstream    id.Upstream
	Incarnation id.Incarnation
}

// tunnel is the dialling side of a tunnel. Its reads return the upstream's bytes.
type tunnel struct {
	net.Conn
	socket syscall.Conn
	// remaining is the number of bytes of the current chunk that have not been read.
	remaining int
	isEnded   bool
}

// SyscallConn returns the socket of the connection to the peer.
func (t *tunnel) SyscallConn() (syscall.RawConn, error) { return t.socket.SyscallConn() }

// NetConn returns the connection to the peer.
func (t *tunnel) NetConn() net.Conn { return t.Conn }

// Buffered returns the number of bytes that the peer has announced and that have not been read.
func (t *tunnel) Buffered() int { return t.remaining }

// Close tells the peer that no request is left, so that the upstream still gets what was sent; tcp.Abort tells it the opposite.
func (t *tunnel) Close() error { return tcp.Close(t.Conn) }

// Write sends bytes to the upstream. TLS does not tell how much of a failed write was sent, so that at least one byte is
// reported.
func (t *tunnel) Write(b []byte) (int, error) {
	n, err := t.Conn.Write(b)
	if _, isTLS := t.Conn.(*tls.Conn); isTLS && err != nil {
		n = max(n, min(len(b), 1))
	}
	return n, err
}

// Read reads bytes of the upstream. It returns io.EOF only if the upstream has closed the connection: if the peer is lost,
// an answer must not look complete.
func (t *tunnel) Read(b []byte) (int, error) {
	if t.remaining == 0 && !t.isEnded {
		var prefix [lengthPrefixSize]byte
		if _, err := io.ReadFull(t.Conn, prefix[:]); err != nil {
			return 0, tunnelError(err)
		}
		size := binary.BigEndian.Uint32(prefix[:])
		if size > maxChunkSize {
			return 0, &FrameTooLargeError{Size: int(size), Limit: maxChunkSize}
		}
		t.remaining, t.isEnded = int(size), size == 0
	}
	if t.isEnded {
		return 0, io.EOF
	}
	n, err := t.Conn.Read(b[:min(len(b), t.remaining)])
	t.remaining -= n
	return n, tunnelError(err)
}

func tunnelError(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// OpenTunnel connects to an upstream through the peer at the address, and returns the connection. The peer connects only to
// upstreams that it knows itself.
//
// The error is a TunnelRefusedError if the peer does not connect to the upstream. After any error, nothing has reached the
// upstream.
func (t *Transport) OpenTunnel(ctx context.Context, peer id.Instance, address string, target TunnelTarget) (tcp.Conn, error) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, &AddressError{Address: address}
	}
	if err := t.checkTunnel(peer); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, tunnelTimeout)
	defer cancel()
	dialer := net.Dialer{Timeout: connectTimeout, Control: tcp.ControlRequests, KeepAlive: -1}
	rawConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &ConnectionError{Step: "dialling", Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { rawConn.Close() })
	conn, err := t.requestTunnel(ctx, &countingConn{Conn: rawConn, counters: t.counters}, peer, target)
	if !stop() && err == nil {
		err = &ConnectionError{Step: "opening a tunnel", Cause: context.Cause(ctx)}
	}
	if err != nil {
		rawConn.Close()
		return nil, err
	}
	t.counters.tunnels.Inc(1)
	return &tunnel{Conn: conn, socket: rawConn.(syscall.Conn)}, nil
}

// requestTunnel authenticates the connection and waits until the peer has connected it to the upstream.
func (t *Transport) requestTunnel(
	ctx context.Context, rawConn net.Conn, peer id.Instance, target TunnelTarget,
) (net.Conn, error) {
	conn, err := t.wrapTLS(ctx, rawConn, peer)
	if err != nil {
		return nil, err
	}
	h, err := t.newHandshake(conn)
	if err != nil {
		return nil, err
	}
	h.tunnel = &wire.Tunnel{Upstream: string(target.Upstream), Incarnation: uint64(target.Incarnation)}
	if _, err := h.dial(conn, peer); err != nil {
		return nil, err
	}
	var reply wire.TunnelReply
	reader := frameReader{source: conn, maxSize: maxHandshakeFrameSize}
	if err := reader.readFrame(&reply); err != nil {
		return nil, &ConnectionError{Step: "opening a tunnel", Cause: err}
	}
	if reply.GetStatus() != wire.TunnelReply_OPEN {
		return nil, &TunnelRefusedError{Peer: peer, IsUnreached: reply.GetStatus() == wire.TunnelReply_UNREACHED}
	}
	return conn, nil
}

// checkTunnel returns an error if no tunnel may be opened to or from the peer.
func (t *Transport) checkTunnel(peer id.Instance) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return &ClosedError{}
	}
	if t.config.IsBlocked(peer) {
		return &BlockedError{Peer: peer}
	}
	return nil
}

// acceptedTunnel is an authenticated connection of a peer that is to lead to an upstream.
type acceptedTunnel struct {
	conn   net.Conn
	peer   id.Instance
	target TunnelTarget
	// upstream counts the connection to the upstream, which the peer occupies too.
	upstream *occupancy.Client
}

// ServedTunnels returns the number of tunnels that lead to upstreams through this instance.
func (t *Transport) ServedTunnels() int { return int(t.servedTunnels.Load()) }

// connectUpstream connects a tunnel to its upstream unless there are too many.
func (t *Transport) connectUpstream(a *acceptedTunnel) (net.Conn, error) {
	if t.servedTunnels.Load() > maxServedTunnels {
		t.log.Warn("too many tunnels", "peer", a.peer, "limit", maxServedTunnels)
		return nil, &TunnelRefusedError{Peer: t.config.Self}
	}
	if !a.upstream.Open() {
		return nil, &TunnelRefusedError{Peer: t.config.Self}
	}
	ctx, cancel := context.WithTimeout(t.ctx, tunnelTimeout)
	defer cancel()
	return t.config.OnTunnel(ctx, a.peer, a.target)
}

// serveTunnel connects a peer to an upstream and copies bytes until one of the sides closes.
func (t *Transport) serveTunnel(a *acceptedTunnel) {
	t.servedTunnels.Add(1)
	defer t.servedTunnels.Add(-1)
	a.upstream = t.config.Clients.NewClient(occupancy.Control, func(bool) bool { return false })
	a.upstream.Enter(occupancy.Running)
	defer a.upstream.End()
	upstream, err := t.connectUpstream(a)
	status := wire.TunnelReply_OPEN
	var refused *TunnelRefusedError
	switch {
	case errors.As(err, &refused) && !refused.IsUnreached:
		status = wire.TunnelReply_REFUSED
	case err != nil:
		status = wire.TunnelReply_UNREACHED
	}
	_ = a.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if replyErr := writeFrame(a.conn, &wire.TunnelReply{Status: status}, maxHandshakeFrameSize); err == nil {
		err = replyErr
	}
	if err != nil {
		t.log.Debug("tunnel not opened", "peer", a.peer, "upstream", a.target.Upstream, "err", err)
		_ = a.conn.Close()
		if upstream != nil {
			_ = upstream.Close()
		}
		return
	}
	_ = a.conn.SetWriteDeadline(time.Time{})
	t.counters.servedTunnels.Inc(1)
	defer t.counters.servedTunnels.Dec(1)
	stop := context.AfterFunc(t.ctx, func() {
		tcp.Abort(a.conn)
		tcp.Abort(upstream)
	})
	defer stop()
	var copying sync.WaitGroup
	var guard tcp.ResetGuard
	copying.Go(func() { copyRequests(upstream, a.conn, &guard) })
	copyResponses(a.conn, upstream, &guard)
	copying.Wait()
}

// resetCheckInterval is the time between two checks whether the peer has given up a request that the upstream does not
// accept.
const resetCheckInterval = 100 * time.Millisecond

// copyRequests copies the bytes of the peer to the upstream. When the peer closes its side, the upstream is to stop its
// work. Unless the peer closes it regularly, it has given up its request, and the upstream's connection is reset, so that
// nothing of the request is delivered any more.
func copyRequests(upstream, conn net.Conn, guard *tcp.ResetGuard) {
	defer upstream.Close()
	defer conn.Close()
	buffer := make([]byte, maxChunkSize)
	for {
		n, err := conn.Read(buffer)
		if n > 0 && !writeRequest(upstream, conn, guard, buffer[:n]) {
			tcp.Abort(upstream)
			return
		}
		if err == io.EOF {
			_ = tcp.Close(upstream)
			return
		}
		if err != nil {
			tcp.Abort(upstream)
			return
		}
	}
}

// writeRequest writes bytes of the peer to the upstream, and reports whether it could before the peer reset its connection.
// Bytes that were received before a reset could still be read after it.
func writeRequest(upstream, conn net.Conn, guard *tcp.ResetGuard, b []byte) bool {
	for {
		if tcp.IsReset(conn) || upstream.SetWriteDeadline(time.Now().Add(resetCheckInterval)) != nil {
			return false
		}
		n, err := guard.Write(upstream, b)
		if err == nil {
			return true
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
		b = b[n:]
	}
}

// copyResponses copies the bytes of the upstream to the peer in chunks. An empty chunk tells the peer that the upstream has
// closed the connection; without it, the connection counts as broken. Afterwards nobody reads what the upstream sends, so
// that its connection is reset, unless the peer has closed it regularly.
func copyResponses(conn, upstream net.Conn, guard *tcp.ResetGuard) {
	defer upstream.Close()
	defer tcp.Abort(upstream)
	defer conn.Close()
	buffer := make([]byte, lengthPrefixSize+maxChunkSize)
	for {
		n, err := upstream.Read(buffer[lengthPrefixSize:])
		err = guard.CheckEnd(err)
		if n > 0 {
			binary.BigEndian.PutUint32(buffer, uint32(n))
			if _, err := conn.Write(buffer[:lengthPrefixSize+n]); err != nil {
				return
			}
		}
		if err == io.EOF {
			_, _ = conn.Write(make([]byte, lengthPrefixSize))
		}
		if err != nil {
			return
		}
	}
}
