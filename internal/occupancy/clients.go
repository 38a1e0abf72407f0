package occupancy

import (
	"cmp"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"bluebellhold/id"
	"bluebellhold/internal/memory"
)

// Door is the kind of an address that clients connect to.
type Door int

// The kinds of addresses.
const (
	// Callers is for the requests of callers.
	Callers Door = iota
	// Control is for readiness, look-ups, metrics, operators and other instances, for which some places stay free.
	Control
)

const (
	defaultDescriptors = 1 << 16
	// clientParts is the part of the descriptors that clients may use: each request needs one towards an upstream too.
	clientParts = 2
	// controlParts is the part of the clients' descriptors that callers leave free.
	controlParts = 16
	// minClients is the number of clients for which there is always room.
	minClients = 16
	// leavingParts is the part of the clients that may be told why they are evicted before their connections are closed.
	leavingParts = 8
	// maxVictims bounds the clients that are chosen at a time for eviction.
	maxVictims = 32
	// scanInterval is the time between two searches for stalled clients while there are none.
	scanInterval = 20 * time.Millisecond
	// logInterval is the least time between two lines of the log.
	logInterval = time.Second
	// connectionBytes is the memory that an open connection takes: its goroutine, its buffers and its state.
	connectionBytes = id.Bytes(24 << 10)
)

// Config configures Clients.
type Config struct {
	// Memory counts the memory.
	Memory *memory.Memory
	// Descriptors are those that the process may open; zero means 65,536.
	Descriptors int
	// Registry receives the metrics; nil means a private registry.
	Registry metrics.Registry
	// Log receives lines about clients that had to make room; nil discards them.
	Log *log.Logger
}

// Clients are the clients of a process. They are safe for concurrent use.
type Clients struct {
	memory  *memory.Memory
	log     *log.Logger
	start   time.Time
	most    [2]int
	evicted metrics.Counter
	refused metrics.Counter
	current metrics.Gauge

	mu   sync.Mutex
	open map[*Client]struct{}
	// callers is the number of open clients at callers' addresses, and leaving that of clients that are being told why they are
	// evicted.
	callers, leaving int
	// queues are the clients that were chosen for eviction, by the need.
	queues [2]queue
	// nextLog is the earliest time of the next line of the log.
	nextLog time.Duration
}

// need is what another client needs room for.
type need int

const (
	// forConnection is a descriptor, for which any client that does not run makes room.
	forConnection need = iota
	// forMemory is memory, for which clients make room that have stalled within a request.
	forMemory
)

// isMet reports whether a client that has made no progress for a time makes room for the need.
func (n need) isMet(s stamp, delay float64) bool {
	if n == forConnection {
		return delay >= 0
	}
	switch s.phase() {
	case Head, Body, Response, Closing:
		return delay >= 1
	}
	return false
}

// queue holds clients that were chosen for eviction, the next one last, at chosenAt since the start.
type queue struct {
	victims  []victim
	chosenAt time.Duration
}

// victim is a client with what it did when it was chosen.
type victim struct {
	client *Client
	stamp  stamp
	delay  float64
}

// New returns the clients of a process, of which there are none yet.
func New(c Config) *Clients {
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	if c.Log == nil {
		c.Log = log.New(io.Discard)
	}
	if c.Descriptors == 0 {
		c.Descriptors = defaultDescriptors
	}
	most := max(c.Descriptors/clientParts, minClients)
	clients := &Clients{
		memory: c.Memory, log: c.Log, start: time.Now(), most: [2]int{Callers: most - most/controlParts, Control: most},
		evicted: metrics.GetOrRegisterCounter("clients.evicted", c.Registry),
		refused: metrics.GetOrRegisterCounter("clients.refused", c.Registry),
		current: metrics.GetOrRegisterGauge("clients.open", c.Registry),
		open:    make(map[*Client]struct{}),
	}
	clients.queues[forMemory].chosenAt = -scanInterval
	c.Memory.OnShort(clients.Relieve)
	return clients
}

// NewClient returns a client that has connected, for Open. evict ends it unless it has made progress meanwhile, reports whether it
// did, and must not block; if isPolite is set, it may first tell the client why. NewClient returns nil for nil Clients, which
// count nothing.
func (c *Clients) NewClient(door Door, evict func(isPolite bool) bool) *Client {
	if c == nil {
		return nil
	}
	client := &Client{clients: c, door: door, evict: evict}
	client.Enter(Unused)
	return client
}

// admit adds a client, for which others may be evicted, and reports whether there was room.
func (c *Clients) admit(client *Client) bool {
	for {
		among, ok := c.add(client)
		if ok {
			break
		}
		if !c.evictOne(among, forConnection) {
			return false
		}
	}
	// The descriptors bound what connections take. If memory is short, the requests on them are refused.
	if !c.memory.TryHoldClient(connectionBytes) {
		c.evictOne(Control, forMemory)
		c.memory.ChargeClient(connectionBytes)
	}
	return true
}

// add adds a client if there is a descriptor for it. Otherwise, it returns the addresses among whose clients one is to make room:
// Control for all of them.
func (c *Clients) add(client *Client) (among Door, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.open)-c.leaving >= c.most[Control]:
		return Control, false
	case client.door == Callers && c.callers-c.leaving >= c.most[Callers]:
		return Callers, false
	}
	c.open[client] = struct{}{}
	if client.door == Callers {
		c.callers++
	}
	c.current.Update(int64(len(c.open)))
	return 0, true
}

// remove ends the counting of a client's descriptor.
func (c *Clients) remove(client *Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.open[client]; !ok {
		return
	}
	delete(c.open, client)
	if client.door == Callers {
		c.callers--
	}
	if client.isLeaving {
		c.leaving--
	}
	c.current.Update(int64(len(c.open)))
}

// Relieve evicts a client that has stalled within a request, since something is short that it occupies, and reports whether there
// was one.
func (c *Clients) Relieve() bool { return c.evictOne(Control, forMemory) }

// evictOne evicts the client that has made no progress for the longest time, measured by what its phase allows, and reports whether
// there was one. Among callers, it evicts a caller.
func (c *Clients) evictOne(among Door, n need) bool {
	for range maxVictims {
		client, isPolite := c.takeVictim(among, n)
		if client == nil {
			return false
		}
		if client.evict(isPolite) {
			c.evicted.Inc(1)
			c.logShort()
			return true
		}
		c.spare(client)
	}
	return false
}

// logShort logs, at most once per logInterval, that there is no room for all clients.
func (c *Clients) logShort() {
	c.mu.Lock()
	now, open := c.now(), len(c.open)
	isDue := now >= c.nextLog
	if isDue {
		c.nextLog = now + logInterval
	}
	c.mu.Unlock()
	if isDue {
		c.log.Warn("clients: no room for all", "open", open, "most", c.most[Control], "evicted", c.evicted.Count(),
			"refused", c.refused.Count())
	}
}

// spare counts a client again that was not evicted.
func (c *Clients) spare(client *Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	client.isEvicted = false
	if client.isLeaving {
		client.isLeaving = false
		c.leaving--
	}
}

// takeVictim returns the client to evict, and whether it may be told why. It counts it as leaving in that case.
func (c *Clients) takeVictim(among Door, n need) (client *Client, isPolite bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v, ok := c.popVictim(among, n)
	if now := c.now(); !ok && (n == forConnection || now-c.queues[n].chosenAt >= scanInterval) {
		c.chooseVictims(now, among, n)
		v, ok = c.popVictim(among, n)
	}
	if !ok {
		return nil, false
	}
	client = v.client
	client.isEvicted = true
	isPolite = v.stamp.phase() == Body && c.leaving < len(c.open)/leavingParts+1
	if isPolite {
		client.isLeaving = true
		c.leaving++
	}
	return client, isPolite
}

// popVictim returns the next one of the chosen clients that has made no progress since. The caller holds mu.
func (c *Clients) popVictim(among Door, n need) (victim, bool) {
	q := &c.queues[n]
	for len(q.victims) > 0 {
		v := q.victims[len(q.victims)-1]
		q.victims = q.victims[:len(q.victims)-1]
		if c.mayEvict(v.client, among) && v.client.load() == v.stamp {
			return v, true
		}
	}
	return victim{}, false
}

// mayEvict reports whether a client can be evicted in its turn. The caller holds mu.
func (c *Clients) mayEvict(client *Client, among Door) bool {
	_, isOpen := c.open[client]
	return isOpen && !client.isEvicted && (among == Control || client.door == Callers)
}

// chooseVictims chooses the clients that have made no progress for the longest time. The caller holds mu.
func (c *Clients) chooseVictims(now time.Duration, among Door, n need) {
	all := make([]victim, 0, len(c.open))
	for client := range c.open {
		s := client.load()
		if delay := s.delay(now); c.mayEvict(client, among) && n.isMet(s, delay) {
			all = append(all, victim{client, s, delay})
		}
	}
	slices.SortFunc(all, func(a, b victim) int { return cmp.Compare(a.delay, b.delay) })
	c.queues[n] = queue{append(c.queues[n].victims[:0], all[max(len(all)-maxVictims, 0):]...), now}
}

// now returns the time since the start of the count.
func (c *Clients) now() time.Duration { return time.Since(c.start) }
