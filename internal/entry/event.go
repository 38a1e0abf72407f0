package entry

import (
	"time"

	"bluebellhold/id"
	"bluebellhold/placement"
	"bluebellhold/retry"
)

// Event is something that happened; it is the only input of the reducer besides the time.
type Event interface{ isEvent() }

// ConfigurationChanged reports the operator's newest document.
type ConfigurationChanged struct {
	Configuration Configuration
}

// Upstream is one entry of the list of upstreams.
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

// UpstreamsChanged reports the whole list of upstreams.
type UpstreamsChanged struct {
	Upstreams []Upstream
}

// EvacuationsChanged reports the data centres whose upstreams must get nothing.
type EvacuationsChanged struct {
	DataCentres []id.DataCentre
}

// Member is another instance, or this one, as the store knows it.
type Member struct {
	Instance   id.Instance
	Region     id.Region
	DataCentre id.DataCentre
	Address    string
	Leaving    bool
	// Version changes with each heartbeat.
	Version uint64
	// Seen is the version of the heartbeats that the instance had read when it wrote this one.
	ReadVersion uint64
	// Started is when the process started, in its own clock; it tells a restart.
	StartTime int64
	// Demand is what callers ask of the instance per organisation and second.
	Demand map[id.Organisation]float64
	// Work is the slots that the requests of the instance's callers would keep busy, per service.
	OfferedLoad map[id.Service]float64
	// Bound is the slots that requests bound to a region would keep busy there, per service.
	PinnedLoad map[id.Service]map[id.Region]float64
	// Kept is the part of the objects that stay in the instance's region, per service.
	LocalShares map[id.Service]float64
	// Held is the part of each organisation's limit that the instance holds or claims.
	LimitShares map[id.Organisation]float64
	// Spent is what the instance has spent of each limit within the last window, in equal spans, the newest last.
	SpentBuckets map[id.Organisation][]id.Tokens
	// Suspects are the requests that have crashed upstreams.
	Suspects []retry.Report
}

// MembersRead reports the heartbeats of all instances.
type MembersRead struct {
	Members []Member
}

// RequestArrived reports a caller's request whose body has been read.
type RequestArrived struct {
	Request id.Request
	Host    string
	Path    string
	Object  string
	// Secret is the digest of the caller's key; HasSecret is false if none came.
	KeyDigest id.Digest
	HasKey    bool
	// Patience is the time that the caller will wait from now on; zero means that it did not say.
	CallerTimeout time.Duration
	// Digest covers the method, the path, the key and the body; a caller's repeat has the same one.
	Digest id.Digest
}

// CallerDisconnected reports that the caller closed its connection.
type CallerDisconnected struct {
	Request id.Request
}

// AttemptEnded reports how a dispatch ended.
type AttemptEnded struct {
	Request id.Request
	Outcome Outcome
}

// Connected reports how long a connection to an upstream took.
type Connected struct {
	Request id.Request
	Elapsed time.Duration
}

// Tick reports that time has passed.
type Tick struct{}

// StopRequested reports the signal to stop.
type StopRequested struct{}

func (ConfigurationChanged) isEvent() {}
func (UpstreamsChanged) isEvent()     {}
func (EvacuationsChanged) isEvent()   {}
func (MembersRead) isEvent()          {}
func (RequestArrived) isEvent()       {}
func (CallerDisconnected) isEvent()   {}
func (AttemptEnded) isEvent()         {}
func (Connected) isEvent()            {}
func (Tick) isEvent()                 {}
func (StopRequested) isEvent()        {}

// Outcome is how an attempt ended.
type Outcome interface{ isOutcome() }

// Answered is a whole answer of the upstream; Failed is set for the status of a server error.
type Answered struct {
	Status        int
	IsServerError bool
	Elapsed       time.Duration
	Size          id.Bytes
	Load          *placement.Load
}

// Shed is the upstream's own word that it did not run the request.
type Shed struct {
	Load *placement.Load
}

// Misdirected is the word of another upstream that it did not run the request.
type Misdirected struct{}

// NothingSent is a failure before the first byte of the request was sent.
//
// Stale is set if only a kept connection failed, which says nothing about the upstream.
type NothingSent struct {
	IsStaleConnection bool
}

// Broken is a connection that failed, or bytes that are no answer, after the request was sent.
type Broken struct{}

// TimedOut is an attempt that was ended at its deadline.
type TimedOut struct {
	Elapsed time.Duration
}

// Cancelled is an attempt that was ended because the caller went away.
type Cancelled struct{}

func (Answered) isOutcome()    {}
func (Shed) isOutcome()        {}
func (Misdirected) isOutcome() {}
func (NothingSent) isOutcome() {}
func (Broken) isOutcome()      {}
func (TimedOut) isOutcome()    {}
func (Cancelled) isOutcome()   {}
