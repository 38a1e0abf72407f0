package entry

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bluebellhold/allotment"
	"bluebellhold/features"
	"bluebellhold/id"
	"bluebellhold/internal/uplink"
)

// Config configures a State.
type Config struct {
	Instance   id.Instance
	Region     id.Region
	DataCentre id.DataCentre
	// Address is where callers reach the instance.
	Address string
	// Capacity is the bandwidth of the instance's link in Mbit/s. The instances with the most capacity coordinate their
	// group, since a coordinator sends each change to all members.
	Capacity int
	Bounds   Bounds
	// Features are the optional parts that the settings call for; the configuration may call for further ones.
	Features features.Set
	Seed     uint64
	// StartTime distinguishes this process from others of the same instance.
	StartTime int64
}

// State is the state of one instance.
//
// It is not safe for concurrent use; package ingress reduces one event at a time.
type State struct {
	config Config
	random *rand.Rand
	now    time.Time

	// isConfigured and hasUpstreams are set once the configuration and the upstreams are known.
	isConfigured       bool
	hasUpstreams       bool
	upstreamsChangedAt time.Time
	configuration      Configuration
	routes             routeTable
	upstreams          map[id.Upstream]Upstream
	// leaving are the upstreams that have said in a response that they leave.
	leaving map[id.Upstream]leavingUpstream
	// anonymous are the upstreams' processes whose latest refusal or unmatched answer named no attempt.
	anonymous map[id.Upstream]id.Incarnation
	// regions are those of the upstreams.
	regions    map[id.Region]bool
	evacuated  map[id.DataCentre]bool
	membership membership
	services   map[id.Service]*service
	// serviceNames is sorted, so that decisions do not depend on the order of a map.
	serviceNames  []id.Service
	organisations map[id.Organisation]*organisation
	splits        map[id.Route]*trafficSplit
	requests      map[id.Request]*request
	crashDetector crashDetector
	uplink        *uplink.Tracker
	// helpers are the instances through which this one reaches the upstreams while it is severed, since severedAt.
	helpers           *uplink.Helpers
	severedAt         time.Time
	nextUplinkCheckAt time.Time
	// nextSlownessCheckAt is when the first attempt in flight may have become too slow; zero if none is watched.
	nextSlownessCheckAt time.Time
	// pendingCrashes are upstreams that could not be reached, which this instance may be at fault for.
	pendingCrashes []pendingCrash
	stopping       stopping
	group          group
	// tokenWaiters are the organisations with requests that wait for a token, or with unanswered requests for tokens.
	tokenWaiters map[id.Organisation]bool
	counts       Counts

	effects []Effect
}

// organisation is the state of one organisation.
type organisation struct {
	limitShare
	// bucket holds the tokens that this instance gives out as a coordinator, and stock those that it was granted as a
	// member.
	bucket allotment.TokenBucket
	stock  tokenStock
	// demand is the rate of requests at this instance, whether they are admitted or not, and groupDemand that of the
	// requests at its members and itself as a coordinator.
	demand, groupDemand decayingRate
	// retryAt is when the next refused request should be retried.
	retryAt time.Time
}

// Counts are totals since the start of the process.
//
// Arrived counts requests, Started attempts and Second retries. Rejected counts attempts that were shed or misdirected,
// and Refused requests that this instance refused. Abandoned counts slow attempts that were broken off, and Unmatched those that ended
// with an answer which may belong to another request. The field names appear in the log line "instance: summary", so
// renaming one changes that line.
type Counts struct {
	Arrived, Started, Second, Answered, Rejected, Refused, Broken, TimedOut, Abandoned, Unmatched uint64
}

// New returns the state of an instance that has just started and has read nothing.
func New(c Config) *State {
	return &State{
		config:        c,
		random:        rand.New(rand.NewPCG(c.Seed, c.Seed>>1+1)),
		upstreams:     make(map[id.Upstream]Upstream),
		leaving:       make(map[id.Upstream]leavingUpstream),
		anonymous:     make(map[id.Upstream]id.Incarnation),
		membership:    newMembership(c.Instance, c.StartTime),
		services:      make(map[id.Service]*service),
		organisations: make(map[id.Organisation]*organisation),
		splits:        make(map[id.Route]*trafficSplit),
		requests:      make(map[id.Request]*request),
		crashDetector: newCrashDetector(),
		uplink:        uplink.New(),
		helpers:       uplink.NewHelpers(c.Instance),
		group:         newGroup(),
		tokenWaiters:  make(map[id.Organisation]bool),
	}
}

// Reduce applies an event at the time now and returns the effects to execute, in order.
//
// The slice is valid until the next call.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	s.now = now
	s.effects = s.effects[:0]
	s.start()
	switch e := e.(type) {
	case RequestArrived:
		s.handleRequestArrived(e)
	case AttemptEnded:
		s.handleAttemptEnded(e)
	case CallerDisconnected:
		s.handleCallerDisconnected(e)
	case Connected:
		s.handleConnected(e)
	case AnonymousResponse:
		s.handleAnonymousResponse(e)
	case ProbeEnded:
		s.recordReach(e.Upstream, e.IsReached)
	case Tick:
		s.handleTick()
	case ConfigurationChanged:
		s.configure(e.Configuration)
	case UpstreamsChanged:
		s.setUpstreams(e.Upstreams)
	case EvacuationsChanged:
		s.setEvacuated(e.DataCentres)
	case MembersRead:
		s.updateMembers(e.Members)
	case GroupsRead:
		s.handleGroupsRead(e.Groups)
	case MessageReceived:
		s.handleMessage(e.From, e.Message)
	case SessionOpened:
		s.handleSessionOpened(e.Instance)
	case SessionClosed:
		s.handleSessionClosed(e.Instance)
	case Suspended:
		s.suspend()
	case StopRequested:
		s.handleStopRequested(e)
	}
	return s.effects
}

// start sets the origin of the instance's clock.
//
// The part of the limits of a restarted process is free at once. If its predecessor lent it, it did so to the same
// coordinator, which counts it once, unless that one has died or been partitioned from this instance meanwhile.
func (s *State) start() {
	if s.group.startedAt.IsZero() {
		s.group.startedAt, s.membership.startedAt = s.now, s.now
	}
}

// handleMessage handles a message of another instance. Messages are input from outside: those that make no sense
// change nothing.
func (s *State) handleMessage(from id.Instance, m PeerMessage) {
	switch m := m.(type) {
	case MemberReport:
		s.handleReport(from, m)
	case CoordinatorBeat:
		s.handleBeat(from, m)
	case TokenRequest:
		s.handleTokenRequest(from, m)
	case TokenGrant:
		s.handleTokenGrant(from, m)
	}
}

// IsReady reports whether the instance can serve callers.
func (s *State) IsReady() bool {
	return s.isConfigured && s.hasUpstreams && s.membership.isJoined && s.group.coordinator != "" && !s.stopping.isRequested
}

// HasJoined reports whether all serving instances divide the fleet-wide bounds with this one.
func (s *State) HasJoined() bool { return s.membership.isJoined }

// diagnostics returns the state that a decision about the request is based on.
func (s *State) diagnostics(r *request) Diagnostics {
	d := Diagnostics{Version: s.configuration.Version, Organisation: r.organisation, Attempts: r.attempts}
	if r.route != nil {
		d.Route = r.route.ID
	}
	if o := s.organisations[r.organisation]; o != nil {
		d.Coordinator, d.Share, d.Tokens = s.group.coordinator, o.held, o.bucket.Level(s.now)
	}
	if r.service == nil {
		return d
	}
	d.Service, d.QueueLength = r.service.id, r.service.queue.Len()
	if d.EstimatedWait = r.estimatedWait; !s.Features().Order {
		d.EstimatedWait = r.service.queue.EstimateWait(s.now, r.priority)
	}
	d.UpstreamCount, d.UpstreamListAge = r.service.chooser.UpstreamCount(), s.now.Sub(s.upstreamsChangedAt)
	return d
}

// CallerLimits returns the limits for callers' requests, and zero values before a configuration is known.
func (s *State) CallerLimits() CallerLimits { return s.configuration.CallerLimits }

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// configure applies a configuration if it is newer than the current one.
func (s *State) configure(c Configuration) {
	if s.isConfigured && c.Version <= s.configuration.Version {
		return
	}
	s.isConfigured = true
	s.configuration = c
	s.routes = newRouteTable(c.Routes)
	s.configureOrganisations()
	s.configureSplits()
	s.assignUpstreams()
	s.switchFeatures()
	s.restoreServices()
	s.refuseRemovedServices()
}

// Features returns the optional parts that are on.
func (s *State) Features() features.Set { return s.config.Features.Union(s.configuration.Features) }

// switchFeatures switches the optional parts of the services on or off.
func (s *State) switchFeatures() {
	set := s.Features()
	if !set.Plan {
		s.forgetPlans()
	}
	for _, svc := range s.services {
		svc.chooser.SetFeatures(set)
		svc.queue.SetFair(set.Order)
	}
}

func (s *State) configureOrganisations() {
	for _, name := range slices.Sorted(maps.Keys(s.organisations)) {
		if _, ok := s.configuration.Organisations[name]; !ok {
			s.removeOrganisation(name)
		}
	}
	for name := range s.configuration.Organisations {
		if s.organisations[name] == nil {
			s.organisations[name] = &organisation{}
		}
	}
	s.restoreShares()
	s.divideLimits()
}

// removeOrganisation removes an organisation and refuses its requests that wait for a token.
func (s *State) removeOrganisation(name id.Organisation) {
	waiting := s.organisations[name].stock.waiting
	delete(s.organisations, name)
	for _, w := range waiting {
		if r := s.requests[w.request]; r != nil {
			s.refuse(r, Refusal{Code: CodeInvalidKey})
		}
	}
}

// setUpstreams replaces the list of upstreams.
func (s *State) setUpstreams(upstreams []Upstream) {
	s.hasUpstreams, s.upstreamsChangedAt = true, s.now
	previous := s.upstreams
	s.upstreams, s.regions = make(map[id.Upstream]Upstream, len(upstreams)), make(map[id.Region]bool)
	for _, u := range upstreams {
		s.upstreams[u.ID], s.regions[u.Region] = u, true
	}
	s.uplink.Retain(func(name id.Upstream) bool { _, ok := s.upstreams[name]; return ok })
	for name, u := range previous {
		if current, ok := s.upstreams[name]; !ok || current.Incarnation != u.Incarnation {
			s.crashDetector.recordCrash(s.now, processID(u))
		}
	}
	s.forgetAnonymous()
	s.assignUpstreams()
	s.dispatchAllQueued()
}

func (s *State) setEvacuated(dataCentres []id.DataCentre) {
	s.evacuated = make(map[id.DataCentre]bool, len(dataCentres))
	for _, d := range dataCentres {
		s.evacuated[d] = true
	}
	for _, svc := range s.services {
		svc.chooser.SetEvacuated(s.evacuated, s.now.Add(s.config.Bounds.MaxDrainDelay))
	}
	s.dispatchAllQueued()
}

// handleTick reports to the contacts, refuses expired requests and dispatches queued ones.
func (s *State) handleTick() {
	s.sendReports()
	s.checkUplink()
	s.abandonSlowAttempts()
	s.expireLeaving()
	s.expireTokens()
	for _, name := range s.serviceNames {
		svc := s.services[name]
		for _, queued := range svc.queue.RemoveExpired(s.now) {
			if r := s.requests[queued.Request]; r != nil {
				s.refuse(r, s.expiryRefusal(svc, queued))
			}
		}
	}
	s.dispatchAllQueued()
	s.endStop()
}

// NextTick returns when the next Tick is due.
func (s *State) NextTick(now time.Time) time.Time {
	for _, name := range s.serviceNames {
		if s.services[name].queue.Len() > 0 {
			return now.Add(queuePollInterval)
		}
	}
	next := s.group.nextReportAt
	if s.uplink.MayNeedProbes() {
		next = earlier(next, s.nextUplinkCheckAt)
	}
	if !s.nextSlownessCheckAt.IsZero() {
		next = earlier(next, s.nextSlownessCheckAt)
	}
	if !s.stopping.endAt.IsZero() && !s.stopping.hasEnded {
		next = earlier(next, s.stopping.endAt)
	}
	next = later(next, now)
	if len(s.tokenWaiters) > 0 {
		return earlier(next, now.Add(tokenPollInterval))
	}
	return next
}

// queuePollInterval is the interval at which queued requests are tried besides after each ended attempt, since capacity
// also becomes available when requests of other instances end.
const queuePollInterval = 10 * time.Millisecond

// tokenPollInterval is the interval at which requests that wait for a token are checked.
const tokenPollInterval = 50 * time.Millisecond
