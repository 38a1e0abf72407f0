package peer

import (
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"bluebellhold/internal/wire"
)

// epochChunkSize limits one write to the connection, so that a heartbeat waits for at most one chunk.
const epochChunkSize = 32 << 10

// epochQueue is the send queue of the EpochReply messages of a session.
type epochQueue struct {
	mu        sync.Mutex
	messages  []*wire.Envelope
	closed    bool
	isSending bool // whether epochWriteLoop is running
}

// enqueueEpoch queues m, starts epochWriteLoop unless it is running, and returns the number of dropped messages. The
// caller holds the Transport's mu.
func (s *session) enqueueEpoch(m *wire.Envelope) int {
	q := &s.epochs
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.messages) >= maxQueuedEpochs {
		return 1
	}
	q.messages = append(q.messages, m)
	if !q.isSending {
		q.isSending = true
		s.transport.goroutines.Go(s.epochWriteLoop)
	}
	return 0
}

// pop removes the oldest message. If there is none, it returns nil, and epochWriteLoop must return.
func (q *epochQueue) pop() *wire.Envelope {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages) == 0 {
		q.messages, q.isSending = nil, false
		return nil
	}
	m := q.messages[0]
	q.messages = q.messages[1:]
	return m
}

func (q *epochQueue) closeAndPopAll() []*wire.Envelope {
	q.mu.Lock()
	defer q.mu.Unlock()
	remaining := q.messages
	q.messages, q.closed = nil, true
	return remaining
}

// epochWriteLoop sends the queued messages, each on its own stream.
func (s *session) epochWriteLoop() {
	for m := s.epochs.pop(); m != nil; m = s.epochs.pop() {
		if err := s.sendEpoch(m); err != nil {
			s.transport.counters.dropped.Inc(1)
			s.transport.log.Warn("epoch not sent", "peer", s.peer, "epoch", m.GetEpochReply().GetEpoch(), "err", err)
			continue
		}
		s.transport.counters.sent.Inc(1)
	}
}

func (s *session) sendEpoch(m *wire.Envelope) error {
	unsent, err := appendFrame(nil, m, maxEpochFrameSize)
	if err != nil {
		return err
	}
	stream, err := s.mux.OpenStream()
	if err != nil {
		return &ConnectionError{Step: "opening a stream", Cause: err}
	}
	defer stream.Close()
	stream.SetWriteDeadline(time.Now().Add(epochTransferTimeout))
	for len(unsent) > 0 {
		chunk := unsent[:min(epochChunkSize, len(unsent))]
		if _, err := stream.Write(chunk); err != nil {
			return &ConnectionError{Step: "writing", Cause: err}
		}
		unsent = unsent[len(chunk):]
	}
	return nil
}

// epochReadLoop reads the streams with EpochReply messages one after another, and closes the session when yamux has
// closed the connection.
func (s *session) epochReadLoop() {
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			s.close(err)
			return
		}
		if err := s.readEpoch(stream); err != nil {
			s.close(err)
			return
		}
	}
}

// readEpoch delivers the message of one stream. It skips a stream that fails before the end of the frame, and returns
// an error if the frame or the message is invalid.
func (s *session) readEpoch(stream *yamux.Stream) error {
	defer stream.Close()
	stream.SetReadDeadline(time.Now().Add(epochTransferTimeout))
	reader := frameReader{source: stream, maxSize: maxEpochFrameSize}
	m := new(wire.Envelope)
	err := reader.readFrame(m)
	switch err.(type) {
	case *FrameTooLargeError, *InvalidMessageError:
		return err
	}
	if err != nil {
		s.transport.log.Debug("epoch broke off", "peer", s.peer, "err", err)
		return nil
	}
	if m.GetEpochReply() == nil {
		return &InvalidMessageError{}
	}
	s.deliver(m)
	return nil
}
