package ingress

import (
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/placement"
	"bluebellhold/store"
)

// Config configures an Instance. All fields but Registry are required.
type Config struct {
	Instance   id.Instance
	Region     id.Region
	DataCentre id.DataCentre
	// The addresses to listen on; MetricsAddress is that of the metrics page.
	CallerAddress    string
	ReadinessAddress string
	LookupAddress    string
	MetricsAddress   string
	Bounds           entry.Bounds
	// MemoryLimit is what the process may use.
	MemoryLimit id.Bytes
	Feed        store.ChangeFeed
	Tables      Tables
	HeaderCodec HeaderCodec
	RowDecoder  RowDecoder
	// RegisterControlHandlers adds the readiness check and the look-up to a router.
	RegisterControlHandlers func(*mux.Router, Status)
	Log                     *log.Logger
	// Registry receives the metrics; nil means a registry of its own.
	Registry metrics.Registry
}

// Status is what readiness checks and look-ups ask of an instance.
type Status interface {
	IsReady() bool
	Lookup(region id.Region, dataCentre id.DataCentre) ([]string, time.Duration)
}

// Tables names the tables of the store that the instance follows.
type Tables struct {
	Operator  string
	Upstreams string
	// Members is the instance's own table of heartbeats.
	Members string
}

// CallerHeaders is what the headers of a caller's request say.
type CallerHeaders struct {
	// AttemptID identifies the caller's attempt; the upstream's answer repeats it.
	AttemptID string
	Object    string
	KeyDigest id.Digest
	HasKey    bool
	Timeout   time.Duration
}

// UpstreamHeaders is what the headers of a request to an upstream must say.
type UpstreamHeaders struct {
	Upstream     id.Upstream
	Organisation id.Organisation
	// Timeout is the time until the request's deadline.
	Timeout time.Duration
}

// ResponseHeaders is what the headers of an upstream's answer say.
type ResponseHeaders struct {
	AttemptID string
	// IsSigned is set if the answer carries the upstream's signature.
	IsSigned bool
	// IsNotExecuted is set if the upstream says that it did not run the request.
	IsNotExecuted bool
	// IsMisdirected is set if another upstream answered than the request was meant for.
	IsMisdirected bool
	Load          *placement.Load
}

// HeaderCodec translates the headers that callers and upstreams speak.
type HeaderCodec interface {
	ParseCallerHeaders(h http.Header) CallerHeaders
	SetUpstreamHeaders(h http.Header, s UpstreamHeaders)
	ParseResponseHeaders(status int, h http.Header) ResponseHeaders
}

// RowDecoder translates the rows that the operator and the upstreams write.
type RowDecoder interface {
	// DecodeOperatorRow tells what a row of the operator means.
	DecodeOperatorRow(name string, value []byte) (OperatorRow, error)
	DecodeUpstreamRow(now time.Time, name string, value []byte) (entry.Upstream, error)
}

// OperatorRow is a row of the operator: a Document or an Evacuation, or nil for a row that means nothing here.
type OperatorRow interface{ isOperatorRow() }

// Document is the operator's configuration.
type Document struct {
	Configuration entry.Configuration
}

// Evacuation asks that nothing is sent to the upstreams of a data centre.
type Evacuation struct {
	DataCentre id.DataCentre
}

func (Document) isOperatorRow()   {}
func (Evacuation) isOperatorRow() {}
