package steering

import (
	"net/netip"
	"time"

	"bluebellhold/claim"
	"bluebellhold/id"
	"bluebellhold/internal/wire"
	"bluebellhold/note"
	"bluebellhold/store"
)

// Event is an input of the reducer, which has no other input but the time.
type Event interface {
	isEvent()
}

// RequestArrived reports the header of a caller's request.
//
// KeyDigest is the digest of its API key and is valid only if HasKey is set. ContentDigest is the digest of the body if
// the body was read in advance. PeerRetry is set if another instance has already retried this request.
type RequestArrived struct {
	Request        id.Request
	Service        id.Service
	Method         string
	Path           string
	Query          string
	ContentDigest  id.Digest
	KeyDigest      id.Digest
	HasKey         bool
	IdempotencyKey string
	Size           id.Bytes
	Deadline       time.Time
	PeerRetry      bool
}

// BodyRead reports that the whole body of a request has been read; Digest covers the request with its body.
type BodyRead struct {
	Request id.Request
	Digest  id.Digest
}

// BodyFailed reports that the body of a request is incomplete or too large.
type BodyFailed struct {
	Request id.Request
}

// CallerDisconnected reports that the caller closed its connection or cancelled the request.
type CallerDisconnected struct {
	Request id.Request
}

// AttemptEnded reports the end of the attempt that a Dispatch started.
//
// BodyConsumed is set if the request's body was streamed and cannot be sent again.
type AttemptEnded struct {
	Request      id.Request
	Outcome      AttemptOutcome
	BodyConsumed bool
	// IsConnected is set if a new connection to the upstream was made for the attempt.
	IsConnected bool
}

// TransferRequested requests permission to transfer bytes of the response to a dispatched request over an inter-region
// link.
type TransferRequested struct {
	Request id.Request
	Size    id.Bytes
}

// LoadReported reports the response of an upstream's load endpoint, or that there was none.
type LoadReported struct {
	Service  id.Service
	Upstream id.Upstream
	Running  id.Slots
	Slots    id.Slots
	Failed   bool
}

// Tick reports that time has passed; it is expected at least every 20 ms.
type Tick struct{}

// MembersListed reports the platform's list of instances.
type MembersListed struct {
	Members []store.Member
	Failed  bool
}

// MessageReceived reports a message from a peer.
type MessageReceived struct {
	From    id.Instance
	Message *wire.Envelope
}

// HeadRead reports a read of the head row; SentAt is when the read was sent.
type HeadRead struct {
	SentAt time.Time
	Row    store.Row
	Err    error
}

// EpochLoaded reports the configuration of an epoch, from a peer or from the object store.
type EpochLoaded struct {
	Epoch  id.Epoch
	Digest id.Digest
	// Configuration is nil if the content is not available or not valid.
	Configuration *note.Compiled
	Body          []byte
}

// NoteProposed reports a release note from an operator; a Reply with the same ID follows.
type NoteProposed struct {
	ID       ProposalID
	Note     note.Note
	Deadline time.Time
}

// TransactionDone reports the result of a Transact effect.
type TransactionDone struct {
	Call   Call
	Result store.Result
	Err    error
}

// RowsScanned reports the result of a ScanRows effect.
type RowsScanned struct {
	Call   Call
	SentAt time.Time
	Rows   []store.Row
	Err    error
}

// RowsRead reports the result of a ReadRows effect.
type RowsRead struct {
	Call   Call
	SentAt time.Time
	Rows   []store.Row
	Err    error
}

// ObjectDone reports the result of a ReadObject or WriteObject effect.
type ObjectDone struct {
	Call    Call
	IsWrite bool
	Body    []byte
	Err     error
}

// StopRequested reports an operator's planned stop or a termination signal.
type StopRequested struct{}

// ConnectionTested reports whether an upstream has accepted a connection, after a TestConnection effect or for another
// instance.
type ConnectionTested struct {
	Upstream  id.Upstream
	IsReached bool
}

// CallerConnectionsClosed reports that no caller is connected any more, after a CloseCallerConnections effect.
type CallerConnectionsClosed struct{}

// ProposalID identifies a proposed release note and its Reply.
type ProposalID uint64

// Owner identifies the part of the state that makes a platform call.
type Owner int

// The owners of platform calls.
const (
	OwnerLedger Owner = iota + 1
	OwnerClaims
	OwnerProposals
)

// Call identifies one call to the platform.
type Call struct {
	Owner Owner
	ID    uint64
}

// AttemptOutcome is how an attempt ended.
type AttemptOutcome interface {
	isAttemptOutcome()
}

// Answered means that the upstream sent a complete response, which is forwarded to the caller or stored for replay.
type Answered struct {
	Response claim.Response
	Size     id.Bytes
}

// Shed means that the upstream reported that it did not run the request. It wants no further request of this instance for
// the time Rest.
//
// MayHaveRun is set if the response came on a connection that has carried other requests: it may be a late copy of one to
// these, so that the upstream may run the request nevertheless.
type Shed struct {
	Rest       time.Duration
	MayHaveRun bool
}

// NothingSent means that the attempt failed before the first byte of the request was sent.
//
// DispatchExpired is set if DispatchBy of the Dispatch had passed, which says nothing about the upstream.
//
// IsHelperFailed is set if the instance through which the upstream was to be reached failed or refused.
type NothingSent struct {
	DispatchExpired bool
	IsHelperFailed  bool
}

// Broken means that the connection failed after bytes of the request were sent.
//
// ResponseStarted is set if a part of the response has already been forwarded to the caller.
type Broken struct {
	ResponseStarted bool
}

// TimedOut means that the deadline of the attempt passed after bytes of the request were sent; ResponseStarted is set as
// in Broken.
type TimedOut struct {
	ResponseStarted bool
}

// Cancelled means that the attempt was cancelled because the caller disconnected.
type Cancelled struct{}

func (Answered) isAttemptOutcome()    {}
func (Shed) isAttemptOutcome()        {}
func (NothingSent) isAttemptOutcome() {}
func (Broken) isAttemptOutcome()      {}
func (TimedOut) isAttemptOutcome()    {}
func (Cancelled) isAttemptOutcome()   {}

// LookupQuery is a look-up of the instances that a caller should use.
type LookupQuery struct {
	Service   id.Service
	KeyDigest id.Digest
	HasKey    bool
	Client    netip.Addr
}

func (RequestArrived) isEvent()          {}
func (BodyRead) isEvent()                {}
func (BodyFailed) isEvent()              {}
func (CallerDisconnected) isEvent()      {}
func (AttemptEnded) isEvent()            {}
func (TransferRequested) isEvent()       {}
func (LoadReported) isEvent()            {}
func (Tick) isEvent()                    {}
func (MembersListed) isEvent()           {}
func (MessageReceived) isEvent()         {}
func (HeadRead) isEvent()                {}
func (EpochLoaded) isEvent()             {}
func (NoteProposed) isEvent()            {}
func (TransactionDone) isEvent()         {}
func (RowsScanned) isEvent()             {}
func (RowsRead) isEvent()                {}
func (ObjectDone) isEvent()              {}
func (CallerConnectionsClosed) isEvent() {}
func (ConnectionTested) isEvent()        {}
func (StopRequested) isEvent()           {}
