package fleet

import (
	"time"

	"bluebellhold/id"
	"bluebellhold/store"
)

// Status is the availability of an instance as seen by this one.
type Status string

// The statuses of an instance.
const (
	// Live is an instance whose heartbeats have not timed out and that is not leaving.
	Live Status = "live"
	// Suspect is a listed instance whose heartbeats have timed out.
	Suspect Status = "suspect"
	// Leaving is an instance that has announced its stop or that the platform is about to stop, whether or not its
	// heartbeats have timed out.
	Leaving Status = "leaving"
	// Gone is an instance that is not listed and whose heartbeats have timed out; it is removed from the view.
	Gone Status = "gone"
)

// Member is one instance of the view.
//
// Of an instance that sent heartbeats but was never listed only the name is known.
type Member struct {
	store.Member
	Status        Status         `json:"status"`
	Incarnation   id.Incarnation `json:"incarnation,omitempty"` // zero before its first heartbeat
	LastHeartbeat time.Time      `json:"heard,omitzero"`
}

// entry is a Member with the inputs from which its status is derived.
type entry struct {
	Member
	listed            bool
	announcedLeaving  bool      // by its last heartbeat
	farewell          bool      // received after its last heartbeat
	staleLeaving      bool      // the listed Leaving applies to the predecessor process
	heartbeatDeadline time.Time // when the heartbeats time out
}

// statusAt derives the status at now.
func (e *entry) statusAt(now time.Time) Status {
	timedOut := !now.Before(e.heartbeatDeadline)
	switch {
	case timedOut && !e.listed:
		return Gone
	case e.announcedLeaving || e.farewell || e.Leaving && e.listed && !e.staleLeaving:
		return Leaving
	case timedOut:
		return Suspect
	default:
		return Live
	}
}

// setListed stores the list's entry for the instance.
func (e *entry) setListed(m store.Member) {
	e.Member.Member = m
	e.listed = true
	e.staleLeaving = e.staleLeaving && m.Leaving
}

// clearListed records that the list has no entry for the instance, and keeps the fields of the last entry.
func (e *entry) clearListed() {
	e.listed, e.staleLeaving = false, false
}

// recordHeartbeat stores a heartbeat; a delayed one of an earlier incarnation is ignored.
func (e *entry) recordHeartbeat(now time.Time, h HeartbeatReceived, deadline time.Time) {
	if h.Incarnation < e.Incarnation {
		return
	}
	if h.Incarnation > e.Incarnation && e.Incarnation != 0 {
		e.staleLeaving = e.listed && e.Leaving
	}
	e.Incarnation, e.announcedLeaving = h.Incarnation, h.Leaving
	// A process sends no heartbeat after its farewell, so an earlier farewell came from a predecessor.
	e.farewell = false
	if now.After(e.LastHeartbeat) {
		e.LastHeartbeat, e.heartbeatDeadline = now, deadline
	}
}

// hasCurrentHeartbeat reports whether a received heartbeat has not timed out; the grace period after the first list does
// not count.
func (e *entry) hasCurrentHeartbeat(now time.Time) bool {
	return !e.LastHeartbeat.IsZero() && now.Before(e.heartbeatDeadline)
}
