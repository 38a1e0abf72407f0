package peer

import (
	"net"

	"bluebellhold/internal/wire"
)

// HandshakeTimeout is how long a connection may take to become a session.
const HandshakeTimeout = handshakeTimeout

// QueueLimit is the number of messages that wait for one peer at most.
const QueueLimit = queueLimit

// Answer runs the accepting side on any kind of connection.
func (n *Node) Answer(conn net.Conn) error {
	return n.answer(conn)
}

// Inject writes raw bytes into the message stream of the session with the only peer of n.
func (n *Node) Inject(b []byte) {
	n.m.Lock()
	defer n.m.Unlock()
	for _, l := range n.links {
		l.session.control.Write(b)
	}
}

// Queued passes messages through a queue without a session and returns what is left and the number dropped.
func Queued(messages []*wire.Envelope) (left []*wire.Envelope, dropped int) {
	q := newQueue()
	for _, m := range messages {
		dropped += q.put(m)
	}
	for m, _ := q.take(); m != nil; m, _ = q.take() {
		left = append(left, m)
	}
	return left, dropped
}
