package steering

import (
	"time"

	"bluebellhold/allotment"
	"bluebellhold/internal/wire"
)

const (
	// lookupLife is how long callers may cache the answer to a look-up.
	lookupLife = 5 * time.Second
	// leaveMargin covers a look-up answer that is still on its way to a caller when the stop begins.
	leaveMargin = time.Second
	// releaseWait bounds the wait for the table at the end of a planned stop; the lease ends the shares anyway.
	releaseWait = 10 * time.Second
)

// stopping is the progress of a planned stop.
type stopping struct {
	// lingerUntil is when the last cached look-up answer that names this instance has expired.
	lingerUntil time.Time
	// isClosing is set once the callers' connections are being closed, isClosed once none is left.
	isClosing bool
	isClosed  bool
	releaseBy time.Time
	isDone    bool
	// unsettled counts the claims that are not settled in the table yet.
	unsettled int
}

func (p *stopping) isLeaving() bool { return !p.lingerUntil.IsZero() }

func (s *State) stopRequested() {
	if s.stopping.isLeaving() {
		return
	}
	s.stopping.lingerUntil = s.now.Add(lookupLife + leaveMargin)
	s.report("instance", "planned stop begins", "until", s.stopping.lingerUntil)
	s.heard(s.self.Instance, uint64(s.incarnation), true)
	s.emit(DrainCallerConnections{})
	s.sendHeartbeats()
}

// continueStop hands the shares back once no caller comes any more and nothing runs, and then ends the process.
func (s *State) continueStop() {
	p := &s.stopping
	if !p.isLeaving() || p.isDone || s.now.Before(p.lingerUntil) {
		return
	}
	if !p.isClosing {
		p.isClosing = true
		s.emit(CloseCallerConnections{})
	}
	if !p.isClosed || len(s.requests) > 0 {
		return
	}
	if p.releaseBy.IsZero() {
		p.releaseBy = s.now.Add(releaseWait)
		s.ledgerReduce(allotment.StopRequested{})
		return
	}
	settled := s.ledger.IsReleased() && p.unsettled <= 0
	if !settled && s.now.Before(p.releaseBy) {
		return
	}
	p.isDone = true
	for _, name := range s.livePeers() {
		s.emit(Send{To: name, Message: &wire.Envelope{Payload: &wire.Envelope_Farewell{Farewell: &wire.Farewell{}}}})
	}
	s.emit(StopProcess{})
}
