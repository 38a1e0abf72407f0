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
	// Callers, Readiness and Lookups are the addresses to listen on; Metrics is that of the metrics page.
	Callers   string
	Readiness string
	Lookups   string
	Metrics   string
	Bounds    entry.Bounds
	// Memory is what the process may use.
	Memory  id.Bytes
	Feed    store.ChangeFeed
	Tables  Tables
	Headers Headers
	Decoder Decoder
	// Control adds the readiness check and the look-up to a router.
	Control func(*mux.Router, Status)
	Log     *log.Logger
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

// Caller is what the headers of a caller's request say.
type Caller struct {
	// Attempt identifies the caller's attempt; the upstream's answer repeats it.
	Attempt   string
	Object    string
	Secret    id.Digest
	HasSecret bool
	Patience  time.Duration
}

// Send is what the headers of a request to an upstream must say.
type Send struct {
	Upstream     id.Upstream
	Organisation id.Organisation
	// Left is the time until the request's deadline.
	Left time.Duration
}

// Answer is what the headers of an upstream's answer say.
type Answer struct {
	Attempt string
	// IsSigned is set if the answer carries the upstream's signature.
	IsSigned bool
	// IsNotExecuted is set if the upstream says that it did not run the request.
	IsNotExecuted bool
	// IsMisdirected is set if another upstream answered than the request was meant for.
	IsMisdirected bool
	Load          *placement.Load
}

// Headers translates the headers that callers and upstreams speak.
type Headers interface {
	Caller(h http.Header) Caller
	Send(h http.Header, s Send)
	Answer(status int, h http.Header) Answer
}

// Decoder translates the rows that the operator and the upstreams write.
type Decoder interface {
	// Operator tells what a row of the operator means.
	Operator(name string, value []byte) (OperatorRow, error)
	Upstream(now time.Time, name string, value []byte) (entry.Upstream, error)
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
