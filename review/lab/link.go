package main

import (
	"io"
	"net"
	"sync"
)

// link is a proxy between two processes. While it is cut, it passes nothing on, and no connection is reset.
type link struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	isCut  bool
	healed chan struct{}
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, healed: make(chan struct{})}
	close(l.healed)
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// cut silences the link.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isCut {
		l.isCut, l.healed = true, make(chan struct{})
	}
}

// heal lets the link pass bytes on again.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isCut {
		l.isCut = false
		close(l.healed)
	}
}

// wait waits until the link is not cut.
func (l *link) wait() {
	l.mu.Lock()
	healed := l.healed
	l.mu.Unlock()
	<-healed
}

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(near)
	}
}

func (l *link) serve(near net.Conn) {
	l.wait()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = near.(*net.TCPConn).SetLinger(0)
		_ = near.Close()
		return
	}
	go l.pass(far, near)
	l.pass(near, far)
}

// pass copies bytes in one direction, and an end or a reset with them.
func (l *link) pass(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.wait()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if err != io.EOF {
			_ = to.(*net.TCPConn).SetLinger(0)
		}
		_ = to.Close()
		if err != io.EOF {
			_ = from.Close()
		}
		return
	}
}
