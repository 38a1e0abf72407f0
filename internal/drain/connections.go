package drain

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"bluebellhold/internal/occupancy"
	"bluebellhold/internal/tcp"
)

// Config configures Connections.
type Config struct {
	// HeadTimeout is how long a caller may take to send the head of a request, from its first byte on. The ReadHeaderTimeout of
	// http.Server, which must not be set, counts from the start of a connection that was opened ahead.
	HeadTimeout time.Duration
	// IdleTimeout is how long a connection may wait for a request. That of the server should be the same.
	IdleTimeout time.Duration
	// TLS wraps the connections in TLS unless it is nil.
	TLS *tls.Config
	// Clients counts the connections; nil counts nothing.
	Clients *occupancy.Clients
	// Door is the kind of the address.
	Door occupancy.Door
	// HoldsWrites is set if what is written to a client is not counted otherwise until its kernel has taken it.
	HoldsWrites bool
	// Refusal is the body with which a request is refused for which there is no room, and RefusalHeader what its header has
	// beside the usual fields.
	Refusal       string
	RefusalHeader map[string]string
}

// lingerTimeout is how long a connection that is closed after a response waits for its caller to close it too. The kernel
// resets a connection that is closed with unread input, and the caller may then lose the end of the response.
const lingerTimeout = time.Second

// Connections are the callers' connections of an http.Server; they are safe for concurrent use.
type Connections struct {
	config Config

	mu   sync.Mutex
	open map[*connection]struct{}
}

// New returns the connections of a server.
func New(c Config) *Connections {
	return &Connections{config: c, open: make(map[*connection]struct{})}
}

// Counts counts the connections that are left after CloseQuiet.
type Counts struct {
	// Quiet connections wait for a request; the next CloseQuiet is likely to close them. On Partial ones, a part of a
	// request has arrived, and Active ones have a request in flight.
	Quiet, Partial, Active int
}

// Total returns the number of connections.
func (c Counts) Total() int { return c.Quiet + c.Partial + c.Active }

// Attach makes a server use the connections: its ConnState, its ConnContext and its handler.
func (c *Connections) Attach(server *http.Server) {
	server.ConnState, server.ConnContext, server.Handler = c.Track, withConnection, c.handler(server.Handler)
}

// Listen returns a listener that accepts the connections of l. The server must serve it, and Attach must have been called.
//
// When it is closed, the connections that the kernel has accepted are still returned by Accept: their callers may have sent
// requests.
func (c *Connections) Listen(l net.Listener) net.Listener {
	return &listener{Listener: l, connections: c}
}

// Track records the state of a connection; it is a hook for http.Server.ConnState.
func (c *Connections) Track(conn net.Conn, state http.ConnState) {
	tracked, ok := conn.(*connection)
	if !ok {
		return
	}
	if state != http.StateClosed && state != http.StateHijacked {
		tracked.setState(state)
		return
	}
	if !tracked.isClosing() {
		c.end(tracked)
	}
}

// CloseQuiet closes the connections on which nothing of a request has arrived, and counts those that are left.
func (c *Connections) CloseQuiet() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var left Counts
	for conn := range c.open {
		conn.closeQuiet(&left)
	}
	return left
}

func (c *Connections) add(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn] = struct{}{}
}

// end forgets a connection that has been closed.
func (c *Connections) end(conn *connection) {
	c.mu.Lock()
	delete(c.open, conn)
	c.mu.Unlock()
	conn.client.End()
}

// connection is a caller's connection.
type connection struct {
	net.Conn
	headTimeout time.Duration

	mu sync.Mutex
	// isActive is set while the server reports a request in flight.
	isActive bool
	// isReading is set while the server waits for bytes, and hasArrived once some have arrived since the last response.
	isReading, hasArrived bool
	// headAt is when the first byte of the current head arrived, later by as long as the process has held up its caller.
	headAt time.Time
	// hasBody is set once the server has waited for bytes of the current request's body, and isReadingBody while it does. isAhead is
	// set once bytes behind the current request have arrived. In both cases, the kernel's buffer counts.
	hasBody, isReadingBody, isAhead bool
	// isWriting is set while the client does not take what is written, and isUnread if it had not taken the last response whole at
	// the end of its request.
	isWriting, isUnread bool
	// isInterrupted is set while closeQuiet has interrupted a read.
	isInterrupted bool
	// isClosed is set once the connection has been closed, and isLingering while it waits for its caller to close it.
	isClosed, isLingering bool
	// isEvicted is set once the connection has been chosen to make room for another one.
	isEvicted bool
	// isRefused is set once the connection is being closed since there is no room for the head of its request.
	isRefused   atomic.Bool
	connections *Connections
	client      *occupancy.Client
}

// NetConn returns the connection below.
func (c *connection) NetConn() net.Conn { return c.Conn }

// CloseWrite is what net/http calls before it closes a connection whose request it has not read whole. Then it sleeps, and its
// goroutine would take memory for a client that may be long gone; CloseWrite ends the goroutine instead, and Close lingers.
func (c *connection) CloseWrite() error {
	panic(http.ErrAbortHandler)
}

// closeWrite shuts down the writing side, so that the caller can read the end of a response before the connection closes.
func (c *connection) closeWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Read reads bytes of the caller. A read that closeQuiet has interrupted closes the connection if nothing has arrived: no
// byte that the caller has sent is read and then dropped.
func (c *connection) Read(b []byte) (int, error) {
	for {
		c.mu.Lock()
		c.isReading = true
		c.mu.Unlock()
		n, err := c.Conn.Read(b)
		isHead := false
		if done := c.endRead(n, &err, &isHead); !done {
			continue
		}
		if isHead && !c.holdHead(b[:n]) {
			c.refuseHead()
			return 0, net.ErrClosed
		}
		return n, err
	}
}

// endRead records the end of a read, and reports whether it is to be returned. It sets isHead if the bytes belong to the head of a
// request.
func (c *connection) endRead(n int, err *error, isHead *bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isReading = false
	isInterrupted := c.isInterrupted
	c.isInterrupted = false
	*isHead = n > 0 && !c.isActive
	if n > 0 && c.isActive && !c.hasBody && !c.isAhead {
		// The client has sent another request ahead, which stays in the kernel.
		c.isAhead = true
		c.client.Charge(kernelBytes)
	}
	switch {
	case c.isClosed || c.isLingering:
		*err = net.ErrClosed
	case c.isEvicted && errors.Is(*err, os.ErrDeadlineExceeded):
		*err = &EvictedError{}
	case n == 0 && isInterrupted && errors.Is(*err, os.ErrDeadlineExceeded):
		if tcp.HasUnreadInput(c.Conn) {
			*err = c.Conn.SetReadDeadline(time.Now().Add(c.headTimeout))
			return *err != nil
		}
		c.isClosed = true
		_ = c.Conn.Close()
		*err = net.ErrClosed
	case n > 0 && !c.isActive && (!c.hasArrived || isInterrupted):
		if !c.hasArrived {
			c.headAt = time.Now()
			c.client.Enter(occupancy.Head)
		}
		c.hasArrived = true
		if deadlineErr := c.Conn.SetReadDeadline(time.Now().Add(c.headTimeout)); deadlineErr != nil {
			*err = deadlineErr
		}
	}
	return true
}

// SetReadDeadline sets the deadline of reads, but does not remove the one for the next request and its head, nor that of an
// evicted connection.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.IsZero() && !c.isActive || c.isEvicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection. One with a request in flight has got its response, and is closed once the caller has read it.
func (c *connection) Close() error {
	c.mu.Lock()
	if c.isRefused.Load() {
		c.mu.Unlock()
		return nil
	}
	isFirst := !c.isClosed && !c.isLingering
	c.isLingering = isFirst && c.isActive
	c.isClosed = !c.isLingering
	isLingering := c.isLingering
	c.mu.Unlock()
	if !isLingering {
		return c.Conn.Close()
	}
	go c.linger()
	return nil
}

// linger sends the end of the response, and closes the connection when the caller does or lingerTimeout has passed.
func (c *connection) linger() {
	c.client.Release()
	c.client.Enter(occupancy.Closing)
	// Errors mean that the connection has ended.
	if c.closeWrite() == nil && c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
	_ = c.Conn.Close()
	c.connections.end(c)
}

// isClosing reports whether the connection lingers.
func (c *connection) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isLingering
}

func (c *connection) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isActive, c.hasBody, c.isReadingBody, c.isAhead, c.isUnread = state == http.StateActive, false, false, false, false
	switch state {
	case http.StateActive:
		c.client.Enter(occupancy.Running)
		if !c.isEvicted {
			// An error would also end the next read.
			_ = c.Conn.SetReadDeadline(time.Time{})
		}
	case http.StateIdle:
		c.hasArrived = false
		c.client.Release()
		if tcp.HasUnsentOutput(c.Conn) {
			c.isUnread = true
			c.client.Charge(kernelBytes)
			c.client.Enter(occupancy.Response)
			return
		}
		c.client.Enter(occupancy.Idle)
	}
}

// closeQuiet counts the connection, and makes the read that waits close it if nothing of a request has arrived.
//
// The server must be waiting for bytes: it may hold some that it read together with the last request.
func (c *connection) closeQuiet(left *Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.isActive:
		left.Active++
	case c.hasArrived || tcp.HasUnreadInput(c.Conn):
		left.Partial++
	case !c.isReading:
		left.Quiet++
	default:
		// The read that waits closes the connection, unless it has got bytes already.
		left.Quiet++
		c.isInterrupted = true
		_ = c.Conn.SetReadDeadline(pastDeadline)
	}
}

// pastDeadline makes reads fail at once.
var pastDeadline = time.Unix(1, 0)
