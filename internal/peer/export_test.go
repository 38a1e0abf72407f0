package peer

import (
	"net"

	"bluebellhold/internal/wire"
)

// HandshakeTimeout is how long a connection may take to become a session.
const HandshakeTimeout = handshakeTimeout

// MaxQueuedMessages is the number of messages that wait for one peer at most.
const MaxQueuedMessages = queueLimit

// AcceptConn runs the accepting side of a node without a listener, so that it can run in virtual time.
func AcceptConn(config Config, conn net.Conn) error {
	config.Listen = "127.0.0.1:0"
	config, err := config.validated()
	if err != nil {
		return err
	}
	return newNode(config, nil).answer(conn)
}

// Inject writes raw bytes into the message stream of the session with the only peer of n.
func (n *Transport) Inject(b []byte) {
	n.m.Lock()
	defer n.m.Unlock()
	for _, l := range n.links {
		l.session.control.Write(b)
	}
}

// PassThroughQueue passes messages through a queue without a session and returns what is left and the number dropped.
func PassThroughQueue(messages []*wire.Envelope) (left []*wire.Envelope, dropped int) {
	q := newQueue()
	for _, m := range messages {
		dropped += q.put(m)
	}
	for m, _ := q.take(); m != nil; m, _ = q.take() {
		left = append(left, m)
	}
	return left, dropped
}
