package peer

import (
	"net"

	"bluebellhold/internal/wire"
)

// HandshakeTimeout exports handshakeTimeout.
const HandshakeTimeout = handshakeTimeout

// MaxQueuedMessages exports maxQueuedMessages.
const MaxQueuedMessages = maxQueuedMessages

// AcceptConn runs the accepting side of a Transport without a listener, so that it can run in virtual time.
func AcceptConn(config Config, conn net.Conn) error {
	config.Listen = "127.0.0.1:0"
	config, err := config.withDefaults()
	if err != nil {
		return err
	}
	_, err = newTransport(config, nil).upgradeAccepted(&clientConn{Conn: conn})
	return err
}

// Inject writes raw bytes to the message stream of the session with the only peer.
func (t *Transport) Inject(b []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		p.session.messageStream.Write(b)
	}
}

// PassThroughQueue pushes messages to a queue without a session, pops the remaining ones and counts the dropped ones.
func PassThroughQueue(messages []*wire.Envelope) (remaining []*wire.Envelope, dropped int) {
	q := newMessageQueue()
	for _, m := range messages {
		dropped += q.push(m)
	}
	for m, _ := q.pop(); m != nil; m, _ = q.pop() {
		remaining = append(remaining, m)
	}
	return remaining, dropped
}
