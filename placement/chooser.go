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
	defaultDataCentrePrice = 8 * time.Millisecond
	defaultRegionPrice     = 8 * time.Millisecond
)

// Chooser places the requests of one service.
type Chooser struct {
	config    Config
	upstreams map[id.Upstream]*upstream
	// ordered holds the upstreams by id, so that decisions do not depend on the order of a map.
	ordered []*upstream
	classes map[id.Route]*class
	paths   map[id.Region]time.Duration
	closed  map[id.DataCentre]bool
	// cold is what all members together may send to a cold upstream within a second.
	cold id.Tokens
	// sendsMost bounds the requests that this instance has at one upstream; zero is no bound.
	sendsMost int
	members   []id.Instance
	self      id.Instance
	// places holds where objects are settled, and buffer the candidates of the current choice.
	places map[string]*place
	buffer []candidate
	// kept is the part of the objects that have their home in the own region.
	kept float64
	// isKept is set once kept follows the demand.
	isKept bool
}

// New returns a Chooser without upstreams.
func New(c Config) *Chooser {
	if c.TransferCosts.CrossDataCentre == 0 {
		c.TransferCosts.CrossDataCentre = defaultDataCentrePrice
	}
	if c.TransferCosts.CrossRegion == 0 {
		c.TransferCosts.CrossRegion = defaultRegionPrice
	}
	return &Chooser{
		config: c, upstreams: make(map[id.Upstream]*upstream), classes: make(map[id.Route]*class),
		paths: make(map[id.Region]time.Duration), places: make(map[string]*place),
		buffer: make([]candidate, 0, mostCandidates),
	}
}

// SetUpstreams brings the upstreams in line with the list; those that stay keep what is known about them.
func (c *Chooser) SetUpstreams(now time.Time, list []Upstream) {
	kept := make(map[id.Upstream]*upstream, len(list))
	c.ordered = c.ordered[:0]
	for _, u := range list {
		known := c.upstreams[u.ID]
		if known == nil || known.Incarnation != u.Incarnation {
			known = &upstream{
				hash: hashText(string(u.ID)), slowness: 1,
				works: make(map[objectKey]sample), warming: make(map[objectKey]time.Time),
			}
		}
		if now.Before(u.ColdUntil) && !now.Before(known.ColdUntil) {
			// A cold upstream has lost what it remembered.
			known.works = make(map[objectKey]sample)
		}
		known.Upstream = u
		kept[u.ID] = known
		c.ordered = append(c.ordered, known)
	}
	c.upstreams = kept
	slices.SortFunc(c.ordered, func(a, b *upstream) int { return cmp.Compare(a.ID, b.ID) })
	c.places = make(map[string]*place)
	if !c.isKept {
		c.assumeKept()
	}
	c.shareCold(now)
}

// SetEvacuated stops all new work for the upstreams of the data centres and reopens the others.
func (c *Chooser) SetEvacuated(dataCentres map[id.DataCentre]bool) {
	c.closed = dataCentres
	c.places = make(map[string]*place)
}

// UpstreamCount returns the number of upstreams whose data centres are open.
func (c *Chooser) UpstreamCount() int {
	n := 0
	for _, u := range c.ordered {
		if !c.closed[u.DataCentre] {
			n++
		}
	}
	return n
}

// SetColdRate tells the instances that place requests of the service and how many requests per second all of them together
// may send to a cold upstream.
func (c *Chooser) SetColdRate(now time.Time, self id.Instance, members []id.Instance, cold id.Tokens) {
	c.self, c.members, c.cold = self, members, cold
	c.shareCold(now)
}

// SetMaxInFlight bounds the requests that are sent to one upstream at a time, and with them the connections to it; zero is no bound.
func (c *Chooser) SetMaxInFlight(sends int) { c.sendsMost = sends }

const (
	// leastColdPart is the smallest part of a cold upstream's rate that is worth holding.
	leastColdPart = 2
	// coldWindow is the span over which a cold upstream's rate is counted.
	coldWindow = time.Second
)

// AssumeColdRateSpent counts the parts of all cold upstreams' rates as spent by a predecessor within the last window.
func (c *Chooser) AssumeColdRateSpent(now time.Time) {
	for _, u := range c.ordered {
		u.cold.Assume(now, u.cold.Part())
	}
}

// shareCold divides the cold window of each upstream among as many instances as get a useful part.
func (c *Chooser) shareCold(now time.Time) {
	holders := min(max(int(c.cold/leastColdPart), 1), max(len(c.members), 1))
	for _, u := range c.ordered {
		u.mayCold = c.coldRank(u) < holders
		u.cold.Set(now, c.cold/id.Tokens(holders), coldWindow)
	}
}

// coldRank is the place of this instance among all in the order in which they may use a cold upstream.
func (c *Chooser) coldRank(u *upstream) int {
	rank := 0
	own := mix(u.hash, hashText(string(c.self)))
	for _, m := range c.members {
		if m != c.self && mix(u.hash, hashText(string(m))) > own {
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
func (w Request) key() objectKey {
	return objectKey{w.Route, w.Object}
}

type objectKey struct {
	class  id.Route
	object string
}

func (w Request) allows(region id.Region) bool {
	return len(w.Regions) == 0 || slices.Contains(w.Regions, region)
}

// Choice is the upstream that would finish a request first.
type Choice struct {
	Upstream id.Upstream
	// EstimatedLatency is the estimated time from the send to the whole answer.
	EstimatedLatency time.Duration
	// HasCapacity is false if the upstream has as many requests as it should; the request should wait.
	HasCapacity bool

	familiarity familiarity
	expected    time.Duration
	path        time.Duration
	sentAt      time.Time
	// isClean is set if the upstream was not expected to let the request wait, so that the time tells the work.
	isClean bool
}

// Choose returns the upstream that is expected to finish the request first. If that one has no room, waiting for it is
// expected to be quicker than any other that has.
//
// A request with an object considers only the object's homes, unless none of them can be used: a cold run elsewhere
// would take the room of several warm ones.
func (c *Chooser) Choose(now time.Time, w Request) (Choice, bool) {
	cl := c.class(w)
	weight := workWeightAt(c.utilisation(now))
	if w.Object != "" {
		if choice, ok := c.best(now, w, cl, weight, c.candidates(now, w, cl)); ok {
			return choice, true
		}
	}
	return c.best(now, w, cl, weight, c.all())
}

// all returns every upstream as a candidate that does not know the object.
func (c *Chooser) all() []candidate {
	out := c.buffer[:0]
	for _, u := range c.ordered {
		out = append(out, candidate{upstream: u})
	}
	c.buffer = out
	return out
}

// best returns the cheapest of the candidates.
func (c *Chooser) best(
	now time.Time, w Request, cl *class, weight float64, candidates []candidate,
) (Choice, bool) {
	var best Choice
	var least time.Duration
	for _, u := range candidates {
		if !c.isUsable(now, u.upstream, w) {
			continue
		}
		choice, cost := c.estimate(now, u, w, cl, weight)
		if best.Upstream == "" || cost < least {
			best, least = choice, cost
		}
	}
	return best, best.Upstream != ""
}

const (
	// crowdedAbove is the part of the slots in use above which the work counts for more than its own time.
	crowdedAbove = 0.5
	// busiestWeight is the weight of the work when all slots are in use: the work then delays others as well.
	busiestWeight = 3.0
)

// workWeightAt returns how much the work counts besides the time that the request itself takes.
func workWeightAt(utilisation float64) float64 {
	return 1 + (busiestWeight-1)*min(max((utilisation-crowdedAbove)/(1-crowdedAbove), 0), 1)
}

// utilisation is the part of all slots that is estimated to be in use.
func (c *Chooser) utilisation(now time.Time) float64 {
	var busy, slots float64
	for _, u := range c.ordered {
		busy += min(float64(u.inFlight())+u.othersNow(now), float64(u.Slots))
		slots += float64(u.Slots)
	}
	return busy / max(slots, 1)
}

func (c *Chooser) isUsable(now time.Time, u *upstream, w Request) bool {
	switch {
	case c.closed[u.DataCentre], !w.allows(u.Region), slices.Contains(w.Avoid, u.ID):
		return false
	case u.failures > 0 && (now.Before(u.retryAt) || u.inFlight() > 0):
		return false
	case u.isCold(now) && (!u.mayCold || u.cold.NextAt(now).After(now)):
		return false
	}
	return true
}

// isCold reports whether the cold rate binds: the upstream says so, or it has come back after a failure and nothing
// newer is known.
func (u *upstream) isCold(now time.Time) bool {
	return now.Before(u.ColdUntil) || now.Before(u.maybeColdUntil)
}

// class returns the measured work of a route.
func (c *Chooser) class(w Request) *class {
	cl := c.classes[w.Route]
	if cl == nil {
		cl = newClass(w.ExpectedProcessingTime)
		c.classes[w.Route] = cl
	}
	return cl
}

// coldFactor is the factor that a cold upstream's work is assumed to take.
const coldFactor = 2

// estimate predicts the time to finish at one upstream, and the cost that includes the price of the transfer.
func (c *Chooser) estimate(
	now time.Time, u candidate, w Request, cl *class, weight float64,
) (Choice, time.Duration) {
	expected, f := u.expect(now, w, cl)
	slots := max(float64(u.Slots), 1)
	busy := float64(u.inFlight()) + u.othersNow(now)
	hasRoom := (busy < slots || u.mayProbe(now)) && (c.sendsMost == 0 || u.inFlight() < c.sendsMost)
	wait := time.Duration(max(busy+float64(u.waiting)-slots+1, 0) / slots * float64(cl.home))
	if begun, ok := u.warming[w.key()]; ok && f != repeated && busy >= crowdedAbove*slots {
		// The first request for the object makes it warm; one that waits for that needs a fraction of the work. While there
		// are slots to spare, a second cold run delays nobody.
		hasRoom = false
		expected = cl.repeat
		wait = max(wait, cl.cold-now.Sub(begun), 0)
	}
	work := time.Duration(float64(expected) * max(u.slowFactor(now), u.overdue(now)))
	if u.isCold(now) {
		work *= coldFactor
	}
	path := c.path(u.upstream)
	choice := Choice{
		Upstream: u.ID, EstimatedLatency: path + wait + work, HasCapacity: hasRoom,
		familiarity: f, expected: expected, path: path, isClean: busy < slots,
	}
	path += u.bias
	cost := path + wait + work + time.Duration((weight-1)*float64(work)) + time.Duration(u.shedNow(now)*float64(cl.cold))
	return choice, cost + c.transfer(u.upstream, cl)
}

// probeAfter is the time without news of an upstream's load after which one request is sent there although it is
// believed to be full; it is about the time that a warm request takes.
const probeAfter = 300 * time.Millisecond

// mayProbe reports whether one request should find out if the upstream is still full.
func (u *upstream) mayProbe(now time.Time) bool {
	return u.inFlight() == 0 && now.Sub(u.othersAt) > probeAfter
}

// transfer is the delay that stands for the price of moving an answer across a border.
func (c *Chooser) transfer(u *upstream, cl *class) time.Duration {
	kilobytes := cl.size / 1000
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
const homeBias = 60 * time.Millisecond

// returnBias is the same for an object whose home is in another region since the own one has too few slots. It is more
// than the way there and back, so that the object does not return whenever the own region has room for a moment.
const returnBias = 250 * time.Millisecond

const (
	// memoryFor is how long a measured work of an object is taken as what the upstream still needs.
	memoryFor = time.Minute
	// slownessFor and shedFor are the times after which a bad experience counts for half.
	slownessFor = 2 * time.Second
	shedFor     = time.Second
	// othersFor is how long a load report says something about what other instances do.
	othersFor = 2 * time.Second
)

// expect returns the work that the object needs at the upstream when nothing slows it down.
func (u candidate) expect(now time.Time, w Request, cl *class) (time.Duration, familiarity) {
	if s, ok := u.works[w.key()]; ok && w.Object != "" && now.Sub(s.at) < memoryFor {
		return s.work, repeated
	}
	if u.isHome {
		return cl.home, atHome
	}
	return cl.cold, stranger
}

func (u *upstream) slowFactor(now time.Time) float64 {
	return 1 + (u.slowness-1)*halving(now.Sub(u.slownessAt), slownessFor)
}

func (u *upstream) shedNow(now time.Time) float64 {
	return u.shed * halving(now.Sub(u.shedAt), shedFor)
}

func (u *upstream) othersNow(now time.Time) float64 {
	age := now.Sub(u.othersAt)
	if age >= othersFor {
		return 0
	}
	return u.others * (1 - float64(age)/float64(othersFor))
}
