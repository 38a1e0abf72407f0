package ingress

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

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
	metrics poolMetrics

	mu sync.Mutex
	// idle holds the idle connections to each upstream, the one that expires first first.
	idle     map[poolKey][]*upstreamConnection
	isClosed bool
	// waiters are the requests that wait for a connection, and dials is the number of connections being opened.
	waiters map[poolKey][]*connectionWaiter
	dials   map[poolKey]int
	warmer  *warmer
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
	// isPending is set from the start of a request until its complete answer has been read.
	isPending bool
	// isUnused is set on a connection of the pool that was opened ahead and has carried no request.
	isUnused bool
	// connectTime is how long opening it took; zero means that it is not known.
	connectTime time.Duration
	// expiresAt is when the connection may no longer be reused, and idleTimeout how long it may stay idle after a response.
	expiresAt   time.Time
	idleTimeout time.Duration
}

func newPool(r metrics.Registry) *pool {
	return &pool{
		metrics: newPoolMetrics(r), idle: make(map[poolKey][]*upstreamConnection),
		waiters: make(map[poolKey][]*connectionWaiter), dials: make(map[poolKey]int), warmer: newWarmer(),
	}
}

func keyOf(d entry.Dispatch) poolKey {
	return poolKey{d.Upstream, d.Incarnation, d.Address, d.Via.Instance}
}

// get removes a usable idle connection from the pool and returns it, or nil if there is none. The one that expires last
// comes first, since it is the most likely to be open.
func (p *pool) get(d entry.Dispatch) *upstreamConnection {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.take(time.Now(), keyOf(d))
}

// take is get. The caller holds mu.
func (p *pool) take(now time.Time, key poolKey) *upstreamConnection {
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
			p.markUsed(c)
			p.metrics.reused.Inc(1)
			return c
		}
		if c.isUnused && now.Before(c.expiresAt) {
			p.warmer.block(key, now.Add(closeBlock))
		}
		p.discard(c)
	}
}

// put adds an idle connection to the pool, or hands it to a request that waits for one.
func (p *pool) put(d entry.Dispatch, c *upstreamConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(time.Now(), keyOf(d), c)
}

// add is put. The caller holds mu.
func (p *pool) add(now time.Time, key poolKey, c *upstreamConnection) {
	if len(p.waiters[key]) > 0 && c.isQuiescent() {
		p.markUsed(c)
		p.popWaiter(key) <- c
		return
	}
	if p.isClosed {
		p.discard(c)
		return
	}
	idle := p.idle[key]
	at, _ := slices.BinarySearchFunc(idle, c, func(a, b *upstreamConnection) int { return a.expiresAt.Compare(b.expiresAt) })
	p.idle[key] = slices.Insert(idle, at, c)
	p.prune(now)
}

// markUsed records that a connection of the pool carries a request. The caller holds mu.
func (p *pool) markUsed(c *upstreamConnection) {
	if c.isUnused {
		c.isUnused = false
		p.warmer.kept--
	}
}

// discard closes a connection of the pool. The caller holds mu.
func (p *pool) discard(c *upstreamConnection) {
	if c.isUnused {
		p.markUsed(c)
		p.metrics.unused.Inc(1)
	}
	c.close()
}

// pruneThreshold is the number of keys with idle connections at which expired connections are pruned.
const pruneThreshold = 64

// prune closes expired connections, of a few keys at a time.
func (p *pool) prune(now time.Time) {
	if len(p.idle) < pruneThreshold {
		return
	}
	checked := 0
	for key := range p.idle {
		p.removeExpired(now, key)
		if checked++; checked == 4 {
			return
		}
	}
}

// removeExpired closes the expired connections to an upstream. The caller holds mu.
func (p *pool) removeExpired(now time.Time, key poolKey) {
	idle := p.idle[key]
	expired := 0
	for expired < len(idle) && !now.Before(idle[expired].expiresAt) {
		p.discard(idle[expired])
		expired++
	}
	if expired == len(idle) {
		delete(p.idle, key)
		return
	}
	p.idle[key] = slices.Delete(idle, 0, expired)
}

// dialUpstream connects to an upstream directly.
func dialUpstream(ctx context.Context, address string) (tcp.Conn, error) {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1, Control: tcp.ControlRequests}
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
			p.discard(c)
		}
		delete(p.idle, key)
	}
	p.warmer.forgetAll()
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
			p.discard(c)
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
	c.idleTimeout, c.expiresAt = timeout, time.Now().Add(timeout)
}

// interrupt makes a pending read or write fail.
func (c *upstreamConnection) interrupt() {
	_ = c.conn.SetDeadline(time.Unix(1, 0))
}

// close closes the connection. If its last request has no complete answer, the connection is reset: otherwise what is held
// up on the way would reach the upstream later, and would run after its caller was told that it failed.
func (c *upstreamConnection) close() {
	if c.isPending {
		tcp.Abort(c.conn)
		return
	}
	_ = tcp.Close(c.conn)
}
