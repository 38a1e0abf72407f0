package peer

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// counters are the metrics of one Transport.
type counters struct {
	sent, received       metrics.Counter // messages
	dropped              metrics.Counter // messages that were not sent, superseded ones included
	unknown              metrics.Counter // messages of an unknown type
	written, read        metrics.Counter // bytes on connections, handshakes and TLS included
	opened               metrics.Counter // sessions opened
	refused, duplicates  metrics.Counter // accepted connections that did not become sessions
	sessions, handshakes metrics.Counter // current numbers of open sessions and running handshakes
	tunnels              metrics.Counter // tunnels opened through peers
	servedTunnels        metrics.Counter // current number of tunnels that lead to upstreams through this instance
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
		tunnels: counter("tunnels"), servedTunnels: counter("served_tunnels"),
	}
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	counters counters
}

// NetConn returns the connection without the counters.
func (c *countingConn) NetConn() net.Conn { return c.Conn }

// Read counts the bytes that it reads.
func (c *countingConn) Read(b []byte) (int, error) {
	count, err := c.Conn.Read(b)
	c.counters.read.Inc(int64(count))
	return count, err
}

// Write counts the bytes that it writes.
func (c *countingConn) Write(b []byte) (int, error) {
	count, err := c.Conn.Write(b)
	c.counters.written.Inc(int64(count))
	return count, err
}
