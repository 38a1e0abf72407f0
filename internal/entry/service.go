package entry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bluebellhold/admission"
	"bluebellhold/id"
	"bluebellhold/placement"
	"bluebellhold/retry"
)

// service is the state of one service.
type service struct {
	id      id.Service
	chooser *placement.Chooser
	queue   admission.Queue
	cutOff  cutOff
	// latencies are the mean latencies of the attempts of each route that have run.
	latencies   map[id.Route]time.Duration
	retryBudget *retry.Budget
	// minRetries is the number of retries per window that the budget allows regardless of traffic.
	minRetries int
	// arrivalRate and routeArrivalRates measure the requests of all routes and of each.
	arrivalRate       decayingRate
	routeArrivalRates map[id.Route]*decayingRate
	// offeredLoad is the slots that arriving requests would occupy, without those that are restricted to some regions,
	// and pinnedLoad is that of the latter by region.
	offeredLoad decayingRate
	pinnedLoad  map[id.Region]*decayingRate
	// routeLoads are the parts of offeredLoad by route, and plan says where they are served.
	routeLoads map[id.Route]*routeLoad
	plan       servicePlan
	// isRestored is set once the state of a predecessor has been restored.
	isRestored bool
}

// assignUpstreams assigns the upstreams to their services. One that is draining or has said that it leaves gets no new
// requests and is left out.
func (s *State) assignUpstreams() {
	byService := make(map[id.Service][]placement.Upstream)
	for _, u := range s.upstreams {
		if !s.takesRequests(u) {
			continue
		}
		byService[u.Service] = append(byService[u.Service], placement.Upstream{
			ID: u.ID, Region: u.Region, DataCentre: u.DataCentre, Slots: u.Slots, Incarnation: u.Incarnation,
			ColdUntil: u.ColdUntil,
		})
	}
	for name := range s.configuration.Services {
		if s.services[name] == nil {
			s.services[name] = s.newService(name)
		}
	}
	for name, svc := range s.services {
		slices.SortFunc(byService[name], func(a, b placement.Upstream) int { return cmp.Compare(a.ID, b.ID) })
		svc.chooser.SetUpstreams(s.now, byService[name])
	}
	s.serviceNames = slices.Sorted(maps.Keys(s.services))
}

func (s *State) newService(name id.Service) *service {
	svc := &service{
		id:                name,
		routeArrivalRates: make(map[id.Route]*decayingRate),
		pinnedLoad:        make(map[id.Region]*decayingRate),
		routeLoads:        make(map[id.Route]*routeLoad),
		latencies:         make(map[id.Route]time.Duration),
		chooser: placement.New(placement.Config{
			Region: s.config.Region, DataCentre: s.config.DataCentre,
		}),
	}
	svc.chooser.SetFeatures(s.Features())
	svc.queue.SetFair(s.Features().Order)
	svc.chooser.SetEvacuated(s.evacuated, s.now)
	svc.divideLimits(s, s.configuration.Services[name])
	svc.chooser.SetPeers(s.now, s.config.Instance, s.servingPeers())
	return svc
}

// divideLimits divides the fleet-wide bounds of the service among the instances.
func (v *service) divideLimits(s *State, config Service) {
	b := s.config.Bounds
	v.chooser.SetColdRate(s.now, s.config.Instance, s.membership.instances(), b.maxColdRate(config))
	if config.MaxConnections > 0 {
		v.chooser.SetMaxInFlight(max(config.MaxConnections/s.membership.count(), 1))
	}
	minRetries := int(b.RetryExtra * boundFraction / float64(s.membership.count()))
	if v.retryBudget == nil || minRetries != v.minRetries {
		v.minRetries = minRetries
		v.retryBudget = retry.NewBudget(retry.BudgetConfig{
			Ratio: b.RetryRatio * boundFraction, MinRetries: minRetries, Window: b.RetryWindow,
		})
	}
}

// recordLoad counts the load of a request. If the request is restricted to some regions, it is pinned load: of the own
// region if that is one of them, and otherwise divided evenly among them.
func (v *service) recordLoad(now time.Time, ownRegion id.Region, req placement.Request) {
	load := v.chooser.OccupiedTime(req).Seconds()
	if len(req.Regions) == 0 {
		v.offeredLoad.add(now, load)
		v.recordRouteLoad(now, req, load)
		return
	}
	regions := req.Regions
	if slices.Contains(regions, ownRegion) {
		regions = []id.Region{ownRegion}
	}
	for _, region := range regions {
		if v.pinnedLoad[region] == nil {
			v.pinnedLoad[region] = &decayingRate{}
		}
		v.pinnedLoad[region].add(now, load/float64(len(regions)))
	}
}

// rareFraction is the fraction of a service's requests below which a route is rare. Requests of rare routes go before
// all others: they need little capacity, and behind a long queue of more urgent requests they would never be served.
const rareFraction = 0.02

// recordArrival counts a request and reports whether its route is rare.
func (v *service) recordArrival(now time.Time, route id.Route) bool {
	rate := v.routeArrivalRates[route]
	if rate == nil {
		rate = &decayingRate{}
		v.routeArrivalRates[route] = rate
	}
	v.arrivalRate.add(now, 1)
	rate.add(now, 1)
	return rate.perSecond < rareFraction*v.arrivalRate.perSecond
}

// trafficSplit distributes the requests of a route to its services in proportion to the weights.
type trafficSplit struct {
	targets        []Target
	currentWeights []float64
}

func (s *State) configureSplits() {
	splits := make(map[id.Route]*trafficSplit, len(s.configuration.Routes))
	for _, r := range s.configuration.Routes {
		if existing := s.splits[r.ID]; existing != nil && slices.Equal(existing.targets, r.Targets) {
			splits[r.ID] = existing
			continue
		}
		splits[r.ID] = &trafficSplit{targets: r.Targets, currentWeights: make([]float64, len(r.Targets))}
	}
	s.splits = splits
}

// peek returns one of the services.
func (s *trafficSplit) peek() id.Service { return s.targets[0].Service }

// next returns the service of the next request by smooth weighted round robin, so that any sequence of requests is
// split in nearly the exact proportions.
func (s *trafficSplit) next() id.Service {
	total, highest := 0.0, 0
	for i, t := range s.targets {
		s.currentWeights[i] += t.Weight
		total += t.Weight
		if s.currentWeights[i] > s.currentWeights[highest] {
			highest = i
		}
	}
	s.currentWeights[highest] -= total
	return s.targets[highest].Service
}

// expectedProcessingTime returns the processing time assumed for a route until one has been measured. With a cold
// cache, the users' routes take a little longer than their latency objective.
func expectedProcessingTime(r *Route) time.Duration {
	return r.LatencyObjective
}
