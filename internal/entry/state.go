package entry

import (
	"math/rand/v2"
	"time"

	"bluebellhold/id"
)

// Config configures a State.
type Config struct {
	Instance   id.Instance
	Region     id.Region
	DataCentre id.DataCentre
	// Address is where callers reach the instance.
	Address string
	Bounds  Bounds
	Seed    uint64
	// Started tells this process from others of the same name.
	StartTime int64
}

// State is everything that one instance knows and decides with.
//
// It is not safe for concurrent use; the shell reduces one event at a time.
type State struct {
	config Config
	random *rand.Rand
	now    time.Time

	// isConfigured and isListed are set once the document and the upstreams are known.
	isConfigured bool
	isListed     bool
	listedAt     time.Time
	current      Configuration
	hosts        hosts
	upstreams    map[id.Upstream]Upstream
	evacuated    map[id.DataCentre]bool
	members      members
	services     map[id.Service]*service
	// names lists the services in order, so that decisions do not depend on the order of a map.
	names         []id.Service
	organisations map[id.Organisation]*organisation
	splits        map[id.Route]*split
	requests      map[id.Request]*request
	suspects      suspects
	isStopping    bool
	// mustTell is set when a heartbeat is to be written soon, and hasAsked until it has been.
	mustTell, hasAsked bool
	counts             Counts

	out []Effect
}

// organisation is what an instance keeps for one organisation.
type organisation struct {
	holding
	// demand is what callers have asked for, per second.
	demand     demand
	isRestored bool
}

// Counts are totals since the start.
type Counts struct {
	Arrived, Started, Second, Answered, Rejected, Refused, Broken, TimedOut uint64
}

// New returns the state of an instance that has just started and knows nothing.
func New(c Config) *State {
	return &State{
		config:        c,
		random:        rand.New(rand.NewPCG(c.Seed, c.Seed>>1+1)),
		upstreams:     make(map[id.Upstream]Upstream),
		members:       newMembers(c.Instance, c.StartTime),
		services:      make(map[id.Service]*service),
		organisations: make(map[id.Organisation]*organisation),
		splits:        make(map[id.Route]*split),
		requests:      make(map[id.Request]*request),
		suspects:      newSuspects(),
	}
}

// Reduce takes an event at the time now and returns the effects to carry out, in order.
//
// The slice is valid until the next call.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	s.now = now
	s.out = s.out[:0]
	switch e := e.(type) {
	case RequestArrived:
		s.arrive(e)
	case AttemptEnded:
		s.attemptEnded(e)
	case CallerDisconnected:
		s.callerGone(e)
	case Connected:
		s.connected(e)
	case Tick:
		s.tick()
	case ConfigurationRead:
		s.configure(e.Configuration)
	case UpstreamsRead:
		s.list(e.Upstreams)
	case EvacuationsRead:
		s.evacuate(e.DataCentres)
	case MembersRead:
		s.listMembers(e.Members)
	case StopRequested:
		s.isStopping = true
	}
	if s.mustTell {
		s.mustTell = false
		s.emit(WriteHeartbeat{})
	}
	return s.out
}

// IsReady reports whether the instance can serve callers.
func (s *State) IsReady() bool {
	return s.isConfigured && s.isListed && s.members.isJoined && !s.isStopping
}

// HasJoined reports whether the instance holds its parts of the limits.
func (s *State) HasJoined() bool { return s.members.isJoined }

// basis returns what a decision about the request is taken from.
func (s *State) basis(r *request) Diagnostics {
	b := Diagnostics{Version: s.current.Version, Organisation: r.organisation, Attempts: r.sends}
	if r.route != nil {
		b.Route = r.route.ID
	}
	if o := s.organisations[r.organisation]; o != nil {
		b.Spent, b.Limit = o.share.Spent(s.now), o.share.Limit()
	}
	if r.service == nil {
		return b
	}
	b.Service, b.Waiting = r.service.id, r.service.line.Len()
	b.EstimatedWait = r.service.line.EstimateWait(s.now, r.rank)
	b.UpstreamCount, b.UpstreamListAge = r.service.chooser.UpstreamCount(), s.now.Sub(s.listedAt)
	return b
}

// CallerLimits returns what callers may send, and zero values before a configuration is known.
func (s *State) CallerLimits() CallerLimits { return s.current.CallerLimits }

func (s *State) emit(e Effect) { s.out = append(s.out, e) }

// configure puts a document in force unless it is older than the current one.
func (s *State) configure(c Configuration) {
	if s.isConfigured && c.Version <= s.current.Version {
		return
	}
	s.isConfigured = true
	s.current = c
	s.hosts = newHosts(c.Routes)
	s.configureOrganisations()
	s.configureSplits()
	s.placeUpstreams()
	s.restoreHomes()
	s.refuseUnknown()
}

func (s *State) configureOrganisations() {
	for name := range s.organisations {
		if _, ok := s.current.Organisations[name]; !ok {
			delete(s.organisations, name)
		}
	}
	for name := range s.current.Organisations {
		if s.organisations[name] == nil {
			s.organisations[name] = &organisation{}
		}
	}
	s.shareLimits()
}

// list replaces the list of upstreams.
func (s *State) list(upstreams []Upstream) {
	s.isListed, s.listedAt = true, s.now
	before := s.upstreams
	s.upstreams = make(map[id.Upstream]Upstream, len(upstreams))
	for _, u := range upstreams {
		s.upstreams[u.ID] = u
	}
	for name, u := range before {
		if now, ok := s.upstreams[name]; !ok || now.Incarnation != u.Incarnation {
			s.suspects.died(s.now, process(u))
		}
	}
	s.placeUpstreams()
	s.pumpAll()
}

func (s *State) evacuate(dataCentres []id.DataCentre) {
	s.evacuated = make(map[id.DataCentre]bool, len(dataCentres))
	for _, d := range dataCentres {
		s.evacuated[d] = true
	}
	for _, svc := range s.services {
		svc.chooser.SetEvacuated(s.evacuated)
	}
	s.pumpAll()
}

// tick gives up what has waited too long and starts what can start.
func (s *State) tick() {
	for _, name := range s.names {
		svc := s.services[name]
		for _, w := range svc.line.RemoveExpired(s.now) {
			if r := s.requests[w.Request]; r != nil {
				s.refuse(r, s.busy(svc))
			}
		}
	}
	s.pumpAll()
}

// NextTick returns when the next Tick is due, or zero if none is.
func (s *State) NextTick(now time.Time) time.Time {
	for _, name := range s.names {
		if s.services[name].line.Len() > 0 {
			return now.Add(pumpEvery)
		}
	}
	return time.Time{}
}

// pumpEvery is how often waiting requests are looked at besides at each ended attempt, since room also appears when
// other instances finish work.
const pumpEvery = 10 * time.Millisecond
