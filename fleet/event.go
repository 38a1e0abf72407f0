package fleet

import (
	"bluebellhold/id"
	"bluebellhold/store"
)

// Event is what a View learns: Listed, Heard, SaidFarewell or Tick.
type Event interface {
	event()
}

// Listed reports a list of instances that the platform returned. During an outage of the list there is no such event,
// so the last list stays in force.
type MembersListed struct {
	Members []store.Member
}

// Heard reports a heartbeat or the reply to one.
//
// For the view's own instance it only sets Leaving; a caller reports its own planned stop that way.
type HeartbeatReceived struct {
	Instance    id.Instance
	Incarnation id.Incarnation
	Leaving     bool
}

// SaidFarewell reports the last message of an instance that stops.
type FarewellReceived struct {
	Instance id.Instance
}

// Tick lets time pass; silence is noticed only then.
type Tick struct{}

func (MembersListed) event()     {}
func (HeartbeatReceived) event() {}
func (FarewellReceived) event()  {}
func (Tick) event()              {}

// Change reports that the status or the incarnation of an instance has changed.
//
// Gone as From means that the instance was not in the view before.
type Change struct {
	Instance    id.Instance
	Incarnation id.Incarnation
	From, To    Status
}
