package placement

import (
	"cmp"
	"slices"
	"time"

	"bluebellhold/features"
	"bluebellhold/id"
)

// Config configures a Chooser.
type Config struct {
	// Region and DataCentre are where the instance runs.
	Region     id.Region
	DataCentre id.DataCentre
	// TransferCosts penalise large responses that cross a data centre or region border; zero values give the defaults.
	TransferCosts TransferCosts
}

// TransferCosts are the delays added to the cost of an upstream for each kilobyte of a response that crosses the
// border of a data centre or a region, since those links are shared and paid for.
type TransferCosts struct {
	// CrossDataCentre applies to responses from another data centre of the same region, by default 8 ms.
	CrossDataCentre time.Duration
	// CrossRegion applies to responses from another region, by default 8 ms.
	CrossRegion time.Duration
}

// The defaults of TransferCosts: a response of 100 kB from elsewhere costs as much as 800 ms, which is more than a
// request with a cold cache takes at a nearby upstream.
const (
	defaultCrossDataCentreCost = 8 * time.Millisecond
	defaultCrossRegionCost     = 8 * time.Millisecond
)

// Chooser chooses upstreams for the requests of one service.
type Chooser struct {
	config    Config
	features  features.Set
	upstreams map[id.Upstream]*upstream
	// ordered holds the upstreams sorted by id, so that choices do not depend on the iteration order of a map.
	ordered   []*upstream
	routes    map[id.Route]*routeStats
	rtts      map[id.Region]time.Duration
	evacuated map[id.DataCentre]bool
	// coldRate is the number of requests per second that all instances together may send to a cold upstream.
	coldRate id.Tokens
	// maxInFlight bounds the requests of this instance in flight at one upstream; zero means unlimited.
	maxInFlight int
	members     []id.Instance
	self        id.Instance
	// peers are the instances that divide the limits that upstreams name, and limits are the known ones.
	peers  []Peer
	limits map[id.Upstream]*rateLimit
	// rests are those that upstreams have asked for.
	rests map[id.Upstream]*rest
	// rankings caches the ranked upstreams of objects, and candidateBuffer is reused by each call of Choose.
	rankings map[string]*objectRankings
	// objectCount is the number of objects that were known before rankings was reset.
	objectCount     int
	candidateBuffer []candidate
	// localShare is the fraction of objects whose home is in this region.
	localShare float64
	// meanWork is the mean of the work factors that upstreams report; zero before the first.
	meanWork WorkFactor
	// isDemandKnown is set once localShare follows the measured demand.
	isDemandKnown bool
	// plannedShares are the fractions of the objects of each route whose home is in this region, and far the homes of the
	// others.
	plannedShares map[id.Route]float64
	far           farSubset
	// load is the state of the feature Even.
	load loadState
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
		limits:          make(map[id.Upstream]*rateLimit),
		rests:           make(map[id.Upstream]*rest),
		candidateBuffer: make([]candidate, 0, maxCandidates),
	}
}

// SetUpstreams replaces the list of upstreams; an upstream that remains under the same incarnation keeps its
// measurements.
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
			// A cold upstream has lost its cache.
			known.processingTimes = make(map[objectKey]sample)
		}
		known.Upstream = u
		upstreams[u.ID] = known
		c.ordered = append(c.ordered, known)
	}
	c.upstreams = upstreams
	c.reattachLimits(now)
	c.reattachRests(now)
	slices.SortFunc(c.ordered, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
	c.resetRankings()
	c.resetFarHomes()
	if !c.isDemandKnown {
		c.assumeLocalShare()
	}
	c.divideColdRate(now)
}

// SetFeatures sets which optional parts are on.
func (c *Chooser) SetFeatures(set features.Set) {
	if set.Plan != c.features.Plan {
		c.resetRankings()
		c.resetFarHomes()
	}
	c.features = set
}

// SetEvacuated excludes the upstreams of the given data centres from new requests and readmits all others. Those that it
// readmits count as cold until coldUntil: they may have restarted meanwhile, and their rows say so later than the operator
// readmits them.
func (c *Chooser) SetEvacuated(dataCentres map[id.DataCentre]bool, coldUntil time.Time) {
	for _, u := range c.ordered {
		if c.evacuated[u.DataCentre] && !dataCentres[u.DataCentre] {
			u.readmittedColdUntil = coldUntil
		}
	}
	c.evacuated = dataCentres
	c.resetRankings()
	c.resetFarHomes()
}

// UpstreamCount returns the number of upstreams whose data centres are not evacuated.
func (c *Chooser) UpstreamCount() int {
	n := 0
	for _, u := range c.ordered {
		if !c.evacuated[u.DataCentre] {
			n++
		}
	}
	return n
}

// SetColdRate sets the instances that forward requests of the service, and the rate in requests per second that all of
// them together may send to a cold upstream.
func (c *Chooser) SetColdRate(now time.Time, self id.Instance, members []id.Instance, rate id.Tokens) {
	c.self, c.members, c.coldRate = self, members, rate
	c.divideColdRate(now)
}

// SetMaxInFlight bounds the requests in flight at each upstream, and with them the connections to it; zero means
// unlimited.
func (c *Chooser) SetMaxInFlight(requests int) { c.maxInFlight = requests }

const (
	// minColdShare is the smallest useful share of a cold upstream's rate, in requests per second.
	minColdShare = 2
	// coldRateWindow is the sliding window over which the rate of a cold upstream is counted.
	coldRateWindow = time.Second
)

// AssumeColdRateSpent counts this instance's share of each cold rate as spent by its predecessor within the last
// window.
func (c *Chooser) AssumeColdRateSpent(now time.Time) {
	for _, u := range c.ordered {
		u.coldShare.AssumeSpent(now, u.coldShare.Limit())
	}
}

// divideColdRate divides the cold rate of each upstream among as many instances as can get a useful share.
func (c *Chooser) divideColdRate(now time.Time) {
	holders := min(max(int(c.coldRate/minColdShare), 1), max(len(c.members), 1))
	for _, u := range c.ordered {
		u.holdsColdShare = c.coldRank(u) < holders
		u.coldShare.SetLimit(now, c.coldRate/id.Tokens(holders), coldRateWindow)
	}
}

// coldRank is the position of this instance in the rendezvous order of instances that may use a cold upstream.
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

// Request describes a request that needs an upstream.
type Request struct {
	Object string
	Route  id.Route
	// IsBulk is set if the response is expected to be large.
	IsBulk bool
	// ExpectedProcessingTime is assumed for the route until one has been measured.
	ExpectedProcessingTime time.Duration
	// Regions are the allowed regions; empty means all.
	Regions []id.Region
	// ObjectiveAt is the end of the route's latency objective; zero means that there is none.
	ObjectiveAt time.Time
	// IsUpload is set if the body of the request is large, and BodySize is its size.
	IsUpload bool
	BodySize id.Bytes
	// Exclude are the upstreams that were already tried for this request.
	Exclude []id.Upstream
}

// key identifies the object across routes: upstreams cache objects per route, so objects of the same name on two routes
// are different.
func (req Request) key() objectKey {
	return objectKey{req.Route, req.Object}
}

type objectKey struct {
	route  id.Route
	object string
}

// Allows reports whether the request may be processed in the region.
func (req Request) Allows(region id.Region) bool {
	return len(req.Regions) == 0 || slices.Contains(req.Regions, region)
}

// Choice is an upstream chosen for a request.
type Choice struct {
	Upstream id.Upstream
	// EstimatedLatency is the estimated time from sending the request to receiving the whole response.
	EstimatedLatency time.Duration
	// HasCapacity is false if the request should wait: the upstream is at its limit, or another request is warming its
	// cache for the object.
	HasCapacity bool
	// NotBefore is the earliest time at which the limit of the upstream allows the request; zero means now.
	NotBefore time.Time

	cacheState         cacheState
	expectedProcessing time.Duration
	rtt                time.Duration
	// connect is the expected time for a new connection, and zero if one is expected to be open.
	connect time.Duration
	// momentaryExcess is the part of the estimated latency which is due to a momentarily slow upstream.
	momentaryExcess time.Duration
	// isNewConnection is set if no connection to the upstream was expected to be open.
	isNewConnection bool
	sentAt          time.Time
	// isUncontended is set if the upstream was expected to have a free slot, so that the elapsed time measures
	// processing and not queueing.
	isUncontended bool
}

// Choose returns the upstream with the lowest cost, which is the estimated latency plus penalties for load, errors and
// transfer. If it has no capacity, waiting for it is expected to be quicker than any other upstream.
//
// For a request with an object it considers only the object's candidates, unless none of them is usable: a request at
// another upstream finds a cold cache and takes the capacity of several warm ones.
func (c *Chooser) Choose(now time.Time, req Request) (Choice, bool) {
	stats := c.stats(req)
	weight := processingWeight(c.utilisation(now))
	if req.Object != "" {
		if choice, ok := c.cheapest(now, req, stats, weight, c.candidates(now, req, stats)); ok {
			return choice, true
		}
	}
	if choice, ok := c.cheapest(now, req, stats, weight, c.allCandidates()); ok {
		return choice, true
	}
	return c.chooseResting(now, req, stats)
}

// allCandidates returns every upstream as a candidate with a cold cache.
func (c *Chooser) allCandidates() []candidate {
	out := c.candidateBuffer[:0]
	for _, u := range c.ordered {
		out = append(out, candidate{upstream: u})
	}
	c.candidateBuffer = out
	return out
}

// cheapest returns the usable candidate with the lowest cost.
func (c *Chooser) cheapest(
	now time.Time, req Request, stats *routeStats, weight float64, candidates []candidate,
) (Choice, bool) {
	if c.features.Speed {
		return c.cheapestInTime(now, req, stats, weight, candidates)
	}
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
	// congestionThreshold is the utilisation above which processing time costs more than its own duration.
	congestionThreshold = 0.5
	// saturatedWeight is the weight of processing time when all slots are in use: it then delays other requests as
	// well.
	saturatedWeight = 3.0
)

// processingWeight returns the weight of processing time in the cost at the given utilisation; it is 1 without
// congestion.
func processingWeight(utilisation float64) float64 {
	return 1 + (saturatedWeight-1)*min(max((utilisation-congestionThreshold)/(1-congestionThreshold), 0), 1)
}

// utilisation is the estimated fraction of all slots in use.
func (c *Chooser) utilisation(now time.Time) float64 {
	if c.features.Even {
		return c.cachedUtilisation(now)
	}
	return c.currentUtilisation(now)
}

func (c *Chooser) currentUtilisation(now time.Time) float64 {
	var busy, slots float64
	for _, u := range c.ordered {
		if u.isResting(now) {
			continue
		}
		busy += min(c.estimateLoad(now, u), float64(u.Slots))
		slots += float64(u.Slots)
	}
	return busy / max(slots, 1)
}

func (c *Chooser) isUsable(now time.Time, u *upstream, req Request) bool {
	return !u.isResting(now) && c.isAllowed(now, u, req)
}

// isAllowed reports whether an upstream may get the request, apart from the rest that it has asked for.
func (c *Chooser) isAllowed(now time.Time, u *upstream, req Request) bool {
	switch {
	case c.evacuated[u.DataCentre], !req.Allows(u.Region), slices.Contains(req.Exclude, u.ID):
		return false
	case u.consecutiveFailures > 0 && (now.Before(u.retryAt) || u.inFlight() > 0):
		return false
	case u.isCold(now) && (!u.holdsColdShare || u.coldShare.NextTokenAt(now).After(now)):
		return false
	case u.isLimited(now) && !u.limit.holdsShare:
		return false
	}
	return true
}

// isCold reports whether the cold rate applies: the upstream was listed as cold, or a connection to it failed recently
// and it may have restarted, or the operator has just readmitted it.
func (u *upstream) isCold(now time.Time) bool {
	return now.Before(u.ColdUntil) || now.Before(u.assumedColdUntil) || now.Before(u.readmittedColdUntil)
}

// stats returns the measurements of the request's route.
func (c *Chooser) stats(req Request) *routeStats {
	stats := c.routes[req.Route]
	if stats == nil {
		stats = newRouteStats(req.ExpectedProcessingTime)
		c.routes[req.Route] = stats
	}
	return stats
}

// estimate returns the candidate as a choice with its estimated latency, and its cost.
func (c *Chooser) estimate(
	now time.Time, u candidate, req Request, stats *routeStats, weight float64,
) (Choice, time.Duration) {
	expected, state := u.expectedProcessing(now, req, stats)
	slots := max(float64(u.Slots), 1)
	busy := c.estimateLoad(now, u.upstream)
	hasCapacity := (busy < slots || c.shouldProbe(now, u.upstream)) && (c.maxInFlight == 0 || u.inFlight() < c.maxInFlight)
	wait := time.Duration(max(busy+float64(u.queued)-slots+1, 0) / slots * float64(stats.home))
	if c.features.Speed {
		wait = c.processingTime(now, u.upstream, wait)
	}
	if !hasCapacity && c.features.Even {
		wait = max(wait, c.paceWait(now, u.upstream))
	}
	if since, ok := u.warmingSince[req.key()]; ok && state != cacheWarm && busy >= congestionThreshold*slots {
		// The first request for the object warms the cache; one that waits for it needs a fraction of the processing
		// time. While there are spare slots, a second request with a cold cache delays no other request.
		hasCapacity = false
		expected = stats.warm
		wait = max(wait, stats.cold-now.Sub(since), 0)
	}
	var notBefore time.Time
	if u.isLimited(now) && !u.canTakeLimited(now) {
		hasCapacity = false
		notBefore = now.Add(u.limitWait(now))
		wait = max(wait, notBefore.Sub(now))
	}
	processing := c.processingTime(now, u.upstream, expected)
	rtt := c.rtt(u.upstream)
	var connect, transfer time.Duration
	if c.features.Speed {
		connect, transfer = c.connectTime(now, u.upstream), stats.predictTransfer(u.Region, req)
	}
	choice := Choice{
		Upstream: u.ID, EstimatedLatency: rtt + connect + wait + processing + transfer, HasCapacity: hasCapacity, NotBefore: notBefore,
		momentaryExcess: c.momentaryExcess(now, u.upstream, processing),
		cacheState:      state, expectedProcessing: expected, rtt: rtt, isUncontended: busy < slots, connect: connect,
	}
	rtt += connect + transfer + u.penalty
	cost := rtt + wait + processing + time.Duration((weight-1)*float64(processing)) + time.Duration(u.currentErrorRate(now)*float64(stats.cold))
	cost += c.transferCost(u.upstream, stats)
	return choice, cost
}

// transferCost is the cost, as a delay, of an average response that crosses a data centre or region border.
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

// affinityPenalty is added to the cost of candidates other than the home. It returns objects to the home that all
// instances agree on, and moves them to upstreams that have joined.
const affinityPenalty = 60 * time.Millisecond

// regionReturnPenalty is added to the cost of the local candidate of an object whose home is in another region because
// this one has too few slots. It exceeds the round trip between regions, so that the object does not return whenever
// this region briefly has capacity.
const regionReturnPenalty = 250 * time.Millisecond

const (
	// processingTimeTTL is how long the measured processing time of an object is used, and the object counts as cached.
	processingTimeTTL = time.Minute
	// slowdownHalfLife and errorRateHalfLife are the half-lives with which the estimates decay without new samples.
	slowdownHalfLife  = 2 * time.Second
	errorRateHalfLife = time.Second
	// loadReportTTL is the age at which a load report no longer says anything about the load from other instances.
	loadReportTTL = 2 * time.Second
)

// expectedProcessing returns the expected processing time at the candidate without slowdown, and the state of its
// cache.
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
