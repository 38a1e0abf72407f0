package peer

import (
	"sync"

	"bluebellhold/internal/wire"
)

// queueLimit bounds the messages that wait for one peer; heartbeats and announcements take one place each.
const maxQueuedMessages = 256

// bulkQueueLimit bounds the EpochReply messages that wait for one peer, because each may hold 32 MiB.
const maxQueuedEpochs = 2

// queue holds the messages that wait to be sent in one session.
type messageQueue struct {
	mu       sync.Mutex
	messages []*wire.Envelope
	closed   bool
	wake     chan struct{}
}

func newMessageQueue() *messageQueue {
	return &messageQueue{wake: make(chan struct{}, 1)}
}

// put adds m and returns how many messages it dropped: m itself if the queue is full or closed, or the stale one that
// m replaces.
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

// stale returns the place of the message that is worthless once m is sent, or -1.
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

// take removes the oldest message; without one, it returns nil and whether more may come.
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

// close stops put and lets take hand out what is left.
func (q *messageQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.signal()
}

// drain closes the queue and returns what is left.
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

// replaceable tells messages that describe a current state, of which only the newest counts.
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
