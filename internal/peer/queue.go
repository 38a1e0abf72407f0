package peer

import (
	"sync"

	"bluebellhold/internal/wire"
)

// queueLimit bounds the messages that wait for one peer; heartbeats and announcements take one place each.
const queueLimit = 256

// bulkQueueLimit bounds the EpochReply messages that wait for one peer, because each may hold 32 MiB.
const bulkQueueLimit = 2

// queue holds the messages that wait to be sent in one session.
type queue struct {
	m        sync.Mutex
	messages []*wire.Envelope
	closed   bool
	wake     chan struct{}
}

func newQueue() *queue {
	return &queue{wake: make(chan struct{}, 1)}
}

// put adds m and returns how many messages it dropped: m itself if the queue is full or closed, or the stale one that
// m replaces.
func (q *queue) put(m *wire.Envelope) int {
	q.m.Lock()
	defer q.m.Unlock()
	if q.closed {
		return 1
	}
	if at := q.stale(m); at >= 0 {
		q.messages[at] = m
		return 1
	}
	if len(q.messages) >= queueLimit {
		return 1
	}
	q.messages = append(q.messages, m)
	q.signal()
	return 0
}

// stale returns the place of the message that is worthless once m is sent, or -1.
func (q *queue) stale(m *wire.Envelope) int {
	if !replaceable(m) {
		return -1
	}
	for i, other := range q.messages {
		if sameKind(m, other) {
			return i
		}
	}
	return -1
}

// take removes the oldest message; without one, it returns nil and whether more may come.
func (q *queue) take() (m *wire.Envelope, open bool) {
	q.m.Lock()
	defer q.m.Unlock()
	if len(q.messages) == 0 {
		q.messages = nil
		return nil, !q.closed
	}
	m, q.messages[0] = q.messages[0], nil
	q.messages = q.messages[1:]
	return m, true
}

// close stops put and lets take hand out what is left.
func (q *queue) close() {
	q.m.Lock()
	defer q.m.Unlock()
	q.closed = true
	q.signal()
}

// drain closes the queue and returns what is left.
func (q *queue) drain() []*wire.Envelope {
	q.m.Lock()
	defer q.m.Unlock()
	left := q.messages
	q.messages, q.closed = nil, true
	q.signal()
	return left
}

func (q *queue) length() int {
	q.m.Lock()
	defer q.m.Unlock()
	return len(q.messages)
}

func (q *queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// replaceable tells messages that describe a current state, of which only the newest counts.
func replaceable(m *wire.Envelope) bool {
	switch m.GetPayload().(type) {
	case *wire.Envelope_Heartbeat, *wire.Envelope_HeartbeatReply, *wire.Envelope_EpochAnnounced:
		return true
	default:
		return false
	}
}

func sameKind(a, b *wire.Envelope) bool {
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
