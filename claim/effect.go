package claim

import (
	"time"

	"bluebellhold/id"
	"bluebellhold/store"
)

// Effect is something that the caller of Reduce has to do.
type Effect interface{ effect() }

// Transact asks for a transaction; TransactionDone reports its result.
type Transact struct {
	ID          uint64
	Transaction store.Transaction
}

// ReadRows asks for rows; RowsRead reports the result.
type ReadRows struct {
	ID    uint64
	Names []string
}

// ScanRows asks for a scan; RowsScanned reports the result.
type ScanRows struct {
	ID            uint64
	Prefix, After string
	Limit         int
}

// ReadObject asks for an object; ObjectRead reports the result.
type ReadObject struct {
	ID   uint64
	Name string
}

// WriteObject asks to store an object; ObjectWritten reports the result.
type WriteObject struct {
	ID   uint64
	Name string
	Body []byte
}

// DeleteObject asks to delete an object; no result is awaited.
type DeleteObject struct {
	ID   uint64
	Name string
}

// Decided reports the outcome of a Wanted request.
type Decided struct {
	Request id.Request
	Outcome Outcome
}

// Settled reports that the answer of a Finished request is durable, or that a Released claim is given back.
type Settled struct {
	Request id.Request
	// Lost is true when the answer could not be stored because someone else replaced the row in the table.
	AnswerLost bool
}

func (Transact) effect()     {}
func (ReadRows) effect()     {}
func (ScanRows) effect()     {}
func (ReadObject) effect()   {}
func (WriteObject) effect()  {}
func (DeleteObject) effect() {}
func (Decided) effect()      {}
func (Settled) effect()      {}

// Outcome is the decision about a Wanted request.
type Outcome interface{ outcome() }

// Won allows the request to run if its first byte is sent before DispatchBy; check it just before that byte.
//
// Finished, Released or Abandoned must follow.
type Granted struct{ DispatchBy time.Time }

// Replay holds the answer of the run that already took place.
type Replay struct{ Answer Answer }

// InProgress reports that the request is running elsewhere or that its stored answer cannot be read yet.
type InProgress struct{ RetryAt time.Time }

// Unknown reports that the request may have run and that its answer is not known; it will never run again.
type Unknown struct{}

// Mismatch reports that the idempotency key was used before for a different request.
type Mismatch struct{}

// Unavailable reports that the table did not answer in time; it is certain that this request did not run.
//
// If the write of its claim took effect unseen, the row is deleted when the table answers again, or stays and is
// reported as Unknown to later callers.
type Unavailable struct{}

func (Granted) outcome()     {}
func (Replay) outcome()      {}
func (InProgress) outcome()  {}
func (Unknown) outcome()     {}
func (Mismatch) outcome()    {}
func (Unavailable) outcome() {}

// Answer is an upstream's answer as it is stored and replayed.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Truncated is true when the body was too large to keep or could not be kept; Body is then empty.
	Truncated bool
}
