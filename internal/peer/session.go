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
	keepAlive    = time.Second
	writeTimeout = 2 * time.Second
	// bulkTimeout bounds the transfer of one EpochReply; 32 MiB need 1.8 s at a round trip of 55 ms.
	bulkTimeout = 30 * time.Second
	// closeTimeout is how long Close waits for a peer to take the last messages.
	closeTimeout = 500 * time.Millisecond
	// streamWindow bounds what one stream has in flight, and with it the delay that a large message causes to
	// heartbeats on a slow link.
	streamWindow = 1 << 20
	// bulkStreams bounds the EpochReply streams that wait to be read.
	bulkStreams = 4
)

// session is one authenticated connection with a peer.
type session struct {
	node        *Transport
	peer        id.Instance
	incarnation id.Incarnation
	dialled     bool // by this side
	mux         *yamux.Session
	control     *yamux.Stream
	messages    *queue
	bulk        bulkQueue
	once        sync.Once
	ended       chan struct{}
}

func (n *Transport) newSession(hello *wire.Hello, dialled bool) *session {
	return &session{
		node:        n,
		peer:        id.Instance(hello.GetInstance()),
		incarnation: id.Incarnation(hello.GetIncarnation()),
		dialled:     dialled,
		messages:    newQueue(),
		ended:       make(chan struct{}),
	}
}

// multiplex starts yamux; the dialling side opens the stream for messages, which is the first one of the connection.
func (s *session) multiplex(ctx context.Context, conn net.Conn) error {
	settings := yamux.DefaultConfig()
	settings.AcceptBacklog = bulkStreams
	settings.KeepAliveInterval = keepAlive
	settings.ConnectionWriteTimeout = writeTimeout
	settings.StreamOpenTimeout = 0
	settings.StreamCloseTimeout = bulkTimeout
	settings.MaxStreamWindowSize = streamWindow
	settings.LogOutput = nil
	settings.Logger = s.node.log.With("peer", s.peer).StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel})
	start := yamux.Server
	if s.dialled {
		start = yamux.Client
	}
	mux, err := start(&joinedConn{Conn: conn}, settings)
	if err != nil {
		return &ConnectionError{Step: "starting yamux", Cause: err}
	}
	s.mux = mux
	if s.dialled {
		s.control, err = mux.OpenStream()
	} else {
		s.control, err = mux.AcceptStreamWithContext(ctx)
	}
	if err != nil {
		mux.Close()
		return &ConnectionError{Step: "opening the message stream", Cause: err}
	}
	return nil
}

// put queues m and returns how many messages it dropped; the caller holds the node's m.
func (s *session) put(m *wire.Envelope) int {
	if m.GetEpochReply() != nil {
		return s.putBulk(m)
	}
	return s.messages.put(m)
}

// adopt takes over what old has not sent; the caller holds the node's m.
func (s *session) adopt(old *session) {
	for _, m := range append(old.messages.drain(), old.bulk.drain()...) {
		s.node.meters.dropped.Inc(int64(s.put(m)))
	}
}

// end ends the session once and drops what it has not sent.
func (s *session) end(cause error) {
	s.once.Do(func() {
		close(s.ended)
		left := len(s.messages.drain()) + len(s.bulk.drain())
		s.node.meters.dropped.Inc(int64(left))
		s.node.uninstall(s)
		s.node.log.Info("session closed", "peer", s.peer, "incarnation", s.incarnation, "err", cause)
		s.mux.Close()
	})
}

// finish sends what is queued and ends the session when the peer has read it, or after closeTimeout.
func (s *session) finish() {
	s.messages.close()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-s.ended:
	case <-timer.C:
	}
	s.end(&ClosedError{})
}

// readLoop delivers the messages of the session.
func (s *session) readLoop() {
	reader := frameReader{source: s.control, limit: messageLimit}
	for {
		m := new(wire.Envelope)
		err := reader.next(m)
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
	s.end(err)
}

// deliver passes m on; a payload that a newer version has added is counted and skipped.
func (s *session) deliver(m *wire.Envelope) {
	if m.GetPayload() == nil {
		s.node.meters.unknown.Inc(1)
		return
	}
	if s.node.config.IsBlocked(s.peer) {
		return
	}
	s.node.meters.received.Inc(1)
	s.node.config.OnMessage(s.peer, m)
}

// writeLoop sends the queued messages, as many as fit in one write.
func (s *session) writeLoop() {
	var buffer []byte
	for {
		var open bool
		buffer, open = s.encode(buffer[:0])
		if len(buffer) > 0 {
			s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := s.control.Write(buffer); err != nil {
				s.fail(err)
				return
			}
			continue
		}
		if !open {
			s.control.Close()
			return
		}
		if cap(buffer) > keptBuffer {
			buffer = nil
		}
		select {
		case <-s.messages.wake:
		case <-s.ended:
			return
		}
	}
}

// encode appends frames to buffer until the queue is empty or the buffer holds enough for one write.
func (s *session) encode(buffer []byte) (framed []byte, open bool) {
	for len(buffer) < keptBuffer {
		m, open := s.messages.take()
		if m == nil {
			return buffer, open
		}
		framed, err := appendFrame(buffer, m, messageLimit)
		if err != nil {
			s.node.meters.dropped.Inc(1)
			s.node.log.Error("message not sent", "peer", s.peer, "err", err)
			continue
		}
		s.node.meters.sent.Inc(1)
		buffer = framed
	}
	return buffer, true
}
