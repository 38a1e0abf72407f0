package tcp_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/tcp"
)

// connect returns both ends of a connection that was dialled with ControlRequests.
func connect(t *testing.T) (near, far net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialer := net.Dialer{Control: tcp.ControlRequests}
	near, err = dialer.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	far, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { near.Close(); far.Close() })
	require.NoError(t, far.SetReadDeadline(time.Now().Add(5*time.Second)))
	return near, far
}

// Guards against a close, also that by the end of a process, after which held bytes are delivered.
func TestPlainCloseResetsAConnectionForRequests(t *testing.T) {
	near, far := connect(t)
	require.NoError(t, near.Close())
	_, err := far.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against a regular close that loses what was sent.
func TestCloseDelivers(t *testing.T) {
	near, far := connect(t)
	_, err := io.WriteString(near, "whole")
	require.NoError(t, err)
	require.NoError(t, tcp.Close(near))
	got, err := io.ReadAll(far)
	require.NoError(t, err)
	require.Equal(t, "whole", string(got))
}

// Guards against a reset that is noticed only after all input from before it has been read.
func TestIsResetSeesAResetBehindUnreadInput(t *testing.T) {
	near, far := connect(t)
	require.False(t, tcp.IsReset(far))
	_, err := io.WriteString(near, "unread")
	require.NoError(t, err)
	require.False(t, tcp.IsReset(far))
	tcp.Abort(near)
	require.Eventually(t, func() bool { return tcp.IsReset(far) }, 5*time.Second, time.Millisecond)
}
