package steering

import (
	"time"

	"bluebellhold/claim"
	"bluebellhold/id"
	"bluebellhold/internal/uplink"
	"bluebellhold/internal/wire"
	"bluebellhold/store"
)

// Effect is an output of the reducer; the instance executes it without any further decision.
type Effect interface {
	isEffect()
}

// RequestEffect is an effect that belongs to one request of a caller.
type RequestEffect interface {
	Effect
	RequestID() id.Request
}

// ReadBody reads the whole body of a request; BodyRead or BodyFailed follows.
type ReadBody struct {
	Request id.Request
}

// Dispatch sends a request to an upstream, through another instance if Via names one.
//
// The request must not be sent after DispatchBy, the earliest expiry of the lease, the claim, the freshness and the
// caller's deadline. The attempt is cancelled at Deadline. StoreResponse is set if the response must be stored for
// replay; such an attempt continues when the caller disconnects. Metered is set if the response crosses an inter-region
// link, so that each transfer must be requested with TransferRequested.
type Dispatch struct {
	Request       id.Request
	Organisation  id.Organisation
	Upstream      id.Upstream
	Address       string
	Via           uplink.Helper
	DispatchBy    time.Time
	Deadline      time.Time
	StoreResponse bool
	Metered       bool
}

// Refuse responds to a request with a refusal; no attempt follows.
type Refuse struct {
	Request id.Request
	Refusal Refusal
}

// Replay responds to a request with the stored response of its first run.
type Replay struct {
	Request  id.Request
	Response claim.Response
}

// GrantTransfer permits a dispatched request to transfer bytes over its inter-region link.
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

// ScanRows reads up to Limit rows whose names start with Prefix and sort after the name After.
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

// LoadEpoch reads the content of an epoch from the object store, verifies its digest and compiles it.
type LoadEpoch struct {
	Epoch  id.Epoch
	Digest id.Digest
}

// DecodeEpoch verifies and compiles the content of an epoch that a peer sent.
type DecodeEpoch struct {
	Epoch  id.Epoch
	Digest id.Digest
	Body   []byte
}

// ListMembers reads the platform's list of instances.
type ListMembers struct{}

// SetPeers sets the instances that the peer sessions connect to.
type SetPeers struct {
	Members []store.Member
}

// Send sends a message to a peer.
type Send struct {
	To      id.Instance
	Message *wire.Envelope
}

// Probe reads the load endpoint of an upstream; LoadReported follows.
type Probe struct {
	Service  id.Service
	Upstream id.Upstream
	Address  string
}

// TestConnection connects to an upstream; ConnectionTested follows.
type TestConnection struct {
	Upstream id.Upstream
	Address  string
}

// Reply reports the epoch of the accepted note, or an error, for a NoteProposed event.
type Reply struct {
	ID    ProposalID
	Epoch id.Epoch
	Err   error
}

// Log writes a change of state to the log for operators.
type Log struct {
	Component string
	Message   string
	Fields    []any
}

// DrainCallerConnections makes each further response close its connection, because a planned stop has begun.
type DrainCallerConnections struct{}

// CloseCallerConnections stops accepting connections and requests of callers; requests in flight finish.
// CallerConnectionsClosed follows.
type CloseCallerConnections struct{}

// StopProcess ends the process; no request is left, and the shares are released unless the table did not respond in
// time.
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
func (TestConnection) isEffect()         {}
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
