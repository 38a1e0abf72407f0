package peer

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// meters are the counters of one node.
type counters struct {
	sent, received       metrics.Counter // messages
	dropped              metrics.Counter // messages that were not sent, stale ones included
	unknown              metrics.Counter // messages of a kind that this version does not know
	written, read        metrics.Counter // bytes on connections, handshakes and TLS included
	opened               metrics.Counter // sessions
	refused, duplicates  metrics.Counter // accepted connections that did not become sessions
	sessions, handshakes metrics.Counter // current numbers
}

func newCounters(registry metrics.Registry) counters {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("peer."+name, registry)
	}
	return counters{
		sent: counter("sent"), received: counter("received"),
		dropped: counter("dropped"), unknown: counter("unknown"),
		written: counter("written"), read: counter("read"),
		opened:  counter("opened"),
		refused: counter("refused"), duplicates: counter("duplicates"),
		sessions: counter("sessions"), handshakes: counter("handshakes"),
	}
}

// meteredConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	counters counters
}

// Read counts what it reads.
func (c *countingConn) Read(b []byte) (int, error) {
	count, err := c.Conn.Read(b)
	c.counters.read.Inc(int64(count))
	return count, err
}

// Write counts what it writes.
func (c *countingConn) Write(b []byte) (int, error) {
	count, err := c.Conn.Write(b)
	c.counters.written.Inc(int64(count))
	return count, err
}
