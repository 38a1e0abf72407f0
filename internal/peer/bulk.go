package peer

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"bluebellhold/internal/wire"
)

// bulkChunk bounds one write to the connection, so that a heartbeat waits for one chunk at most.
const bulkChunk = 32 << 10

// bulkQueue holds the EpochReply messages that wait to be sent in one session.
type bulkQueue struct {
	m        sync.Mutex
	messages []*wire.Envelope
	closed   bool
	running  bool // whether a goroutine sends them
}

// putBulk queues m and starts a goroutine to send it unless one runs; the caller holds the node's m.
func (s *session) putBulk(m *wire.Envelope) int {
	q := &s.bulk
	q.m.Lock()
	defer q.m.Unlock()
	if q.closed || len(q.messages) >= bulkQueueLimit {
		return 1
	}
	q.messages = append(q.messages, m)
	if !q.running {
		q.running = true
		s.node.wait.Go(s.bulkLoop)
	}
	return 0
}

// take removes the oldest message; without one, the goroutine that asked has to end.
func (q *bulkQueue) take() *wire.Envelope {
	q.m.Lock()
	defer q.m.Unlock()
	if len(q.messages) == 0 {
		q.messages, q.running = nil, false
		return nil
	}
	m := q.messages[0]
	q.messages = q.messages[1:]
	return m
}

func (q *bulkQueue) drain() []*wire.Envelope {
	q.m.Lock()
	defer q.m.Unlock()
	left := q.messages
	q.messages, q.closed = nil, true
	return left
}

// bulkLoop sends the queued messages, each on a stream of its own.
func (s *session) bulkLoop() {
	for m := s.bulk.take(); m != nil; m = s.bulk.take() {
		if err := s.sendBulk(m); err != nil {
			s.node.meters.dropped.Inc(1)
			s.node.log.Warn("epoch not sent", "peer", s.peer, "epoch", m.GetEpochReply().GetEpoch(), "err", err)
			continue
		}
		s.node.meters.sent.Inc(1)
	}
}

func (s *session) sendBulk(m *wire.Envelope) error {
	framed, err := appendFrame(nil, m, bulkLimit)
	if err != nil {
		return err
	}
	stream, err := s.mux.OpenStream()
	if err != nil {
		return &ConnectionError{Step: "opening a stream", Cause: err}
	}
	defer stream.Close()
	stream.SetWriteDeadline(time.Now().Add(bulkTimeout))
	for len(framed) > 0 {
		chunk := framed[:min(bulkChunk, len(framed))]
		if _, err := stream.Write(chunk); err != nil {
			return &ConnectionError{Step: "writing", Cause: err}
		}
		framed = framed[len(chunk):]
	}
	return nil
}

// acceptLoop reads the streams with EpochReply messages one after another, and ends the session when yamux has closed
// it.
func (s *session) acceptLoop() {
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			s.end(err)
			return
		}
		if err := s.readBulk(stream); err != nil {
			s.end(err)
			return
		}
	}
}

// readBulk delivers the message of one stream. A stream that breaks off is skipped, a wrong one is an error.
func (s *session) readBulk(stream *yamux.Stream) error {
	defer stream.Close()
	stream.SetReadDeadline(time.Now().Add(bulkTimeout))
	reader := frameReader{source: stream, limit: bulkLimit}
	m := new(wire.Envelope)
	err := reader.next(m)
	switch err.(type) {
	case *FrameTooLargeError, *InvalidMessageError:
		return err
	}
	if err != nil {
		s.node.log.Debug("epoch broke off", "peer", s.peer, "err", err)
		return nil
	}
	if m.GetEpochReply() == nil {
		return &InvalidMessageError{}
	}
	s.deliver(m)
	return nil
}
