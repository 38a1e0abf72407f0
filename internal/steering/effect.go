package steering

import (
	"time"

	"bluebellhold/claim"
	"bluebellhold/id"
	"bluebellhold/internal/wire"
	"bluebellhold/store"
)

// Effect is something that the instance must do; carrying it out takes no further decision.
type Effect interface {
	isEffect()
}

// RequestEffect is an effect that belongs to one request of a caller.
type RequestEffect interface {
	Effect
	RequestID() id.Request
}

// ReadBody asks for the whole body of a request and its digest.
type ReadBody struct {
	Request id.Request
}

// Dispatch sends a request to an upstream.
//
// Nothing may be sent after DispatchBy: the authority behind the dispatch ends then. The attempt is ended at
// Deadline. StoreAnswer is set if the answer must be kept for a repeat; such an attempt goes on when the caller goes away.
// Metered is set if the data crosses an inter-region link and must be asked for with TransferRequested.
type Dispatch struct {
	Request      id.Request
	Organisation id.Organisation
	Upstream     id.Upstream
	Address      string
	DispatchBy   time.Time
	Deadline     time.Time
	StoreAnswer  bool
	Metered      bool
}

// Refuse answers a request without running it further.
type Refuse struct {
	Request id.Request
	Refusal Refusal
}

// Replay answers a request with the stored answer of its first run.
type Replay struct {
	Request id.Request
	Answer  claim.Answer
}

// GrantTransfer lets a dispatched request move bytes over its inter-region link.
type GrantTransfer struct {
	Request id.Request
	Size    id.Bytes
}

// Transact runs a transaction on the platform's table.
type Transact struct {
	Call        Call
	Transaction store.Transaction
}

// ReadRows reads rows of the platform's table.
type ReadRows struct {
	Call  Call
	Names []string
}

// ScanRows reads the rows with a prefix.
type ScanRows struct {
	Call   Call
	Prefix string
	After  string
	Limit  int
}

// ReadObject reads an object.
type ReadObject struct {
	Call Call
	Name string
}

// WriteObject writes an object.
type WriteObject struct {
	Call Call
	Name string
	Body []byte
}

// DeleteObject deletes an object.
type DeleteObject struct {
	Call Call
	Name string
}

// ReadHead reads the head row.
type ReadHead struct{}

// LoadEpoch reads the content of an epoch from the object store, checks its digest and compiles it.
type LoadEpoch struct {
	Epoch  id.Epoch
	Digest id.Digest
}

// DecodeEpoch checks and compiles the content of an epoch that a peer sent.
type DecodeEpoch struct {
	Epoch  id.Epoch
	Digest id.Digest
	Body   []byte
}

// ListMembers reads the platform's list of instances.
type ListMembers struct{}

// SetPeers tells the peer sessions which instances to connect to.
type SetPeers struct {
	Members []store.Member
}

// Send sends a message to a peer.
type Send struct {
	To      id.Instance
	Message *wire.Envelope
}

// Probe asks an upstream for its load.
type Probe struct {
	Service  id.Service
	Upstream id.Upstream
	Address  string
}

// Reply answers an operator's call.
type Reply struct {
	ID    ProposalID
	Epoch id.Epoch
	Err   error
}

// Log is a change of state that operators want to see in the log.
type Log struct {
	Component string
	Message   string
	Fields    []any
}

// DrainCallerConnections tells callers with each answer to close their connections, because a planned stop has begun.
type DrainCallerConnections struct{}

// CloseCallerConnections stops taking connections and requests of callers; those that run are finished. CallerConnectionsClosed follows.
type CloseCallerConnections struct{}

// StopProcess ends the process: nothing runs any more and all shares are handed back.
type StopProcess struct{}

func (ReadBody) isEffect()               {}
func (Dispatch) isEffect()               {}
func (Refuse) isEffect()                 {}
func (Replay) isEffect()                 {}
func (GrantTransfer) isEffect()          {}
func (Transact) isEffect()               {}
func (ReadRows) isEffect()               {}
func (ScanRows) isEffect()               {}
func (ReadObject) isEffect()             {}
func (WriteObject) isEffect()            {}
func (DeleteObject) isEffect()           {}
func (ReadHead) isEffect()               {}
func (LoadEpoch) isEffect()              {}
func (DecodeEpoch) isEffect()            {}
func (ListMembers) isEffect()            {}
func (SetPeers) isEffect()               {}
func (Send) isEffect()                   {}
func (Probe) isEffect()                  {}
func (Reply) isEffect()                  {}
func (Log) isEffect()                    {}
func (DrainCallerConnections) isEffect() {}
func (CloseCallerConnections) isEffect() {}
func (StopProcess) isEffect()            {}

// RequestID returns the request that the effect belongs to.
func (e ReadBody) RequestID() id.Request { return e.Request }

// RequestID returns the request that the effect belongs to.
func (e Dispatch) RequestID() id.Request { return e.Request }

// RequestID returns the request that the effect belongs to.
func (e Refuse) RequestID() id.Request { return e.Request }

// RequestID returns the request that the effect belongs to.
func (e Replay) RequestID() id.Request { return e.Request }

// RequestID returns the request that the effect belongs to.
func (e GrantTransfer) RequestID() id.Request { return e.Request }
