package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/internal/tcp"
)

const (
	// connectTimeout bounds connecting to an upstream. It covers a round trip to the farthest region and a slow accept,
	// but no retransmission of a lost packet, since trying another upstream is faster.
	connectTimeout = 600 * time.Millisecond
	// defaultIdleTimeout is used if the upstream sends no Keep-Alive timeout; upstreams close idle connections after
	// some seconds.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the upstream's own timeout, so that a request arrives before the upstream closes
	// the connection.
	idleMargin = 500 * time.Millisecond
	// readBufferSize is the size of a connection's read buffer in bytes.
	readBufferSize = 8 << 10
)

// pool holds idle connections to upstreams for reuse.
type pool struct {
	mu       sync.Mutex
	idle     map[poolKey][]*upstreamConnection
	isClosed bool
}

// poolKey identifies one process of an upstream, so that a connection is not reused after another process or upstream
// took over the address, and the instance through which it is reached, if any.
type poolKey struct {
	upstream    id.Upstream
	incarnation id.Incarnation
	address     string
	via         id.Instance
}

// upstreamConnection is a connection to an upstream. It carries one request at a time.
type upstreamConnection struct {
	conn tcp.Conn
	// reader reads through head, which bounds the head of a response.
	reader   *bufio.Reader
	head     *headReader
	isReused bool
	// expiresAt is when the connection may no longer be reused.
	expiresAt time.Time
}

func newPool() *pool {
	return &pool{idle: make(map[poolKey][]*upstreamConnection)}
}

func keyOf(d entry.Dispatch) poolKey {
	return poolKey{d.Upstream, d.Incarnation, d.Address, d.Via.Instance}
}

// get removes a usable idle connection from the pool and returns it, or nil if there is none. The most recently used
// one comes first, since it is the most likely to be open.
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

// pruneThreshold is the number of keys with idle connections at which expired connections are pruned.
const pruneThreshold = 64

// prune closes expired connections, of a few keys at a time.
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

// dialUpstream connects to an upstream directly.
func dialUpstream(ctx context.Context, address string) (tcp.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: tcp.LimitUnacknowledged}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

func newUpstreamConnection(conn tcp.Conn) *upstreamConnection {
	head := &headReader{source: conn}
	return &upstreamConnection{
		conn: conn, reader: bufio.NewReaderSize(head, readBufferSize), head: head,
		expiresAt: time.Now().Add(defaultIdleTimeout),
	}
}

// dropDirect closes the idle connections that this instance has opened of its own accord: they may have fallen silent
// for good.
func (p *pool) dropDirect() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, idle := range p.idle {
		if key.via != "" {
			continue
		}
		for _, c := range idle {
			c.close()
		}
		delete(p.idle, key)
	}
}

// headReader reads from a connection and bounds the bytes of a response's head, since http.ReadResponse does not: a sick
// upstream may send a head without end.
type headReader struct {
	source io.Reader
	// isHead is set while a head is read, and remaining is what it may still have.
	isHead    bool
	remaining int64
}

// maxResponseHeadBytes is the longest head of a response, with the interim responses before it.
const maxResponseHeadBytes = 64 << 10

func (r *headReader) startHead() { r.isHead, r.remaining = true, maxResponseHeadBytes }

func (r *headReader) endHead() { r.isHead = false }

// Read reads from the source. It returns a ResponseTooLargeError for a head that exceeds maxResponseHeadBytes.
func (r *headReader) Read(p []byte) (int, error) {
	if !r.isHead {
		return r.source.Read(p)
	}
	if r.remaining <= 0 {
		return 0, &ResponseTooLargeError{Limit: maxResponseHeadBytes}
	}
	n, err := r.source.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}

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

// isQuiescent reports whether the connection is open and has no input left over from the last response.
func (c *upstreamConnection) isQuiescent() bool {
	return c.reader.Buffered() == 0 && tcp.IsQuiescent(c.conn)
}

// setExpiry sets how long the connection may stay idle from the Keep-Alive header of a response.
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

// interrupt makes a pending read or write fail.
func (c *upstreamConnection) interrupt() {
	_ = c.conn.SetDeadline(time.Unix(1, 0))
}

func (c *upstreamConnection) close() {
	_ = c.conn.Close()
}
