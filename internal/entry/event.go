package entry

import (
	"time"

	"bluebellhold/id"
	"bluebellhold/placement"
	"bluebellhold/retry"
)

// Event is an input of State.Reduce, which has no other input but the time.
type Event interface{ isEvent() }

// ConfigurationChanged reports the operator's latest configuration.
type ConfigurationChanged struct {
	Configuration Configuration
}

// Upstream is one server of a service.
type Upstream struct {
	ID          id.Upstream
	Service     id.Service
	Address     string
	Region      id.Region
	DataCentre  id.DataCentre
	Slots       id.Slots
	Incarnation id.Incarnation
	Draining    bool
	ColdUntil   time.Time
}

// UpstreamsChanged reports the complete list of upstreams.
type UpstreamsChanged struct {
	Upstreams []Upstream
}

// EvacuationsChanged reports the evacuated data centres, whose upstreams get no requests.
type EvacuationsChanged struct {
	DataCentres []id.DataCentre
}

// Member is the latest heartbeat of an instance, which can be this one.
type Member struct {
	Instance   id.Instance
	Region     id.Region
	DataCentre id.DataCentre
	Address    string
	// PeerAddress accepts sessions of other instances.
	PeerAddress string
	// Capacity ranks the members that may coordinate the group; see Config.
	Capacity int
	// Vouched are the members of the group that report to the instance and write no heartbeats themselves.
	Vouched []id.Instance
	// Leaving is set while the instance shuts down.
	Leaving bool
	// Version changes with each heartbeat.
	Version uint64
	// ReadVersion is the version of the heartbeats that the instance had read when it wrote this one.
	ReadVersion uint64
	// StartTime is when the process started, by its own clock; another value indicates a restart.
	StartTime int64
	// OfferedLoad is the slots that the requests of the instance's callers, and of those of the members that it vouches
	// for, would occupy, per service, without PinnedLoad.
	OfferedLoad map[id.Service]float64
	// PinnedLoad is the slots that requests which are restricted to some regions would occupy there, per service.
	PinnedLoad map[id.Service]map[id.Region]float64
	// LocalShares are the fractions of the objects whose home is in the instance's region, per service.
	LocalShares map[id.Service]float64
	// Suspects are the requests that have crashed upstreams.
	Suspects []retry.Report
	// Limits are the rate limits that upstreams name.
	Limits []placement.LimitReport
	// Leavers are the upstreams that have said that they leave.
	Leavers []LeavingReport
	// Severed are those of the instance itself and the members that it vouches for that reach no upstream.
	Severed []id.Instance
	// IsRestored is set if the heartbeat comes from the older copy from which the store has returned, or is missing there.
	// It is no sign of life.
	IsRestored bool
}

// MembersRead reports the heartbeats of all instances.
type MembersRead struct {
	Members []Member
}

// GroupsRead reports the rows of all groups.
type GroupsRead struct {
	Groups []GroupRow
}

// MessageReceived reports a message of another instance, which has proved its name.
type MessageReceived struct {
	From    id.Instance
	Message PeerMessage
}

// SessionOpened reports that a session with another instance has opened.
type SessionOpened struct {
	Instance id.Instance
}

// SessionClosed reports that the session with another instance has closed.
type SessionClosed struct {
	Instance id.Instance
}

// Suspended reports that the clock may have missed time: the process was suspended, or the time of day was set.
type Suspended struct{}

// RequestArrived reports a caller's request whose body has been read.
type RequestArrived struct {
	Request id.Request
	Host    string
	Path    string
	// Object is the affinity key; empty means that the request concerns no object.
	Object string
	// KeyDigest is the digest of the caller's API key; HasKey is false if there is none.
	KeyDigest id.Digest
	HasKey    bool
	// CallerTimeout is how long the caller waits for the response from now on; zero means that it is not specified.
	CallerTimeout time.Duration
	// BodySize is the size of the request's body.
	BodySize id.Bytes
	// Digest covers the method, the path with the query, the key and the body; a caller's retry has the same digest.
	Digest id.Digest
}

// CallerDisconnected reports that the caller closed its connection.
type CallerDisconnected struct {
	Request id.Request
}

// AttemptEnded reports the outcome of a dispatched attempt.
type AttemptEnded struct {
	Request id.Request
	Outcome AttemptOutcome
}

// Connected reports how long the connect to an upstream took.
type Connected struct {
	Request id.Request
	Elapsed time.Duration
}

// AnonymousResponse reports that an unmatched answer that names no attempt has come while the request was in flight.
type AnonymousResponse struct {
	Request id.Request
}

// ProbeEnded reports whether an upstream has accepted a connection.
type ProbeEnded struct {
	Upstream  id.Upstream
	IsReached bool
}

// Tick reports that time has passed.
type Tick struct{}

// StopRequested reports the signal to stop.
type StopRequested struct {
	// AnswerBy is when the responses to all requests should have been received from the upstreams, and EndAt, which is later,
	// when the attempts that are still in flight are broken off. Zero means that the stop
	// waits for all requests.
	AnswerBy, EndAt time.Time
}

func (ConfigurationChanged) isEvent() {}
func (UpstreamsChanged) isEvent()     {}
func (EvacuationsChanged) isEvent()   {}
func (MembersRead) isEvent()          {}
func (GroupsRead) isEvent()           {}
func (MessageReceived) isEvent()      {}
func (SessionOpened) isEvent()        {}
func (SessionClosed) isEvent()        {}
func (Suspended) isEvent()            {}
func (RequestArrived) isEvent()       {}
func (CallerDisconnected) isEvent()   {}
func (AttemptEnded) isEvent()         {}
func (Connected) isEvent()            {}
func (AnonymousResponse) isEvent()    {}
func (ProbeEnded) isEvent()           {}
func (Tick) isEvent()                 {}
func (StopRequested) isEvent()        {}

// AttemptOutcome is how an attempt ended.
type AttemptOutcome interface{ isAttemptOutcome() }

// Answered means that the upstream sent a complete response; IsServerError is set for the status of a server error.
type Answered struct {
	Status        int
	IsServerError bool
	Elapsed       time.Duration
	Size          id.Bytes
	Load          *placement.Load
	// Limit is the rate of requests that the upstream takes from all instances together; nil if it names none.
	Limit *id.TokensPerSecond
	// IsLeaving is set if the upstream says that it is leaving.
	IsLeaving bool
	// Rest is how long the upstream wants no further request of this instance; zero means that it does not say.
	Rest time.Duration
}

// Shed means that the upstream reported that it did not run the request.
type Shed struct {
	Load *placement.Load
	// Limit is that of Answered.
	Limit *id.TokensPerSecond
	// IsLeaving and Rest are those of Answered.
	IsLeaving bool
	Rest      time.Duration
	// IsAnonymous is set if the response names no attempt.
	IsAnonymous bool
}

// Misdirected means that another upstream responded at the address, without running the request.
type Misdirected struct{}

// Unmatched means that a response came which may belong to an earlier request on the connection. The upstream may run the
// request.
type Unmatched struct{}

// NothingSent means that the attempt failed before any byte of the request was sent.
//
// IsStaleConnection is set if only a reused connection failed, which says nothing about the upstream.
type NothingSent struct {
	IsStaleConnection bool
}

// HelperFailed means that the instance through which the upstream was to be reached could not be reached itself or opened
// no tunnel. Nothing was sent to the upstream.
type HelperFailed struct{}

// Broken means that the connection failed, or that the response was malformed, after the request was sent.
type Broken struct{}

// TimedOut means that the attempt was cancelled at its deadline.
type TimedOut struct {
	Elapsed time.Duration
}

// Abandoned means that the attempt was broken off because it took too long, in favour of another one.
type Abandoned struct {
	Elapsed time.Duration
}

// Cancelled means that the attempt was cancelled because the caller disconnected.
type Cancelled struct{}

func (Answered) isAttemptOutcome()     {}
func (Shed) isAttemptOutcome()         {}
func (Misdirected) isAttemptOutcome()  {}
func (Unmatched) isAttemptOutcome()    {}
func (NothingSent) isAttemptOutcome()  {}
func (HelperFailed) isAttemptOutcome() {}
func (Broken) isAttemptOutcome()       {}
func (TimedOut) isAttemptOutcome()     {}
func (Abandoned) isAttemptOutcome()    {}
func (Cancelled) isAttemptOutcome()    {}
