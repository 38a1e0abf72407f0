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
	"bluebellhold/internal/memory"
	"bluebellhold/internal/occupancy"
	"bluebellhold/internal/operator"
	"bluebellhold/internal/peer"
	"bluebellhold/internal/settings"
	"bluebellhold/internal/steering"
	"bluebellhold/internal/wire"
	"bluebellhold/logwriter"
)

const (
	tickInterval      = 20 * time.Millisecond
	gaugeInterval     = time.Second
	probeTimeout      = time.Second
	readHeaderTimeout = 10 * time.Second
	// operatorTimeout bounds the time of an operator's request: a note may take 30 s.
	operatorTimeout = 40 * time.Second
	idleTimeout     = 2 * time.Minute
	shutdownTimeout = 30 * time.Second
	// callerCloseTimeout exceeds the longest deadline that a caller can set, so that a planned stop aborts no request.
	callerCloseTimeout = 11 * time.Minute
)

// Instance accepts and forwards the requests of callers. It is safe for concurrent use.
type Instance struct {
	config   Config
	metrics  instanceMetrics
	log      *log.Logger
	registry metrics.Registry

	// mu guards state, and the maps of the channels that receive its effects.
	mu        sync.Mutex
	state     *steering.State
	watchers  map[id.Request]chan<- steering.RequestEffect
	proposers map[steering.ProposalID]chan<- steering.Reply

	lastProposalID atomic.Uint64
	transport      *peer.Transport
	gateway        *gateway.Gateway
	clients        *occupancy.Clients
	probeClient    *http.Client
	callerServer   *server
	operatorServer *server
	stopped        chan struct{}
	blockedPeers   blockedPeers
	ctx            context.Context
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup
}

// New listens on the instance's addresses and returns an instance, which serves once Run is called.
func New(c Config) (*Instance, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	if c.Log == nil {
		c.Log = logwriter.New(logwriter.Config{Output: io.Discard})
	}
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	if c.MaxHeader == 0 {
		c.MaxHeader = settings.DefaultMaxHeader
	}
	if c.MaxMemory == 0 {
		c.MaxMemory = settings.DefaultMaxMemory
	}
	if c.Incarnation == 0 {
		c.Incarnation = id.Incarnation(time.Now().UnixNano())
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		config:   c,
		log:      c.Log.Logger(),
		registry: c.Registry,
		state: steering.New(steering.Config{
			Self: c.Self, Incarnation: c.Incarnation, Seed: uint64(c.Incarnation), QueueClassLimit: c.QueueClassLimit,
		}),
		watchers:    make(map[id.Request]chan<- steering.RequestEffect),
		proposers:   make(map[steering.ProposalID]chan<- steering.Reply),
		probeClient: &http.Client{Timeout: probeTimeout},
		metrics:     newInstanceMetrics(c.Registry),
		stopped:     make(chan struct{}),
		ctx:         ctx,
		cancel:      cancel,
	}
	metrics.NewRegisteredFunctionalGauge("log.dropped", c.Registry, func() int64 { return int64(c.Log.Dropped()) })
	counted := memory.New(c.MaxMemory, c.Registry)
	i.clients = occupancy.New(occupancy.Config{
		Memory: counted, Descriptors: c.MaxDescriptors, Registry: c.Registry, Log: i.log,
	})
	i.gateway = gateway.New(gateway.Config{
		Engine: i, Log: i.log.WithPrefix("gateway"), Registry: c.Registry, MaxBody: c.MaxBody,
		MaxClaimedBody: c.MaxClaimedBody, Memory: counted, OpenTunnel: i.openTunnel, Relieve: i.clients.Relieve,
	})
	if err := i.listen(); err != nil {
		i.close()
		return nil, err
	}
	return i, nil
}

// listen opens the listeners for callers, operators and peers.
func (i *Instance) listen() error {
	var err error
	i.callerServer, err = newServer(serverConfig{
		address: i.config.Self.Caller, handler: i.gateway, tls: i.config.CallerTLS, maxHeader: i.config.MaxHeader,
		clients: i.clients, door: occupancy.Callers,
	})
	if err != nil {
		return err
	}
	api := operator.New(operator.Config{
		Backend: backend{i}, Token: settings.NewSecret(i.config.Token), Registry: i.registry, Log: i.log.WithPrefix("operator"),
	})
	i.operatorServer, err = newServer(serverConfig{
		address: i.config.Operator, handler: i.withFaultInjection(api), tls: i.config.OperatorTLS,
		maxHeader: i.config.MaxHeader, clients: i.clients, door: occupancy.Control, timeout: operatorTimeout,
	})
	if err != nil {
		return err
	}
	i.transport, err = peer.New(peer.Config{
		Self:         i.config.Self.Instance,
		Incarnation:  i.config.Incarnation,
		Listen:       i.config.Self.Peer,
		Secret:       i.config.Secret,
		Certificates: i.config.PeerCertificates,
		Log:          i.log.WithPrefix("peer"),
		Registry:     i.registry,
		Clients:      i.clients,
		OnMessage:    i.receive,
		OnTunnel:     i.connectTunnel,
		IsBlocked:    i.blockedPeers.isBlocked,
	})
	return err
}

// Run serves until a planned stop has finished, and then returns nil, or until ctx is done, and then returns its error.
func (i *Instance) Run(ctx context.Context) error {
	defer i.close()
	i.callerServer.start(&i.goroutines)
	i.operatorServer.start(&i.goroutines)
	i.log.Info("instance: ready", "instance", i.config.Self.Instance, "callers", i.config.Self.Caller,
		"operator", i.config.Operator, "peer", i.config.Self.Peer)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	gaugeTicker := time.NewTicker(gaugeInterval)
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

// Shutdown starts a planned stop; Run returns when it has finished.
func (i *Instance) Shutdown() {
	i.Post(steering.StopRequested{})
}

// CallerAddress returns the address that the instance listens on for callers.
func (i *Instance) CallerAddress() string { return i.callerServer.address() }

// OperatorAddress returns the address that the instance listens on for the operators' API.
func (i *Instance) OperatorAddress() string { return i.operatorServer.address() }

// closeCallerConnections stops accepting callers' connections, waits for the requests in flight and for those of other
// instances that use connections to upstreams through this one, and then posts CallerConnectionsClosed.
func (i *Instance) closeCallerConnections() {
	ctx, cancel := context.WithTimeout(i.ctx, callerCloseTimeout)
	defer cancel()
	i.callerServer.shutdown(ctx)
	for ctx.Err() == nil && i.transport.ServedTunnels() > 0 {
		select {
		case <-time.After(closeQuietInterval):
		case <-ctx.Done():
		}
	}
	i.Post(steering.CallerConnectionsClosed{})
}

// close shuts the servers down gracefully, then closes the sessions with peers and cancels the calls of the platform
// and of the upstreams' load endpoints.
func (i *Instance) close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	i.callerServer.shutdown(ctx)
	i.operatorServer.shutdown(ctx)
	if i.transport != nil {
		i.transport.Close()
	}
	i.cancel()
	i.gateway.Close()
	i.goroutines.Wait()
}

// Post reduces an event and executes its effects without blocking on any of them.
func (i *Instance) Post(e steering.Event) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, effect := range i.state.Reduce(time.Now(), e) {
		i.execute(effect)
	}
}

// Watch delivers the effects of a request to the channel until Unwatch.
func (i *Instance) Watch(request id.Request, effects chan<- steering.RequestEffect) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.watchers[request] = effects
}

// Unwatch stops the delivery for a request.
func (i *Instance) Unwatch(request id.Request) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.watchers, request)
}

func (i *Instance) receive(from id.Instance, m *wire.Envelope) {
	i.Post(steering.MessageReceived{From: from, Message: m})
}
