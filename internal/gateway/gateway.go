package gateway

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"bluebellhold/id"
	"bluebellhold/internal/steering"
)

// The defaults of Config.
const (
	DefaultMaxHeader       id.Bytes = 32 << 10
	DefaultMaxBuffered     id.Bytes = 64 << 10
	DefaultMaxClaimedBody  id.Bytes = 1 << 20
	DefaultMaxKeptAnswer   id.Bytes = 1 << 20
	DefaultMaxStreamed     id.Bytes = 1 << 30
	defaultSmallTimeout             = 30 * time.Second
	maximumTimeout                  = 10 * time.Minute
	DefaultStallTimeout             = 10 * time.Second
	drainTimeout                    = 500 * time.Millisecond
	connectTimeout                  = 2 * time.Second
	idleConnectionTimeout           = 60 * time.Second
	connectionsPerUpstream          = 64
	meteredChunk           id.Bytes = 64 << 10
)

// Engine is the instance that reduces events and hands back the effects of each request.
type Engine interface {
	// Post reduces an event and carries out its effects.
	Post(e steering.Event)
	// Watch delivers the effects of a request to the channel until Unwatch; the channel must never block.
	Watch(request id.Request, effects chan<- steering.RequestEffect)
	// Unwatch ends the delivery for a request.
	Unwatch(request id.Request)
	// Lookup answers which instances a caller should use.
	Lookup(q steering.LookupQuery) (steering.LookupAnswer, *steering.Refusal)
}

// Config configures a Gateway; zero limits mean the defaults.
type Config struct {
	Engine   Engine
	Log      *log.Logger
	Registry metrics.Registry
	// MaxBody limits the body of a request that is streamed. The default is DefaultMaxStreamed.
	MaxBody id.Bytes
	// MaxClaimedBody limits the body of a request that may not be repeated. The default is DefaultMaxClaimedBody.
	MaxClaimedBody id.Bytes
	// StallTimeout is how long a caller may send nothing of its body or take nothing of its answer. The default is
	// DefaultStallTimeout.
	StallTimeout time.Duration
}

// Gateway serves callers over HTTP and is safe for concurrent use.
type Gateway struct {
	engine     Engine
	log        *log.Logger
	registry   metrics.Registry
	maxBody    id.Bytes
	maxClaimed id.Bytes
	router     *mux.Router
	transport  *http.Transport
	requests   atomic.Uint64
	leaving    atomic.Bool
	latency    latencies

	stallTimeout time.Duration
}

// New returns a gateway for the engine.
func New(c Config) *Gateway {
	if c.MaxBody == 0 {
		c.MaxBody = DefaultMaxStreamed
	}
	if c.MaxClaimedBody == 0 {
		c.MaxClaimedBody = DefaultMaxClaimedBody
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
	g := &Gateway{
		engine:     c.Engine,
		log:        c.Log,
		registry:   c.Registry,
		maxBody:    c.MaxBody,
		maxClaimed: min(c.MaxClaimedBody, c.MaxBody),
		transport:  newTransport(),
		latency:    latencies{registry: c.Registry},

		stallTimeout: c.StallTimeout,
	}
	g.router = mux.NewRouter().SkipClean(true).UseEncodedPath()
	g.router.HandleFunc("/service/{service}", g.serve)
	g.router.HandleFunc("/service/{service}/{path:.*}", g.serve)
	g.router.HandleFunc("/lookup/{service}", g.lookup).Methods(http.MethodGet)
	g.router.NotFoundHandler = http.HandlerFunc(g.notFound)
	return g
}

// ServeHTTP serves one request; a panic in it ends only this request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer g.recoverPanic(w)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	g.router.ServeHTTP(w, r)
}

// Leave makes each further answer end its connection, so that callers move to other instances before the stop.
func (g *Gateway) Leave() {
	g.leaving.Store(true)
}

// Close closes the idle connections to upstreams.
func (g *Gateway) Close() {
	g.transport.CloseIdleConnections()
}

func (g *Gateway) recoverPanic(w http.ResponseWriter) {
	failure := recover()
	if failure == nil {
		return
	}
	if failure == http.ErrAbortHandler { //nolint:errorlint // net/http compares by identity
		panic(failure)
	}
	g.log.Error("request failed with a panic", "panic", failure)
	writeRefusal(w, steering.Refusal{Code: steering.CodeOutcomeUnknown, Outcome: steering.OutcomeUnknown}, time.Now())
}

func (g *Gateway) notFound(w http.ResponseWriter, _ *http.Request) {
	writeRefusal(w, steering.Refusal{Code: steering.CodeNoRoute, Outcome: steering.NotRun}, time.Now())
}
