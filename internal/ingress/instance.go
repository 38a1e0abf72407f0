package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
)

const (
	// headerTimeout and idleTimeout are above what any operator's document allows callers, so that a caller within
	// its limits is never cut.
	headerTimeout = 10 * time.Second
	idleTimeout   = 75 * time.Second
	// maxHeader is the largest header that is read at all; the document's limit is checked afterwards.
	maxHeader = 64 << 10
	// keepAliveEvery is the pace of the probes that find a caller that has gone without a word.
	keepAliveEvery = 5 * time.Second
)

// Instance is one entry instance. It is safe for concurrent use.
type Instance struct {
	config   Config
	started  int64
	log      *log.Logger
	registry metrics.Registry
	meters   meters
	journal  *journal

	// m guards the state and the exchanges that wait for its effects.
	m         sync.Mutex
	state     *entry.State
	exchanges map[id.Request]*exchange
	timer     *time.Timer
	wakeAt    time.Time

	pool       *pool
	requests   atomic.Uint64
	bodies     atomic.Int64
	isStopping atomic.Bool
	// beatSoon asks for a heartbeat soon.
	beatSoon  chan struct{}
	listeners []net.Listener
	servers   []*http.Server
	callers   *http.Server
	// open are the callers' connections.
	open *connections
	work sync.WaitGroup
}

// New binds the instance's addresses and returns an instance that Run starts.
func New(c Config) (*Instance, error) {
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	started := time.Now().UnixNano()
	i := &Instance{
		started:  started,
		config:   c,
		log:      c.Log,
		registry: c.Registry,
		meters:   newMeters(c.Registry),
		journal:  newJournal(c.Log),
		state: entry.New(entry.Config{
			Instance: c.Instance, Region: c.Region, DataCentre: c.DataCentre, Address: c.Callers, Bounds: c.Bounds,
			Seed: uint64(started), StartTime: started,
		}),
		exchanges: make(map[id.Request]*exchange),
		pool:      newPool(),
		open:      newConnections(),
		beatSoon:  make(chan struct{}, 1),
	}
	i.timer = time.AfterFunc(time.Hour, i.tick)
	return i, i.listen()
}

// listen binds the addresses; several purposes may share one.
func (i *Instance) listen() error {
	i.callers = &http.Server{
		Handler: http.HandlerFunc(i.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader, ConnState: i.open.track,
	}
	control := mux.NewRouter()
	control.HandleFunc("/metrics", i.serveMetrics)
	control.HandleFunc("/dump", i.serveDump)
	i.config.Control(control, i)
	// The callers' server is the first, see stop.
	if err := i.bind(i.config.Callers, i.callers); err != nil {
		return err
	}
	for _, address := range []string{i.config.Readiness, i.config.Lookups, i.config.Metrics} {
		server := &http.Server{Handler: control, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		if err := i.bind(address, server); err != nil {
			return err
		}
	}
	return nil
}

func (i *Instance) bind(address string, server *http.Server) error {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveEvery, Interval: keepAliveEvery, Count: 3,
	}}
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
		i.work.Go(func() {
			err := server.Serve(i.listeners[n])
			if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
				i.log.Error("instance: a server ended", "address", i.listeners[n].Addr().String(), "error", err)
			}
		})
	}
	following, stopFollowing := context.WithCancel(context.Background())
	defer stopFollowing()
	f := newFollower(i)
	f.start(following)
	i.work.Go(func() { i.summarise(following) })
	i.log.Info("instance: started", "instance", i.config.Instance, "callers", i.config.Callers)
	<-ctx.Done()
	i.log.Info("instance: stopping")
	i.stop()
	stopFollowing()
	i.close()
	i.work.Wait()
	i.journal.close()
	i.log.Info("instance: stopped")
	return nil
}

// summaryEvery is the pace of the log lines that sum up what the instance does.
const summaryEvery = 5 * time.Second

// summarise logs the state in short at a fixed pace.
func (i *Instance) summarise(ctx context.Context) {
	ticker := time.NewTicker(summaryEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		i.m.Lock()
		dump := i.state.Dump(time.Now())
		i.m.Unlock()
		i.log.Info("instance: summary", "version", dump.Version, "members", len(dump.Members), "counts", dump.Counts)
		for name, queue := range dump.Services {
			i.log.Info("instance: service", "service", name, "waiting", queue.Waiting, "upstreams", queue.Upstreams,
				"classes", queue.Routes)
		}
	}
}

const (
	// lingerPart is the part of the grace during which a stopping instance still takes new connections, since callers
	// keep the answer of a look-up for some seconds.
	lingerPart = 0.45
	// finishPart is the part of the grace after which the process ends, whatever still runs.
	finishPart = 0.95
)

// stop withdraws the instance from look-ups and readiness, keeps serving while callers still hold its address, and
// then waits for the running requests.
func (i *Instance) stop() {
	end := time.Now().Add(time.Duration(finishPart * float64(i.config.Bounds.GracePeriod)))
	i.isStopping.Store(true)
	i.Post(entry.StopRequested{})
	i.hurry()
	time.Sleep(time.Duration(lingerPart * float64(i.config.Bounds.GracePeriod)))
	// Not http.Server.Shutdown, which would close connections with requests that have arrived.
	if err := i.listeners[0].Close(); err != nil {
		i.log.Warn("instance: the callers' listener did not close", "error", err)
	}
	for time.Now().Before(end) && i.open.closeIdle() > 0 {
		time.Sleep(closeEvery)
	}
	if left := i.open.closeIdle(); left > 0 {
		i.log.Warn("instance: connections cut at the end of the grace", "count", left)
	}
}

// closeEvery is the pace at which a stopping instance looks for connections that have become idle.
const closeEvery = 20 * time.Millisecond

// close ends the servers at once.
func (i *Instance) close() {
	for _, server := range i.servers {
		_ = server.Close()
	}
	for _, listener := range i.listeners {
		_ = listener.Close()
	}
	i.timer.Stop()
	i.pool.close()
}

// Post reduces an event and hands out its effects, none of which blocks.
func (i *Instance) Post(e entry.Event) {
	i.m.Lock()
	defer i.m.Unlock()
	now := time.Now()
	for _, effect := range i.state.Reduce(now, e) {
		i.handOut(effect)
	}
	i.schedule(now)
}

// handOut gives an effect to the exchange that it belongs to; it is called with m held.
func (i *Instance) handOut(effect entry.Effect) {
	if _, ok := effect.(entry.WriteHeartbeat); ok {
		i.hurry()
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
	if _, ok := effect.(entry.Cancel); ok {
		x.cancel()
		return
	}
	x.effects <- e
}

// hurry lets the next heartbeat be written soon.
func (i *Instance) hurry() {
	select {
	case i.beatSoon <- struct{}{}:
	default:
		// One is asked for already.
	}
}

// schedule sets the timer for the state's next tick; it is called with m held.
func (i *Instance) schedule(now time.Time) {
	at := i.state.NextTick(now)
	if at.IsZero() || now.Before(i.wakeAt) && !at.Before(i.wakeAt) {
		return
	}
	i.wakeAt = at
	i.timer.Reset(at.Sub(now))
}

func (i *Instance) tick() {
	i.Post(entry.Tick{})
}

// ListenError reports an address that the instance cannot listen on.
type ListenError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *ListenError) Error() string {
	return "ingress: cannot listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }
