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

// connectionCounts counts the callers' connections that are left.
type connectionCounts struct {
	// unused have carried no request, partial have unread input and no request in flight, and active have one in flight.
	unused, partial, idle, active int
}

func (c connectionCounts) total() int { return c.unused + c.partial + c.idle + c.active }

// closeIdle closes the idle connections without unread input and counts the connections that are left.
func (c *callerConnections) closeIdle() connectionCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var left connectionCounts
	for conn, state := range c.states {
		isQuiescent := tcp.IsQuiescent(conn)
		switch {
		case state == http.StateIdle && isQuiescent:
			_ = conn.Close()
			delete(c.states, conn)
		case state == http.StateActive:
			left.active++
		case !isQuiescent:
			left.partial++
		case state == http.StateNew:
			left.unused++
		default:
			left.idle++
		}
	}
	return left
}
