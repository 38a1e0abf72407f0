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

// service is what an instance keeps for one service.
type service struct {
	id      id.Service
	chooser *placement.Chooser
	line    admission.Queue
	budget  *retry.Budget
	// floor is the budget's number of retries per window whatever the traffic.
	floor int
	// arrivals and routes measure the requests of all routes and of each.
	arrivals demand
	routes   map[id.Route]*demand
	// work is the slots that arriving requests would keep busy, but for those that are bound to regions.
	work  demand
	bound map[id.Region]*demand
	// isRestored is set once what a predecessor knew has been taken over.
	isRestored bool
}

// placeUpstreams gives each service its upstreams. An upstream that is draining gets no new work and is left out.
func (s *State) placeUpstreams() {
	byService := make(map[id.Service][]placement.Upstream)
	for _, u := range s.upstreams {
		if u.Draining {
			continue
		}
		byService[u.Service] = append(byService[u.Service], placement.Upstream{
			ID: u.ID, Region: u.Region, DataCentre: u.DataCentre, Slots: u.Slots, Incarnation: u.Incarnation,
			ColdUntil: u.ColdUntil,
		})
	}
	for name := range s.current.Services {
		if s.services[name] == nil {
			s.services[name] = s.newService(name)
		}
	}
	for name, svc := range s.services {
		slices.SortFunc(byService[name], func(a, b placement.Upstream) int { return cmp.Compare(a.ID, b.ID) })
		svc.chooser.SetUpstreams(s.now, byService[name])
	}
	s.names = slices.Sorted(maps.Keys(s.services))
}

func (s *State) newService(name id.Service) *service {
	svc := &service{
		id:     name,
		routes: make(map[id.Route]*demand),
		bound:  make(map[id.Region]*demand),
		chooser: placement.New(placement.Config{
			Region: s.config.Region, DataCentre: s.config.DataCentre,
		}),
	}
	svc.chooser.SetEvacuated(s.evacuated)
	svc.share(s, s.current.Services[name])
	return svc
}

// share divides the bounds of the service among the instances.
func (v *service) share(s *State, config Service) {
	b := s.config.Bounds
	v.chooser.SetColdRate(s.now, s.config.Instance, s.members.names(), b.mostCold(config))
	if config.MaxConnections > 0 {
		v.chooser.SetMaxInFlight(max(config.MaxConnections/s.members.count(), 1))
	}
	floor := int(b.RetryExtra * margin / float64(s.members.count()))
	if v.budget == nil || floor != v.floor {
		v.floor = floor
		v.budget = retry.NewBudget(retry.BudgetConfig{Ratio: b.RetryRatio * margin, MinRetries: floor, Window: b.RetryWindow})
	}
}

// addWork counts the work of a request, for the regions that it may run in if those are few.
func (v *service) addWork(now time.Time, own id.Region, w placement.Request) {
	work := v.chooser.WarmProcessingTime(w).Seconds()
	if len(w.Regions) == 0 {
		v.work.add(now, work)
		return
	}
	regions := w.Regions
	if slices.Contains(regions, own) {
		regions = []id.Region{own}
	}
	for _, region := range regions {
		if v.bound[region] == nil {
			v.bound[region] = &demand{}
		}
		v.bound[region].add(now, work/float64(len(regions)))
	}
}

// rarePart is the part of a service's requests below which a route is rare. Its requests go ahead of all others: they
// take little room, and behind a full line of more urgent ones they would never be served.
const rarePart = 0.02

// isRare counts a request and reports whether its route is rare.
func (v *service) isRare(now time.Time, route id.Route) bool {
	own := v.routes[route]
	if own == nil {
		own = &demand{}
		v.routes[route] = own
	}
	v.arrivals.add(now, 1)
	own.add(now, 1)
	return own.perSecond < rarePart*v.arrivals.perSecond
}

// split deals the requests of a route to its services in proportion to the weights.
type split struct {
	targets []Target
	credit  []float64
}

func (s *State) configureSplits() {
	splits := make(map[id.Route]*split, len(s.current.Routes))
	for _, r := range s.current.Routes {
		if known := s.splits[r.ID]; known != nil && slices.Equal(known.targets, r.Targets) {
			splits[r.ID] = known
			continue
		}
		splits[r.ID] = &split{targets: r.Targets, credit: make([]float64, len(r.Targets))}
	}
	s.splits = splits
}

// next returns the service of the next request by smooth weighted round robin, so that any run of requests has nearly
// the exact shares.
func (p *split) next() id.Service {
	total, best := 0.0, 0
	for i, t := range p.targets {
		p.credit[i] += t.Weight
		total += t.Weight
		if p.credit[i] > p.credit[best] {
			best = i
		}
	}
	p.credit[best] -= total
	return p.targets[best].Service
}

// expectedWork is the work assumed for a route before any has been measured; cold work of the users' routes takes a
// little more than their objective.
func expectedWork(r *Route) time.Duration {
	return r.LatencyObjective
}
