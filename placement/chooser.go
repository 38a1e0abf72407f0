package placement

import (
	"cmp"
	"slices"
	"time"

	"bluebellhold/id"
)

// Config configures a Chooser.
type Config struct {
	// Region and DataCentre are where the instance runs.
	Region     id.Region
	DataCentre id.DataCentre
	// TransferCosts weigh the transfer of large answers; zero values give the defaults.
	TransferCosts TransferCosts
}

// TransferCosts are the delays that a kilobyte of an answer counts for when it crosses a border, since those links are shared
// and paid for.
type TransferCosts struct {
	// CrossDataCentre is for answers from another data centre of the region, by default 8 ms.
	CrossDataCentre time.Duration
	// CrossRegion is for answers from another region, by default 8 ms.
	CrossRegion time.Duration
}

// The defaults of Prices: an answer of 100 kB from elsewhere counts like 800 ms, more than a cold run at a near upstream
// costs its caller.
const (
	defaultCrossDataCentreCost = 8 * time.Millisecond
	defaultCrossRegionCost     = 8 * time.Millisecond
)

// Chooser places the requests of one service.
type Chooser struct {
	config    Config
	upstreams map[id.Upstream]*upstream
	// ordered holds the upstreams by id, so that decisions do not depend on the order of a map.
	ordered   []*upstream
	routes    map[id.Route]*routeStats
	rtts      map[id.Region]time.Duration
	evacuated map[id.DataCentre]bool
	// cold is what all members together may send to a cold upstream within a second.
	coldRate id.Tokens
	// sendsMost bounds the requests that this instance has at one upstream; zero is no bound.
	maxInFlight int
	members     []id.Instance
	self        id.Instance
	// places holds where objects are settled, and buffer the candidates of the current choice.
	rankings        map[string]*objectRankings
	candidateBuffer []candidate
	// kept is the part of the objects that have their home in the own region.
	localShare float64
	// isKept is set once kept follows the demand.
	isDemandKnown bool
}

// New returns a Chooser without upstreams.
func New(c Config) *Chooser {
	if c.TransferCosts.CrossDataCentre == 0 {
		c.TransferCosts.CrossDataCentre = defaultCrossDataCentreCost
	}
	if c.TransferCosts.CrossRegion == 0 {
		c.TransferCosts.CrossRegion = defaultCrossRegionCost
	}
	return &Chooser{
		config: c, upstreams: make(map[id.Upstream]*upstream), routes: make(map[id.Route]*routeStats),
		rtts: make(map[id.Region]time.Duration), rankings: make(map[string]*objectRankings),
		candidateBuffer: make([]candidate, 0, maxCandidates),
	}
}

// SetUpstreams brings the upstreams in line with the list; those that stay keep what is known about them.
func (c *Chooser) SetUpstreams(now time.Time, list []Upstream) {
	upstreams := make(map[id.Upstream]*upstream, len(list))
	c.ordered = c.ordered[:0]
	for _, u := range list {
		known := c.upstreams[u.ID]
		if known == nil || known.Incarnation != u.Incarnation {
			known = &upstream{
				hash: hashString(string(u.ID)), slowdown: 1,
				processingTimes: make(map[objectKey]sample), warmingSince: make(map[objectKey]time.Time),
			}
		}
		if now.Before(u.ColdUntil) && !now.Before(known.ColdUntil) {
			// A cold upstream has lost what it remembered.
			known.processingTimes = make(map[objectKey]sample)
		}
		known.Upstream = u
		upstreams[u.ID] = known
		c.ordered = append(c.ordered, known)
	}
	c.upstreams = upstreams
	slices.SortFunc(c.ordered, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
	c.rankings = make(map[string]*objectRankings)
	if !c.isDemandKnown {
		c.assumeLocalShare()
	}
	c.divideColdRate(now)
}

// SetEvacuated stops all new work for the upstreams of the data centres and reopens the others.
func (c *Chooser) SetEvacuated(dataCentres map[id.DataCentre]bool) {
	c.evacuated = dataCentres
	c.rankings = make(map[string]*objectRankings)
}

// UpstreamCount returns the number of upstreams whose data centres are open.
func (c *Chooser) UpstreamCount() int {
	n := 0
	for _, u := range c.ordered {
		if !c.evacuated[u.DataCentre] {
			n++
		}
	}
	return n
}

// SetColdRate tells the instances that place requests of the service and how many requests per second all of them together
// may send to a cold upstream.
func (c *Chooser) SetColdRate(now time.Time, self id.Instance, members []id.Instance, rate id.Tokens) {
	c.self, c.members, c.coldRate = self, members, rate
	c.divideColdRate(now)
}

// SetMaxInFlight bounds the requests that are sent to one upstream at a time, and with them the connections to it; zero is no bound.
func (c *Chooser) SetMaxInFlight(requests int) { c.maxInFlight = requests }

const (
	// leastColdPart is the smallest part of a cold upstream's rate that is worth holding.
	minColdShare = 2
	// coldWindow is the span over which a cold upstream's rate is counted.
	coldRateWindow = time.Second
)

// AssumeColdRateSpent counts the parts of all cold upstreams' rates as spent by a predecessor within the last window.
func (c *Chooser) AssumeColdRateSpent(now time.Time) {
	for _, u := range c.ordered {
		u.coldShare.Assume(now, u.coldShare.Part())
	}
}

// shareCold divides the cold window of each upstream among as many instances as get a useful part.
func (c *Chooser) divideColdRate(now time.Time) {
	holders := min(max(int(c.coldRate/minColdShare), 1), max(len(c.members), 1))
	for _, u := range c.ordered {
		u.holdsColdShare = c.coldRank(u) < holders
		u.coldShare.Set(now, c.coldRate/id.Tokens(holders), coldRateWindow)
	}
}

// coldRank is the place of this instance among all in the order in which they may use a cold upstream.
func (c *Chooser) coldRank(u *upstream) int {
	rank := 0
	own := combineHashes(u.hash, hashString(string(c.self)))
	for _, m := range c.members {
		if m != c.self && combineHashes(u.hash, hashString(string(m))) > own {
			rank++
		}
	}
	return rank
}

// Request describes a request to place.
type Request struct {
	Object string
	Route  id.Route
	// IsBulk is set if answers are expected to be large.
	IsBulk bool
	// ExpectedProcessingTime is the work assumed for the class before any sample.
	ExpectedProcessingTime time.Duration
	// Regions are those allowed; empty means all.
	Regions []id.Region
	// Avoid are upstreams that have already had the request.
	Avoid []id.Upstream
}

// key names the object among those of all routes: an object of one route is another one than that of the same name of
// another route, as far as upstreams remember it.
func (req Request) key() objectKey {
	return objectKey{req.Route, req.Object}
}

type objectKey struct {
	route  id.Route
	object string
}

func (req Request) allows(region id.Region) bool {
	return len(req.Regions) == 0 || slices.Contains(req.Regions, region)
}

// Choice is the upstream that would finish a request first.
type Choice struct {
	Upstream id.Upstream
	// EstimatedLatency is the estimated time from the send to the whole answer.
	EstimatedLatency time.Duration
	// HasCapacity is false if the upstream has as many requests as it should; the request should wait.
	HasCapacity bool

	cacheState         cacheState
	expectedProcessing time.Duration
	rtt                time.Duration
	sentAt             time.Time
	// isClean is set if the upstream was not expected to let the request wait, so that the time tells the work.
	isUncontended bool
}

// Choose returns the upstream that is expected to finish the request first. If that one has no room, waiting for it is
// expected to be quicker than any other that has.
//
// A request with an object considers only the object's homes, unless none of them can be used: a cold run elsewhere
// would take the room of several warm ones.
func (c *Chooser) Choose(now time.Time, req Request) (Choice, bool) {
	stats := c.stats(req)
	weight := processingWeight(c.utilisation(now))
	if req.Object != "" {
		if choice, ok := c.cheapest(now, req, stats, weight, c.candidates(now, req, stats)); ok {
			return choice, true
		}
	}
	return c.cheapest(now, req, stats, weight, c.allCandidates())
}

// all returns every upstream as a candidate that does not know the object.
func (c *Chooser) allCandidates() []candidate {
	out := c.candidateBuffer[:0]
	for _, u := range c.ordered {
		out = append(out, candidate{upstream: u})
	}
	c.candidateBuffer = out
	return out
}

// best returns the cheapest of the candidates.
func (c *Chooser) cheapest(
	now time.Time, req Request, stats *routeStats, weight float64, candidates []candidate,
) (Choice, bool) {
	var best Choice
	var lowest time.Duration
	for _, u := range candidates {
		if !c.isUsable(now, u.upstream, req) {
			continue
		}
		choice, cost := c.estimate(now, u, req, stats, weight)
		if best.Upstream == "" || cost < lowest {
			best, lowest = choice, cost
		}
	}
	return best, best.Upstream != ""
}

const (
	// crowdedAbove is the part of the slots in use above which the work counts for more than its own time.
	congestionThreshold = 0.5
	// busiestWeight is the weight of the work when all slots are in use: the work then delays others as well.
	saturatedWeight = 3.0
)

// workWeightAt returns how much the work counts besides the time that the request itself takes.
func processingWeight(utilisation float64) float64 {
	return 1 + (saturatedWeight-1)*min(max((utilisation-congestionThreshold)/(1-congestionThreshold), 0), 1)
}

// utilisation is the part of all slots that is estimated to be in use.
func (c *Chooser) utilisation(now time.Time) float64 {
	var busy, slots float64
	for _, u := range c.ordered {
		busy += min(float64(u.inFlight())+u.currentOtherLoad(now), float64(u.Slots))
		slots += float64(u.Slots)
	}
	return busy / max(slots, 1)
}

func (c *Chooser) isUsable(now time.Time, u *upstream, req Request) bool {
	switch {
	case c.evacuated[u.DataCentre], !req.allows(u.Region), slices.Contains(req.Avoid, u.ID):
		return false
	case u.consecutiveFailures > 0 && (now.Before(u.retryAt) || u.inFlight() > 0):
		return false
	case u.isCold(now) && (!u.holdsColdShare || u.coldShare.NextAt(now).After(now)):
		return false
	}
	return true
}

// isCold reports whether the cold rate binds: the upstream says so, or it has come back after a failure and nothing
// newer is known.
func (u *upstream) isCold(now time.Time) bool {
	return now.Before(u.ColdUntil) || now.Before(u.assumedColdUntil)
}

// class returns the measured work of a route.
func (c *Chooser) stats(req Request) *routeStats {
	stats := c.routes[req.Route]
	if stats == nil {
		stats = newRouteStats(req.ExpectedProcessingTime)
		c.routes[req.Route] = stats
	}
	return stats
}

// coldFactor is the factor that a cold upstream's work is assumed to take.
const coldSlowdown = 2

// estimate predicts the time to finish at one upstream, and the cost that includes the price of the transfer.
func (c *Chooser) estimate(
	now time.Time, u candidate, req Request, stats *routeStats, weight float64,
) (Choice, time.Duration) {
	expected, state := u.expectedProcessing(now, req, stats)
	slots := max(float64(u.Slots), 1)
	busy := float64(u.inFlight()) + u.currentOtherLoad(now)
	hasCapacity := (busy < slots || u.shouldProbe(now)) && (c.maxInFlight == 0 || u.inFlight() < c.maxInFlight)
	wait := time.Duration(max(busy+float64(u.queued)-slots+1, 0) / slots * float64(stats.home))
	if since, ok := u.warmingSince[req.key()]; ok && state != cacheWarm && busy >= congestionThreshold*slots {
		// The first request for the object makes it warm; one that waits for that needs a fraction of the work. While there
		// are slots to spare, a second cold run delays nobody.
		hasCapacity = false
		expected = stats.warm
		wait = max(wait, stats.cold-now.Sub(since), 0)
	}
	processing := time.Duration(float64(expected) * max(u.currentSlowdown(now), u.overdueRatio(now)))
	if u.isCold(now) {
		processing *= coldSlowdown
	}
	rtt := c.rtt(u.upstream)
	choice := Choice{
		Upstream: u.ID, EstimatedLatency: rtt + wait + processing, HasCapacity: hasCapacity,
		cacheState: state, expectedProcessing: expected, rtt: rtt, isUncontended: busy < slots,
	}
	rtt += u.penalty
	cost := rtt + wait + processing + time.Duration((weight-1)*float64(processing)) + time.Duration(u.currentErrorRate(now)*float64(stats.cold))
	return choice, cost + c.transferCost(u.upstream, stats)
}

// probeAfter is the time without news of an upstream's load after which one request is sent there although it is
// believed to be full; it is about the time that a warm request takes.
const probeDelay = 300 * time.Millisecond

// mayProbe reports whether one request should find out if the upstream is still full.
func (u *upstream) shouldProbe(now time.Time) bool {
	return u.inFlight() == 0 && now.Sub(u.otherLoadAt) > probeDelay
}

// transfer is the delay that stands for the price of moving an answer across a border.
func (c *Chooser) transferCost(u *upstream, stats *routeStats) time.Duration {
	kilobytes := stats.size / 1000
	switch {
	case u.Region != c.config.Region:
		return time.Duration(kilobytes * float64(c.config.TransferCosts.CrossRegion))
	case u.DataCentre != c.config.DataCentre:
		return time.Duration(kilobytes * float64(c.config.TransferCosts.CrossDataCentre))
	}
	return 0
}

// homeBias is how much later an object may be expected to finish at its home than elsewhere. It brings objects back to
// the place that all instances agree on, and to upstreams that have joined.
const affinityPenalty = 60 * time.Millisecond

// returnBias is the same for an object whose home is in another region since the own one has too few slots. It is more
// than the way there and back, so that the object does not return whenever the own region has room for a moment.
const regionReturnPenalty = 250 * time.Millisecond

const (
	// memoryFor is how long a measured work of an object is taken as what the upstream still needs.
	processingTimeTTL = time.Minute
	// slownessFor and shedFor are the times after which a bad experience counts for half.
	slowdownHalfLife  = 2 * time.Second
	errorRateHalfLife = time.Second
	// othersFor is how long a load report says something about what other instances do.
	loadReportTTL = 2 * time.Second
)

// expect returns the work that the object needs at the upstream when nothing slows it down.
func (u candidate) expectedProcessing(now time.Time, req Request, stats *routeStats) (time.Duration, cacheState) {
	if s, ok := u.processingTimes[req.key()]; ok && req.Object != "" && now.Sub(s.at) < processingTimeTTL {
		return s.processing, cacheWarm
	}
	if u.isHome {
		return stats.home, cacheHome
	}
	return stats.cold, cacheCold
}

func (u *upstream) currentSlowdown(now time.Time) float64 {
	return 1 + (u.slowdown-1)*decay(now.Sub(u.slowdownAt), slowdownHalfLife)
}

func (u *upstream) currentErrorRate(now time.Time) float64 {
	return u.errorRate * decay(now.Sub(u.errorRateAt), errorRateHalfLife)
}

func (u *upstream) currentOtherLoad(now time.Time) float64 {
	age := now.Sub(u.otherLoadAt)
	if age >= loadReportTTL {
		return 0
	}
	return u.otherLoad * (1 - float64(age)/float64(loadReportTTL))
}
