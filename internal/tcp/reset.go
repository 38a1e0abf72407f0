package tcp

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
)

// ResetGuard tells the end of a connection from a reset for a reader beside a writer. The kernel reports a reset once: if the
// writer gets it, a read returns EOF, as if the peer had ended the connection regularly. Its zero value is ready to use.
type ResetGuard struct {
	// mu is held during a write.
	mu  sync.Mutex
	err error
}

// Write writes to the connection.
func (g *ResetGuard) Write(conn net.Conn, b []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	n, err := conn.Write(b)
	// A write that took too long says nothing about the connection.
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		g.err = err
	}
	return n, err
}

// CheckEnd returns the error to report in place of that of a read. It waits for a write in progress if the connection seems to
// have ended.
func (g *ResetGuard) CheckEnd(err error) error {
	if err != io.EOF {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err != nil {
		return g.err
	}
	return err
}
