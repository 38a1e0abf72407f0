package placement

import (
	"math"
	"time"

	"bluebellhold/id"
)

const (
	// latenessCost is the cost of missing the objective, in addition to the cost of a border. It exceeds the weighted
	// processing time of a request with a cold cache.
	latenessCost = 1500 * time.Millisecond
	// latencySpread is the fraction by which latencies vary around the prediction: processing times vary by a sixth.
	// A candidate that has less slack than this counts as partly late.
	latencySpread = 1.0 / 6
	// lateTransferWeight is the weight of the transfer cost of a candidate that is late. It then only decides between
	// candidates of about the same latency.
	lateTransferWeight = 0.125
)

// lateness returns how certainly the chosen upstream misses the objective, between 0 and 1. A request without an
// objective, or past it, is never late: no choice changes that.
func lateness(now time.Time, choice Choice, req Request) float64 {
	return latenessWithin(req.ObjectiveAt.Sub(now), choice.EstimatedLatency, latencySpread)
}

// latenessWithin is lateness for a latency that varies by the given fraction, given the time left.
func latenessWithin(left, latency time.Duration, fraction float64) float64 {
	if left <= 0 {
		return 0
	}
	spread := max(float64(latency)*fraction, float64(time.Millisecond))
	return min(max(1-float64(left-latency)/spread, 0), 1)
}

// latenessPenalty is added to the cost of a candidate that is predicted to miss the objective of the request. It
// outweighs the cost of a border, most of which it replaces.
func (c *Chooser) latenessPenalty(late float64, u *upstream, stats *routeStats) time.Duration {
	kilobytes := stats.size / 1000
	border := max(c.config.TransferCosts.CrossDataCentre, c.config.TransferCosts.CrossRegion)
	penalty := float64(latenessCost) + kilobytes*float64(border)
	return time.Duration(late * (penalty - (1-lateTransferWeight)*float64(c.transferCost(u, stats))))
}

// prediction is a candidate with its cost apart from lateness, and with it.
type prediction struct {
	choice             Choice
	cost, punctualCost time.Duration
	lateness           float64
}

func (p *prediction) isKnown() bool { return p.choice.Upstream != "" }

// cheapestInTime returns the usable candidate with the lowest cost of those that are predicted to meet the objective.
//
// Within a region, the momentary load decides. Between regions, the predicted lateness only counts through the route's
// shift, which is smoothed: otherwise a region's requests would change between regions with every short queue.
func (c *Chooser) cheapestInTime(
	now time.Time, req Request, stats *routeStats, weight float64, candidates []candidate,
) (Choice, bool) {
	var near, far prediction
	for _, u := range candidates {
		if !c.isUsable(now, u.upstream, req) {
			continue
		}
		p := prediction{}
		p.choice, p.cost = c.estimate(now, u, req, stats, weight)
		p.lateness = lateness(now, p.choice, req)
		p.punctualCost = p.cost + c.latenessPenalty(p.lateness, u.upstream, stats)
		best := &near
		if u.Region != c.config.Region {
			best = &far
		}
		if !best.isKnown() || p.punctualCost < best.punctualCost {
			*best = p
		}
	}
	switch {
	case !near.isKnown():
		return far.choice, far.isKnown()
	case !far.isKnown():
		return near.choice, true
	}
	if left := req.ObjectiveAt.Sub(now); left > 0 && req.Object != "" {
		// The time that a request has waited counts where it is to be served, and not where it could have gone at once.
		stats.shift.observeObjective(left)
		nearLeft, farLeft := left, stats.shift.objective
		if candidates[0].Region != c.config.Region {
			nearLeft, farLeft = farLeft, nearLeft
		}
		stats.shift.observe(now, c.usualLateness(now, near.choice, nearLeft, stats), c.usualLateness(now, far.choice, farLeft, stats))
	}
	if far.cost-far.choice.momentaryExcess < near.cost-near.choice.momentaryExcess {
		return far.choice, true
	}
	return near.choice, true
}

// usualLateness returns the lateness at the chosen upstream, given the time left, if it were the home of the object: with
// the usual state of its cache, and a new connection as often as measured for the other regions.
func (c *Chooser) usualLateness(now time.Time, choice Choice, left time.Duration, stats *routeStats) float64 {
	u := c.upstreams[choice.Upstream]
	choice.EstimatedLatency -= choice.connect
	if u.Region != c.config.Region {
		choice.EstimatedLatency += time.Duration(stats.newConnections.current(now) * float64(choice.rtt))
	}
	if excess := choice.expectedProcessing - stats.usualProcessing(); excess > 0 {
		choice.EstimatedLatency -= excess
	}
	spread := latencySpread
	if u.Region == c.config.Region {
		spread = shiftSpread
	}
	return latenessWithin(left, choice.EstimatedLatency, spread)
}

// usualProcessing returns the average processing time at homes, of which most have the object in their cache.
func (s *routeStats) usualProcessing() time.Duration {
	homes, repeats := float64(s.counts[cacheHome]), float64(s.counts[cacheWarm])
	if homes+repeats == 0 {
		return s.home
	}
	return time.Duration((homes*float64(s.home) + repeats*float64(s.warm)) / (homes + repeats))
}

// newConnectionRatio is the fraction of a route's requests to other regions that needed a new connection. Without new
// samples it decays, so that a route which sends none tries again.
type newConnectionRatio struct {
	fraction   float64
	observedAt time.Time
}

// newConnectionHalfLife is about the time for which idle connections stay open.
const newConnectionHalfLife = 10 * time.Second

func (r *newConnectionRatio) current(now time.Time) float64 {
	return r.fraction * decay(now.Sub(r.observedAt), newConnectionHalfLife)
}

func (r *newConnectionRatio) observe(now time.Time, isNew bool) {
	sample := 0.0
	if isNew {
		sample = 1
	}
	known := r.current(now)
	r.fraction, r.observedAt = known+averageWeight*(sample-known), now
}

// recordConnection records which connection a request takes.
func (c *Chooser) recordConnection(now time.Time, choice Choice, req Request) Choice {
	u := c.upstreams[choice.Upstream]
	choice.isNewConnection = !u.idle.take(now, c.connectionLifetime())
	if u.Region != c.config.Region {
		c.stats(req).newConnections.observe(now, choice.isNewConnection)
	}
	return choice
}

// observeConnection records what an attempt left of its connection.
func (c *Chooser) observeConnection(now time.Time, u *upstream, o Outcome) {
	if !c.features.Speed {
		return
	}
	switch o.(type) {
	case Answered, Shed, Misdirected:
		u.idle.put(now)
	case ConnectFailed:
		u.idle = idleConnections{}
	}
}

const (
	// shiftSmoothing is the time constant of the smoothed lateness that moves the shift.
	shiftSmoothing = 2 * time.Second
	// shiftRate bounds the change of the shift per second. Within 2 s, the shift and one step of the local share stay below
	// 0.15, the fraction of a region's requests that may change their region. At 0.045, the variation of what is requested
	// exceeded that in a simulated load of 200 requests in 2 s.
	shiftRate = 0.035
	// shiftGain is the rate of the shift for a difference in lateness of 1, and shiftLeak that at which it returns to 0.
	// All instances of a region see about the same lateness, so that their shifts approach each other: the shift at which
	// both rates are the same does not depend on where it started.
	shiftGain = 0.2
	shiftLeak = 0.05
	// shiftSpread is latencySpread for the lateness in this region that moves the shift: objects move before requests are
	// late.
	shiftSpread = 0.3
	// maxShiftGap is the longest time between two requests that counts as passed for the shift. Nothing is known of the
	// time in between.
	maxShiftGap = 500 * time.Millisecond
)

// routeShift moves a fraction of a route's objects between this region and the others, so that requests are late in
// neither of them.
type routeShift struct {
	// fraction is between -1 and 1: if positive, that fraction of the objects that are usually served here is served
	// elsewhere, and if negative, that fraction of the others is served here.
	fraction float64
	// lowest is the lowest possible fraction: 0 if all objects are usually served here, and otherwise -1.
	lowest float64
	// objective is the longest time that a request had left.
	objective time.Duration
	// near and far are the smoothed latenesses of the best candidates in this region and in the others.
	near, far  float64
	observedAt time.Time
}

// objectiveDecay lowers the known objective with each request, so that a lower one is found after some hundred.
const objectiveDecay = 0.999

// observeObjective records the time that a request has left; one that has just arrived has all of the objective.
func (s *routeShift) observeObjective(left time.Duration) {
	s.objective = max(time.Duration(float64(s.objective)*objectiveDecay), left)
}

// observe records the predicted latenesses for one request and moves the shift.
func (s *routeShift) observe(now time.Time, near, far float64) {
	elapsed := min(max(now.Sub(s.observedAt), 0), maxShiftGap)
	if now.After(s.observedAt) {
		s.observedAt = now
	}
	weight := 1 - math.Exp(-float64(elapsed)/float64(shiftSmoothing))
	s.near += weight * (near - s.near)
	s.far += weight * (far - s.far)
	rate := shiftGain*(s.near-s.far) - shiftLeak*s.fraction
	s.fraction += elapsed.Seconds() * min(max(rate, -shiftRate), shiftRate)
	s.fraction = min(max(s.fraction, s.lowest), 1)
}

// isServedHereNow reports whether the home of the request's object is in this region, given the shift of its route.
// Objects with large responses are usually served in their region, since their transfer costs more than a short wait.
func (c *Chooser) isServedHereNow(rankings *objectRankings, req Request, stats *routeStats, isBulk bool) bool {
	isHere := c.isServedHere(rankings, req)
	stats.shift.lowest = -1
	if c.features.Plan {
		// The plan knows how much work the region has room for.
		stats.shift.lowest = 0
	}
	if isBulk && !c.features.Plan {
		isHere, stats.shift.lowest = true, 0
	}
	switch fraction := stats.shift.fraction; {
	case isHere && fraction > 0:
		return rankings.shiftHash >= fraction
	case !isHere && fraction < 0:
		return rankings.shiftHash < -fraction
	}
	return isHere
}

// predictedCandidates returns the upstreams for an object whose latencies are to be predicted: those of candidates, and
// for large responses the homes of all data centres of this region and a second upstream in the other regions.
func (c *Chooser) predictedCandidates(now time.Time, req Request, stats *routeStats) []candidate {
	rankings := c.rankUpstreams(req)
	if req.IsBulk && stats.size == 0 {
		stats.size = bulkResponseBytes
	}
	isBulk := req.IsBulk || stats.size > bulkResponseBytes
	out := c.candidateBuffer[:0]
	add := func(u *upstream, isHome bool, penalty time.Duration) {
		if u == nil || !u.isPastBackoff(now) {
			return
		}
		if len(out) == 0 {
			isHome, penalty = true, 0
		}
		out = append(out, candidate{upstream: u, isHome: isHome, penalty: penalty})
	}
	addDataCentreHomes := func(penalty time.Duration) {
		for _, home := range rankings.dataCentreHomes {
			if isBulk && home != rankings.sameRegion.upstreams[0] && c.remembersCopies(home.DataCentre) {
				add(home, true, penalty)
			}
		}
	}
	if c.isServedHereNow(rankings, req, stats, isBulk) {
		add(rankings.sameRegion.upstreams[0], true, 0)
		add(rankings.sameRegion.upstreams[1], false, affinityPenalty)
		addDataCentreHomes(0)
		add(rankings.otherRegions.upstreams[0], false, affinityPenalty)
	} else {
		// The decision to cross the border has been made, so its cost no longer counts against the other regions.
		returnPenalty := regionReturnPenalty + time.Duration(stats.size/1000*float64(c.config.TransferCosts.CrossRegion))
		add(rankings.otherRegions.upstreams[0], true, 0)
		add(rankings.sameRegion.upstreams[0], false, returnPenalty)
		addDataCentreHomes(returnPenalty)
	}
	isFarOverflow := c.features.Plan && len(out) > 0 && out[0].Region != c.config.Region
	if isBulk || len(out) < minCandidates || isFarOverflow {
		add(rankings.otherRegions.upstreams[1], false, affinityPenalty)
	}
	c.candidateBuffer = out
	return out
}

// dataCentreHome returns the position of the upstream's data centre in the homes by data centre, and a home there if
// there is one.
func dataCentreHome(homes []*upstream, dataCentre id.DataCentre) (int, *upstream) {
	for i, home := range homes {
		if home.DataCentre == dataCentre {
			return i, home
		}
	}
	return len(homes), nil
}

// addDataCentreHome ranks an upstream of this region among those of its data centre.
func (r *objectRankings) addDataCentreHome(object uint64, u *upstream) {
	switch i, home := dataCentreHome(r.dataCentreHomes, u.DataCentre); {
	case home == nil:
		r.dataCentreHomes = append(r.dataCentreHomes, u)
	case score(object, u) > score(object, home):
		r.dataCentreHomes[i] = u
	}
}

const (
	// idleConnectionTime is how long an idle connection is expected to stay open. Upstreams close theirs after 10 s, and
	// the pool does not use them in the last moments before.
	idleConnectionTime = 9 * time.Second
	// heldConnectionTime applies if the pool holds connections open to upstreams that it has used within 20 s.
	heldConnectionTime = 19 * time.Second
	// maxTrackedConnections bounds the idle connections that are tracked per upstream.
	maxTrackedConnections = 8
)

// idleConnections holds the times at which the connections to an upstream became idle, the most recent last. It follows
// what the pool does: the most recently used connection is taken first.
type idleConnections struct {
	idleSince []time.Time
}

func (c *Chooser) connectionLifetime() time.Duration {
	if c.features.Plan {
		return heldConnectionTime
	}
	return idleConnectionTime
}

// isOpen reports whether an idle connection is probably open.
func (i *idleConnections) isOpen(now time.Time, lifetime time.Duration) bool {
	n := len(i.idleSince)
	return n > 0 && now.Sub(i.idleSince[n-1]) < lifetime
}

// take removes the connection that the next request uses.
func (i *idleConnections) take(now time.Time, lifetime time.Duration) (isOpen bool) {
	isOpen = i.isOpen(now, lifetime)
	if !isOpen {
		i.idleSince = i.idleSince[:0]
		return false
	}
	i.idleSince = i.idleSince[:len(i.idleSince)-1]
	return true
}

// put adds a connection that has become idle.
func (i *idleConnections) put(now time.Time) {
	if len(i.idleSince) >= maxTrackedConnections {
		i.idleSince = append(i.idleSince[:0], i.idleSince[1:]...)
	}
	i.idleSince = append(i.idleSince, now)
}

// connectTime returns the time for a new connection to the upstream, if the next request probably needs one.
func (c *Chooser) connectTime(now time.Time, u *upstream) time.Duration {
	if u.idle.isOpen(now, c.connectionLifetime()) {
		return 0
	}
	return c.rtt(u)
}

const (
	// transferWeight is the weight of a new sample in the measured transfer time.
	transferWeight = 0.1
	// maxTransferTime bounds the measured transfer time.
	maxTransferTime = 2 * time.Second
	// minTransferScale and maxTransferScale bound how far the size of one request's body scales the transfer time.
	minTransferScale = 0.25
	maxTransferScale = 4.0
)

// transferTime is the measured time for the transfer of bodies between this instance and one region, in addition to
// that within this region, which is part of the processing time.
type transferTime struct {
	average time.Duration
	// last is the last sample.
	last  time.Duration
	count uint64
}

// predictTransfer returns the transfer time of a request's bodies for an upstream of the region.
func (s *routeStats) predictTransfer(region id.Region, req Request) time.Duration {
	t := s.transfers[region]
	if t == nil {
		return 0
	}
	return time.Duration(float64(t.average) * s.transferScale(req))
}

// transferScale returns the ratio of the bytes of one request to the route's average.
func (s *routeStats) transferScale(req Request) float64 {
	if !req.IsUpload || s.bodySize == 0 {
		return 1
	}
	return min(max((float64(req.BodySize)+s.size)/(s.bodySize+s.size), minTransferScale), maxTransferScale)
}

// observeTransfer records what remains of the elapsed time without the round trips and the processing.
func (s *routeStats) observeTransfer(region id.Region, req Request, remaining time.Duration) {
	if s.transfers == nil {
		s.transfers = make(map[id.Region]*transferTime)
	}
	t := s.transfers[region]
	if t == nil {
		t = &transferTime{}
		s.transfers[region] = t
	}
	t.count++
	t.last = remaining
	remaining = time.Duration(float64(remaining) / s.transferScale(req))
	weight := max(transferWeight, 1/float64(t.count+1))
	t.average += time.Duration(weight * float64(min(max(remaining, -maxTransferTime), maxTransferTime)-t.average))
	t.average = max(t.average, 0)
	if req.IsUpload {
		s.bodySize += weight * (float64(req.BodySize) - s.bodySize)
	}
}
