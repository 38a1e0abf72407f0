package balance

import (
	"math/rand/v2"
	"time"

	"bluebellhold/id"
)

// Config sets the policy of a Chooser; zero fields take their defaults.
type Config struct {
	Seed uint64
	// SlowStart is the time in which the weight of a new or returning upstream rises to 1, 10 s by default.
	SlowStart time.Duration
	// PanicThreshold is the fraction of unhealthy upstreams above which health is ignored, 0.5 by default.
	PanicThreshold float64
	// LoadHalfLife is the half-life of load reports, 1 s by default.
	LoadHalfLife time.Duration
	// OutcomeHalfLife is the half-life of an upstream's error rate, 5 s by default.
	OutcomeHalfLife time.Duration
	// HeadroomFloor is the fraction of an upstream's slots up to which Headroom counts free slots as spare without a
	// fresh report, 0.1 by default.
	HeadroomFloor float64
	// ConsecutiveFailures is the number of consecutive failures that make an upstream unhealthy, 5 by default.
	ConsecutiveFailures int
	// BaseEjectionTime is the duration of a first ejection, 1 s by default. It doubles with each consecutive one, up to
	// MaxEjectionTime, 60 s by default.
	BaseEjectionTime time.Duration
	MaxEjectionTime  time.Duration
	// ProbeInterval is the time without an outcome after which an upstream is probed, 30 s by default. It is long because
	// a probe costs an upstream 6 ms and every instance sends probes.
	ProbeInterval time.Duration
}

func (c Config) withDefaults() Config {
	setDuration := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	setDuration(&c.SlowStart, 10*time.Second)
	setDuration(&c.LoadHalfLife, time.Second)
	setDuration(&c.OutcomeHalfLife, 5*time.Second)
	setDuration(&c.BaseEjectionTime, time.Second)
	setDuration(&c.MaxEjectionTime, time.Minute)
	setDuration(&c.ProbeInterval, 30*time.Second)
	if c.PanicThreshold <= 0 {
		c.PanicThreshold = 0.5
	}
	if c.HeadroomFloor <= 0 {
		c.HeadroomFloor = 0.1
	}
	if c.ConsecutiveFailures <= 0 {
		c.ConsecutiveFailures = 5
	}
	return c
}

// Upstream is the configuration of one upstream of the service.
type Upstream struct {
	ID         id.Upstream
	Region     id.Region
	DataCentre id.DataCentre
	Slots      id.Slots
	Draining   bool
}

// Chooser holds one instance's state of the upstreams of one service.
type Chooser struct {
	config           Config
	random           *rand.Rand
	upstreams        map[id.Upstream]*upstream
	configured       []*upstream // in the order of the configuration
	regions          map[id.Region]*region
	panicMode        bool
	nextReview       time.Time // when the next unhealthy period or rest ends; zero if there is none
	pendingExclusive *upstream // chosen by the last call for an exclusive request
	probeCursor      int       // index in configured of the upstream last considered for a probe

	generation int // counts the calls of SetUpstreams
}

// New returns a chooser without upstreams.
func New(c Config) *Chooser {
	return &Chooser{
		config:    c.withDefaults(),
		random:    rand.New(rand.NewPCG(c.Seed, 0)),
		upstreams: make(map[id.Upstream]*upstream),
		regions:   make(map[id.Region]*region),
	}
}

// upstream is the state of one upstream.
type upstream struct {
	Upstream
	region   *region
	index    int // in the region's members
	removed  bool
	inFlight int

	generation   int  // of the last configuration that lists it
	exclusive    bool // an exclusive request runs
	slowStartEnd time.Time
	restUntil    time.Time // end of the rest that it asked for; zero if it does not rest
	health       health
	load         load
}

// acceptsNew reports whether the configuration, and u itself, allow new requests on u.
func (u *upstream) acceptsNew() bool {
	return !u.Draining && !u.removed && u.restUntil.IsZero()
}

// limit is the maximum number of requests that this instance may run on u.
func (u *upstream) limit() int {
	if u.load.slots > 0 {
		return int(min(u.Slots, u.load.slots))
	}
	return int(u.Slots)
}

// SetUpstreams replaces the configured upstreams.
//
// Requests that run on an upstream that is draining or no longer in the list are not affected. Upstreams that are added
// or end their drain after the first call have cold caches and get a slow start.
func (c *Chooser) SetUpstreams(now time.Time, list []Upstream) {
	cold := len(c.upstreams) > 0
	c.generation++
	previous := c.configured
	c.configured = make([]*upstream, 0, len(list))
	for _, configured := range list {
		if u, first := c.applyConfig(now, configured, cold); first {
			c.configured = append(c.configured, u)
		}
	}
	for _, u := range previous {
		if u.generation != c.generation {
			u.removed, u.health.ejected = true, false
			c.updatePartition(u)
			c.deleteIfDrained(u)
		}
	}
	c.reviewHealth(now)
}

// applyConfig applies one entry of the list; first is false if an earlier entry has the same upstream.
func (c *Chooser) applyConfig(now time.Time, configured Upstream, cold bool) (u *upstream, first bool) {
	u = c.upstreams[configured.ID]
	returning := u == nil || !u.acceptsNew()
	if u == nil {
		u = &upstream{}
		u.health.lastOutcome = now
		c.upstreams[configured.ID] = u
	}
	first = u.generation != c.generation
	c.removeFromRegion(u)
	u.Upstream, u.generation, u.removed = configured, c.generation, false
	c.addToRegion(u)
	if cold && returning && u.acceptsNew() {
		u.slowStartEnd = now.Add(c.config.SlowStart)
	}
	return u, first
}

// deleteIfDrained deletes an upstream that is no longer configured and has no requests in flight.
func (c *Chooser) deleteIfDrained(u *upstream) {
	if u.removed && u.inFlight == 0 {
		c.removeFromRegion(u)
		delete(c.upstreams, u.ID)
	}
}

// InFlight returns the number of requests of this instance that are in flight on an upstream.
func (c *Chooser) InFlight(name id.Upstream) int {
	if u := c.upstreams[name]; u != nil {
		return u.inFlight
	}
	return 0
}
