package fleet

import (
	"bluebellhold/id"
	"bluebellhold/store"
)

// Event is an input of View.Reduce: MembersListed, HeartbeatReceived, FarewellReceived or Tick.
type Event interface {
	event()
}

// MembersListed reports a list of instances that the platform returned. During an outage of the list there is no such
// event, so the last list remains valid.
type MembersListed struct {
	Members []store.Member
}

// HeartbeatReceived reports a heartbeat or the reply to one.
//
// For the view's own instance it only sets Leaving, which is how the instance reports its own planned stop.
type HeartbeatReceived struct {
	Instance    id.Instance
	Incarnation id.Incarnation
	Leaving     bool
}

// FarewellReceived reports the farewell, the last message of an instance that stops.
type FarewellReceived struct {
	Instance id.Instance
}

// Tick re-evaluates all instances; without it heartbeat timeouts may go undetected.
type Tick struct{}

func (MembersListed) event()     {}
func (HeartbeatReceived) event() {}
func (FarewellReceived) event()  {}
func (Tick) event()              {}

// Change reports that the status or the incarnation of an instance has changed.
//
// From is Gone if the instance was not in the view before.
type Change struct {
	Instance    id.Instance
	Incarnation id.Incarnation
	From, To    Status
}
