package steering

import (
	"maps"
	"slices"
	"sort"
	"time"

	"bluebellhold/balance"
	"bluebellhold/id"
	"bluebellhold/note"
	"bluebellhold/queue"
	"bluebellhold/retry"
)

// spilloverDelay is how long a request waits for a slot in its own region before it may spill over to another one,
// which costs at least one round trip between regions, currently 70 to 110 ms.
const spilloverDelay = 100 * time.Millisecond

// service is the state of one service of the configuration.
type service struct {
	id          id.Service
	queue       *queue.Queue
	chooser     *balance.Chooser
	retryBudget *retry.Budget
	upstreams   map[id.Upstream]note.Upstream
	// targets lists the regions that have upstreams, the instance's own first.
	targets []regionTarget
	shifts  []shift
	// inFlight counts this instance's requests in flight by region; the fleet's load is the sum over all instances.
	inFlight map[id.Region]int
	// constrained are requests that are not eligible for all upstreams; they wait outside the queue.
	constrained []*request
	// loadReports counts the load reports since the start, for the dump.
	loadReports uint64
}

// regionTarget is a region that a service's requests can be dispatched to.
//
// Its limits are the slots there, the link for requests to the region and the link for their responses; a link that has
// no limit is empty.
type regionTarget struct {
	region       id.Region
	slotLimit    id.Limit
	requestLink  id.Limit
	responseLink id.Limit
}

type shift struct {
	id      id.Shift
	limit   id.Limit
	to      id.Region
	percent int
}

// organisation is the state of one organisation.
type organisation struct {
	id    id.Organisation
	limit id.Limit
	// tokenWaiters holds the requests that wait for a token, the oldest first.
	tokenWaiters []*request
	served       uint64
	rateLimited  uint64
}

func organisationLimitID(name id.Organisation) id.Limit {
	return id.Limit("organisation/" + string(name))
}

func slotLimitID(service id.Service, region id.Region) id.Limit {
	return id.Limit("slots/" + string(service) + "/" + string(region))
}

func shiftLimitID(name id.Shift) id.Limit { return id.Limit("shift/" + string(name)) }

func linkLimitID(from, to id.Region) id.Limit {
	return id.Limit("link/" + string(from) + "/" + string(to))
}

// configureServices applies the current configuration to the services; existing ones keep their state.
func (s *State) configureServices() {
	config := s.epochs.current
	for name := range config.Services {
		if s.services[name] == nil {
			s.services[name] = s.newService(name)
		}
		s.services[name].configure(s, config)
	}
	for name, svc := range s.services {
		if _, ok := config.Services[name]; !ok {
			s.withdrawService(svc)
		}
	}
	s.serviceNames = slices.Sorted(maps.Keys(s.services))
	s.uplink.Retain(func(u id.Upstream) bool {
		for _, svc := range s.services {
			if _, ok := svc.upstreams[u]; ok {
				return true
			}
		}
		return false
	})
}

func (s *State) newService(name id.Service) *service {
	return &service{
		id:          name,
		queue:       queue.New(queue.Config{ClassLimit: s.queueClassLimit}),
		chooser:     balance.New(balance.Config{Seed: s.random.Uint64()}),
		retryBudget: retry.NewBudget(retry.BudgetConfig{}),
		inFlight:    make(map[id.Region]int),
	}
}

func (svc *service) configure(s *State, config *note.Compiled) {
	svc.upstreams = config.Services[svc.id].Upstreams
	upstreams := make([]balance.Upstream, 0, len(svc.upstreams))
	for name, u := range svc.upstreams {
		_, draining := config.Drains[name]
		upstreams = append(upstreams, balance.Upstream{
			ID: name, Region: u.Region, DataCentre: u.DataCentre, Slots: u.Slots, Draining: draining,
		})
	}
	sort.Slice(upstreams, func(i, j int) bool { return upstreams[i].ID < upstreams[j].ID })
	svc.chooser.SetUpstreams(s.now, upstreams)
	svc.targets = regionTargets(svc.id, s.self.Region, upstreams, config)
	svc.shifts = serviceShifts(svc.id, s.self.Region, config)
}

// regionTargets returns the regions of a service's upstreams, the own region first and the others by name.
func regionTargets(
	name id.Service, ownRegion id.Region, upstreams []balance.Upstream, config *note.Compiled,
) []regionTarget {
	var out []regionTarget
	for _, u := range upstreams {
		if slices.ContainsFunc(out, func(r regionTarget) bool { return r.region == u.Region }) {
			continue
		}
		out = append(out, newRegionTarget(name, ownRegion, u.Region, config))
	}
	sort.Slice(out, func(i, j int) bool {
		if (out[i].region == ownRegion) != (out[j].region == ownRegion) {
			return out[i].region == ownRegion
		}
		return out[i].region < out[j].region
	})
	return out
}

func newRegionTarget(name id.Service, ownRegion, region id.Region, config *note.Compiled) regionTarget {
	out := regionTarget{region: region, slotLimit: slotLimitID(name, region)}
	for _, link := range config.Links {
		switch {
		case link.From == ownRegion && link.To == region:
			out.requestLink = linkLimitID(ownRegion, region)
		case link.From == region && link.To == ownRegion:
			out.responseLink = linkLimitID(region, ownRegion)
		}
	}
	return out
}

func serviceShifts(name id.Service, ownRegion id.Region, config *note.Compiled) []shift {
	var out []shift
	for shiftName, s := range config.Shifts {
		if s.Service == name && s.From == ownRegion {
			out = append(out, shift{id: shiftName, limit: shiftLimitID(shiftName), to: s.To, percent: s.Percent})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

func (svc *service) recordLoadReport(now time.Time, e LoadReported) {
	svc.loadReports++
	svc.chooser.RecordLoad(now, e.Upstream, balance.Load{Running: int(e.Running), Slots: e.Slots})
	svc.chooser.RecordProbe(now, e.Upstream, balance.Succeeded{})
}

// withdrawService refuses the waiting requests of a service that is no longer configured; requests in flight finish.
func (s *State) withdrawService(svc *service) {
	for _, r := range s.requests {
		if r.service == svc && (r.stage == stageQueued || r.stage == stageConstrained) {
			svc.queue.Remove(r.id)
			s.refuse(r, Refusal{Code: CodeNoRoute, Outcome: NotRun})
		}
	}
	svc.constrained = nil
	delete(s.services, svc.id)
}

// probeUpstreams probes the upstreams of the own region that are due, such as those without a recent outcome.
func (s *State) probeUpstreams() {
	for _, name := range s.serviceNames {
		svc := s.services[name]
		for _, u := range svc.chooser.NextProbes(s.now) {
			upstream := svc.upstreams[u]
			if upstream.Region == s.self.Region {
				s.emit(Probe{Service: name, Upstream: u, Address: upstream.Address})
			}
		}
	}
}
