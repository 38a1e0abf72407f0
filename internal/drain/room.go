package drain

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/occupancy"
	"bluebellhold/internal/tcp"
)

const (
	// activeBytes is the memory that a request takes beside its head and its body.
	activeBytes = id.Bytes(16 << 10)
	// minHeldWrite is the size above which a write counts that may wait for the client.
	minHeldWrite = 4 << 10
	// evictionTimeout is how long a client may take to get the reason for its eviction.
	evictionTimeout = time.Second
	// refusalDelay is the time after which a client is told to return that was refused for want of room.
	refusalDelay = time.Second
)

type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// handler counts the memory of each request, and follows the reading of its body.
func (c *Connections) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok || conn.client == nil {
			next.ServeHTTP(w, r)
			return
		}
		isCounted := conn.client.Hold(activeBytes)
		if r.Body != nil && r.Body != http.NoBody {
			body := &requestBody{ReadCloser: r.Body, conn: conn}
			copied := *r
			copied.Body = body
			r = &copied
		}
		if !isCounted {
			c.refuse(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// refuse refuses a request for which there is no room.
func (c *Connections) refuse(w http.ResponseWriter) {
	for name, value := range c.refusalHeader() {
		w.Header().Set(name, value)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
	// An error means that the client is gone.
	_, _ = io.WriteString(w, c.config.Refusal)
}

func (c *Connections) refusalHeader() map[string]string {
	return map[string]string{
		"Connection": "close", "Content-Type": "application/json", "Content-Length": strconv.Itoa(len(c.config.Refusal)),
		"Retry-After": strconv.Itoa(int(refusalDelay / time.Second)),
	}
}

// Write writes to the client. While the client does not take what is written, it makes no progress.
func (c *connection) Write(b []byte) (int, error) {
	if c.client == nil || len(b) <= minHeldWrite {
		return c.Conn.Write(b)
	}
	c.setWriting(true)
	c.client.Enter(occupancy.Response)
	n, err := c.Conn.Write(b)
	c.client.Enter(occupancy.Running)
	c.setWriting(false)
	return n, err
}

func (c *connection) setWriting(isWriting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWriting = isWriting
}

// evict closes the connection to make room for another one, unless the server works on a request, and reports whether it did. If
// it is polite, the server first refuses the request whose body it waits for.
func (c *connection) evict(isPolite bool) bool {
	c.mu.Lock()
	if c.isActive && !c.isReadingBody && !c.isWriting && !c.isLingering {
		c.mu.Unlock()
		return false
	}
	isPolite = isPolite && c.isActive && !c.isLingering
	mayLookComplete := c.isWriting
	c.isEvicted = true
	if isPolite {
		_ = c.Conn.SetReadDeadline(pastDeadline)
		c.mu.Unlock()
		time.AfterFunc(evictionTimeout, c.abort)
		return true
	}
	c.isClosed = true
	c.mu.Unlock()
	if mayLookComplete {
		tcp.Abort(c.Conn)
	} else {
		_ = c.Conn.Close()
	}
	// The server ends the connection when it notices, and uses memory for it until then.
	c.client.Disconnect()
	return true
}

// abort closes a connection whose client has been told why.
func (c *connection) abort() {
	tcp.Abort(c.Conn)
	c.client.Disconnect()
}

// requestBody is the body of a request.
type requestBody struct {
	io.ReadCloser
	conn *connection
	// waited is how long the process has waited for the body, and size what has arrived, since the last progress.
	waited time.Duration
	size   int
	err    error
}

// Read reads a part of the body.
func (b *requestBody) Read(p []byte) (int, error) {
	startedAt := time.Now()
	b.conn.startBody(b.waited)
	n, err := b.ReadCloser.Read(p)
	b.conn.endBody()
	b.waited += time.Since(startedAt)
	if b.size += n; b.size >= occupancy.MinProgress {
		b.size, b.waited = 0, 0
	}
	if err != nil {
		b.err = err
	}
	return n, err
}

// startBody records that the server waits for bytes of a body, and has waited for a time without progress.
func (c *connection) startBody(waited time.Duration) {
	c.mu.Lock()
	c.isReadingBody = true
	c.mu.Unlock()
	c.client.EnterSince(occupancy.Body, waited)
}

func (c *connection) endBody() {
	c.mu.Lock()
	c.isReadingBody = false
	c.mu.Unlock()
	c.client.Enter(occupancy.Running)
}

// EvictedError reports that a request was given up while its body was read, to make room for others.
type EvictedError struct{}

// Error describes the reason.
func (e *EvictedError) Error() string {
	return "drain: the request was given up to make room for others"
}
