package peer_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/peer"
	"bluebellhold/internal/tcp"
)

// tunnelPair is an instance a that reaches an upstream through another one, b.
type tunnelPair struct {
	*testing.T
	a, b *testInstance
	// upstreams are the connections that the upstream has accepted.
	upstreams chan *net.TCPConn
}

var tunnelTarget = peer.TunnelTarget{Upstream: "u1", Incarnation: 7}

func newTunnelPair(t *testing.T) *tunnelPair {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	p := &tunnelPair{T: t, upstreams: make(chan *net.TCPConn, 8)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.upstreams <- conn.(*net.TCPConn)
		}
	}()
	p.a = startInstance(t, "osrednja-1", nil)
	p.b = startInstance(t, "koper-1", func(c *peer.Config) {
		c.OnTunnel = func(ctx context.Context, from id.Instance, target peer.TunnelTarget) (net.Conn, error) {
			switch {
			case from != "osrednja-1" || target.Incarnation != tunnelTarget.Incarnation:
				return nil, &peer.TunnelRefusedError{Peer: "koper-1"}
			case target.Upstream != tunnelTarget.Upstream:
				return nil, &net.OpError{Op: "dial"}
			}
			return new(net.Dialer).DialContext(ctx, "tcp", listener.Addr().String())
		}
	})
	return p
}

func (p *tunnelPair) open() (tcp.Conn, *net.TCPConn) {
	p.Helper()
	conn, err := p.a.OpenTunnel(context.Background(), "koper-1", p.b.Address(), tunnelTarget)
	require.NoError(p, err)
	p.Cleanup(func() { conn.Close() })
	upstream := <-p.upstreams
	p.Cleanup(func() { upstream.Close() })
	return conn, upstream
}

func writeString(t *testing.T, w io.Writer, text string) {
	t.Helper()
	_, err := io.WriteString(w, text)
	require.NoError(t, err)
}

// Guards against bytes that a tunnel changes, loses or adds in either direction.
func TestTunnelCopiesBytes(t *testing.T) {
	p := newTunnelPair(t)
	conn, upstream := p.open()
	writeString(t, conn, "request")
	b := make([]byte, 7)
	_, err := io.ReadFull(upstream, b)
	require.NoError(t, err)
	require.Equal(t, "request", string(b))
	large := make([]byte, 1<<20)
	for i := range large {
		large[i] = byte(i * 7)
	}
	go func() {
		_, _ = upstream.Write(large)
		_ = upstream.Close()
	}()
	received, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, large, received)
}

// Guards against a response without a length that looks complete although the other instance, or the upstream's connection,
// was lost in the middle of it.
func TestLostTunnelDoesNotLookLikeTheEndOfAResponse(t *testing.T) {
	for name, lose := range map[string]func(p *tunnelPair, upstream *net.TCPConn){
		"instance": func(p *tunnelPair, _ *net.TCPConn) { p.b.Close() },
		"upstream": func(_ *tunnelPair, upstream *net.TCPConn) {
			_ = upstream.SetLinger(0)
			_ = upstream.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newTunnelPair(t)
			conn, upstream := p.open()
			writeString(t, upstream, "half")
			b := make([]byte, 4)
			_, err := io.ReadFull(conn, b)
			require.NoError(t, err)
			lose(p, upstream)
			_, err = conn.Read(b)
			require.Error(t, err)
			require.NotEqual(t, io.EOF, err)
		})
	}
}

// Guards against an upstream that works on for a caller that has left.
func TestClosedTunnelClosesTheUpstreamsConnection(t *testing.T) {
	p := newTunnelPair(t)
	conn, upstream := p.open()
	require.True(t, tcp.IsQuiescent(conn))
	require.NoError(t, conn.Close())
	require.NoError(t, upstream.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err := upstream.Read(make([]byte, 1))
	require.Equal(t, io.EOF, err)
}

// Guards against a connection that is used again although the upstream has sent more than its response.
func TestTunnelWithUnreadInputIsNotQuiescent(t *testing.T) {
	p := newTunnelPair(t)
	conn, upstream := p.open()
	writeString(t, upstream, "two")
	b := make([]byte, 1)
	_, err := conn.Read(b)
	require.NoError(t, err)
	require.False(t, tcp.IsQuiescent(conn))
}

// Guards against an upstream that is out of reach for all, and an instance that lends no links, being taken for each other.
func TestRefusedTunnelsSayWhy(t *testing.T) {
	p := newTunnelPair(t)
	for _, c := range []struct {
		target      peer.TunnelTarget
		isUnreached bool
	}{
		{peer.TunnelTarget{Upstream: "u1", Incarnation: 8}, false},
		{peer.TunnelTarget{Upstream: "u2", Incarnation: 7}, true},
	} {
		_, err := p.a.OpenTunnel(context.Background(), "koper-1", p.b.Address(), c.target)
		var refused *peer.TunnelRefusedError
		require.ErrorAs(t, err, &refused)
		require.Equal(t, c.isUnreached, refused.IsUnreached)
	}
	// An instance without tunnels, such as one of an older version, refuses the connection or the request.
	_, err := p.b.OpenTunnel(context.Background(), "osrednja-1", p.a.Address(), tunnelTarget)
	require.Error(t, err)
}

// Guards against strangers, and instances of other fleets, that reach upstreams through an instance.
func TestTunnelNeedsTheSecret(t *testing.T) {
	p := newTunnelPair(t)
	stranger := startInstance(t, "osrednja-2", func(c *peer.Config) { c.Secret = []byte("another secret of enough bytes") })
	_, err := stranger.OpenTunnel(context.Background(), "koper-1", p.b.Address(), tunnelTarget)
	require.Error(t, err)
	require.Empty(t, p.upstreams)
}

// resetInWrite is a connection whose reset is reported to the writer, so that the reader sees an end.
type resetInWrite struct {
	net.Conn
	half   chan struct{}
	failed chan struct{}
}

func (c *resetInWrite) Write([]byte) (int, error) {
	<-c.half
	close(c.failed)
	// The reader sees the end before the writer has returned.
	time.Sleep(50 * time.Millisecond)
	return 0, &net.OpError{Op: "write", Err: syscall.ECONNRESET}
}

func (c *resetInWrite) Read(b []byte) (int, error) {
	select {
	case <-c.half:
		<-c.failed
		return 0, io.EOF
	default:
		close(c.half)
		return copy(b, "half"), nil
	}
}

// Guards against a reset of the upstream's connection that reaches the writer of a request and then looks like the end of the
// response.
func TestResetSeenByTheWriterDoesNotLookLikeTheEndOfAResponse(t *testing.T) {
	a := startInstance(t, "osrednja-1", nil)
	b := startInstance(t, "koper-1", func(c *peer.Config) {
		c.OnTunnel = func(context.Context, id.Instance, peer.TunnelTarget) (net.Conn, error) {
			conn, _ := net.Pipe()
			return &resetInWrite{Conn: conn, half: make(chan struct{}), failed: make(chan struct{})}, nil
		}
	})
	conn, err := a.OpenTunnel(context.Background(), "koper-1", b.Address(), tunnelTarget)
	require.NoError(t, err)
	defer conn.Close()
	writeString(t, conn, "request")
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
	received, err := io.ReadAll(conn)
	require.Equal(t, "half", string(received))
	require.Error(t, err)
}
