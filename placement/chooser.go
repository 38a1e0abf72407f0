package placement

import (
	"slices"
	"time"

	"bluebellhold/allotment"
	"bluebellhold/id"
)

// Config configures a Chooser.
type Config struct {
	// Region and DataCentre are where the instance runs.
	Region     id.Region
	DataCentre id.DataCentre
	// Prices weigh the transfer of large answers; zero values give the defaults.
	Prices Prices
}

// Prices are the delays that a kilobyte of an answer counts for when it crosses a border, since those links are shared
// and paid for.
type Prices struct {
	// DataCentre is for answers from another data centre of the region, by default 3 ms.
	DataCentre time.Duration
	// Region is for answers from another region, by default 4 ms.
	Region time.Duration
}

// The defaults of Prices: an answer of 100 kB from another data centre then counts like the 300 ms of work that a
// warm upstream saves.
const (
	defaultDataCentrePrice = 3 * time.Millisecond
	defaultRegionPrice     = 4 * time.Millisecond
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
	cold    allotment.Window
	members []id.Instance
	self    id.Instance
}

// New returns a Chooser without upstreams.
func New(c Config) *Chooser {
	if c.Prices.DataCentre == 0 {
		c.Prices.DataCentre = defaultDataCentrePrice
	}
	if c.Prices.Region == 0 {
		c.Prices.Region = defaultRegionPrice
	}
	return &Chooser{
		config: c, upstreams: make(map[id.Upstream]*upstream), classes: make(map[id.Route]*class),
		paths: make(map[id.Region]time.Duration),
	}
}

// Set brings the upstreams in line with the list; those that stay keep what is known about them.
func (c *Chooser) Set(now time.Time, list []Upstream) {
	kept := make(map[id.Upstream]*upstream, len(list))
	c.ordered = c.ordered[:0]
	for _, u := range list {
		known := c.upstreams[u.ID]
		if known == nil || known.Incarnation != u.Incarnation {
			known = &upstream{hash: hashText(string(u.ID)), slowness: 1, works: make(map[string]sample)}
		}
		if now.Before(u.ColdUntil) && !now.Before(known.ColdUntil) {
			// A cold upstream has lost what it remembered.
			known.works = make(map[string]sample)
		}
		known.Upstream = u
		kept[u.ID] = known
		c.ordered = append(c.ordered, known)
	}
	c.upstreams = kept
	slices.SortFunc(c.ordered, func(a, b *upstream) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	c.shareCold(now)
}

// Close stops all new work for the upstreams of the data centres and reopens the others.
func (c *Chooser) Close(dataCentres map[id.DataCentre]bool) {
	c.closed = dataCentres
}

// Share tells the instances that place requests of the service and the window that binds a cold upstream.
func (c *Chooser) Share(now time.Time, self id.Instance, members []id.Instance, cold allotment.Window) {
	c.self, c.members, c.cold = self, members, cold
	c.shareCold(now)
}

// leastColdPart is the smallest part of a cold upstream's window that is worth holding: one request at once and one
// more within the window.
const leastColdPart = 2

// shareCold divides the cold window of each upstream among as many instances as get a useful part.
func (c *Chooser) shareCold(now time.Time) {
	holders := min(max(int(c.cold.Most/leastColdPart), 1), max(len(c.members), 1))
	for _, u := range c.ordered {
		u.mayCold = c.coldRank(u) < holders
		u.cold.Set(now, c.cold, holders)
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

// Want describes a request to place.
type Want struct {
	Object string
	Class  id.Route
	// Expected is the work assumed for the class before any sample.
	Expected time.Duration
	// Regions are those allowed; empty means all.
	Regions []id.Region
	// Avoid are upstreams that have already had the request.
	Avoid []id.Upstream
}

// Choice is the upstream that would finish a request first.
type Choice struct {
	Upstream id.Upstream
	// Finish is the estimated time from the send to the whole answer.
	Finish time.Duration
	// HasRoom is false if the upstream has as many requests as it should; the request should wait.
	HasRoom bool

	familiarity familiarity
	expected    time.Duration
	path        time.Duration
	isColdToken bool
}

// crowdedRoom is the part of an upstream's slots that may wait at the upstream, so that a freed slot finds work
// although the instance hears of it only with the answer.
const crowdedRoom = 0.25

// Choose returns the upstream that is expected to finish the request first, among those with room if there are any.
func (c *Chooser) Choose(now time.Time, w Want) (Choice, bool) {
	cl := c.class(w)
	object := hashText(w.Object)
	homes := c.homes(now, w, object)
	var best, full Choice
	var bestCost, fullCost time.Duration
	for _, u := range c.ordered {
		if !c.isUsable(now, u, w) {
			continue
		}
		choice, cost := c.estimate(now, u, w, cl, homes[u.Region] == u)
		switch {
		case choice.HasRoom && (best.Upstream == "" || cost < bestCost):
			best, bestCost = choice, cost
		case !choice.HasRoom && (full.Upstream == "" || cost < fullCost):
			full, fullCost = choice, cost
		}
	}
	if best.Upstream == "" {
		return full, full.Upstream != ""
	}
	return best, true
}

// homes returns the home of an object in each region.
func (c *Chooser) homes(now time.Time, w Want, object uint64) map[id.Region]*upstream {
	if w.Object == "" {
		return nil
	}
	homes := make(map[id.Region]*upstream, len(c.paths)+1)
	scores := make(map[id.Region]float64, len(c.paths)+1)
	for _, u := range c.ordered {
		if c.closed[u.DataCentre] || u.failures > 0 && now.Before(u.retryAt) {
			continue
		}
		if s := score(object, u.hash, u.Slots); s > scores[u.Region] {
			homes[u.Region], scores[u.Region] = u, s
		}
	}
	return homes
}

func (c *Chooser) isUsable(now time.Time, u *upstream, w Want) bool {
	switch {
	case c.closed[u.DataCentre], len(w.Regions) > 0 && !slices.Contains(w.Regions, u.Region):
		return false
	case slices.Contains(w.Avoid, u.ID):
		return false
	case u.failures > 0 && (now.Before(u.retryAt) || u.inFlight > 0):
		return false
	case u.isCold(now) && (!u.mayCold || u.cold.NextAt(now).After(now)):
		return false
	}
	return true
}

// isCold reports whether the cold rate binds: the upstream says so, or it has come back after a failure and nothing
// newer is known.
func (u *upstream) isCold(now time.Time) bool {
	return now.Before(u.ColdUntil) || now.Before(u.suspects)
}

// class returns the measured work of a route.
func (c *Chooser) class(w Want) *class {
	cl := c.classes[w.Class]
	if cl == nil {
		cl = newClass(w.Expected)
		c.classes[w.Class] = cl
	}
	return cl
}

// coldFactor is the factor that a cold upstream's work is assumed to take.
const coldFactor = 2

// estimate predicts the time to finish at one upstream, and the cost that includes the price of the transfer.
func (c *Chooser) estimate(now time.Time, u *upstream, w Want, cl *class, isHome bool) (Choice, time.Duration) {
	work, f := u.expect(now, w, cl, isHome)
	expected := work
	work = time.Duration(float64(work) * u.slowFactor(now))
	if u.isCold(now) {
		work *= coldFactor
	}
	slots := max(float64(u.Slots), 1)
	busy := float64(u.inFlight) + u.othersNow(now)
	var wait time.Duration
	if busy >= slots {
		wait = time.Duration((busy - slots + 1) / slots * float64(cl.repeat))
	}
	path := c.path(u)
	choice := Choice{
		Upstream: u.ID, Finish: path + wait + work, HasRoom: busy < slots+max(slots*crowdedRoom, 1),
		familiarity: f, expected: expected, path: path,
	}
	cost := choice.Finish + time.Duration(u.shedNow(now)*float64(cl.cold))
	return choice, cost + c.transfer(u, cl)
}

// transfer is the delay that stands for the price of moving an answer across a border.
func (c *Chooser) transfer(u *upstream, cl *class) time.Duration {
	kilobytes := cl.size / 1000
	switch {
	case u.Region != c.config.Region:
		return time.Duration(kilobytes * float64(c.config.Prices.Region))
	case u.DataCentre != c.config.DataCentre:
		return time.Duration(kilobytes * float64(c.config.Prices.DataCentre))
	}
	return 0
}

const (
	// memoryFor is how long a measured work of an object is taken as what the upstream still needs.
	memoryFor = 20 * time.Second
	// slownessFor and shedFor are the times after which a bad experience counts for half.
	slownessFor = 2 * time.Second
	shedFor     = time.Second
	// othersFor is how long a load report says something about what other instances do.
	othersFor = 2 * time.Second
)

// expect returns the work that the object needs at the upstream when nothing slows it down.
func (u *upstream) expect(now time.Time, w Want, cl *class, isHome bool) (time.Duration, familiarity) {
	if s, ok := u.works[w.Object]; ok && w.Object != "" && now.Sub(s.at) < memoryFor {
		return s.work, repeated
	}
	if isHome {
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
