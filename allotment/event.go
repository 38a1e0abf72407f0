package allotment

import (
	"time"

	"bluebellhold/id"
	"bluebellhold/store"
)

// Event is an input of Reduce.
type Event interface {
	event()
}

// Tick reports that time has passed; the instance normally posts one every 200 ms.
type Tick struct{}

// LimitsChanged replaces the set of limits.
type LimitsChanged struct {
	Limits []Limit
}

// MembersChanged replaces the list of members. Until the first one, no limit has home instances.
type MembersChanged struct {
	Members []Member
}

// TransactionDone reports the result of a Transact effect; with an error the outcome is unknown.
type TransactionDone struct {
	ID     uint64
	Result store.Result
	Err    error
}

// RowsRead reports the result of a ReadRows effect.
//
// SentAt is informational: the ledger orders reads by the time at which it requested them, which is never later.
type RowsRead struct {
	ID     uint64
	SentAt time.Time
	Rows   []store.Row
	Err    error
}

// MessageReceived reports a message from another instance.
type MessageReceived struct {
	From    id.Instance
	Message Message
}

// StopRequested starts the release of all shares and then of the lease.
type StopRequested struct{}

func (Tick) event()            {}
func (LimitsChanged) event()   {}
func (MembersChanged) event()  {}
func (TransactionDone) event() {}
func (RowsRead) event()        {}
func (MessageReceived) event() {}
func (StopRequested) event()   {}

// Effect is an output of Reduce and Take that the instance executes.
type Effect interface {
	effect()
}

// Transact requests a transaction; TransactionDone reports its result.
type Transact struct {
	ID          uint64
	Transaction store.Transaction
}

// ReadRows requests rows; RowsRead reports the result.
type ReadRows struct {
	ID    uint64
	Names []string
}

// Send requests that a message is sent to another instance.
type Send struct {
	To      id.Instance
	Message Message
}

func (Transact) effect() {}
func (ReadRows) effect() {}
func (Send) effect()     {}
