package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/answer"
	"bluebellhold/internal/tcp"
)

// dialFunc connects to an upstream.
type dialFunc func(ctx context.Context, upstream id.Upstream, address string) (tcp.Conn, error)

// dialDirect connects to an upstream of this instance's own accord.
func dialDirect(ctx context.Context, _ id.Upstream, address string) (tcp.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, Control: tcp.ControlRequests}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

// upstreamKey is the key of the upstream's id in the context of a request to it.
type upstreamKey struct{}

// newTransport returns the HTTP transport for upstreams. It reuses connections because a new one costs 1 ms.
func newTransport(dial dialFunc) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			upstream, _ := ctx.Value(upstreamKey{}).(id.Upstream)
			conn, err := dial(ctx, upstream, address)
			if err != nil {
				return nil, err
			}
			return newGuardedConn(conn)
		},
		MaxIdleConnsPerHost:    maxConnectionsPerUpstream,
		MaxConnsPerHost:        maxConnectionsPerUpstream,
		IdleConnTimeout:        idleConnectionTimeout,
		MaxResponseHeaderBytes: int64(MaxResponseHeader),
		DisableCompression:     true,
	}
}

// sendGuard holds the dispatch deadline of one attempt and records whether any of its bytes were sent.
type sendGuard struct {
	dispatchBy time.Time
	sent       atomic.Bool
	reused     atomic.Bool
	// connected is set if a new connection was made for the attempt.
	connected atomic.Bool
	// earlyResponse is set if the upstream's response began before the attempt's first write on the connection.
	earlyResponse atomic.Bool
	// conn is the connection of the attempt.
	conn atomic.Pointer[guardedConn]
	// stopBody stops a read of the caller's body, for which the transport would otherwise wait after the connection has
	// closed.
	stopBody func()
}

// end records that the complete answer to the attempt has been read.
func (g *sendGuard) end() {
	if conn := g.conn.Load(); conn != nil {
		conn.endAttempt(g)
	}
}

// guardedConn checks the first write of an attempt.
//
// The write fails after the attempt's dispatch deadline. The deadline is checked immediately before the write because a
// process that was paused between an earlier check and the write would otherwise send a request after its claim has
// expired or its share has been reclaimed by another instance.
//
// The write waits until the transport is blocked in a read, and fails if the socket is readable. Otherwise bytes that
// the upstream sent after its previous response would be interpreted as the response to this attempt.
type guardedConn struct {
	tcp.Conn
	reset    tcp.ResetGuard
	raw      syscall.RawConn
	mu       sync.Mutex
	cond     *sync.Cond
	guard    *sendGuard
	stopBody func()
	// firstWritePending is set until the attempt's first write.
	firstWritePending bool
	// isPending is set from the first write of an attempt until its complete answer has been read.
	isPending bool
	// readWaiting is set while a read waits for the socket; the transport has then consumed all earlier bytes.
	readWaiting bool
	closed      bool
}

func newGuardedConn(conn tcp.Conn) (*guardedConn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	c := &guardedConn{Conn: conn, raw: raw}
	c.cond = sync.NewCond(&c.mu)
	return c, nil
}

// Read reads from the connection. It consumes no bytes before it has cleared readWaiting, so that a write in between
// still finds the socket readable.
func (c *guardedConn) Read(b []byte) (int, error) {
	if buffered, ok := c.Conn.(interface{ Buffered() int }); ok && buffered.Buffered() > 0 {
		return c.Conn.Read(b)
	}
	var peekErr error
	c.setReadWaiting(true)
	err := c.raw.Read(func(fd uintptr) bool {
		var isReadable bool
		isReadable, peekErr = tcp.Peek(fd)
		return isReadable || peekErr != nil
	})
	c.setReadWaiting(false)
	if err == nil && peekErr != nil {
		err = &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("recvfrom", peekErr)}
	}
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	return n, c.reset.CheckEnd(err)
}

func (c *guardedConn) setReadWaiting(waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readWaiting = waiting
	c.cond.Signal()
}

// Write sends b. The first write of an attempt sends nothing if prepareFirstWrite rejects it.
func (c *guardedConn) Write(b []byte) (int, error) {
	guard, err := c.prepareFirstWrite()
	if err != nil {
		return 0, err
	}
	if guard == nil {
		return c.reset.Write(c.Conn, b)
	}
	alreadySent := guard.sent.Swap(true)
	n, err := c.reset.Write(c.Conn, b)
	if n == 0 {
		guard.sent.Store(alreadySent)
	}
	return n, err
}

// prepareFirstWrite waits until the connection is ready for the attempt's first write, checks the conditions for it and
// returns the guard. For later writes it returns nil.
func (c *guardedConn) prepareFirstWrite() (*sendGuard, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.firstWritePending {
		return nil, nil
	}
	for !c.readWaiting && !c.closed {
		c.cond.Wait()
	}
	readable := false
	if c.closed || c.raw.Control(func(fd uintptr) { readable = tcp.IsReadable(fd) }) != nil || readable {
		return nil, net.ErrClosed
	}
	if c.guard.earlyResponse.Load() {
		return nil, &UnexpectedResponseError{}
	}
	if time.Now().After(c.guard.dispatchBy) {
		return nil, &DispatchDeadlineError{}
	}
	c.firstWritePending, c.isPending = false, true
	return c.guard, nil
}

// Close closes the connection, wakes a waiting write and stops the read of the caller's body. If the last attempt has no
// complete answer, it resets the connection, so that an upstream does not receive and run later what has been given up.
func (c *guardedConn) Close() error {
	isPending, stopBody := c.markClosed()
	if stopBody != nil {
		defer stopBody()
	}
	if isPending {
		tcp.Abort(c.Conn)
		return nil
	}
	return tcp.Close(c.Conn)
}

// markClosed prevents the first write of an attempt from now on.
func (c *guardedConn) markClosed() (isPending bool, stopBody func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.cond.Signal()
	return c.isPending, c.stopBody
}

// endAttempt records that the complete answer to an attempt has been read. The transport may have started the next one on
// the connection by then.
func (c *guardedConn) endAttempt(guard *sendGuard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.guard == guard {
		c.isPending = false
	}
}

func (c *guardedConn) startAttempt(guard *sendGuard) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guard, c.stopBody, c.firstWritePending = guard, guard.stopBody, true
}

// markEarlyResponse records a response that begins before the first write of the request.
func (c *guardedConn) markEarlyResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstWritePending {
		c.guard.earlyResponse.Store(true)
	}
}

// withGuard returns a context that attaches the guard to each connection that the transport picks for the request.
func withGuard(ctx context.Context, guard *sendGuard) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn := info.Conn.(*guardedConn)
			guard.conn.Store(conn)
			guard.reused.Store(info.Reused)
			guard.connected.Store(guard.connected.Load() || !info.Reused)
			guard.earlyResponse.Store(false)
			conn.startAttempt(guard)
		},
		// The transport may still report the first response byte of a connection that it has discarded while it gets the
		// next one.
		GotFirstResponseByte: func() { guard.conn.Load().markEarlyResponse() },
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			if !answer.IsInterimHead(status, http.Header(header)) {
				return &UnexpectedResponseError{Status: status}
			}
			return nil
		},
	})
}

// DispatchDeadlineError reports that an attempt's dispatch deadline passed before its first byte was sent.
type DispatchDeadlineError struct{}

// Error describes the failure.
func (e *DispatchDeadlineError) Error() string {
	return "gateway: the dispatch deadline passed before the first byte was sent"
}
