package tcp_test

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/tcp"
)

// unreadBytes returns how much a peer can send to a connection that has read fast for a while and then stops.
func unreadBytes(t *testing.T, config net.ListenConfig) int64 {
	const warmUp = 64 << 20
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, conn, warmUp)
		t.Cleanup(func() { conn.Close() })
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.(*net.TCPConn).SetWriteBuffer(64<<10))
	_, err = conn.Write(make([]byte, warmUp))
	require.NoError(t, err)
	<-stopped
	var sent int64
	part := make([]byte, 64<<10)
	for {
		require.NoError(t, conn.SetWriteDeadline(time.Now().Add(300*time.Millisecond)))
		n, err := conn.Write(part)
		sent += int64(n)
		if err != nil {
			return sent
		}
	}
}

// Guards against unread bytes of many callers that use up the memory: the kernel's buffer of a connection that was read fast
// grows to many MiB.
func TestUnreadBytesAreBounded(t *testing.T) {
	const size = 256 << 10
	limited := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return tcp.LimitBuffers(raw, size) }}
	t.Logf("without a limit: %d bytes", unreadBytes(t, net.ListenConfig{}))
	require.LessOrEqual(t, unreadBytes(t, limited), int64(4*size))
}
