package main

import (
	"io"
	"net"
	"sync"
	"time"

	"bluebellhold/internal/tcp"
)

// link is a link between a process and an address that can be cut: connections stay open, and nothing passes. What has been
// sent in a cut passes after it, unless the sender has reset the connection.
type link struct {
	listener net.Listener
	target   string
	// connectTimeout is that of the processes that use the link: a connection that they open in a cut is closed after it.
	connectTimeout time.Duration

	mu     sync.Mutex
	healed chan struct{} // nil unless the link is cut
}

func newLink(target string, connectTimeout time.Duration) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, connectTimeout: connectTimeout}
	go l.serve()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed == nil {
		l.healed = make(chan struct{})
	}
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.healed != nil {
		close(l.healed)
		l.healed = nil
	}
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.healed != nil
}

// wait waits until the link is not cut.
func (l *link) wait() {
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	if healed != nil {
		<-healed
	}
}

func (l *link) serve() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(near)
	}
}

func (l *link) connect(near net.Conn) {
	if l.isCut() {
		time.Sleep(l.connectTimeout)
		tcp.Abort(near)
		return
	}
	far, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		tcp.Abort(near)
		return
	}
	go l.copy(far, near)
	go l.copy(near, far)
}

// copy passes bytes on, and the end or the reset of the connection.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.wait()
		if tcp.IsReset(from) {
			tcp.Abort(to)
			tcp.Abort(from)
			return
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
			tcp.Abort(from)
			return
		}
		switch {
		case err == io.EOF:
			_ = to.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			tcp.Abort(to)
			return
		}
	}
}
