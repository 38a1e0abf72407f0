package loopback

import (
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
)

// portRange are the ports from first up to but not including end. All ranges lie below the kernel's ephemeral ports, so that
// no outgoing connection takes a free port before it is bound again.
type portRange struct{ first, end int64 }

var (
	// listenRange is that of Listen, and freeRange that of FreeAddress. They are apart, since listeners may be closed for a
	// while, and their ports must not be taken meanwhile.
	listenRange = portRange{10000, 20000}
	freeRange   = portRange{20000, 32000}
)

// Each process uses a part of the ranges of its own, so that it does not take a port that another one has closed for a while.
// It claims the part by listening on a port of guardRange until it ends.
const partCount = 10

var guardRange = portRange{9980, 9980 + partCount}

// ownPart claims a part for this process. If more processes run than there are parts, the others share all of them.
var ownPart = sync.OnceValue(func() part { return claimPart() })

// part is a part of the ranges; number is negative for all of them.
type part struct {
	number int64
	guard  net.Listener
}

func claimPart() part {
	for n := range int64(partCount) {
		guard, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.FormatInt(guardRange.first+n, 10)))
		if err == nil {
			return part{number: n, guard: guard}
		}
	}
	return part{number: -1}
}

// of returns the ports of the part in a range.
func (p part) of(r portRange) portRange {
	if p.number < 0 {
		return r
	}
	size := (r.end - r.first) / partCount
	return portRange{r.first + p.number*size, r.first + (p.number+1)*size}
}

// attemptCount counts the ports tried by the whole process, so that two callers do not get the same port.
var attemptCount atomic.Int64

// FreeAddress returns an address of 127.0.0.1 whose port is free.
//
// The port may stay in use for some milliseconds if the process starts another one meanwhile, which inherits the socket
// until it executes its program. A caller that listens at once uses Listen instead.
func FreeAddress() (string, error) {
	listener, err := ownPart().of(freeRange).listen()
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// Listen listens on a free port of 127.0.0.1, which no outgoing connection takes once the listener is closed.
func Listen() (net.Listener, error) { return ownPart().of(listenRange).listen() }

// listen listens on a free port of the range. Processes that share it start at different ports.
func (r portRange) listen() (net.Listener, error) {
	var lastErr error
	for range r.end - r.first {
		n := (int64(os.Getpid())*61 + attemptCount.Add(1)) % (r.end - r.first)
		listener, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.FormatInt(r.first+n, 10)))
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
