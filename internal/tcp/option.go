package tcp

import (
	"net"
	"syscall"
	"time"
)

const (
	// unacknowledgedTimeout is how long sent data may remain unacknowledged before a connection fails. It also ends
	// keep-alive probes, whatever their count.
	unacknowledgedTimeout = 3 * time.Second
	// optionUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which package syscall does not define.
	optionUserTimeout = 18
)

// LimitUnacknowledged is a net.Dialer.Control function that makes a connection fail if sent data remains unacknowledged
// for 3 s.
func LimitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(
			int(fd), syscall.IPPROTO_TCP, optionUserTimeout, int(unacknowledgedTimeout.Milliseconds()),
		)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Conn is a connection whose socket can be inspected.
type Conn interface {
	net.Conn
	syscall.Conn
}

// IsReadable reports whether a read of the socket would return immediately, with bytes, EOF or an error. It must not be used
// on a connection that is read afterwards; see Peek.
func IsReadable(fd uintptr) bool {
	isReadable, err := Peek(fd)
	return isReadable || err != nil
}

// Peek reports whether the socket has bytes or EOF to read, or returns its error.
//
// The kernel reports an error once: after Peek has returned a reset, a read returns EOF, as if the peer had ended the
// connection regularly. So the reader must be given the error.
func Peek(fd uintptr) (isReadable bool, err error) {
	var b [1]byte
	_, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err == syscall.EAGAIN || err == syscall.EINTR {
		return false, nil
	}
	return err == nil, err
}

// IsQuiescent reports whether the connection is open and has no unread input.
//
// A connection that announces input ahead of the bytes has a method Buffered for that.
func IsQuiescent(conn Conn) bool {
	if b, ok := conn.(interface{ Buffered() int }); ok && b.Buffered() > 0 {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	isReadable := true
	err = raw.Control(func(fd uintptr) { isReadable = IsReadable(fd) })
	return err == nil && !isReadable
}

// Abort closes a connection with a reset, so that what was sent on it does not look complete.
func Abort(conn net.Conn) {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapper.NetConn()
	}
	if lingerer, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingerer.SetLinger(0)
	}
	_ = conn.Close()
}
