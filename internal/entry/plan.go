package entry

import (
	"maps"
	"math"
	"slices"
	"time"

	"bluebellhold/id"
	"bluebellhold/placement"
)

// The coordinator of a group plans, for each route of a service, which fraction of its objects is served in the region.
// Beats carry the plan to the members, which keep the last one.

const (
	// planInterval is the time between two changes of a plan, the window of the bound on requests that change their region.
	planInterval = 2 * time.Second
	// maxPlanStep is the fraction of a service's requests that one change of the plan moves: a third of the bound.
	maxPlanStep = 0.05
	// maxPlanBudget is what a member may move at once. It exceeds maxPlanStep since the member's requests differ from those
	// of the group.
	maxPlanBudget = 0.06
	// minPlanStep is the fraction of a service's requests below which a plan does not change.
	minPlanStep = 0.01
	// planHorizon is how far ahead the demand is forecast: half of planInterval until the plan changes, a report and a beat
	// until members follow it, and the time in which a wave of 36 s outruns maxPlanStep.
	planHorizon = 4 * time.Second
	// tightUtilisation is the utilisation of a region's slots up to which it serves routes that are late elsewhere, and
	// large responses: they queue rather than leave the region.
	tightUtilisation = 0.7
	// slackMargin is the difference of slacks below which the order of routes does not change.
	slackMargin = 40 * time.Millisecond
	// maxPlannedRoutes bounds the routes of a service in a plan, and with them the length of beats.
	maxPlannedRoutes = 32
	// maxPlannedUpstreams bounds the size of a subset that a plan may contain.
	maxPlannedUpstreams = 1 << 16
	// minReporting is the fraction of the group's members that must report for a plan to change.
	minReporting = 0.8
	// planLogInterval is the minimum time between two log lines on the plan of a service.
	planLogInterval = 10 * time.Second
)

// RoutePlan says where the objects of a route of a service are served.
type RoutePlan struct {
	Service id.Service
	Route   id.Route
	// Share is the fraction of the objects whose home is in the region of the group.
	Share float64
	// Far is the number of upstreams of other regions that serve the rest; zero means not known.
	Far int
}

// PlanInputs are what the coordinator based its last change of a plan on.
type PlanInputs struct {
	// Demand and Forecast are the slots that the requests of the region occupy, now and after planHorizon, Capacity the
	// slots for them, and Away the mean slots of requests that are served elsewhere.
	Demand   float64 `json:"demand"`
	Forecast float64 `json:"forecast"`
	Capacity float64 `json:"capacity"`
	Away     float64 `json:"away"`
	// Reporting is the number of members that reported, and Age the age of the oldest report.
	Reporting int           `json:"reporting"`
	Age       time.Duration `json:"age"`
}

// PlanDump is the plan of a service.
type PlanDump struct {
	Shares map[id.Route]float64 `json:"shares"`
	Far    int                  `json:"far"`
	// Age is the time since the last change.
	Age    time.Duration `json:"age"`
	Inputs PlanInputs    `json:"inputs"`
}

// PlanChanged reports that this instance, as the coordinator, has changed the plan of a service.
type PlanChanged struct {
	Service id.Service
	Shares  map[id.Route]float64
	Far     int
	Inputs  PlanInputs
}

func (PlanChanged) isEffect() {}

// servicePlan is the plan of a service. The coordinator changes it, and the other members follow its beats.
type servicePlan struct {
	shares    map[id.Route]float64
	far       int
	changedAt time.Time
	// budget is the fraction of the requests that may change their region now, as of budgetAt.
	budget   float64
	budgetAt time.Time
	// farChangedAt is when this member last followed a change of far.
	farChangedAt time.Time
	// forecast is that of the region's offered load, and mix the smoothed offered load of each route of the group.
	forecast forecast
	mix      map[id.Route]float64
	// away is the smoothed load of requests that are served elsewhere, and awayNow the current one.
	away    float64
	awayNow float64
	order   []id.Route
	tight   map[id.Route]bool
	// isConnectionNew is set while most requests to other regions find no open connection.
	isConnectionNew bool
	inputs          PlanInputs
	loggedAt        time.Time
}

// routeLoad is what requests of a route that are not restricted to regions offer at this instance.
type routeLoad struct {
	slots decayingRate
	// body is the average size of the request bodies in bytes.
	body float64
}

// bodyWeight is the weight of a new sample in the average size of request bodies.
const bodyWeight = 0.1

// recordRouteLoad counts the load of a request of a route.
func (v *service) recordRouteLoad(now time.Time, req placement.Request, load float64) {
	l := v.routeLoads[req.Route]
	if l == nil {
		l = &routeLoad{body: float64(req.BodySize)}
		v.routeLoads[req.Route] = l
	}
	l.slots.add(now, load)
	l.body += bodyWeight * (float64(req.BodySize) - l.body)
}

// ownRouteLoad returns the offered load of each route at this instance; nil if the plan is off.
func (s *State) ownRouteLoad(now time.Time) map[id.Service]map[id.Route]float64 {
	if !s.Features().Plan {
		return nil
	}
	loads := make(map[id.Service]map[id.Route]float64)
	for name, svc := range s.services {
		for route, l := range svc.routeLoads {
			if load := l.slots.heartbeatValue(now); load > 0 {
				if loads[name] == nil {
					loads[name] = make(map[id.Route]float64)
				}
				loads[name][route] = load
			}
		}
	}
	return loads
}

// knownRouteLoad returns the load by route of a report without services and routes that do not exist.
func (s *State) knownRouteLoad(r MemberReport) map[id.Service]map[id.Route]float64 {
	maps.DeleteFunc(r.RouteLoad, func(name id.Service, _ map[id.Route]float64) bool { return s.services[name] == nil })
	for _, byRoute := range r.RouteLoad {
		maps.DeleteFunc(byRoute, func(name id.Route, load float64) bool {
			return s.routeByID(name) == nil || !(load >= 0 && load <= maxRouteLoad)
		})
	}
	return r.RouteLoad
}

// maxRouteLoad bounds the slots that a member may claim to offer with one route.
const maxRouteLoad = 1e6

// forecast is a double exponential smoothing of a load.
type forecast struct {
	level, slope float64
	// peak is the highest level lately, decaying with peakTime.
	peak      float64
	at        time.Time
	startedAt time.Time
}

const (
	// levelTime and slopeTime are the time constants of a forecast. The load is an average over demandTimeConstant
	// already; the slope of a burst of a second hardly counts.
	levelTime = time.Second
	slopeTime = 3 * time.Second
	// peakTime is the time constant with which a peak is forgotten. The demand of a wave of 36 s rises by more than
	// maxPlanStep in each step, so objects that come back to the region in the trough could not leave it again before the
	// next peak. With 40 s, the peak takes a fifth more of the region's slots; with 90 s, the trough uses a fifth fewer.
	peakTime = 60 * time.Second
	// maxSlope bounds the slope, relative to the level and per second. A wave with a swing of 0.55 and a period of 36 s
	// rises by at most 0.12.
	maxSlope = 0.12
	// forecastWarmUp is the time until the slope of a new forecast is used.
	forecastWarmUp = 4 * time.Second
	// minForecast and maxForecast bound the forecast relative to the level.
	minForecast = 0.6
	maxForecast = 1.6
)

func (f *forecast) observe(now time.Time, load float64) {
	elapsed := now.Sub(f.at).Seconds()
	if f.at.IsZero() || elapsed > 2*planInterval.Seconds() {
		*f = forecast{level: load, peak: load, at: now, startedAt: now}
		return
	}
	if elapsed <= 0 {
		return
	}
	previous := f.level
	expected := f.level + f.slope*elapsed
	f.level = expected + (1-math.Exp(-elapsed/levelTime.Seconds()))*(load-expected)
	f.slope += (1 - math.Exp(-elapsed/slopeTime.Seconds())) * ((f.level-previous)/elapsed - f.slope)
	f.slope = min(max(f.slope, -maxSlope*f.level), maxSlope*f.level)
	f.peak = max(f.level, f.peak*math.Exp(-elapsed/peakTime.Seconds()))
	f.at = now
}

// after returns the load after the horizon, at least the remembered peak. The measured load lags by demandTimeConstant.
func (f *forecast) after(horizon time.Duration) float64 {
	if f.at.Sub(f.startedAt) < forecastWarmUp {
		return max(f.level, f.peak)
	}
	ahead := f.level + f.slope*(horizon+demandTimeConstant).Seconds()
	return max(min(max(ahead, minForecast*f.level), maxForecast*f.level), f.peak)
}

// updatePlans measures the demand as the coordinator and changes the plans that are due.
func (s *State) updatePlans() {
	if !s.Features().Plan || !s.IsCoordinator() || !s.isConfigured {
		return
	}
	reporting, age := 1, time.Duration(0)
	for _, l := range s.group.lenders {
		if silence := s.now.Sub(l.reportedAt); silence < contactTimeout {
			reporting++
			age = max(age, silence)
		}
	}
	serving := 1
	for name, m := range s.membership.members {
		if s.isInGroup(m) && s.isServing(name, m) {
			serving++
		}
	}
	isComplete := float64(reporting) >= minReporting*float64(serving)
	for _, name := range s.serviceNames {
		svc := s.services[name]
		p := &svc.plan
		p.inputs.Reporting, p.inputs.Age = reporting, age
		if !isComplete {
			continue
		}
		s.measureDemand(svc)
		// A successor waits for planInterval after the last change by its predecessor, and until it has heard the members.
		if s.now.Sub(p.changedAt) >= planInterval && s.now.Sub(p.forecast.startedAt) >= planInterval {
			s.changePlan(svc)
		}
	}
}

// groupRouteLoad returns the offered load of each route of the service at this instance and its members.
func (s *State) groupRouteLoad(svc *service) map[id.Route]float64 {
	loads := make(map[id.Route]float64)
	maps.Copy(loads, s.ownRouteLoad(s.now)[svc.id])
	for _, name := range slices.Sorted(maps.Keys(s.group.lenders)) {
		l := s.group.lenders[name]
		if s.now.Sub(l.reportedAt) >= contactTimeout {
			continue
		}
		for route, load := range l.routeLoad[svc.id] {
			loads[route] += load
		}
	}
	return loads
}

// mixTime is the time constant of the routes' parts of the demand, and awayTime that of the load that is served elsewhere,
// which exceeds the period of a wave by half.
const (
	mixTime  = 10 * time.Second
	awayTime = 54 * time.Second
)

// measureDemand updates the forecast of the region's offered load and the routes' parts of it.
func (s *State) measureDemand(svc *service) {
	p := &svc.plan
	loads := s.groupRouteLoad(svc)
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		total += loads[name]
	}
	elapsed := s.now.Sub(p.forecast.at)
	if p.mix == nil || p.forecast.at.IsZero() {
		p.mix = loads
	} else {
		weight := 1 - math.Exp(-elapsed.Seconds()/mixTime.Seconds())
		for name := range p.mix {
			p.mix[name] += weight * (loads[name] - p.mix[name])
		}
		for name, load := range loads {
			if _, ok := p.mix[name]; !ok {
				p.mix[name] = weight * load
			}
		}
	}
	maps.DeleteFunc(p.mix, func(name id.Route, load float64) bool { return s.routeByID(name) == nil || load < minDemand/10 })
	if s.group.regionSize > maxRegionGroup {
		// The region has several groups. Their heartbeats tell how much the others offer.
		for _, m := range s.membership.members {
			if m.Region == s.config.Region && m.DataCentre != s.config.DataCentre && m.silence < livenessTimeout {
				total += m.OfferedLoad[svc.id]
			}
		}
	}
	away := 0.0
	for name, load := range loads {
		away += load * (1 - s.plannedShare(svc, name))
	}
	p.awayNow = away
	if p.forecast.at.IsZero() {
		p.away = away
	} else {
		p.away += (1 - math.Exp(-elapsed.Seconds()/awayTime.Seconds())) * (away - p.away)
	}
	p.forecast.observe(s.now, total)
	p.inputs.Demand = total
}

// currentShare returns the fraction of a route's objects that run in this region before there is a plan. Costs of transfer
// keep large responses there.
func (s *State) currentShare(svc *service, route id.Route) float64 {
	if svc.chooser.HasLargeResponses(planRequest(s.routeByID(route))) {
		return 1
	}
	return svc.chooser.LocalShare()
}

// plannedShare returns the fraction of a route's objects whose home is in this region.
func (s *State) plannedShare(svc *service, route id.Route) float64 {
	if share, ok := svc.plan.shares[route]; ok {
		return share
	}
	return svc.chooser.LocalShare()
}

// changePlan moves the plan of a service by one step towards the shares that fit the forecast.
func (s *State) changePlan(svc *service) {
	p := &svc.plan
	demand := p.forecast.after(planHorizon)
	if count, _ := svc.chooser.FarHomes(s.now); count == 0 || p.forecast.level < minOfferedLoad || len(p.mix) == 0 {
		return
	}
	weights := s.requestFractions(svc, p.mix)
	budget, far := s.nextFar(svc)
	target := s.targetShares(svc, demand)
	shares := maps.Clone(p.shares)
	if shares == nil {
		shares = make(map[id.Route]float64)
	}
	maps.DeleteFunc(shares, func(name id.Route, _ float64) bool { return s.routeByID(name) == nil })
	isNew := p.shares == nil
	for _, name := range p.order {
		if _, ok := shares[name]; !ok && len(shares) < maxPlannedRoutes {
			shares[name] = s.currentShare(svc, name)
		}
	}
	moved := moveShares(shares, target, weights, budget, minPlanStep)
	if !isNew && moved == 0 && far == p.far && len(shares) == len(p.shares) {
		return
	}
	p.inputs.Forecast, p.inputs.Away = demand, p.away
	s.applyPlan(svc, shares, far)
	if s.now.Sub(p.loggedAt) >= planLogInterval {
		p.loggedAt = s.now
		s.emit(PlanChanged{Service: svc.id, Shares: maps.Clone(shares), Far: far, Inputs: p.inputs})
	}
}

// applyPlan puts a plan into effect at this instance. The local share, which counts where no plan is known, becomes the
// mean of the plan.
func (s *State) applyPlan(svc *service, shares map[id.Route]float64, far int) {
	p := &svc.plan
	p.shares, p.far, p.changedAt = shares, far, s.now
	svc.chooser.SetPlannedShares(shares)
	svc.chooser.SetFarUpstreams(far)
	if !s.IsCoordinator() {
		return
	}
	weights := s.requestFractions(svc, p.mix)
	mean, known := 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(shares)) {
		mean += weights[name] * shares[name]
		known += weights[name]
	}
	if known > 0 {
		svc.chooser.RestoreLocalShare(mean / known)
	}
}

// requestFractions returns the routes' fractions of the requests that offer the loads.
func (s *State) requestFractions(svc *service, loads map[id.Route]float64) map[id.Route]float64 {
	fractions := make(map[id.Route]float64, len(loads))
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		if r := s.routeByID(name); r != nil {
			fractions[name] = loads[name] / max(svc.chooser.OccupiedTime(planRequest(r)).Seconds(), 0.001)
			total += fractions[name]
		}
	}
	for name := range fractions {
		fractions[name] /= max(total, math.SmallestNonzeroFloat64)
	}
	return fractions
}

// planRequest returns a request of the route.
func planRequest(r *Route) placement.Request {
	return placement.Request{Route: r.ID, ExpectedProcessingTime: expectedProcessingTime(r), IsBulk: r.IsBulk, IsUpload: r.IsUpload}
}

// moveShares moves the shares towards the target as far as the budget allows, and returns the fraction of requests that
// change their region. A move of less than minStep is left out.
func moveShares(shares, target, weights map[id.Route]float64, budget, minStep float64) float64 {
	needed := 0.0
	names := slices.Sorted(maps.Keys(shares))
	for _, name := range names {
		if to, ok := target[name]; ok {
			needed += weights[name] * math.Abs(to-shares[name])
		}
	}
	if needed < minStep {
		return 0
	}
	part := 1.0
	if needed > budget {
		part = max(budget, 0) / needed
	}
	for _, name := range names {
		if to, ok := target[name]; ok {
			shares[name] = min(max(shares[name]+part*(to-shares[name]), 0), 1)
		}
	}
	return part * needed
}

// targetShares returns the shares that fit the demand: the region serves first the routes that are late elsewhere, and
// then those with the least slack there.
func (s *State) targetShares(svc *service, demand float64) map[id.Route]float64 {
	p := &svc.plan
	slots := float64(svc.chooser.UsableSlots(s.now, s.config.Region))
	pinned := 0.0
	for _, m := range s.membership.members {
		pinned += m.PinnedLoad[svc.id][s.config.Region]
	}
	p.inputs.Capacity = max(targetUtilisation*slots-pinned, 0)
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(p.mix)) {
		total += p.mix[name]
	}
	s.orderRoutes(svc)
	target := make(map[id.Route]float64, len(p.order))
	used := 0.0
	for _, name := range p.order {
		load := p.mix[name] / total * demand
		utilisation := targetUtilisation
		if p.tight[name] {
			utilisation = tightUtilisation
		}
		room := max(utilisation*slots-pinned-used, 0)
		target[name] = min(room/max(load, minDemand/10), 1)
		used += target[name] * load
	}
	return target
}

// orderRoutes sorts the routes by the slack that they have elsewhere. Those that are late there or whose responses are
// large come first.
func (s *State) orderRoutes(svc *service) {
	p := &svc.plan
	slack := make(map[id.Route]time.Duration, len(p.mix))
	isNew := s.likelyNewConnection(svc)
	if p.tight == nil {
		p.tight = make(map[id.Route]bool)
	}
	for name := range p.mix {
		r := s.routeByID(name)
		var body id.Bytes
		if l := svc.routeLoads[name]; l != nil {
			body = id.Bytes(l.body)
		}
		req := planRequest(r)
		slack[name] = r.LatencyObjective - svc.chooser.FarLatency(req, body, isNew)
		p.tight[name] = svc.chooser.HasLargeResponses(req) || slack[name] < 0 || p.tight[name] && slack[name] < slackMargin
	}
	maps.DeleteFunc(p.tight, func(name id.Route, _ bool) bool { _, ok := p.mix[name]; return !ok })
	p.order = slices.DeleteFunc(p.order, func(name id.Route) bool { _, ok := p.mix[name]; return !ok })
	for _, name := range slices.Sorted(maps.Keys(p.mix)) {
		if !slices.Contains(p.order, name) {
			p.order = append(p.order, name)
		}
	}
	// Insertion keeps the order of routes with about the same slack, whose objects would otherwise change places.
	for i := 1; i < len(p.order); i++ {
		for j := i; j > 0 && p.precedes(p.order[j], p.order[j-1], slack); j-- {
			p.order[j], p.order[j-1] = p.order[j-1], p.order[j]
		}
	}
}

// precedes reports whether route a gets slots of the region before route b, which is before it so far.
func (p *servicePlan) precedes(a, b id.Route, slack map[id.Route]time.Duration) bool {
	if p.tight[a] != p.tight[b] {
		return p.tight[a]
	}
	return slack[a] < slack[b]-slackMargin
}

// idleConnectionTime is how long an idle connection to an upstream can be used again.
const idleConnectionTime = 9500 * time.Millisecond

// likelyNewConnection reports whether most requests to other regions find no connection that was used recently.
func (s *State) likelyNewConnection(svc *service) bool {
	perSecond := 0.0
	for _, name := range slices.Sorted(maps.Keys(svc.plan.mix)) {
		warm := svc.chooser.OccupiedTime(planRequest(s.routeByID(name))).Seconds()
		perSecond += svc.plan.mix[name] * (1 - s.plannedShare(svc, name)) / max(warm, 0.001)
	}
	count, _ := svc.chooser.FarHomes(s.now)
	uses := perSecond * idleConnectionTime.Seconds() / float64(max(count*s.groupSize(), 1))
	threshold := likelyNew
	if svc.plan.isConnectionNew {
		threshold = likelyOpen
	}
	svc.plan.isConnectionNew = math.Exp(-uses) > threshold
	return svc.plan.isConnectionNew
}

// likelyNew and likelyOpen are the fractions of new connections above which they count as likely from now on, and below
// which they no longer do. The routes that are late elsewhere depend on it, and on those how many connections are used.
const (
	likelyNew  = 0.6
	likelyOpen = 0.4
)

const (
	// farHeadroom is the ratio of the slots of the subset to those that its mean work needs, for the peak of a wave.
	farHeadroom = 1.5
	// farMargin is the ratio of the slots of the subset to those that its current work needs, for the next few steps.
	farMargin = 1.2
	// farGrowth is the part by which the subset grows in a step: the work that moves with maxPlanStep needs a few more
	// upstreams in a region that has served nearly all of its own.
	farGrowth = 8
	// minFarRoom is the fraction of the slots of other regions that counts as free for the work of this one, however
	// loaded they are.
	minFarRoom = 0.15
	// growFar and shrinkFar are the ratios of the needed to the current size of the subset beyond which it changes.
	growFar   = 1.15
	shrinkFar = 0.75
)

// nextFar returns the number of upstreams of other regions in the next plan, and the fraction of the requests that may
// change their region by changed shares beside. The number grows by a part and shrinks by one at a time.
func (s *State) nextFar(svc *service) (budget float64, far int) {
	count, slots := svc.chooser.FarHomes(s.now)
	far = svc.plan.far
	if far == 0 {
		far = count
	}
	load, all := s.loadOfOtherRegions(svc)
	if count == 0 || slots == 0 || all == 0 || s.now.Sub(svc.plan.forecast.startedAt) < forecastWarmUp {
		return maxPlanStep, far
	}
	room := max(targetUtilisation-load/all, minFarRoom)
	needed := max(farHeadroom*svc.plan.away, farMargin*svc.plan.awayNow) / room / (float64(slots) / float64(count))
	needed = max(needed, s.farByRate(svc))
	next := far
	switch {
	case needed > growFar*float64(count) && far <= count:
		next = count + min(farStep(count), int(math.Ceil(needed))-count)
	case needed < shrinkFar*float64(far) && far == count:
		// The chooser's minimum holds if this has no effect.
		next--
	}
	if next == far {
		return maxPlanStep, far
	}
	// Each upstream more or less moves its part of the objects, about half of them to another region.
	away := min(svc.plan.awayNow/max(svc.plan.forecast.level, minOfferedLoad), 1)
	moved := func(next int) float64 { return away * math.Abs(float64(next-count)) / float64(max(next, count)) / 2 }
	for next > count+1 && moved(next) > maxPlanStep {
		next--
	}
	return max(maxPlanStep-moved(next), 0), next
}

// minPairRate is the rate per second at which an instance and an upstream of another region meet so that they keep their
// connection: 19 of 20 requests then find it open within the 10 s after which upstreams close idle ones.
const minPairRate = 0.3

// farByRate returns the number of upstreams of other regions that each instance meets often enough to keep connections
// to them. A smaller subset would concentrate the work without need.
func (s *State) farByRate(svc *service) float64 {
	rate, total := 0.0, 0.0
	for name, load := range svc.plan.mix {
		occupied := svc.chooser.OccupiedTime(planRequest(s.routeByID(name))).Seconds()
		rate += load / max(occupied, 0.001)
		total += load
	}
	if total == 0 {
		return 0
	}
	away := svc.plan.awayNow / total * rate
	needed := away / float64(max(s.group.regionSize, 1)) / minPairRate
	return min(needed, float64(svc.chooser.UpstreamCount()))
}

// farStep is the number of upstreams by which a subset grows at most in a step.
func farStep(count int) int { return max(count/farGrowth, 1) }

// loadOfOtherRegions returns the load that the other regions serve of their own callers' requests, and their slots.
func (s *State) loadOfOtherRegions(svc *service) (load, slots float64) {
	for _, m := range s.membership.members {
		if m.Region != s.config.Region && m.silence < livenessTimeout {
			load += m.OfferedLoad[svc.id] * m.LocalShares[svc.id]
		}
	}
	for region := range s.regions {
		if region != s.config.Region {
			slots += float64(svc.chooser.UsableSlots(s.now, region))
		}
	}
	return load, slots
}

// routePlans returns the plans for beats; nil if the plan is off.
func (s *State) routePlans() []RoutePlan {
	if !s.Features().Plan {
		return nil
	}
	var plans []RoutePlan
	for _, name := range s.serviceNames {
		p := &s.services[name].plan
		for _, route := range slices.Sorted(maps.Keys(p.shares)) {
			plans = append(plans, RoutePlan{Service: name, Route: route, Share: p.shares[route], Far: p.far})
		}
	}
	return plans
}

// IsValid reports whether the plan makes sense.
func (p RoutePlan) IsValid() bool {
	return p.Share >= 0 && p.Share <= 1 && p.Far >= 0 && p.Far <= maxPlannedUpstreams
}

// followPlan moves the plans of this member towards those of a beat. A plan that makes no sense is ignored.
func (s *State) followPlan(plans []RoutePlan) {
	if !s.Features().Plan || slices.ContainsFunc(plans, func(p RoutePlan) bool { return !p.IsValid() }) {
		return
	}
	targets, far := make(map[id.Service]map[id.Route]float64), make(map[id.Service]int)
	for _, p := range plans {
		if s.services[p.Service] == nil || s.routeByID(p.Route) == nil {
			continue
		}
		if targets[p.Service] == nil {
			targets[p.Service] = make(map[id.Route]float64)
		}
		if len(targets[p.Service]) < maxPlannedRoutes {
			targets[p.Service][p.Route], far[p.Service] = p.Share, p.Far
		}
	}
	for name, target := range targets {
		s.follow(s.services[name], target, far[name])
	}
}

// follow moves the plan of a service towards the target within the budget of this member.
func (s *State) follow(svc *service, target map[id.Route]float64, far int) {
	p := &svc.plan
	shares := maps.Clone(p.shares)
	if shares == nil {
		// The caches and the other members follow the plan already.
		s.applyPlan(svc, target, far)
		p.budgetAt = s.now
		return
	}
	p.budget = min(p.budget+maxPlanStep*s.now.Sub(p.budgetAt).Seconds()/planInterval.Seconds(), maxPlanBudget)
	p.budgetAt = s.now
	for name, share := range target {
		if _, ok := shares[name]; !ok && len(shares) < maxPlannedRoutes {
			shares[name] = share
		}
	}
	maps.DeleteFunc(shares, func(name id.Route, _ float64) bool { return s.routeByID(name) == nil })
	moved := moveShares(shares, target, s.requestFractions(svc, s.ownRouteLoad(s.now)[svc.id]), p.budget, 0)
	p.budget -= moved
	if far = p.stepFar(s.now, far); far != p.far || !maps.Equal(shares, p.shares) {
		s.applyPlan(svc, shares, far)
	}
}

// minFarInterval is the minimum time between two changes of far at a member; beats of a change arrive up to a report
// interval apart.
const minFarInterval = planInterval - reportInterval

// stepFar returns the number of upstreams of other regions after a step towards the target, in which few objects change
// their home.
func (p *servicePlan) stepFar(now time.Time, target int) int {
	switch {
	case target == 0 || target == p.far:
		return p.far
	case p.far == 0:
		return target
	case now.Sub(p.farChangedAt) < minFarInterval:
		return p.far
	}
	p.farChangedAt = now
	if target > p.far {
		return min(p.far+farStep(p.far), target)
	}
	return p.far - 1
}

// routeByID returns the route, or nil.
func (s *State) routeByID(name id.Route) *Route {
	for i := range s.configuration.Routes {
		if r := &s.configuration.Routes[i]; r.ID == name {
			return r
		}
	}
	return nil
}

// forgetPlans removes the plans when the feature is switched off, so that it starts anew when switched on.
func (s *State) forgetPlans() {
	for _, svc := range s.services {
		svc.plan = servicePlan{}
		svc.chooser.SetPlannedShares(nil)
		svc.chooser.SetFarUpstreams(0)
	}
}

// dumpPlan returns the plan of a service for diagnosis; nil if there is none.
func (s *State) dumpPlan(svc *service, now time.Time) *PlanDump {
	p := &svc.plan
	if p.shares == nil {
		return nil
	}
	return &PlanDump{Shares: maps.Clone(p.shares), Far: p.far, Age: now.Sub(p.changedAt), Inputs: p.inputs}
}
