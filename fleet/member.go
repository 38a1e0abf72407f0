package fleet

import (
	"time"

	"bluebellhold/id"
	"bluebellhold/store"
)

// Status tells how far other instances can rely on one.
type Status string

// The statuses of an instance.
const (
	// Live is an instance that was heard lately and stays.
	Live Status = "live"
	// Suspect is a listed instance that is silent.
	Suspect Status = "suspect"
	// Leaving is an instance that has announced its stop or that the platform is about to stop, heard or not.
	Leaving Status = "leaving"
	// Gone is an instance that is neither listed nor heard; the view does not keep it.
	Gone Status = "gone"
)

// Member is one instance of the view.
//
// Of an instance that was heard but never listed only the name is known.
type Member struct {
	store.Member
	Status        Status         `json:"status"`
	Incarnation   id.Incarnation `json:"incarnation,omitempty"` // zero if it was not heard
	LastHeartbeat time.Time      `json:"heard,omitzero"`
}

// entry is a Member with the evidence for its status.
type entry struct {
	Member
	listed            bool
	announcedLeaving  bool      // by its last heartbeat
	farewell          bool      // said after its last heartbeat
	staleLeaving      bool      // the list's entry for leaving is about the predecessor
	heartbeatDeadline time.Time // when the instance counts as silent unless it is heard before
}

// evaluate returns the status that the evidence supports at now.
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

// list takes over the list's entry for the instance.
func (e *entry) setListed(m store.Member) {
	e.Member.Member = m
	e.listed = true
	e.staleLeaving = e.staleLeaving && m.Leaving
}

// unlist records that the list has no entry for the instance, and keeps what earlier lists said of it.
func (e *entry) clearListed() {
	e.listed, e.staleLeaving = false, false
}

// hear takes over a heartbeat; a predecessor's heartbeat that comes late tells nothing about the instance.
func (e *entry) recordHeartbeat(now time.Time, h HeartbeatReceived, deadline time.Time) {
	if h.Incarnation < e.Incarnation {
		return
	}
	if h.Incarnation > e.Incarnation && e.Incarnation != 0 {
		e.staleLeaving = e.listed && e.Leaving
	}
	e.Incarnation, e.announcedLeaving = h.Incarnation, h.Leaving
	// A process sends no heartbeat after its farewell, so an earlier farewell was a predecessor's.
	e.farewell = false
	if now.After(e.LastHeartbeat) {
		e.LastHeartbeat, e.heartbeatDeadline = now, deadline
	}
}

// heardLately tells evidence by heartbeat from the grace that follows the first list.
func (e *entry) hasCurrentHeartbeat(now time.Time) bool {
	return !e.LastHeartbeat.IsZero() && now.Before(e.heartbeatDeadline)
}
