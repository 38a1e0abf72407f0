package entry

import (
	"time"

	"bluebellhold/id"
)

// Effect is something that the shell must do; carrying it out takes no further decision.
type Effect interface{ isEffect() }

// RequestEffect is an effect that belongs to one request.
type RequestEffect interface {
	Effect
	RequestID() id.Request
}

// Dispatch sends a request to an upstream; the attempt is ended at Deadline.
type Dispatch struct {
	Request      id.Request
	Organisation id.Organisation
	Service      id.Service
	Upstream     id.Upstream
	Incarnation  id.Incarnation
	Address      string
	Deadline     time.Time
	// Expected is how long the answer is expected to take.
	EstimatedLatency time.Duration
	Diagnostics      Diagnostics
}

// Refuse answers a request without running it further.
type Refuse struct {
	Request id.Request
	Refusal Refusal
}

// Deliver lets the answer that the attempt has got go to the caller.
type Deliver struct {
	Request id.Request
}

// Cancel ends a request's running attempt.
type Cancel struct {
	Request id.Request
}

// WriteHeartbeat writes a heartbeat soon: a successor of this process would not know what has been spent lately.
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

// Code says why a request was refused.
type Code string

// The codes of refusals.
const (
	// CodeStarting means that no configuration is known yet.
	CodeStarting Code = "starting"
	// CodeRoute means that no route matches.
	CodeNoRoute Code = "route"
	// CodeKey means that the key is missing or unknown.
	CodeKey Code = "key"
	// CodeRate means that the organisation is beyond its rate.
	CodeRate Code = "rate"
	// CodeBusy means that the request could not be started in time.
	CodeBusy Code = "busy"
	// CodeUpstreams means that no allowed upstream is there.
	CodeNoUpstream Code = "upstreams"
	// CodeTimeout means that the deadline passed while an upstream had the request.
	CodeTimeout Code = "timeout"
	// CodeBroken means that the upstream failed after the request was sent.
	CodeBroken Code = "broken"
	// CodeSuspect means that the same request has crashed two upstreams.
	CodeSuspect Code = "suspect"
	// CodeBody means that the body was too large or broke off.
	CodeBody Code = "body"
	// CodeHeader means that the header was too large.
	CodeHeader Code = "header"
)

// Refusal explains why a request is answered without an upstream's answer.
type Refusal struct {
	Code Code
	// Ran is set if an upstream may have run the request, so that no promise can be made.
	MayHaveRun bool
	// After is when it makes sense to come back; zero means at any time.
	RetryAt time.Time
	// Basis is what decided, for the log.
	Diagnostics Diagnostics
}

// Diagnostics is what a decision about a request was taken from.
type Diagnostics struct {
	// Version is that of the configuration in force.
	Version uint64
	Route   id.Route
	Service id.Service
	// Organisation is empty if the key is unknown.
	Organisation id.Organisation
	// Spent and Part are what the organisation has used of this instance's part of its limit.
	Spent, Limit id.Tokens
	// Waiting is the number of requests that waited for the service, and Wait how long a new one was expected to wait.
	Waiting       int
	EstimatedWait time.Duration
	// Upstreams is the number of the service's upstreams that may get work, and ListAge how long ago their list changed.
	UpstreamCount   int
	UpstreamListAge time.Duration
	// Sends is the number of upstreams that the request had been sent to.
	Attempts int
}
