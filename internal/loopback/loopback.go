package loopback

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// The ports from firstPort up to but not including endPort lie below the kernel's ephemeral port range, so that no
// outgoing connection takes a free port before it is bound again.
const (
	firstPort = 20000
	endPort   = 32000
)

// attemptCount counts the ports tried by the whole process, so that two callers do not get the same port.
var attemptCount atomic.Int64

// FreeAddress returns an address of 127.0.0.1 whose port is free.
//
// The port may stay in use for some milliseconds if the process starts another one meanwhile, which inherits the socket
// until it executes its program. A caller that listens at once uses Listen instead.
func FreeAddress() (string, error) {
	listener, err := Listen()
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// Listen listens on a free port of 127.0.0.1, which no outgoing connection takes once the listener is closed.
//
// The first port depends on the process id: processes with consecutive ids start 61 ports apart, so that they rarely
// try the same ports.
func Listen() (net.Listener, error) {
	var lastErr error
	for range endPort - firstPort {
		n := (int64(os.Getpid())*61 + attemptCount.Add(1)) % (endPort - firstPort)
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.FormatInt(firstPort+n, 10)))
		if err == nil {
			return listener, nil
		}
		lastErr = err
	}
	return nil, &PortError{Cause: lastErr}
}

// PortError reports that no port is free.
type PortError struct {
	// Cause is the error of the last port that was tried.
	Cause error
}

// Error includes the cause.
func (e *PortError) Error() string { return "loopback: no port is free: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *PortError) Unwrap() error { return e.Cause }
