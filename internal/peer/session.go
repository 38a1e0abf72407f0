package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/hashicorp/yamux"

	"bluebellhold/id"
	"bluebellhold/internal/wire"
)

const (
	// keepAlive and writeTimeout together bound the time until a frozen peer's session ends: at most 3 s.
	keepAliveInterval = time.Second
	writeTimeout      = 2 * time.Second
	// bulkTimeout bounds the transfer of one EpochReply; 32 MiB need 1.8 s at a round trip of 55 ms.
	epochTransferTimeout = 30 * time.Second
	// closeTimeout is how long Close waits for a peer to take the last messages.
	gracefulCloseTimeout = 500 * time.Millisecond
	// streamWindow bounds what one stream has in flight, and with it the delay that a large message causes to
	// heartbeats on a slow link.
	streamWindowSize = 1 << 20
	// bulkStreams bounds the EpochReply streams that wait to be read.
	maxPendingEpochStreams = 4
)

// session is one authenticated connection with a peer.
type session struct {
	transport     *Transport
	peer          id.Instance
	incarnation   id.Incarnation
	dialled       bool // by this side
	mux           *yamux.Session
	messageStream *yamux.Stream
	messages      *messageQueue
	epochs        epochQueue
	closeOnce     sync.Once
	done          chan struct{}
}

func (t *Transport) newSession(hello *wire.Hello, dialled bool) *session {
	return &session{
		transport:   t,
		peer:        id.Instance(hello.GetInstance()),
		incarnation: id.Incarnation(hello.GetIncarnation()),
		dialled:     dialled,
		messages:    newMessageQueue(),
		done:        make(chan struct{}),
	}
}

// multiplex starts yamux; the dialling side opens the stream for messages, which is the first one of the connection.
func (s *session) multiplex(ctx context.Context, conn net.Conn) error {
	muxConfig := yamux.DefaultConfig()
	muxConfig.AcceptBacklog = maxPendingEpochStreams
	muxConfig.KeepAliveInterval = keepAliveInterval
	muxConfig.ConnectionWriteTimeout = writeTimeout
	muxConfig.StreamOpenTimeout = 0
	muxConfig.StreamCloseTimeout = epochTransferTimeout
	muxConfig.MaxStreamWindowSize = streamWindowSize
	muxConfig.LogOutput = nil
	muxConfig.Logger = s.transport.log.With("peer", s.peer).StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel})
	newMux := yamux.Server
	if s.dialled {
		newMux = yamux.Client
	}
	mux, err := newMux(&coalescingConn{Conn: conn}, muxConfig)
	if err != nil {
		return &ConnectionError{Step: "starting yamux", Cause: err}
	}
	s.mux = mux
	if s.dialled {
		s.messageStream, err = mux.OpenStream()
	} else {
		s.messageStream, err = mux.AcceptStreamWithContext(ctx)
	}
	if err != nil {
		mux.Close()
		return &ConnectionError{Step: "opening the message stream", Cause: err}
	}
	return nil
}

// put queues m and returns how many messages it dropped; the caller holds the node's m.
func (s *session) enqueue(m *wire.Envelope) int {
	if m.GetEpochReply() != nil {
		return s.enqueueEpoch(m)
	}
	return s.messages.push(m)
}

// adopt takes over what old has not sent; the caller holds the node's m.
func (s *session) requeueFrom(old *session) {
	for _, m := range append(old.messages.closeAndPopAll(), old.epochs.closeAndPopAll()...) {
		s.transport.counters.dropped.Inc(int64(s.enqueue(m)))
	}
}

// end ends the session once and drops what it has not sent.
func (s *session) close(cause error) {
	s.closeOnce.Do(func() {
		close(s.done)
		unsent := len(s.messages.closeAndPopAll()) + len(s.epochs.closeAndPopAll())
		s.transport.counters.dropped.Inc(int64(unsent))
		s.transport.uninstall(s)
		s.transport.log.Info("session closed", "peer", s.peer, "incarnation", s.incarnation, "err", cause)
		s.mux.Close()
	})
}

// finish sends what is queued and ends the session when the peer has read it, or after closeTimeout.
func (s *session) closeGracefully() {
	s.messages.close()
	timer := time.NewTimer(gracefulCloseTimeout)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
	s.close(&ClosedError{})
}

// readLoop delivers the messages of the session.
func (s *session) readLoop() {
	reader := frameReader{source: s.messageStream, maxSize: maxMessageFrame}
	for {
		m := new(wire.Envelope)
		err := reader.readFrame(m)
		if err == io.EOF && !s.mux.IsClosed() {
			err = &ClosedError{Remote: true}
		}
		if err != nil {
			s.fail(err)
			return
		}
		s.deliver(m)
	}
}

// fail ends the session because a stream failed. If yamux has closed the session, its cause takes the place of err,
// which then only says that the stream is gone.
func (s *session) fail(err error) {
	if s.mux.IsClosed() {
		_, err = s.mux.AcceptStream()
	}
	s.close(err)
}

// deliver passes m on; a payload that a newer version has added is counted and skipped.
func (s *session) deliver(m *wire.Envelope) {
	if m.GetPayload() == nil {
		s.transport.counters.unknown.Inc(1)
		return
	}
	if s.transport.config.IsBlocked(s.peer) {
		return
	}
	s.transport.counters.received.Inc(1)
	s.transport.config.OnMessage(s.peer, m)
}

// writeLoop sends the queued messages, as many as fit in one write.
func (s *session) writeLoop() {
	var buffer []byte
	for {
		var open bool
		buffer, open = s.encodeBatch(buffer[:0])
		if len(buffer) > 0 {
			s.messageStream.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := s.messageStream.Write(buffer); err != nil {
				s.fail(err)
				return
			}
			continue
		}
		if !open {
			s.messageStream.Close()
			return
		}
		if cap(buffer) > maxRetainedBuffer {
			buffer = nil
		}
		select {
		case <-s.messages.wake:
		case <-s.done:
			return
		}
	}
}

// encode appends frames to buffer until the queue is empty or the buffer holds enough for one write.
func (s *session) encodeBatch(buffer []byte) (framed []byte, open bool) {
	for len(buffer) < maxRetainedBuffer {
		m, open := s.messages.pop()
		if m == nil {
			return buffer, open
		}
		framed, err := appendFrame(buffer, m, maxMessageFrame)
		if err != nil {
			s.transport.counters.dropped.Inc(1)
			s.transport.log.Error("message not sent", "peer", s.peer, "err", err)
			continue
		}
		s.transport.counters.sent.Inc(1)
		buffer = framed
	}
	return buffer, true
}
