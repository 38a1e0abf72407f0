package steering

import (
	"time"

	"bluebellhold/allotment"
	"bluebellhold/internal/wire"
)

const (
	// lookupTTL is how long callers may cache the result of a look-up.
	lookupTTL = 5 * time.Second
	// lookupDelayMargin covers a look-up result that is in transit to a caller when the stop begins.
	lookupDelayMargin = time.Second
	// releaseTimeout limits the wait for the table at the end of a planned stop; shares that are not released expire
	// with the lease.
	releaseTimeout = 10 * time.Second
)

// stopState is the progress of a planned stop.
type stopState struct {
	// drainUntil is when the last cached look-up result that contains this instance has expired.
	drainUntil time.Time
	// closeStarted is set once the callers' connections are being closed, connectionsClosed once none is left.
	closeStarted      bool
	connectionsClosed bool
	releaseDeadline   time.Time
	isDone            bool
	// unsettledClaims counts the claims that are not settled in the table yet.
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

// continueStop closes the callers' connections after the drain, releases the shares once no request is left, and then
// ends the process.
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
