package entry

import (
	"time"

	"bluebellhold/id"
)

// Effect is an output of State.Reduce, which package ingress executes without further decisions.
type Effect interface{ isEffect() }

// RequestEffect is an effect that belongs to one request.
type RequestEffect interface {
	Effect
	RequestID() id.Request
}

// Dispatch sends a request to an upstream; the attempt is cancelled at Deadline.
type Dispatch struct {
	Request      id.Request
	Organisation id.Organisation
	Service      id.Service
	Upstream     id.Upstream
	Incarnation  id.Incarnation
	Address      string
	Deadline     time.Time
	// EstimatedLatency is the estimated time from sending the request to receiving the whole answer.
	EstimatedLatency time.Duration
	Diagnostics      Diagnostics
}

// Refuse answers a request with a refusal, without running it further.
type Refuse struct {
	Request id.Request
	Refusal Refusal
}

// Deliver sends the answer of the last attempt to the caller.
type Deliver struct {
	Request id.Request
}

// Cancel cancels a request's running attempt.
type Cancel struct {
	Request id.Request
}

// WriteHeartbeat requests an early heartbeat, since a successor of this process would not count the latest spending.
type WriteHeartbeat struct{}

func (WriteHeartbeat) isEffect() {}
func (Dispatch) isEffect()       {}
func (Refuse) isEffect()         {}
func (Deliver) isEffect()        {}
func (Cancel) isEffect()         {}

// RequestID returns the request.
func (e Dispatch) RequestID() id.Request { return e.Request }

// RequestID returns the request.
func (e Refuse) RequestID() id.Request { return e.Request }

// RequestID returns the request.
func (e Deliver) RequestID() id.Request { return e.Request }

// RequestID returns the request.
func (e Cancel) RequestID() id.Request { return e.Request }

// Code is the reason of a refusal.
type Code string

// The codes of refusals.
const (
	// CodeStarting means that the instance has not read the configuration and the upstreams or has not joined the fleet
	// yet.
	CodeStarting Code = "starting"
	// CodeNoRoute means that no route matches.
	CodeNoRoute Code = "route"
	// CodeKey means that the API key is missing or unknown.
	CodeInvalidKey Code = "key"
	// CodeRate means that the organisation exceeds its rate limit.
	CodeRateLimited Code = "rate"
	// CodeBusy means that the request could not be started in time.
	CodeOverloaded Code = "busy"
	// CodeNoUpstream means that no allowed upstream is available.
	CodeNoUpstream Code = "upstreams"
	// CodeTimeout means that the deadline passed while the request was in flight, or that the caller disconnected.
	CodeDeadline Code = "timeout"
	// CodeBroken means that the upstream failed after the request was sent.
	CodeUpstreamFailed Code = "broken"
	// CodeSuspect means that the same request has crashed two upstreams.
	CodeSuspect Code = "suspect"
	// CodeBody means that the body was too large or incomplete.
	CodeInvalidBody Code = "body"
	// CodeHeader means that the header was too large.
	CodeHeaderTooLarge Code = "header"
)

// Refusal explains why a request is answered without an upstream's answer.
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
	// Spent and Limit are what the organisation has spent within the window at this instance, and the instance's share
	// of its limit.
	Spent, Limit id.Tokens
	// Waiting is the number of the service's queued requests, and EstimatedWait the estimated wait of a new one.
	QueueLength   int
	EstimatedWait time.Duration
	// UpstreamCount is the number of the service's upstreams that may get requests, and UpstreamListAge the time since
	// the list of upstreams changed.
	UpstreamCount   int
	UpstreamListAge time.Duration
	// Attempts is the number of attempts that were sent.
	Attempts int
}
