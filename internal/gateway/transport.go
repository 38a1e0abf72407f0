package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// newTransport returns the client side towards upstreams; connections are reused because a new one costs 1 ms.
func newTransport() *http.Transport {
	dialer := net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newGuardedConn(conn.(*net.TCPConn))
		},
		MaxIdleConnsPerHost:    connectionsPerUpstream,
		MaxConnsPerHost:        connectionsPerUpstream,
		IdleConnTimeout:        idleConnectionTimeout,
		MaxResponseHeaderBytes: int64(DefaultMaxHeader),
		DisableCompression:     true,
	}
}

// sendGuard decides at each write whether the bytes of one attempt may still go out, and records that some did.
type sendGuard struct {
	by     time.Time
	sent   atomic.Bool
	reused atomic.Bool
	// early is set if the upstream's answer began before anything was sent on the connection.
	early atomic.Bool
	// wake stops a read of the caller's body that the transport waits for when the connection has closed.
	wake func()
}

// guardedConn checks the first write of an attempt.
//
// It refuses the write after the attempt's dispatch deadline. The check sits at the write because a process that was
// paused between an earlier check and the write would otherwise send a request whose claim or share has passed to
// another instance.
//
// It holds the write back until the transport waits for new bytes, and refuses it if there are any. Otherwise bytes that
// the upstream sent after its previous answer would be taken for the answer to this attempt.
type guardedConn struct {
	net.Conn
	raw     syscall.RawConn
	m       sync.Mutex
	changed *sync.Cond
	attempt *sendGuard
	wake    func()
	// isFirst is set until the attempt's first write.
	isFirst bool
	// reading is set while a read waits; all earlier bytes have been used then.
	reading bool
	closed  bool
}

func newGuardedConn(conn *net.TCPConn) (*guardedConn, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	c := &guardedConn{Conn: conn, raw: raw}
	c.changed = sync.NewCond(&c.m)
	return c, nil
}

// Read reads from the connection. It takes nothing from it before it has recorded that it no longer waits, so that a
// write in between sees the bytes.
func (c *guardedConn) Read(b []byte) (int, error) {
	c.setReading(true)
	err := c.raw.Read(isReadable)
	c.setReading(false)
	if err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// isReadable reports whether a read of a socket would return at once, with bytes, the end or an error.
func isReadable(fd uintptr) bool {
	var b [1]byte
	_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err != syscall.EAGAIN && err != syscall.EINTR
}

func (c *guardedConn) setReading(reading bool) {
	c.m.Lock()
	defer c.m.Unlock()
	c.reading = reading
	c.changed.Signal()
}

// Write sends b unless the dispatch deadline has passed before anything was sent on this connection.
func (c *guardedConn) Write(b []byte) (int, error) {
	guard, err := c.firstWrite()
	if err != nil {
		return 0, err
	}
	if guard == nil {
		return c.Conn.Write(b)
	}
	sentBefore := guard.sent.Swap(true)
	n, err := c.Conn.Write(b)
	if n == 0 {
		guard.sent.Store(sentBefore)
	}
	return n, err
}

// firstWrite returns the guard if this is the attempt's first write, once the connection is ready for it.
func (c *guardedConn) firstWrite() (*sendGuard, error) {
	c.m.Lock()
	defer c.m.Unlock()
	if !c.isFirst {
		return nil, nil
	}
	for !c.reading && !c.closed {
		c.changed.Wait()
	}
	isStale := false
	if c.closed || c.raw.Control(func(fd uintptr) { isStale = isReadable(fd) }) != nil || isStale {
		return nil, net.ErrClosed
	}
	if c.attempt.early.Load() {
		return nil, &UnexpectedResponseError{}
	}
	if time.Now().After(c.attempt.by) {
		return nil, &DispatchDeadlineError{}
	}
	c.isFirst = false
	return c.attempt, nil
}

// Close closes the connection and wakes whoever waits for it.
func (c *guardedConn) Close() error {
	err := c.Conn.Close()
	c.m.Lock()
	defer c.m.Unlock()
	c.closed = true
	c.changed.Signal()
	if c.wake != nil {
		c.wake()
	}
	return err
}

func (c *guardedConn) begin(guard *sendGuard) {
	c.m.Lock()
	defer c.m.Unlock()
	c.attempt, c.wake, c.isFirst = guard, guard.wake, true
}

// answerBegins records an answer that begins before the request has been written.
func (c *guardedConn) answerBegins() {
	c.m.Lock()
	defer c.m.Unlock()
	if c.isFirst {
		c.attempt.early.Store(true)
	}
}

// withGuard makes the connection that is chosen for a request obey the guard.
func withGuard(ctx context.Context, guard *sendGuard) context.Context {
	// The transport may still report the first byte of a connection that it has given up when it gets the next one.
	var current atomic.Pointer[guardedConn]
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			conn := info.Conn.(*guardedConn)
			current.Store(conn)
			guard.reused.Store(info.Reused)
			guard.early.Store(false)
			conn.begin(guard)
		},
		GotFirstResponseByte: func() { current.Load().answerBegins() },
	})
}

// DispatchDeadlineError reports that an attempt's dispatch deadline passed before its first byte was sent.
type DispatchDeadlineError struct{}

// Error describes the failure.
func (e *DispatchDeadlineError) Error() string {
	return "gateway: the dispatch deadline passed before the first byte was sent"
}
