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
	// keepAliveInterval and writeTimeout add up to the 3 s within which the session of an unresponsive peer is closed.
	keepAliveInterval = time.Second
	writeTimeout      = 2 * time.Second
	// epochTransferTimeout limits the transfer of one EpochReply; 32 MiB take 1.8 s at a round trip of 55 ms.
	epochTransferTimeout = 30 * time.Second
	// gracefulCloseTimeout limits the time that Close waits for a peer to read the last messages.
	gracefulCloseTimeout = 500 * time.Millisecond
	// streamWindowSize limits the bytes that one stream has in flight, and so the delay that a large message causes
	// to heartbeats on a slow connection.
	streamWindowSize = 1 << 20
	// maxPendingEpochStreams limits the EpochReply streams that wait to be accepted.
	maxPendingEpochStreams = 4
)

// session is an authenticated, multiplexed connection with a peer.
type session struct {
	transport     *Transport
	peer          id.Instance
	incarnation   id.Incarnation
	dialled       bool // whether this side dialled
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

// multiplex starts yamux. The dialling side opens the message stream, which is the first stream of the connection.
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

// enqueue queues m and returns the number of dropped messages; the caller holds the Transport's mu.
func (s *session) enqueue(m *wire.Envelope) int {
	if m.GetEpochReply() != nil {
		return s.enqueueEpoch(m)
	}
	return s.messages.push(m)
}

// requeueFrom moves the messages that are still queued in old to s; the caller holds the Transport's mu.
func (s *session) requeueFrom(old *session) {
	for _, m := range append(old.messages.closeAndPopAll(), old.epochs.closeAndPopAll()...) {
		s.transport.counters.dropped.Inc(int64(s.enqueue(m)))
	}
}

// close closes the session once and drops its queued messages; further calls have no effect.
func (s *session) close(cause error) {
	s.closeOnce.Do(func() {
		close(s.done)
		unsent := len(s.messages.closeAndPopAll()) + len(s.epochs.closeAndPopAll())
		s.transport.counters.dropped.Inc(int64(unsent))
		if s.transport.uninstall(s) {
			s.transport.config.OnClosed(s.peer)
		}
		s.transport.log.Info("session closed", "peer", s.peer, "incarnation", s.incarnation, "err", cause)
		s.mux.Close()
	})
}

// closeGracefully sends the queued messages and closes the session once the peer has read them and closed its side, or
// after gracefulCloseTimeout.
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

// readLoop delivers the messages of the message stream.
func (s *session) readLoop() {
	reader := frameReader{source: s.messageStream, maxSize: maxMessageFrameSize}
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

// fail closes the session because a stream has failed. If yamux has closed the connection, its error is the cause,
// because err then only says that the stream is closed.
func (s *session) fail(err error) {
	if s.mux.IsClosed() {
		_, err = s.mux.AcceptStream()
	}
	s.close(err)
}

// deliver passes m to OnMessage. A payload of a type that only newer versions define is counted and skipped.
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

// writeLoop sends the queued messages in batches, until the queue is closed and empty or the session is closed.
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
		if cap(buffer) > maxRetainedBufferSize {
			buffer = nil
		}
		select {
		case <-s.messages.wake:
		case <-s.done:
			return
		}
	}
}

// encodeBatch appends frames of queued messages to buffer until the queue is empty or the buffer has reached
// maxRetainedBufferSize.
func (s *session) encodeBatch(buffer []byte) (framed []byte, open bool) {
	for len(buffer) < maxRetainedBufferSize {
		m, open := s.messages.pop()
		if m == nil {
			return buffer, open
		}
		framed, err := appendFrame(buffer, m, maxMessageFrameSize)
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
