package peer

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// meters are the counters of one node.
type meters struct {
	sent, received       metrics.Counter // messages
	dropped              metrics.Counter // messages that were not sent, stale ones included
	unknown              metrics.Counter // messages of a kind that this version does not know
	written, read        metrics.Counter // bytes on connections, handshakes and TLS included
	opened               metrics.Counter // sessions
	refused, duplicates  metrics.Counter // accepted connections that did not become sessions
	sessions, handshakes metrics.Counter // current numbers
}

func newMeters(r metrics.Registry) meters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("peer."+name, r)
	}
	return meters{
		sent: counter("sent"), received: counter("received"),
		dropped: counter("dropped"), unknown: counter("unknown"),
		written: counter("written"), read: counter("read"),
		opened:  counter("opened"),
		refused: counter("refused"), duplicates: counter("duplicates"),
		sessions: counter("sessions"), handshakes: counter("handshakes"),
	}
}

// meteredConn counts the bytes of a connection.
type meteredConn struct {
	net.Conn
	meters meters
}

// Read counts what it reads.
func (c *meteredConn) Read(b []byte) (int, error) {
	count, err := c.Conn.Read(b)
	c.meters.read.Inc(int64(count))
	return count, err
}

// Write counts what it writes.
func (c *meteredConn) Write(b []byte) (int, error) {
	count, err := c.Conn.Write(b)
	c.meters.written.Inc(int64(count))
	return count, err
}
