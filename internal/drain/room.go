package drain

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/occupancy"
	"bluebellhold/internal/tcp"
)

const (
	// BufferBytes is the size that each of the kernel's buffers of a client's connection is to have, which count towards the
	// memory of the process. The kernel doubles it.
	BufferBytes = 32 << 10
	// kernelBytes is what one of these buffers may hold.
	kernelBytes = id.Bytes(2 * BufferBytes)
	// fieldBytes is the memory that a field of a head takes beside its text.
	fieldBytes = id.Bytes(256)
	// activeBytes is the memory that a request takes beside its head and its body.
	activeBytes = id.Bytes(16 << 10)
	// minHeldWrite is the size above which a write counts that may wait for the client.
	minHeldWrite = 4 << 10
	// unreadBodyTimeout is how long the rest of a body that is not needed is read, so that the connection can be used again.
	unreadBodyTimeout = 500 * time.Millisecond
	// evictionTimeout is how long a client may take to get the reason for its eviction.
	evictionTimeout = time.Second
	// RefusalDelay is the time after which a client is told to return that was refused for want of room.
	RefusalDelay = time.Second
)

// headBytes returns the memory that a part of a head takes once it has been parsed.
func headBytes(part []byte) id.Bytes {
	return id.Bytes(len(part)) + id.Bytes(bytes.Count(part, []byte{'\n'}))*fieldBytes
}

// holdHead counts the memory of a part of a head, and reports whether there is any. While it waits for memory, it is not the caller
// that makes no progress.
func (c *connection) holdHead(part []byte) bool {
	startedAt := time.Now()
	c.client.Enter(occupancy.Running)
	isHeld := c.client.Hold(headBytes(part))
	c.mu.Lock()
	c.headAt = c.headAt.Add(time.Since(startedAt))
	headAt := c.headAt
	c.mu.Unlock()
	c.client.EnterSince(occupancy.Head, time.Since(headAt))
	return isHeld
}

// parsedBytes returns the memory that the head of a request takes.
func parsedBytes(r *http.Request) id.Bytes {
	size := id.Bytes(len(r.RequestURI))
	for name, values := range r.Header {
		for _, value := range values {
			size += id.Bytes(len(name)+len(value)) + fieldBytes
		}
	}
	return size
}

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
		// A head that was read ahead, together with an earlier request, has not been counted yet.
		isCounted := conn.client.Hold(activeBytes + parsedBytes(r) - conn.client.Held())
		if r.Body != nil && r.Body != http.NoBody {
			body := &requestBody{ReadCloser: r.Body, conn: conn, request: r}
			copied := *r
			copied.Body = body
			r = &copied
			defer body.finish()
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
	header := map[string]string{
		"Connection": "close", "Content-Type": "application/json", "Content-Length": strconv.Itoa(len(c.config.Refusal)),
		"Retry-After": strconv.Itoa(int(RefusalDelay / time.Second)),
	}
	maps.Copy(header, c.config.RefusalHeader)
	return header
}

// refuseHead refuses a request whose head has not been read whole, since there is no room for it, and closes the connection.
func (c *connection) refuseHead() {
	c.mu.Lock()
	isFirst := !c.isClosed && !c.isLingering
	c.isLingering = true
	c.isRefused.Store(true)
	c.mu.Unlock()
	if !isFirst {
		return
	}
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable))
	for name, value := range c.connections.refusalHeader() {
		text += name + ": " + value + "\r\n"
	}
	go func() {
		// Errors mean that the client is gone.
		if c.Conn.SetWriteDeadline(time.Now().Add(evictionTimeout)) == nil {
			_, _ = io.WriteString(c.Conn, text+"\r\n"+c.connections.config.Refusal)
		}
		c.linger()
	}()
}

// Write writes to the client. While the client does not take what is written, it makes no progress.
func (c *connection) Write(b []byte) (int, error) {
	if c.isRefused.Load() {
		// The server answers to a head that has not arrived whole.
		return 0, net.ErrClosed
	}
	if c.client == nil || len(b) <= minHeldWrite {
		return c.Conn.Write(b)
	}
	var held id.Bytes
	if c.connections.config.HoldsWrites {
		if held = id.Bytes(len(b)); !c.client.Hold(held) {
			return 0, &ShortError{}
		}
	}
	c.client.Charge(kernelBytes)
	c.setWriting(true)
	c.client.Enter(occupancy.Response)
	n, err := c.Conn.Write(b)
	c.client.Enter(occupancy.Running)
	c.setWriting(false)
	c.client.Drop(held + kernelBytes)
	return n, err
}

func (c *connection) setWriting(isWriting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWriting = isWriting
}

// evict closes the connection to make room for another one, unless the client has made progress or the server works on its request,
// and reports whether it did. If it is polite, the server first refuses the request whose body it waits for.
func (c *connection) evict(isPolite bool) bool {
	c.mu.Lock()
	if c.hasProgressed() {
		c.mu.Unlock()
		return false
	}
	isPolite = isPolite && c.isActive && !c.isLingering
	mayLookComplete := c.isWriting || c.isUnread
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

// hasProgressed reports whether the connection has left the phase in which it makes room for others. The caller holds mu.
func (c *connection) hasProgressed() bool {
	switch {
	case c.isLingering || c.isReadingBody || c.isWriting:
		return false
	case c.isUnread && !tcp.HasUnsentOutput(c.Conn):
		// The client has taken its last response since.
		c.isUnread = false
		c.client.Drop(kernelBytes)
		c.client.Enter(occupancy.Idle)
		return true
	}
	return c.isActive
}

// abort closes a connection whose client has been told why.
func (c *connection) abort() {
	tcp.Abort(c.Conn)
	c.client.Disconnect()
}

// requestBody is the body of a request.
type requestBody struct {
	io.ReadCloser
	conn    *connection
	request *http.Request
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
		// Nobody uses the trailers.
		b.request.Trailer = nil
	}
	return n, err
}

// finish bounds the time in which the server reads the rest of a body that its handler has left.
func (b *requestBody) finish() {
	if b.err != nil {
		return
	}
	// An error means that the connection has been closed.
	_ = b.conn.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	b.conn.startBody(0)
}

// startBody records that the server waits for bytes of a body, and has waited for a time without progress.
func (c *connection) startBody(waited time.Duration) {
	c.mu.Lock()
	isFirst := !c.hasBody
	c.hasBody, c.isReadingBody = true, true
	c.mu.Unlock()
	if isFirst {
		c.client.Charge(kernelBytes)
	}
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

// ShortError reports that there is no memory for what a client would have to take.
type ShortError struct{}

// Error describes the reason.
func (e *ShortError) Error() string { return "drain: no memory for a response" }
