package bluebellhold

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"bluebellhold/id"
	"bluebellhold/internal/gateway"
	"bluebellhold/internal/operator"
	"bluebellhold/internal/peer"
	"bluebellhold/internal/settings"
	"bluebellhold/internal/steering"
	"bluebellhold/internal/wire"
)

const (
	tickEvery         = 20 * time.Millisecond
	gaugeEvery        = time.Second
	probeTimeout      = time.Second
	headerTimeout     = 10 * time.Second
	callerIdleTimeout = 2 * time.Minute
	shutdownTimeout   = 30 * time.Second
	// longestRequest is above the longest deadline that a caller can set, so a planned stop cuts no request.
	longestRequest = 11 * time.Minute
	reportsKept    = 1024
)

// Instance is one entry instance. It is safe for concurrent use.
type Instance struct {
	config   Config
	gauges   gauges
	log      *log.Logger
	registry metrics.Registry

	// m guards the state and the maps of those who wait for its effects.
	m        sync.Mutex
	state    *steering.State
	watchers map[id.Request]chan<- steering.RequestEffect
	replies  map[steering.ProposalID]chan<- steering.Reply

	tickets  atomic.Uint64
	node     *peer.Transport
	gateway  *gateway.Gateway
	probes   *http.Client
	callers  *server
	operator *server
	reports  chan steering.Log
	stopped  chan struct{}
	cuts     cuts
	ctx      context.Context
	cancel   context.CancelFunc
	work     sync.WaitGroup
}

// New binds the instance's addresses and returns an instance that Run starts.
func New(c Config) (*Instance, error) {
	if err := c.check(); err != nil {
		return nil, err
	}
	if c.Log == nil {
		c.Log = log.New(io.Discard)
	}
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	if c.MaxHeader == 0 {
		c.MaxHeader = settings.DefaultHeader
	}
	if c.Incarnation == 0 {
		c.Incarnation = id.Incarnation(time.Now().UnixNano())
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		config:   c,
		log:      c.Log,
		registry: c.Registry,
		state: steering.New(steering.Config{
			Self: c.Self, Incarnation: c.Incarnation, Seed: uint64(c.Incarnation), QueueClassLimit: c.QueueClassLimit,
		}),
		watchers: make(map[id.Request]chan<- steering.RequestEffect),
		replies:  make(map[steering.ProposalID]chan<- steering.Reply),
		probes:   &http.Client{Timeout: probeTimeout},
		gauges:   newGauges(c.Registry),
		reports:  make(chan steering.Log, reportsKept),
		stopped:  make(chan struct{}),
		ctx:      ctx,
		cancel:   cancel,
	}
	i.gateway = gateway.New(gateway.Config{
		Engine: i, Log: c.Log.WithPrefix("gateway"), Registry: c.Registry, MaxBody: c.MaxBody,
		MaxClaimedBody: c.MaxClaimedBody,
	})
	if err := i.listen(); err != nil {
		i.close()
		return nil, err
	}
	return i, nil
}

// listen binds the addresses of callers, operators and peers.
func (i *Instance) listen() error {
	var err error
	i.callers, err = newServer(i.config.Self.Caller, i.gateway, i.config.CallerTLS, i.config.MaxHeader)
	if err != nil {
		return err
	}
	api := operator.New(operator.Config{
		Backend: backend{i}, Token: settings.NewSecret(i.config.Token), Registry: i.registry, Log: i.log.WithPrefix("operator"),
	})
	i.operator, err = newServer(i.config.Operator, i.withFaultHooks(api), i.config.OperatorTLS, i.config.MaxHeader)
	if err != nil {
		return err
	}
	i.node, err = peer.New(peer.Config{
		Self:         i.config.Self.Instance,
		Incarnation:  i.config.Incarnation,
		Listen:       i.config.Self.Peer,
		Secret:       i.config.Secret,
		Certificates: i.config.PeerCertificates,
		Log:          i.log.WithPrefix("peer"),
		Registry:     i.registry,
		OnMessage:    i.receive,
		IsBlocked:    i.cuts.isCut,
	})
	return err
}

// Run serves until a planned stop is done, and then returns nil, or until ctx ends, and then returns its error.
func (i *Instance) Run(ctx context.Context) error {
	defer i.close()
	i.work.Go(i.logReports)
	i.callers.start(&i.work)
	i.operator.start(&i.work)
	i.log.Info("instance: ready", "instance", i.config.Self.Instance, "callers", i.config.Self.Caller,
		"operator", i.config.Operator, "peer", i.config.Self.Peer)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	gaugeTicker := time.NewTicker(gaugeEvery)
	defer gaugeTicker.Stop()
	for {
		select {
		case <-ticker.C:
			i.Post(steering.Tick{})
		case <-gaugeTicker.C:
			i.updateGauges()
		case <-i.stopped:
			i.log.Info("instance: stopped")
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Shutdown begins a planned stop; Run returns when it is done.
func (i *Instance) Shutdown() {
	i.Post(steering.StopRequested{})
}

// CallerAddress returns the address that callers reach the instance at.
func (i *Instance) CallerAddress() string { return i.callers.address() }

// OperatorAddress returns the address of the operators' API.
func (i *Instance) OperatorAddress() string { return i.operator.address() }

// closeCallers stops taking callers' connections, lets running requests finish and reports that none is left.
func (i *Instance) closeCallers() {
	ctx, cancel := context.WithTimeout(i.ctx, longestRequest)
	defer cancel()
	i.callers.stop(ctx)
	i.Post(steering.CallerConnectionsClosed{})
}

// close ends the servers gracefully, then the sessions and the work for the platform.
func (i *Instance) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	i.callers.stop(ctx)
	i.operator.stop(ctx)
	if i.node != nil {
		i.node.Close()
	}
	i.cancel()
	i.gateway.Close()
	i.work.Wait()
}

// Post reduces an event and carries out its effects, none of which blocks.
func (i *Instance) Post(e steering.Event) {
	i.m.Lock()
	defer i.m.Unlock()
	for _, effect := range i.state.Reduce(time.Now(), e) {
		i.carryOut(effect)
	}
}

// Watch delivers the effects of a request to the channel.
func (i *Instance) Watch(request id.Request, effects chan<- steering.RequestEffect) {
	i.m.Lock()
	defer i.m.Unlock()
	i.watchers[request] = effects
}

// Unwatch ends the delivery for a request.
func (i *Instance) Unwatch(request id.Request) {
	i.m.Lock()
	defer i.m.Unlock()
	delete(i.watchers, request)
}

func (i *Instance) receive(from id.Instance, m *wire.Envelope) {
	i.Post(steering.MessageReceived{From: from, Message: m})
}

// logReports writes the reports of the reducer to the log, outside the mutex because a log can block.
func (i *Instance) logReports() {
	for {
		select {
		case r := <-i.reports:
			i.log.Info(r.Component+": "+r.Message, r.Fields...)
		case <-i.ctx.Done():
			return
		}
	}
}
