package ingress

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"bluebellhold/features"
	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/logwriter"
	"bluebellhold/placement"
	"bluebellhold/store"
)

// Config configures an Instance. All fields but Registry are required.
type Config struct {
	Instance   id.Instance
	Region     id.Region
	DataCentre id.DataCentre
	// CallerAddress, ReadinessAddress, LookupAddress and MetricsAddress are the addresses to listen on. All but
	// CallerAddress serve the same control handlers, /metrics and /dump.
	CallerAddress    string
	ReadinessAddress string
	LookupAddress    string
	MetricsAddress   string
	// PeerAddress is the address to listen on for sessions with other instances.
	PeerAddress string
	Bounds      entry.Bounds
	// Features are the optional parts that the settings call for.
	Features features.Set
	// LinkCapacity is the bandwidth of the instance's link in Mbit/s; zero means unknown.
	LinkCapacity int
	// MemoryLimit is the memory that the process may use.
	MemoryLimit id.Bytes
	// Descriptors is the number of descriptors that the process may open.
	Descriptors int
	Feed        store.ChangeFeed
	Tables      Tables
	HeaderCodec HeaderCodec
	RowDecoder  RowDecoder
	// RegisterControlHandlers adds the handlers of readiness checks and look-ups to a router.
	RegisterControlHandlers func(*mux.Router, Status)
	Log                     *logwriter.Writer
	// Registry receives the metrics; nil means a new registry.
	Registry metrics.Registry
}

// Status provides the data for readiness checks and look-ups.
type Status interface {
	// IsReady reports whether the instance can serve callers.
	IsReady() bool
	// Lookup returns the addresses that a caller in the data centre should use, and how long it may cache them.
	Lookup(region id.Region, dataCentre id.DataCentre) ([]string, time.Duration)
}

// Tables names the tables of the store that the instance follows.
type Tables struct {
	Operator  string
	Upstreams string
	// Members holds the heartbeats of the instances, and Groups the shares of the limits that their groups hold.
	Members string
	Groups  string
	// Secrets holds the secret with which instances prove that they belong to the fleet.
	Secrets string
	// Documents holds the last good document of the operator while the newest one can't be read.
	Documents string
}

// CallerHeaders holds the values from the headers of a caller's request.
type CallerHeaders struct {
	// AttemptID identifies the caller's attempt; the upstream echoes it in its response.
	AttemptID string
	// Object is the affinity key; on sticky routes, upstreams serve recently handled objects faster.
	Object string
	// KeyDigest is the digest of the caller's key; HasKey is false if the request has none.
	KeyDigest id.Digest
	HasKey    bool
	// Timeout is how long the caller will wait; zero means that it is not given.
	Timeout time.Duration
}

// UpstreamHeaders holds the values for the headers of a request to an upstream.
type UpstreamHeaders struct {
	Upstream     id.Upstream
	Organisation id.Organisation
	// Timeout is the time left until the request's deadline.
	Timeout time.Duration
}

// ResponseHeaders holds the values from the headers of an upstream's response.
type ResponseHeaders struct {
	AttemptID string
	// IsSigned is set if the response carries the upstream's signature.
	IsSigned bool
	// IsNotExecuted is set if the upstream reports that it did not run the request.
	IsNotExecuted bool
	// IsMisdirected is set if the response comes from an upstream other than the intended one.
	IsMisdirected bool
	Load          *placement.Load
	// Limit is the rate of requests that the upstream takes from all instances together; nil if it names none.
	Limit *id.TokensPerSecond
	// IsLeaving is set if the upstream says that it is leaving.
	IsLeaving bool
	// Rest is how long the upstream wants no further request of this instance; zero means that it does not say.
	Rest time.Duration
	// Unknown are the names of headers that the codec does not know.
	Unknown []string
	// Malformed are the names of headers whose values the codec could not read, wholly or in part.
	Malformed []string
}

// HeaderCodec parses and sets the headers that callers and upstreams use.
type HeaderCodec interface {
	ParseCallerHeaders(h http.Header) CallerHeaders
	// SetUpstreamHeaders sets headers in h, and removes the caller's headers that the upstream must not see.
	SetUpstreamHeaders(h http.Header, headers UpstreamHeaders)
	ParseResponseHeaders(status int, h http.Header) ResponseHeaders
}

// RowDecoder decodes the rows that the operator and the upstreams write.
type RowDecoder interface {
	// DecodeOperatorRow decodes a row of the operator's table; it returns nil for an unknown kind of row, and a
	// DocumentError for a document that can't be read.
	DecodeOperatorRow(name string, value []byte) (OperatorRow, error)
	// DecodeUpstreamRow decodes the row of an upstream that was read at the time now.
	DecodeUpstreamRow(now time.Time, name string, value []byte) (UpstreamRow, error)
}

// UpstreamRow is an upstream as its row describes it.
type UpstreamRow struct {
	entry.Upstream
	// Sequence increases with each row that the same process of the upstream writes.
	Sequence uint64
}

// OperatorRow is a decoded row of the operator's table: a Document or an Evacuation, or nil for an unknown kind of row.
type OperatorRow interface{ isOperatorRow() }

// Document holds the configuration from the operator's document.
type Document struct {
	Configuration entry.Configuration
}

// Evacuation excludes the upstreams of a data centre from routing.
type Evacuation struct {
	DataCentre id.DataCentre
}

func (Document) isOperatorRow()   {}
func (Evacuation) isOperatorRow() {}
