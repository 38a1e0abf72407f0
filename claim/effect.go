package claim

import (
	"time"

	"bluebellhold/id"
	"bluebellhold/store"
)

// Effect is an output of Reduce that the instance executes.
type Effect interface{ effect() }

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

// ScanRows requests a scan; RowsScanned reports the result.
type ScanRows struct {
	ID            uint64
	Prefix, After string
	Limit         int
}

// ReadObject requests an object; ObjectRead reports the result.
type ReadObject struct {
	ID   uint64
	Name string
}

// WriteObject requests that an object is written; ObjectWritten reports the result.
type WriteObject struct {
	ID   uint64
	Name string
	Body []byte
}

// DeleteObject requests that an object is deleted; its result is not reported.
type DeleteObject struct {
	ID   uint64
	Name string
}

// Decided reports the outcome of a Requested event.
type Decided struct {
	Request id.Request
	Outcome Outcome
}

// Settled reports that the response of a Finished event is durable, or that the claim of a Released event is deleted.
type Settled struct {
	Request id.Request
	// ResponseLost is true when the response could not be stored because the row was replaced in the table.
	ResponseLost bool
}

func (Transact) effect()     {}
func (ReadRows) effect()     {}
func (ScanRows) effect()     {}
func (ReadObject) effect()   {}
func (WriteObject) effect()  {}
func (DeleteObject) effect() {}
func (Decided) effect()      {}
func (Settled) effect()      {}

// Outcome is the decision about a Requested event.
type Outcome interface{ outcome() }

// Granted allows the request to run if its first byte is sent before DispatchBy. The instance must check DispatchBy
// immediately before that byte.
//
// Finished, Released or Abandoned must follow.
type Granted struct{ DispatchBy time.Time }

// Replay holds the stored response of an earlier run.
type Replay struct{ Response Response }

// InProgress reports that the request is already running or that its stored response cannot be read yet.
type InProgress struct{ RetryAt time.Time }

// Unknown reports that the request may have run and that its response is not known; it is not run again.
type Unknown struct{}

// Mismatch reports that the idempotency key was used before for a different request.
type Mismatch struct{}

// Unavailable reports that the table did not respond in time; the request has certainly not run.
//
// If the write of its claim took effect although its result was lost, the row is deleted when the table responds again,
// or stays and is reported as Unknown to later callers.
type Unavailable struct{}

func (Granted) outcome()     {}
func (Replay) outcome()      {}
func (InProgress) outcome()  {}
func (Unknown) outcome()     {}
func (Mismatch) outcome()    {}
func (Unavailable) outcome() {}

// Response is an upstream's response as it is stored and replayed.
type Response struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Truncated is true when the body was too large to store or could not be stored; Body is then empty.
	Truncated bool
}
