package steering

import (
	"time"

	"bluebellhold/allotment"
	"bluebellhold/internal/wire"
)

const (
	// lookupLife is how long callers may cache the answer to a look-up.
	lookupTTL = 5 * time.Second
	// leaveMargin covers a look-up answer that is still on its way to a caller when the stop begins.
	lookupDelayMargin = time.Second
	// releaseWait bounds the wait for the table at the end of a planned stop; the lease ends the shares anyway.
	releaseTimeout = 10 * time.Second
)

// stopping is the progress of a planned stop.
type stopState struct {
	// lingerUntil is when the last cached look-up answer that names this instance has expired.
	drainUntil time.Time
	// isClosing is set once the callers' connections are being closed, isClosed once none is left.
	closeStarted      bool
	connectionsClosed bool
	releaseDeadline   time.Time
	isDone            bool
	// unsettled counts the claims that are not settled in the table yet.
	unsettledClaims int
}

func (st *stopState) isLeaving() bool { return !st.drainUntil.IsZero() }

func (s *State) handleStopRequested() {
	if s.stop.isLeaving() {
		return
	}
	s.stop.drainUntil = s.now.Add(lookupTTL + lookupDelayMargin)
	s.log("instance", "planned stop begins", "until", s.stop.drainUntil)
	s.recordHeartbeat(s.self.Instance, uint64(s.incarnation), true)
	s.emit(DrainCallerConnections{})
	s.sendHeartbeats()
}

// continueStop hands the shares back once no caller comes any more and nothing runs, and then ends the process.
func (s *State) continueStop() {
	st := &s.stop
	if !st.isLeaving() || st.isDone || s.now.Before(st.drainUntil) {
		return
	}
	if !st.closeStarted {
		st.closeStarted = true
		s.emit(CloseCallerConnections{})
	}
	if !st.connectionsClosed || len(s.requests) > 0 {
		return
	}
	if st.releaseDeadline.IsZero() {
		st.releaseDeadline = s.now.Add(releaseTimeout)
		s.reduceLedger(allotment.StopRequested{})
		return
	}
	settled := s.ledger.IsReleased() && st.unsettledClaims <= 0
	if !settled && s.now.Before(st.releaseDeadline) {
		return
	}
	st.isDone = true
	for _, name := range s.peerNames() {
		s.emit(Send{To: name, Message: &wire.Envelope{Payload: &wire.Envelope_Farewell{Farewell: &wire.Farewell{}}}})
	}
	s.emit(StopProcess{})
}
