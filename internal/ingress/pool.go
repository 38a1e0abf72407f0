package ingress

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
)

const (
	// connectTimeout bounds a new connection to an upstream: the way to the farthest region and back, a slow accept,
	// and no time for a lost packet's repeat, since another upstream is tried sooner.
	connectTimeout = 600 * time.Millisecond
	// idleKept is how long a connection without a hint of the upstream is kept; upstreams close theirs after some
	// seconds.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is the time before the upstream's own timeout at which a connection is no longer used, for the way of
	// the request.
	idleMargin = 500 * time.Millisecond
	// silentTimeout is how long sent bytes may stay unacknowledged before the connection fails.
	unacknowledgedTimeout = 3 * time.Second
	// readerSize is the size of a connection's read buffer.
	readBufferSize = 8 << 10
)

// pool keeps connections to upstreams.
type pool struct {
	mu       sync.Mutex
	idle     map[poolKey][]*upstreamConnection
	isClosed bool
}

// poolKey names one process of an upstream, so that a connection to an address that another upstream has taken over
// is not used.
type poolKey struct {
	upstream    id.Upstream
	incarnation id.Incarnation
	address     string
}

// connection is a connection to an upstream. It carries one request at a time.
type upstreamConnection struct {
	conn     *net.TCPConn
	reader   *bufio.Reader
	isReused bool
	// until is when it should no longer be used.
	expiresAt time.Time
}

func newPool() *pool {
	return &pool{idle: make(map[poolKey][]*upstreamConnection)}
}

func keyOf(d entry.Dispatch) poolKey {
	return poolKey{d.Upstream, d.Incarnation, d.Address}
}

// take returns a kept connection that is still good, or nil. The one used last is the likeliest to be open.
func (p *pool) get(d entry.Dispatch) *upstreamConnection {
	p.mu.Lock()
	defer p.mu.Unlock()
	key, now := keyOf(d), time.Now()
	for {
		idle := p.idle[key]
		if len(idle) == 0 {
			delete(p.idle, key)
			return nil
		}
		c := idle[len(idle)-1]
		p.idle[key] = idle[:len(idle)-1]
		if now.Before(c.expiresAt) && c.isQuiescent() {
			c.isReused = true
			return c
		}
		c.close()
	}
}

func (p *pool) put(d entry.Dispatch, c *upstreamConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed {
		c.close()
		return
	}
	key := keyOf(d)
	p.idle[key] = append(p.idle[key], c)
	p.prune(time.Now())
}

// pruneAt is the number of upstreams with kept connections above which old ones are looked for.
const pruneThreshold = 64

// prune closes connections that are past their time, a few keys at a time.
func (p *pool) prune(now time.Time) {
	if len(p.idle) < pruneThreshold {
		return
	}
	checked := 0
	for key, idle := range p.idle {
		for len(idle) > 0 && !now.Before(idle[0].expiresAt) {
			idle[0].close()
			idle = idle[1:]
		}
		p.idle[key] = idle
		if len(idle) == 0 {
			delete(p.idle, key)
		}
		if checked++; checked == 4 {
			return
		}
	}
}

func (p *pool) dial(d entry.Dispatch) (*upstreamConnection, error) {
	dialer := net.Dialer{
		Timeout: connectTimeout, Deadline: d.Deadline, KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			var sockoptErr error
			err := raw.Control(func(fd uintptr) {
				sockoptErr = syscall.SetsockoptInt(
					int(fd), syscall.IPPROTO_TCP, sockoptTCPUserTimeout, int(unacknowledgedTimeout.Milliseconds()),
				)
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
	conn, err := dialer.Dial("tcp", d.Address)
	if err != nil {
		return nil, err
	}
	return &upstreamConnection{
		conn: conn.(*net.TCPConn), reader: bufio.NewReaderSize(conn, readBufferSize),
		expiresAt: time.Now().Add(defaultIdleTimeout),
	}, nil
}

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT of Linux, which package syscall does not name.
const sockoptTCPUserTimeout = 18

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	for _, idle := range p.idle {
		for _, c := range idle {
			c.close()
		}
	}
	p.idle = nil
}

// isQuiet reports whether the connection is open and no byte has come since the last answer.
func (c *upstreamConnection) isQuiescent() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return isQuiescent(c.conn)
}

// keepUntil sets how long the connection may stay idle, from the Keep-Alive header of an answer.
func (c *upstreamConnection) setExpiry(keepAlive string) {
	timeout := defaultIdleTimeout
	for parameter := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			timeout = min(max(time.Duration(seconds)*time.Second-idleMargin, 0), maxIdleTimeout)
		}
	}
	c.expiresAt = time.Now().Add(timeout)
}

// interrupt makes a running read or write fail.
func (c *upstreamConnection) interrupt() {
	_ = c.conn.SetDeadline(time.Unix(1, 0))
}

func (c *upstreamConnection) close() {
	_ = c.conn.Close()
}
