package drain

import (
	"crypto/tls"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"bluebellhold/internal/tcp"
)

// listener accepts the connections of a server.
type listener struct {
	net.Listener
	connections *Connections

	mu sync.Mutex
	// pending are the connections that were taken from the kernel's queue when the listener was closed.
	pending []net.Conn
}

// Accept waits for the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			if conn = l.takePending(); conn == nil {
				return nil, err
			}
		}
		if tracked := l.connections.accept(conn); tracked != nil {
			return tracked, nil
		}
	}
}

// accept returns the connection as one of the server's. If there is no room for it, it closes it and returns nil.
func (c *Connections) accept(conn net.Conn) net.Conn {
	if c.config.TLS != nil {
		conn = tls.Server(conn, c.config.TLS)
	}
	tracked := &connection{Conn: conn, headTimeout: c.config.HeadTimeout, connections: c}
	tracked.client = c.config.Clients.NewClient(c.config.Door, tracked.evict)
	if !tracked.client.Open() {
		tcp.Abort(conn)
		return nil
	}
	if err := conn.SetReadDeadline(time.Now().Add(c.config.IdleTimeout)); err != nil {
		_ = conn.Close()
	}
	c.add(tracked)
	return tracked
}

// Close stops accepting connections.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainQueue()
	return l.Listener.Close()
}

func (l *listener) takePending() net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) == 0 {
		return nil
	}
	conn := l.pending[0]
	l.pending = l.pending[1:]
	return conn
}

// drainQueue takes the connections from the kernel's queue, which closing the listener would reset. The caller holds mu.
func (l *listener) drainQueue() {
	socket, ok := l.Listener.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	// An error means that the listener has been closed.
	_ = raw.Control(func(fd uintptr) {
		for {
			accepted, _, err := syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			switch err {
			case nil:
				l.addPending(accepted)
			case syscall.EINTR, syscall.ECONNABORTED:
				continue
			default:
				return
			}
		}
	})
}

// addPending keeps an accepted socket for Accept. The caller holds mu.
func (l *listener) addPending(fd int) {
	file := os.NewFile(uintptr(fd), "caller")
	defer func() { _ = file.Close() }()
	// A connection that has ended already cannot be used.
	if conn, err := net.FileConn(file); err == nil {
		l.pending = append(l.pending, conn)
	}
}
