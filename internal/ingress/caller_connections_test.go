package ingress

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/tcp"
)

// connectPair returns both ends of a TCP connection on the loopback address.
func connectPair(t *testing.T) (client, server *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	accepted, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		dialed.Close()
		accepted.Close()
	})
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// Guards against a graceful stop that closes a connection on which a request has arrived but has not been read. It was
// seen on zadruga-zreb fresh-7971 at 13.8 s.
func TestCloseIdleKeepsConnectionsWithUnreadInput(t *testing.T) {
	c := newCallerConnections()
	client, unread := connectPair(t)
	_, idle := connectPair(t)
	_, active := connectPair(t)
	c.track(unread, http.StateIdle)
	c.track(idle, http.StateIdle)
	c.track(active, http.StateActive)
	_, err := client.Write([]byte("GET"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !tcp.IsQuiescent(unread) }, time.Second, time.Millisecond)
	require.Equal(t, 2, c.closeIdle().total())
	var b [3]byte
	_, err = unread.Read(b[:])
	require.NoError(t, err)
	require.Equal(t, "GET", string(b[:]))
	_, err = idle.Read(b[:])
	require.ErrorIs(t, err, net.ErrClosed)
	c.track(active, http.StateClosed)
	require.Equal(t, 0, c.closeIdle().total(), "a connection whose input has been read is quiescent")
}
