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
// The first port depends on the process id: processes with consecutive ids start 61 ports apart, so that they rarely
// try the same ports.
func FreeAddress() (string, error) {
	var lastErr error
	for range endPort - firstPort {
		n := (int64(os.Getpid())*61 + attemptCount.Add(1)) % (endPort - firstPort)
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(firstPort+n, 10))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			lastErr = err
			continue
		}
		return address, listener.Close()
	}
	return "", &PortError{Cause: lastErr}
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
