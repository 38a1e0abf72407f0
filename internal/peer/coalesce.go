package peer

import (
	"encoding/binary"
	"net"
)

// The layout of a yamux header: version, type, flags (2 bytes), stream (4 bytes), length (4 bytes).
const (
	muxHeaderSize   = 12
	muxTypeOffset   = 1
	muxLengthOffset = 8
	muxTypeData     = 0
)

// coalescingConn writes the header and the body of a yamux data frame in one call, because yamux writes them
// separately, which would cost a second packet for each heartbeat.
type coalescingConn struct {
	net.Conn
	pending []byte // a header whose body has not been written yet; reused as the write buffer
}

// Write buffers a data header until its body is written. It needs no lock, since yamux writes from one goroutine.
func (c *coalescingConn) Write(b []byte) (int, error) {
	if len(c.pending) == 0 {
		if isDataHeader(b) {
			c.pending = append(c.pending, b...)
			return len(b), nil
		}
		return c.Conn.Write(b)
	}
	c.pending = append(c.pending, b...)
	_, err := c.Conn.Write(c.pending)
	c.pending = c.pending[:0]
	if cap(c.pending) > maxRetainedBufferSize {
		c.pending = nil
	}
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// isDataHeader reports whether b is the header of a data frame that has a body.
func isDataHeader(b []byte) bool {
	return len(b) == muxHeaderSize && b[muxTypeOffset] == muxTypeData && binary.BigEndian.Uint32(b[muxLengthOffset:]) > 0
}
