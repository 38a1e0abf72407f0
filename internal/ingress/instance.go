package ingress

import (
	"context"
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"bluebellhold/id"
	"bluebellhold/internal/drain"
	"bluebellhold/internal/entry"
	"bluebellhold/internal/memory"
	"bluebellhold/internal/occupancy"
	"bluebellhold/internal/tcp"
)

const (
	// readHeaderTimeout and maxIdleTimeout exceed what any operator's document allows, so that callers within their
	// limits are never disconnected. maxIdleTimeout also caps the idle time of connections to upstreams.
	readHeaderTimeout = 10 * time.Second
	maxIdleTimeout    = 75 * time.Second
	// maxHeaderBytes is the largest header that is read; the limit of the operator's document is checked afterwards.
	maxHeaderBytes = 64 << 10
	// controlTimeout bounds the time of a request for readiness, a look-up or metrics, from its first byte to the end of its
	// response.
	controlTimeout = 10 * time.Second
	// keepAliveInterval is the idle time and the interval of the TCP keep-alive probes, which detect callers that
	// disappeared without closing their connection.
	keepAliveInterval = 5 * time.Second
)

// Instance is one instance of the fleet. It is safe for concurrent use.
type Instance struct {
	config        Config
	startTime     int64
	startedAt     time.Time
	log           *log.Logger
	registry      metrics.Registry
	callerMetrics callerMetrics
	requestLog    *requestLog

	// tables are the followed tables of the store by name.
	tables    map[string]*relayedTable
	documents *documents
	sessions  sessions

	// mu guards the fields up to clockOffset, and abortAttempt and cancelled of each exchange.
	mu         sync.Mutex
	state      *entry.State
	exchanges  map[id.Request]*exchange
	timer      *time.Timer
	nextTickAt time.Time
	// clockOffset is how far the time of day has moved against the steady clock since the start.
	clockOffset time.Duration

	pool          *pool
	lastRequestID atomic.Uint64
	// memory counts the bodies and responses of callers' requests, and clients all connections that are accepted.
	memory     *memory.Memory
	clients    *occupancy.Clients
	isStopping atomic.Bool
	// stopRequestedAt is set before isStopping.
	stopRequestedAt time.Time
	// bodiesEnded ends, by endBodies, when a stop gives up the bodies that have not arrived whole.
	bodiesEnded context.Context
	endBodies   context.CancelFunc
	// heartbeatRequested triggers a heartbeat ahead of schedule.
	heartbeatRequested chan struct{}
	listeners          []net.Listener
	servers            []*http.Server
	callerServer       *http.Server
	callerConnections  *drain.Connections
	goroutines         sync.WaitGroup
}

// New binds the instance's addresses and returns the instance; Run starts it.
func New(c Config) (*Instance, error) {
	i := newInstance(c)
	return i, i.listen()
}

// newInstance returns an instance that listens on no address.
func newInstance(c Config) *Instance {
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	startedAt := time.Now()
	startTime := startedAt.UnixNano()
	metrics.NewRegisteredFunctionalGauge("log.dropped", c.Registry, func() int64 { return int64(c.Log.Dropped()) })
	i := &Instance{
		startTime:     startTime,
		startedAt:     startedAt,
		config:        c,
		log:           c.Log.Logger(),
		registry:      c.Registry,
		callerMetrics: newCallerMetrics(c.Registry),
		documents:     newDocuments(c.Registry),
		requestLog:    newRequestLog(c.Log),
		state: entry.New(entry.Config{
			Instance: c.Instance, Region: c.Region, DataCentre: c.DataCentre, Address: c.CallerAddress,
			Capacity: c.LinkCapacity, Bounds: c.Bounds, Features: c.Features, Seed: uint64(startTime), StartTime: startTime,
		}),
		exchanges:          make(map[id.Request]*exchange),
		pool:               newPool(c.Registry),
		memory:             memory.New(c.MemoryLimit/payloadMemoryDivisor, c.Registry),
		heartbeatRequested: make(chan struct{}, 1),
		tables:             make(map[string]*relayedTable),
	}
	for _, name := range []string{c.Tables.Operator, c.Tables.Upstreams, c.Tables.Members} {
		i.tables[name] = newRelayedTable(c.Feed, name)
	}
	i.clients = occupancy.New(occupancy.Config{
		Memory: i.memory, Descriptors: c.Descriptors, Registry: c.Registry, Log: i.log,
	})
	i.callerConnections = i.newConnections(occupancy.Callers)
	i.bodiesEnded, i.endBodies = context.WithCancel(context.Background())
	i.timer = time.AfterFunc(time.Hour, i.tick)
	return i
}

// listen binds all addresses.
func (i *Instance) listen() error {
	i.callerServer = &http.Server{
		Handler: http.HandlerFunc(i.serve), IdleTimeout: maxIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: i.httpErrorLog(),
	}
	i.callerConnections.Attach(i.callerServer)
	control := mux.NewRouter()
	control.HandleFunc("/metrics", i.serveMetrics)
	control.HandleFunc("/dump", i.serveDump)
	i.config.RegisterControlHandlers(control, i)
	// The listener for callers must be the first; see stop.
	if err := i.bind(i.config.CallerAddress, i.callerServer); err != nil {
		return err
	}
	i.listeners[0] = i.callerConnections.Listen(i.listeners[0])
	for _, address := range []string{i.config.ReadinessAddress, i.config.LookupAddress, i.config.MetricsAddress} {
		server := &http.Server{
			Handler: control, IdleTimeout: maxIdleTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: i.httpErrorLog(),
			ReadTimeout: controlTimeout, WriteTimeout: controlTimeout,
		}
		connections := i.newConnections(occupancy.Control)
		connections.Attach(server)
		if err := i.bind(address, server); err != nil {
			return err
		}
		last := len(i.listeners) - 1
		i.listeners[last] = connections.Listen(i.listeners[last])
	}
	return nil
}

// newConnections returns the connections of a server at an address of a kind.
func (i *Instance) newConnections(door occupancy.Door) *drain.Connections {
	return drain.New(drain.Config{
		HeadTimeout: readHeaderTimeout, IdleTimeout: maxIdleTimeout, Clients: i.clients, Door: door,
		HoldsWrites: door == occupancy.Control, Refusal: refusalBody(entry.CodeOverloaded),
	})
}

// httpErrorLog returns the log for errors of HTTP servers, such as panics of handlers; by default they go to standard
// error, where a write may block.
func (i *Instance) httpErrorLog() *stdlog.Logger {
	return i.log.StandardLog(log.StandardLogOptions{ForceLevel: log.ErrorLevel})
}

func (i *Instance) bind(address string, server *http.Server) error {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 3},
		Control: func(_, _ string, raw syscall.RawConn) error {
			if err := tcp.LimitBuffers(raw, drain.BufferBytes); err != nil {
				i.log.Warn("instance: the kernel's buffers are not limited", "address", address, "error", err)
			}
			return nil
		},
	}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		i.close()
		return &ListenError{Address: address, Cause: err}
	}
	i.listeners = append(i.listeners, listener)
	i.servers = append(i.servers, server)
	return nil
}

// Run serves until ctx ends and then stops gracefully.
func (i *Instance) Run(ctx context.Context) error {
	for n, server := range i.servers {
		i.goroutines.Go(func() {
			err := server.Serve(i.listeners[n])
			if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				i.log.Error("instance: HTTP server stopped unexpectedly",
					"address", i.listeners[n].Addr().String(), "error", err)
			}
		})
	}
	followCtx, stopFollowing := context.WithCancel(context.Background())
	defer stopFollowing()
	f := newFollower(i)
	f.start(followCtx)
	i.goroutines.Go(func() { i.logSummaries(followCtx) })
	i.goroutines.Go(func() { i.sweepConnections(followCtx) })
	i.tick()
	i.log.Info("instance: started", "instance", i.config.Instance, "callers", i.config.CallerAddress)
	<-ctx.Done()
	i.log.Info("instance: stopping")
	i.stop()
	stopFollowing()
	i.sessions.close()
	i.close()
	i.goroutines.Wait()
	i.log.Info("instance: stopped")
	return nil
}

// summaryInterval is the time between two summaries in the log.
const summaryInterval = 5 * time.Second

// logSummaries periodically logs a summary of the state.
func (i *Instance) logSummaries(ctx context.Context) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		i.mu.Lock()
		dump := i.state.Dump(time.Now())
		i.mu.Unlock()
		i.log.Info("instance: summary", "version", dump.Version, "members", len(dump.Members), "counts", dump.Counts,
			"unreached", dump.Uplink.Unreached, "connected", dump.Uplink.ConnectedAge, "answered", dump.Uplink.AnsweredAge)
		for name, service := range dump.Services {
			i.log.Info("instance: service", "service", name, "waiting", service.QueueLength, "upstreams", service.Upstreams,
				"classes", service.Routes)
			if service.Load != nil {
				i.log.Info("even: load", "service", name, "means", service.Load.Means, "group", service.Load.Group,
					"room", service.Load.Room, "counts", service.Load.Counts, "busiest", service.Load.Busiest)
			}
		}
	}
}

const (
	// acceptGraceFraction is the fraction of the grace period during which a stopping instance still accepts
	// connections, since callers cache the result of a look-up for some seconds.
	acceptGraceFraction = 0.45
	// cutoffGraceFraction is the fraction of the grace period after which requests still in flight are cut off, and
	// endGraceFraction that after which the connections are closed. The responses to what was cut off are sent in between, for
	// which there is at least minEndMargin.
	cutoffGraceFraction = 0.95
	endGraceFraction    = 0.98
	// maxAnswerMargin is the time before the cut-off at which upstreams should have answered: a round trip between regions.
	// maxBodyMargin is the time before the cut-off at which bodies that have not arrived whole are given up; net/http waits
	// for the caller of such a request before it closes the connection. Both are at most marginGraceFraction of the grace
	// period.
	minEndMargin        = 50 * time.Millisecond
	maxAnswerMargin     = 200 * time.Millisecond
	maxBodyMargin       = 600 * time.Millisecond
	marginGraceFraction = 0.1
)

// stop removes the instance from look-ups and readiness, keeps accepting connections while callers may have its address
// cached, and then waits for the requests in flight and for those of other instances that use its connections to upstreams.
func (i *Instance) stop() {
	grace := i.config.Bounds.GracePeriod
	after := func(fraction float64) time.Time {
		return i.stopRequestedAt.Add(time.Duration(fraction * float64(grace)))
	}
	margin := time.Duration(marginGraceFraction * float64(grace))
	i.stopRequestedAt = time.Now()
	cutoff, end := after(cutoffGraceFraction), after(endGraceFraction)
	if latest := end.Add(-minEndMargin); latest.Before(cutoff) {
		cutoff = latest
	}
	i.isStopping.Store(true)
	i.Post(entry.StopRequested{AnswerBy: cutoff.Add(-min(maxAnswerMargin, margin)), EndAt: cutoff})
	i.requestHeartbeat()
	endBodies := time.AfterFunc(time.Until(cutoff.Add(-min(maxBodyMargin, margin))), i.endBodies)
	defer endBodies.Stop()
	time.Sleep(time.Until(after(acceptGraceFraction)))
	if err := i.listeners[0].Close(); err != nil {
		i.log.Warn("instance: closing the callers' listener failed", "error", err)
	}
	for time.Now().Before(end) && (i.callerConnections.CloseQuiet().Total() > 0 || i.sessions.servedTunnels() > 0) {
		time.Sleep(closeQuietInterval)
	}
	left, tunnels := i.callerConnections.CloseQuiet(), i.sessions.servedTunnels()
	if left.Total() > 0 || tunnels > 0 {
		i.log.Warn("instance: connections closed at the end of the grace period",
			"quiet", left.Quiet, "partial", left.Partial, "active", left.Active, "tunnels", tunnels)
	}
	i.logCutOff()
}

// logCutOff logs the requests whose connections the stop closes.
func (i *Instance) logCutOff() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, x := range i.exchanges {
		i.requestLog.logCutOff(x, i.stopRequestedAt)
	}
}

// closeQuietInterval is how often a stopping instance closes connections on which nothing has arrived.
const closeQuietInterval = 20 * time.Millisecond

// close immediately closes the servers, the listeners and the idle connections to upstreams.
func (i *Instance) close() {
	for _, server := range i.servers {
		_ = server.Close()
	}
	for _, listener := range i.listeners {
		_ = listener.Close()
	}
	i.timer.Stop()
	i.endBodies()
	i.pool.close()
}

// Post passes an event to the reducer and applies the effects, none of which blocks.
func (i *Instance) Post(e entry.Event) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := time.Now()
	if i.hasMissedTime(now) {
		i.log.Warn("instance: suspended, or the time of day was set")
		i.reduce(now, entry.Suspended{})
	}
	i.reduce(now, e)
	i.scheduleTick(now)
}

// reduce passes an event to the reducer and applies the effects. The caller holds mu.
func (i *Instance) reduce(now time.Time, e entry.Event) {
	for _, effect := range i.state.Reduce(now, e) {
		i.applyEffect(effect)
	}
}

// maxClockStep is the change of the time of day against the steady clock above which the process may have been
// suspended, which the steady clock does not count. Corrections of a running clock are far smaller.
const maxClockStep = 250 * time.Millisecond

// hasMissedTime reports whether the time of day has moved against the steady clock since the last call. The caller
// holds mu.
func (i *Instance) hasMissedTime(now time.Time) bool {
	offset := now.Round(0).Sub(i.startedAt.Round(0)) - now.Sub(i.startedAt)
	if step := offset - i.clockOffset; step.Abs() < maxClockStep {
		return false
	}
	i.clockOffset = offset
	return true
}

// applyEffect executes an effect that concerns other instances, or passes it to the exchange that it belongs to. The
// caller holds mu.
func (i *Instance) applyEffect(effect entry.Effect) {
	switch e := effect.(type) {
	case entry.Send:
		i.sessions.send(e.To, encodeMessage(e.Message))
		return
	case entry.SetContacts:
		i.sessions.setContacts(e.Contacts)
		return
	case entry.CoordinatorChanged:
		i.log.Info("group: coordinator changed", "from", e.Previous, "to", e.Current, "members", e.Members)
		i.wakeTables()
		return
	case entry.PlanChanged:
		i.log.Info("plan: changed", "service", e.Service, "shares", e.Shares, "far", e.Far, "demand", e.Inputs.Demand,
			"forecast", e.Inputs.Forecast, "capacity", e.Inputs.Capacity, "away", e.Inputs.Away,
			"reporting", e.Inputs.Reporting, "age", e.Inputs.Age)
		return
	case entry.Probe:
		go i.probeUpstream(e)
		return
	case entry.UpstreamLeaving:
		i.logLeaving(e)
		return
	case entry.CutOffChanged:
		i.noteCutOff(e)
		return
	case entry.UplinkChanged:
		i.handleUplinkChange(e)
		return
	}
	e, ok := effect.(entry.RequestEffect)
	if !ok {
		return
	}
	x := i.exchanges[e.RequestID()]
	if x == nil {
		return
	}
	switch effect.(type) {
	case entry.Cancel:
		x.cancel()
		return
	case entry.Interrupt:
		x.interrupt(interruptedUnreached)
		return
	case entry.Abandon:
		x.interrupt(interruptedSlow)
		return
	case entry.EndAttempt:
		x.interrupt(interruptedStopped)
		return
	}
	x.effects <- e
}

// logLeaving logs that an upstream gets no more requests. The caller holds mu.
func (i *Instance) logLeaving(e entry.UpstreamLeaving) {
	var attemptID string
	if x := i.exchanges[e.Request]; x != nil {
		attemptID = x.callerHeaders.AttemptID
	}
	i.log.Info("upstreams: no more requests to one that says it is leaving", "upstream", e.Upstream, "id", attemptID, "from", e.From)
}

// requestHeartbeat triggers a heartbeat ahead of schedule; at most one request is pending.
func (i *Instance) requestHeartbeat() {
	select {
	case i.heartbeatRequested <- struct{}{}:
	default:
		// A heartbeat is already requested.
	}
}

// scheduleTick sets the timer for the reducer's next tick. The caller holds mu.
func (i *Instance) scheduleTick(now time.Time) {
	next := i.state.NextTick(now)
	if next.IsZero() || now.Before(i.nextTickAt) && !next.Before(i.nextTickAt) {
		return
	}
	i.nextTickAt = next
	i.timer.Reset(next.Sub(now))
}

func (i *Instance) tick() {
	i.Post(entry.Tick{})
}

// ListenError reports an address that the instance cannot listen on.
type ListenError struct {
	Address string
	Cause   error
}

// Error returns the address and the cause.
func (e *ListenError) Error() string {
	return "ingress: cannot listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
