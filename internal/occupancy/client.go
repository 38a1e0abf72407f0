package occupancy

import (
	"sync"
	"sync/atomic"
	"time"

	"bluebellhold/id"
)

// Client is what one client's connection occupies. Its methods are safe for concurrent use, and do nothing for nil.
type Client struct {
	clients *Clients
	door    Door
	evict   func(isPolite bool) bool
	// isEvicted and isLeaving are guarded by the mutex of clients. A client that leaves is being told why.
	isEvicted, isLeaving bool
	state                atomic.Int64

	// mu guards the memory that the client holds: base for its connection, and held for its request.
	mu         sync.Mutex
	base, held id.Bytes
	isEnded    bool
}

func (c *Client) load() stamp { return stamp(c.state.Load()) }

// Enter starts a phase, in which the client has made no progress yet.
func (c *Client) Enter(p Phase) { c.EnterSince(p, 0) }

// EnterSince is Enter for a phase in which the client has made no progress for a time.
func (c *Client) EnterSince(p Phase, idle time.Duration) {
	if c != nil {
		c.state.Store(int64(newStamp(p, c.clients.now()-idle)))
	}
}

// Open counts the client, and reports whether there is room for it. If there is none, its connection is to be closed.
func (c *Client) Open() bool {
	if c == nil {
		return true
	}
	if !c.clients.admit(c) {
		c.clients.refused.Inc(1)
		c.clients.logShort()
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isEnded {
		// Another client has evicted this one meanwhile.
		c.clients.memory.ReleaseClient(connectionBytes)
		return false
	}
	c.base = connectionBytes
	return true
}

// Hold counts memory for the request of the client until Release, and reports whether there is any.
func (c *Client) Hold(size id.Bytes) bool {
	if c == nil || size <= 0 {
		return true
	}
	if !c.clients.memory.HoldClient(size) {
		return false
	}
	return c.take(size)
}

// Charge is Hold for memory that is in use already: it counts also if there is none left.
func (c *Client) Charge(size id.Bytes) {
	if c != nil {
		c.clients.memory.ChargeClient(size)
		c.take(size)
	}
}

// take records memory that has been counted, and reports whether the client is still there.
func (c *Client) take(size id.Bytes) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isEnded {
		c.clients.memory.ReleaseClient(size)
		return false
	}
	c.held += size
	return true
}

// Drop ends the counting of a part of the memory for the client's request.
func (c *Client) Drop(size id.Bytes) {
	if c == nil {
		return
	}
	c.mu.Lock()
	size = min(size, c.held)
	c.held -= size
	c.mu.Unlock()
	c.release(size)
}

// Held returns the memory that is counted for the client's request.
func (c *Client) Held() id.Bytes {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held
}

// Release ends the counting of the memory for the client's request.
func (c *Client) Release() {
	if c == nil {
		return
	}
	c.mu.Lock()
	held := c.held
	c.held = 0
	c.mu.Unlock()
	c.release(held)
}

func (c *Client) release(size id.Bytes) {
	if size > 0 {
		c.clients.memory.ReleaseClient(size)
	}
}

// Disconnect ends the counting of the client's descriptor, which has been closed. What serves the client still uses memory.
func (c *Client) Disconnect() {
	if c != nil {
		c.clients.remove(c)
	}
}

// End ends the counting of the client, which nothing serves any more.
func (c *Client) End() {
	if c == nil {
		return
	}
	c.mu.Lock()
	size := c.base + c.held
	c.base, c.held, c.isEnded = 0, 0, true
	c.mu.Unlock()
	c.release(size)
	c.clients.remove(c)
}
