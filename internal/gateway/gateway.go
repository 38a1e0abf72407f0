package gateway

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"bluebellhold/id"
	"bluebellhold/internal/memory"
	"bluebellhold/internal/steering"
	"bluebellhold/internal/tcp"
	"bluebellhold/internal/uplink"
)

// The defaults of Config and the fixed limits.
const (
	// MaxResponseHeader limits the head of an upstream's response.
	MaxResponseHeader id.Bytes = 32 << 10
	// MaxBufferedBody is the size up to which bodies of requests and responses are read into memory before they are
	// forwarded. For claimed requests DefaultMaxClaimedBody and MaxStoredResponse apply instead.
	MaxBufferedBody       id.Bytes = 64 << 10
	DefaultMaxClaimedBody id.Bytes = 1 << 20
	// MaxStoredResponse limits the body of a response that is stored for replay.
	MaxStoredResponse     id.Bytes = 1 << 20
	DefaultMaxBody        id.Bytes = 1 << 30
	DefaultMaxMemory      id.Bytes = 256 << 20
	defaultRequestTimeout          = 30 * time.Second
	maxRequestTimeout              = 10 * time.Minute
	DefaultStallTimeout            = 10 * time.Second
	// bodyDrainTimeout limits the time for reading the rest of a request body that the response did not need.
	bodyDrainTimeout          = 500 * time.Millisecond
	connectTimeout            = 2 * time.Second
	idleConnectionTimeout     = 60 * time.Second
	maxConnectionsPerUpstream = 64
	// linkReservation is the minimum number of bytes of one TransferRequested event.
	linkReservation id.Bytes = 64 << 10
)

// Engine is the instance that reduces events and returns the effects of each request.
type Engine interface {
	// Post reduces an event and executes its effects.
	Post(e steering.Event)
	// Watch delivers the effects of a request to the channel until Unwatch. The channel must have enough capacity that a
	// send never blocks.
	Watch(request id.Request, effects chan<- steering.RequestEffect)
	// Unwatch stops the delivery for a request.
	Unwatch(request id.Request)
	// Lookup returns the instances that a caller should use.
	Lookup(q steering.LookupQuery) (steering.LookupResult, *steering.Refusal)
}

// Config configures a Gateway; zero limits mean the defaults.
type Config struct {
	Engine   Engine
	Log      *log.Logger
	Registry metrics.Registry
	// OpenTunnel connects to an upstream through another instance; the error is nil or nothing has reached the upstream.
	OpenTunnel func(ctx context.Context, via uplink.Helper, upstream id.Upstream) (tcp.Conn, error)
	// MaxBody limits the body of a request, by default DefaultMaxBody.
	MaxBody id.Bytes
	// MaxClaimedBody limits the body of a non-idempotent request, by default DefaultMaxClaimedBody. MaxBody applies too.
	MaxClaimedBody id.Bytes
	// MaxMemory limits the bodies and responses that are in memory at the same time, by default DefaultMaxMemory. Requests
	// may use five eighths of it.
	MaxMemory id.Bytes
	// Relieve evicts a client that has stalled, since another one waits for a connection to an upstream, and reports whether there
	// was one; nil evicts none.
	Relieve func() bool
	// Memory counts these bodies and responses; nil means a Memory of MaxMemory.
	Memory *memory.Memory
	// StallTimeout limits how long a caller may send no byte of its body or read no byte of the response, by default
	// DefaultStallTimeout.
	StallTimeout time.Duration
}

// Gateway serves callers over HTTP and is safe for concurrent use.
type Gateway struct {
	engine             Engine
	log                *log.Logger
	registry           metrics.Registry
	maxBody            id.Bytes
	maxClaimedBody     id.Bytes
	memory             *memory.Memory
	relieve            func() bool
	router             *mux.Router
	transports         transports
	lastRequestID      atomic.Uint64
	keepAlivesDisabled atomic.Bool
	latency            latencies

	stallTimeout time.Duration
}

// New returns a gateway for the engine.
func New(c Config) *Gateway {
	if c.MaxBody == 0 {
		c.MaxBody = DefaultMaxBody
	}
	if c.MaxClaimedBody == 0 {
		c.MaxClaimedBody = DefaultMaxClaimedBody
	}
	if c.MaxMemory == 0 {
		c.MaxMemory = DefaultMaxMemory
	}
	if c.Log == nil {
		c.Log = log.New(io.Discard)
	}
	if c.StallTimeout == 0 {
		c.StallTimeout = DefaultStallTimeout
	}
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	if c.Relieve == nil {
		c.Relieve = func() bool { return false }
	}
	if c.Memory == nil {
		c.Memory = memory.New(c.MaxMemory, c.Registry)
	}
	g := &Gateway{
		engine:         c.Engine,
		log:            c.Log,
		registry:       c.Registry,
		maxBody:        c.MaxBody,
		maxClaimedBody: min(c.MaxClaimedBody, c.MaxBody),
		transports:     transports{openTunnel: c.OpenTunnel, byKind: make(map[transportKind]*http.Transport)},
		memory:         c.Memory,
		relieve:        c.Relieve,
		latency:        latencies{registry: c.Registry},

		stallTimeout: c.StallTimeout,
	}
	g.router = mux.NewRouter().SkipClean(true).UseEncodedPath()
	g.router.HandleFunc("/service/{service}", g.serve)
	g.router.HandleFunc("/service/{service}/{path:.*}", g.serve)
	g.router.HandleFunc("/lookup/{service}", g.lookup).Methods(http.MethodGet)
	g.router.NotFoundHandler = http.HandlerFunc(g.notFound)
	return g
}

// ServeHTTP serves one request. A panic ends only this request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer g.recoverPanic(w)
	if g.keepAlivesDisabled.Load() {
		w.Header().Set("Connection", "close")
	}
	g.router.ServeHTTP(w, r)
}

// DisableKeepAlives makes each further response close its connection, so that callers move to other instances before a
// planned stop.
func (g *Gateway) DisableKeepAlives() {
	g.keepAlivesDisabled.Store(true)
}

// Close closes the idle connections to upstreams.
func (g *Gateway) Close() {
	g.transports.closeIdle()
}

func (g *Gateway) recoverPanic(w http.ResponseWriter) {
	recovered := recover()
	if recovered == nil {
		return
	}
	if recovered == http.ErrAbortHandler { //nolint:errorlint // net/http compares by identity
		panic(recovered)
	}
	g.log.Error("request failed with a panic", "panic", recovered)
	writeRefusal(w, steering.Refusal{Code: steering.CodeOutcomeUnknown, Outcome: steering.OutcomeUnknown}, time.Now())
}

func (g *Gateway) notFound(w http.ResponseWriter, _ *http.Request) {
	writeRefusal(w, steering.Refusal{Code: steering.CodeNoRoute, Outcome: steering.NotRun}, time.Now())
}
