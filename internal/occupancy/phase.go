package occupancy

import "time"

// Phase is what a client's connection does.
type Phase int64

// The phases of a connection.
const (
	// Unused connections have sent nothing yet.
	Unused Phase = iota
	// Idle connections wait for their client's next request.
	Idle
	// Head connections have sent a part of a request's head, or of a handshake.
	Head
	// Body connections have sent a part of a request's body, and the process waits for the rest.
	Body
	// Response connections have a response that their client does not take.
	Response
	// Closing connections wait for their client to close them too.
	Closing
	// Running connections wait for the process, and are never evicted.
	Running
)

// patience is the time without progress after which a client in a phase counts as stalled.
var patience = [...]time.Duration{
	Unused: 2 * time.Second, Idle: 5 * time.Second, Head: time.Second, Body: time.Second, Response: time.Second,
	Closing: 100 * time.Millisecond,
}

// MinProgress is the size in bytes of a part of a body that counts as progress.
const MinProgress = 8 << 10

// stamp is a phase and the time since which a client has made no progress in it, as an offset in nanoseconds to the start of
// the count.
type stamp int64

const phaseBits = 3

func newStamp(p Phase, since time.Duration) stamp { return stamp(int64(since)<<phaseBits | int64(p)) }

func (s stamp) phase() Phase { return Phase(s & (1<<phaseBits - 1)) }

func (s stamp) since() time.Duration { return time.Duration(s >> phaseBits) }

// delay returns how long a client has made no progress, in multiples of what its phase allows. It is negative for clients that
// are never evicted.
func (s stamp) delay(now time.Duration) float64 {
	if s.phase() == Running {
		return -1
	}
	return float64(now-s.since()) / float64(patience[s.phase()])
}
