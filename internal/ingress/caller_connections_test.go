package ingress

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
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

// Guards against a graceful stop that closes a connection as idle while the server has read a request from it and not yet
// reported it as active: its handler then runs the request, and the response is lost.
func TestCloseIdleKeepsConnectionsWhoseRequestHasBeenRead(t *testing.T) {
	c := newCallerConnections()
	isRead, mayReport := make(chan struct{}, 1), make(chan struct{})
	var handled atomic.Int32
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) }),
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state == http.StateActive && handled.Load() == 1 {
				isRead <- struct{}{}
				<-mayReport
			}
			c.track(conn, state)
		},
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { server.Close() })
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	get := func() error {
		response, err := client.Post("http://"+l.Addr().String()+"/", "", strings.NewReader("body"))
		if err == nil {
			response.Body.Close()
		}
		return err
	}
	require.NoError(t, get())
	done := make(chan error, 1)
	go func() { done <- get() }()
	<-isRead
	c.closeIdle()
	close(mayReport)
	require.NoError(t, <-done)
	require.EqualValues(t, 2, handled.Load())
}
