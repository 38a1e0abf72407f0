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

// Event is something that happened; it is the only input of the reducer besides the time.
type Event interface {
	isEvent()
}

// RequestArrived reports the head of a caller's request.
//
// KeyDigest is the digest of the key that came with it and is valid only if HasKey is set. ContentDigest is the digest of the
// body if the body was read in advance. PeerRetry is set if another instance has already retried this request.
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

// BodyRead reports that the whole body of a request has been read, with its digest.
type BodyRead struct {
	Request id.Request
	Digest  id.Digest
}

// BodyFailed reports that the body of a request broke off or is too large.
type BodyFailed struct {
	Request id.Request
}

// CallerDisconnected reports that the caller closed its connection or cancelled the request.
type CallerDisconnected struct {
	Request id.Request
}

// AttemptEnded reports the end of one dispatch.
//
// BodyConsumed is set if the request's body was streamed and cannot be sent again.
type AttemptEnded struct {
	Request      id.Request
	Outcome      AttemptOutcome
	BodyConsumed bool
}

// TransferRequested asks to move bytes over the inter-region link of a dispatched request.
type TransferRequested struct {
	Request id.Request
	Size    id.Bytes
}

// LoadReported reports the answer of an upstream's load endpoint, or the failure to get one.
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

// EpochLoaded reports the content of an epoch, from a peer or from the object store.
type EpochLoaded struct {
	Epoch  id.Epoch
	Digest id.Digest
	// Configuration is nil if the content could not be had.
	Configuration *note.Compiled
	Body          []byte
}

// NoteProposed reports a release note from an operator, to be answered with a Reply of the same ID.
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

// CallerConnectionsClosed reports that no caller is connected any more, after a CloseCallers effect.
type CallerConnectionsClosed struct{}

// ProposalID identifies an operator's call that waits for a Reply.
type ProposalID uint64

// Owner names the part of the state that a platform call belongs to.
type Owner int

// The parts that call the platform.
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

// Answered is a whole answer that reached the caller or was kept for a repeat.
type Answered struct {
	Answer claim.Answer
	Size   id.Bytes
}

// Shed is the upstream's own word that it did not run the request.
type Shed struct{}

// NothingSent is a failure before the first byte was sent.
//
// DispatchExpired is set if the authority to dispatch had ended, which says nothing about the upstream.
type NothingSent struct {
	DispatchExpired bool
}

// Broken is a connection that failed after bytes were sent.
//
// AnswerStarted is set if a part of the answer has already reached the caller.
type Broken struct {
	AnswerStarted bool
}

// TimedOut is an attempt that was ended at its deadline after bytes were sent.
type TimedOut struct {
	AnswerStarted bool
}

// Cancelled is an attempt that was ended because the caller went away.
type Cancelled struct{}

func (Answered) isAttemptOutcome()    {}
func (Shed) isAttemptOutcome()        {}
func (NothingSent) isAttemptOutcome() {}
func (Broken) isAttemptOutcome()      {}
func (TimedOut) isAttemptOutcome()    {}
func (Cancelled) isAttemptOutcome()   {}

// LookupQuery asks which instances a caller should use.
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
func (StopRequested) isEvent()           {}
