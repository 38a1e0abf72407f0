package peer

import (
	"sync"

	"bluebellhold/internal/wire"
)

// maxQueuedMessages limits the messages in the queue of a session; heartbeats, their replies and announcements occupy
// one place each.
const maxQueuedMessages = 256

// maxQueuedEpochs limits the queued EpochReply messages of a session, each of which may hold 32 MiB.
const maxQueuedEpochs = 2

// messageQueue is the send queue of the message stream.
type messageQueue struct {
	mu       sync.Mutex
	messages []*wire.Envelope
	closed   bool
	wake     chan struct{}
}

func newMessageQueue() *messageQueue {
	return &messageQueue{wake: make(chan struct{}, 1)}
}

// push adds m and returns the number of dropped messages: 1 if the queue is full or closed, or if m replaces a queued
// message that it supersedes.
func (q *messageQueue) push(m *wire.Envelope) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return 1
	}
	if i := q.supersededIndex(m); i >= 0 {
		q.messages[i] = m
		return 1
	}
	if len(q.messages) >= maxQueuedMessages {
		return 1
	}
	q.messages = append(q.messages, m)
	q.signal()
	return 0
}

// supersededIndex returns the index of the queued message that m supersedes, or -1.
func (q *messageQueue) supersededIndex(m *wire.Envelope) int {
	if !isStateUpdate(m) {
		return -1
	}
	for i, queued := range q.messages {
		if samePayloadType(m, queued) {
			return i
		}
	}
	return -1
}

// pop removes the oldest message. If there is none, it returns nil and whether the queue is open.
func (q *messageQueue) pop() (m *wire.Envelope, open bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages) == 0 {
		q.messages = nil
		return nil, !q.closed
	}
	m, q.messages[0] = q.messages[0], nil
	q.messages = q.messages[1:]
	return m, true
}

// close rejects further messages; the queued ones can still be popped.
func (q *messageQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.signal()
}

// closeAndPopAll closes the queue and removes all messages.
func (q *messageQueue) closeAndPopAll() []*wire.Envelope {
	q.mu.Lock()
	defer q.mu.Unlock()
	remaining := q.messages
	q.messages, q.closed = nil, true
	q.signal()
	return remaining
}

func (q *messageQueue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.messages)
}

func (q *messageQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// isStateUpdate reports whether m describes a current state, so that it supersedes earlier messages of its type.
func isStateUpdate(m *wire.Envelope) bool {
	switch m.GetPayload().(type) {
	case *wire.Envelope_Heartbeat, *wire.Envelope_HeartbeatReply, *wire.Envelope_EpochAnnounced:
		return true
	default:
		return false
	}
}

func samePayloadType(a, b *wire.Envelope) bool {
	switch a.GetPayload().(type) {
	case *wire.Envelope_Heartbeat:
		return b.GetHeartbeat() != nil
	case *wire.Envelope_HeartbeatReply:
		return b.GetHeartbeatReply() != nil
	case *wire.Envelope_EpochAnnounced:
		return b.GetEpochAnnounced() != nil
	default:
		return false
	}
}
