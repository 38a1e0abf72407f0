package entry

import (
	"time"

	"bluebellhold/admission"
	"bluebellhold/id"
	"bluebellhold/internal/uplink"
)

// Effect is an output of State.Reduce, which package ingress executes without further decisions.
type Effect interface{ isEffect() }

// RequestEffect is an effect that belongs to one request.
type RequestEffect interface {
	Effect
	RequestID() id.Request
}

// Dispatch sends a request to an upstream, which is told to give up at UpstreamDeadline; the attempt is cancelled at Deadline.
type Dispatch struct {
	Request      id.Request
	Organisation id.Organisation
	Service      id.Service
	Upstream     id.Upstream
	Incarnation  id.Incarnation
	Address      string
	// Region is that of the upstream, and ColdUntil is when its cache counts as warm.
	Region    id.Region
	ColdUntil time.Time
	Priority  admission.Priority
	Deadline  time.Time
	// UpstreamDeadline is not after Deadline.
	UpstreamDeadline time.Time
	// Via is the instance through which the upstream is reached; empty means directly.
	Via uplink.Helper
	// UsesNewConnection is set if the request must not go on a connection that has carried another one.
	UsesNewConnection bool
	// AwaitsMatch is set if the attempt goes on after an unmatched answer that names no attempt, since the request may run
	// and must not be sent again.
	AwaitsMatch bool
	// EstimatedLatency is the estimated time from sending the request to receiving the whole response.
	EstimatedLatency time.Duration
	Diagnostics      Diagnostics
}

// Refuse sends a refusal to the caller; no attempt follows.
type Refuse struct {
	Request id.Request
	Refusal Refusal
}

// Deliver sends the response of the last attempt to the caller.
type Deliver struct {
	Request id.Request
}

// Cancel cancels a request's attempt in flight.
type Cancel struct {
	Request id.Request
}

// Interrupt breaks off a request's attempt in flight, whose outcome is then Broken.
type Interrupt struct {
	Request id.Request
}

// Abandon breaks off a request's attempt in flight in favour of another one; its outcome is then Abandoned, or that of an
// attempt that has just ended.
type Abandon struct {
	Request id.Request
}

// EndAttempt breaks off a request's attempt in flight at the end of a stop; its outcome is then TimedOut.
type EndAttempt struct {
	Request id.Request
}

// Probe connects to an upstream directly; ProbeEnded follows.
type Probe struct {
	Upstream    id.Upstream
	Incarnation id.Incarnation
	Address     string
}

// UplinkChanged reports that this instance no longer reaches any upstream, or does again.
type UplinkChanged struct {
	IsSevered bool
	Evidence  uplink.Evidence
	// Since is when the instance became severed.
	Since time.Time
}

// UpstreamLeaving reports that an upstream gets no more requests because it has said that it leaves, in the response to the
// request or to one of another instance.
type UpstreamLeaving struct {
	Upstream id.Upstream
	Request  id.Request
	From     id.Instance
}

// Send sends a message to another instance; it may be lost.
type Send struct {
	To      id.Instance
	Message PeerMessage
}

// SetContacts replaces the instances to keep sessions with.
type SetContacts struct {
	Contacts []Contact
}

// CoordinatorChanged reports that this instance follows another coordinator; the names may be empty.
type CoordinatorChanged struct {
	Previous, Current id.Instance
	// Members is the number of instances that report to this one.
	Members int
}

func (Interrupt) isEffect()          {}
func (Abandon) isEffect()            {}
func (EndAttempt) isEffect()         {}
func (Probe) isEffect()              {}
func (UplinkChanged) isEffect()      {}
func (UpstreamLeaving) isEffect()    {}
func (Send) isEffect()               {}
func (SetContacts) isEffect()        {}
func (CoordinatorChanged) isEffect() {}
func (Dispatch) isEffect()           {}
func (Refuse) isEffect()             {}
func (Deliver) isEffect()            {}
func (Cancel) isEffect()             {}

// RequestID returns the request.
func (e Dispatch) RequestID() id.Request { return e.Request }

// RequestID returns the request.
func (e Abandon) RequestID() id.Request { return e.Request }

// RequestID returns the request.
func (e Interrupt) RequestID() id.Request { return e.Request }

// RequestID returns the request.
func (e Refuse) RequestID() id.Request { return e.Request }

// RequestID returns the request.
func (e Deliver) RequestID() id.Request { return e.Request }

// RequestID returns the request.
func (e Cancel) RequestID() id.Request { return e.Request }

// RequestID returns the request.
func (e EndAttempt) RequestID() id.Request { return e.Request }

// Code is the reason for a refusal, a stable word for callers.
type Code string

// The codes of refusals.
const (
	// CodeStarting means that the instance has not read the configuration and the upstreams or has not joined the fleet
	// yet.
	CodeStarting Code = "starting"
	// CodeNoRoute means that no route matches.
	CodeNoRoute Code = "route"
	// CodeInvalidKey means that the API key is missing or unknown.
	CodeInvalidKey Code = "key"
	// CodeRateLimited means that the organisation exceeds its rate limit.
	CodeRateLimited Code = "rate"
	// CodeOverloaded means that the request could not be started in time, or that the memory for request bodies is
	// exhausted.
	CodeOverloaded Code = "busy"
	// CodeNoUpstream means that no allowed upstream is available.
	CodeNoUpstream Code = "upstreams"
	// CodeDeadline means that the deadline passed while the request was in flight, or that the caller disconnected.
	CodeDeadline Code = "timeout"
	// CodeUpstreamFailed means that the upstream failed after the request was sent.
	CodeUpstreamFailed Code = "broken"
	// CodeSuspect means that the same request has crashed two upstreams.
	CodeSuspect Code = "suspect"
	// CodeInvalidBody means that the body was too large or incomplete.
	CodeInvalidBody Code = "body"
	// CodeStopping means that the instance stops and has too little time left for the request.
	CodeStopping Code = "stopping"
	// CodeHeaderTooLarge means that the header was too large.
	CodeHeaderTooLarge Code = "header"
)

// Refusal is the instance's own response to a request, in place of one from an upstream.
type Refusal struct {
	Code Code
	// MayHaveRun is set if an upstream may have run the request; otherwise it is certain that none did.
	MayHaveRun bool
	// RetryAt is when the request should be retried; zero means at any time.
	RetryAt time.Time
	// Diagnostics is what the refusal is based on, for the log.
	Diagnostics Diagnostics
}

// Diagnostics is the state that a decision about a request is based on.
type Diagnostics struct {
	// Version is that of the current configuration.
	Version uint64
	Route   id.Route
	Service id.Service
	// Organisation is empty if the key is unknown.
	Organisation id.Organisation
	// Coordinator gives out the tokens of the organisation's limit; Share is the group's share of it, and Tokens what
	// this instance has left as the coordinator.
	Coordinator id.Instance
	Share       float64
	Tokens      id.Tokens
	// QueueLength is the number of the service's queued requests, and EstimatedWait the estimated wait of a new one.
	QueueLength   int
	EstimatedWait time.Duration
	// UpstreamCount is the number of the service's upstreams that may get requests, and UpstreamListAge the time since
	// the list of upstreams changed.
	UpstreamCount   int
	UpstreamListAge time.Duration
	// Attempts is the number of attempts dispatched so far.
	Attempts int
}

// CutOffChanged reports that this instance starts or ceases to hold back requests of a service for more urgent work that
// waits elsewhere in its group.
type CutOffChanged struct {
	Service id.Service
	// Waiting is the most urgent priority that waits elsewhere, and Slots the work that waits at it; Slots is zero if
	// nothing is held back any more.
	Waiting admission.Priority
	Slots   float64
}

func (CutOffChanged) isEffect() {}
