package claim

import (
	"time"

	"bluebellhold/id"
	"bluebellhold/store"
)

// Event is an input of Reduce.
type Event interface{ event() }

// Requested requests a claim for a request; exactly one Decided follows unless Released or Abandoned comes first.
type Requested struct {
	Request      id.Request
	Organisation id.Organisation
	Service      id.Service
	Route        id.Route
	// Key is the caller's idempotency key.
	Key string
	// Digest is the digest of the request's content.
	Digest id.Digest
	// Deadline is the caller's deadline.
	Deadline time.Time
}

// Finished reports the response to a request that was granted and has run.
type Finished struct {
	Request  id.Request
	Response Response
}

// Released releases a claim because the request was refused before dispatch.
type Released struct{ Request id.Request }

// Abandoned reports that the outcome of a granted request is unknown; its row is left unchanged.
//
// An undecided request has not run, so for it Abandoned means the same as Released.
type Abandoned struct{ Request id.Request }

// TransactionDone reports the result of a Transact effect.
type TransactionDone struct {
	ID     uint64
	Result store.Result
	Err    error
}

// RowsRead reports the result of a ReadRows effect.
type RowsRead struct {
	ID   uint64
	Rows []store.Row
	Err  error
}

// RowsScanned reports the result of a ScanRows effect.
type RowsScanned struct {
	ID   uint64
	Rows []store.Row
	Err  error
}

// ObjectRead reports the result of a ReadObject effect.
type ObjectRead struct {
	ID   uint64
	Body []byte
	Err  error
}

// ObjectWritten reports the result of a WriteObject effect.
type ObjectWritten struct {
	ID  uint64
	Err error
}

// Tick drives deadlines, retries after failures and scans; it must be posted regularly.
type Tick struct{}

func (Requested) event()       {}
func (Finished) event()        {}
func (Released) event()        {}
func (Abandoned) event()       {}
func (TransactionDone) event() {}
func (RowsRead) event()        {}
func (RowsScanned) event()     {}
func (ObjectRead) event()      {}
func (ObjectWritten) event()   {}
func (Tick) event()            {}
