package peer

import (
	"encoding/binary"
	"net"
)

// The layout of a yamux header: version, type, flags (2 bytes), stream (4 bytes), length (4 bytes).
const (
	muxHeaderSize = 12
	muxTypeAt     = 1
	muxLengthAt   = 8
	muxData       = 0
)

// joinedConn writes the header and the body of a yamux data frame together.
//
// yamux writes them separately, which would cost a second packet for each heartbeat.
type joinedConn struct {
	net.Conn
	pending []byte // a header whose body has not come yet, and room for the body
}

// Write holds a data header back until its body is written; yamux writes from one goroutine only.
func (c *joinedConn) Write(b []byte) (int, error) {
	if len(c.pending) == 0 {
		if announcesBody(b) {
			c.pending = append(c.pending, b...)
			return len(b), nil
		}
		return c.Conn.Write(b)
	}
	c.pending = append(c.pending, b...)
	_, err := c.Conn.Write(c.pending)
	c.pending = c.pending[:0]
	if cap(c.pending) > keptBuffer {
		c.pending = nil
	}
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

func announcesBody(b []byte) bool {
	return len(b) == muxHeaderSize && b[muxTypeAt] == muxData && binary.BigEndian.Uint32(b[muxLengthAt:]) > 0
}
