package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"
	"unsafe"
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

// ResetOnClose is a net.Dialer.Control function that makes each close of the connection a reset, also that by the end of
// the process: what has not been delivered by then never is, so that nobody acts on a request that has been given up.
func ResetOnClose(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptLinger(int(fd), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
	})
	if err != nil {
		return err
	}
	return optionErr
}

// ControlRequests is a net.Dialer.Control function for connections that carry requests: LimitUnacknowledged and
// ResetOnClose.
func ControlRequests(network, address string, raw syscall.RawConn) error {
	if err := LimitUnacknowledged(network, address, raw); err != nil {
		return err
	}
	return ResetOnClose(network, address, raw)
}

// LimitBuffers fixes the kernel's buffers for input that has not been read and
// for output that has not been sent on the connections that a listener
// accepts to about size bytes each. Otherwise they may grow to many MiB.
func LimitBuffers(raw syscall.RawConn, size int) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, size),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, size),
		)
	})
	return errors.Join(err, optionErr)
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
	return !hasUnreadInput(conn)
}

// HasUnreadInput reports whether the socket below a connection holds bytes, EOF or an error to be read. It is false if there
// is no socket.
func HasUnreadInput(conn net.Conn) bool {
	socket, ok := innermost(conn).(syscall.Conn)
	return ok && hasUnreadInput(socket)
}

func hasUnreadInput(socket syscall.Conn) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	isReadable := true
	err = raw.Control(func(fd uintptr) { isReadable = IsReadable(fd) })
	return err != nil || isReadable
}

// ioctlUnsent is SIOCOUTQNSD, which package syscall does not define: the output that has not been sent yet.
const ioctlUnsent = 0x894B

// HasUnsentOutput reports whether the socket below a connection holds output that its other side has no room for. It is false if
// there is no socket.
func HasUnsentOutput(conn net.Conn) bool {
	socket, ok := innermost(conn).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var unsent int32
	err = raw.Control(func(fd uintptr) {
		_, _, _ = syscall.Syscall(syscall.SYS_IOCTL, fd, ioctlUnsent, uintptr(unsafe.Pointer(&unsent)))
	})
	return err == nil && unsent > 0
}

// IsReset reports whether the other side has reset the connection, also while input from before the reset is unread. It
// reports a reset once, and the connection can't be used afterwards.
func IsReset(conn net.Conn) bool {
	socket, ok := innermost(conn).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	isReset := false
	err = raw.Control(func(fd uintptr) {
		pending, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
		isReset = err == nil && pending != 0
	})
	return err != nil || isReset
}

// Abort closes a connection with a reset, so that what was sent on it does not look complete, and what has not been
// delivered never is. It does not block.
func Abort(conn net.Conn) {
	socket := innermost(conn)
	if lingerer, ok := socket.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingerer.SetLinger(0)
	}
	_ = socket.Close()
}

// Close closes a connection so that what was sent on it is still delivered, whatever was set when it was dialled.
func Close(conn net.Conn) error {
	if lingerer, ok := innermost(conn).(interface{ SetLinger(seconds int) error }); ok {
		_ = lingerer.SetLinger(-1)
	}
	return conn.Close()
}

// innermost returns the connection below all wrappers.
func innermost(conn net.Conn) net.Conn {
	for {
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return conn
		}
		conn = wrapper.NetConn()
	}
}
