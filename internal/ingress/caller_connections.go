package ingress

import (
	"net"
	"net/http"
	"sync"

	"bluebellhold/internal/tcp"
)

// callerConnections tracks the callers' connections, so that a graceful stop closes none on which a request has
// arrived.
//
// http.Server.Shutdown treats a connection as idle until the header of the next request has been read. When CPU time is
// scarce, bytes that arrived some hundred milliseconds ago may still be unread.
type callerConnections struct {
	mu     sync.Mutex
	states map[*net.TCPConn]http.ConnState
}

func newCallerConnections() *callerConnections {
	return &callerConnections{states: make(map[*net.TCPConn]http.ConnState)}
}

// track is the http.Server.ConnState hook.
func (c *callerConnections) track(conn net.Conn, state http.ConnState) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.states, tcp)
	default:
		c.states[tcp] = state
	}
}

// closeIdle closes the idle connections without unread input and returns the number of connections left.
func (c *callerConnections) closeIdle() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, state := range c.states {
		if state == http.StateIdle && tcp.IsQuiescent(conn) {
			_ = conn.Close()
			delete(c.states, conn)
		}
	}
	return len(c.states)
}
