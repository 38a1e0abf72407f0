package placement

import (
	"math"
	"time"

	"bluebellhold/id"
)

// probeDelay is the age of the last load report after which one request is sent to an upstream that is believed to be
// full; it is about the time that a request with a warm cache takes.
const probeDelay = 300 * time.Millisecond

// shouldProbe reports whether to send one request to an upstream that is believed to be full.
func (c *Chooser) shouldProbe(now time.Time, u *upstream) bool {
	if c.features.Even {
		return c.estimateLoad(now, u) < max(float64(u.Slots), 1)*(1+c.usableRoom(now, u)) || c.isPaceDue(now, u)
	}
	return u.inFlight() == 0 && now.Sub(u.otherLoadAt) > probeDelay
}

// estimateLoad returns the estimated number of requests that run or wait at the upstream.
func (c *Chooser) estimateLoad(now time.Time, u *upstream) float64 {
	if c.features.Even {
		return float64(u.inFlight()) + c.expectedOtherLoad(now, u)
	}
	return float64(u.inFlight()) + u.currentOtherLoad(now)
}

// observeLoad records the load that an upstream reports.
func (c *Chooser) observeLoad(now time.Time, u *upstream, l *Load) {
	if l == nil {
		return
	}
	if c.features.Even {
		c.recordReport(now, u, l)
		return
	}
	u.otherLoad, u.otherLoadAt = max(float64(l.Running+l.Waiting)-float64(u.inFlight()), 0), now
}

func (u *upstream) currentOtherLoad(now time.Time) float64 {
	age := now.Sub(u.otherLoadAt)
	if age >= loadReportTTL {
		return 0
	}
	return u.otherLoad * (1 - float64(age)/float64(loadReportTTL))
}

// loadEstimate is what the feature Even keeps for an upstream. Its zero value means that nothing is known.
type loadEstimate struct {
	// reported is the load in the last report of the upstream's process, and reportedAt when it left the upstream.
	reported   float64
	reportedAt time.Time
	// isPassedOn is set if another instance has passed on that report.
	isPassedOn bool
	// usual is the average of the reported load over usualLoadTime.
	usual float64
	// room is the highest number of requests that have waited at the upstream, per slot, with decay.
	room float64
	// startedAt is when this instance last sent a request.
	startedAt time.Time
}

// loadState is what the feature Even keeps for all upstreams of the service.
type loadState struct {
	// means are the mean loads per slot by region as of meansAt.
	means   map[id.Region]float64
	meansAt time.Time
	// room is the mean number of requests that upstreams let wait, per slot.
	room float64
	// utilisation is the fraction of slots in use as of utilisationAt.
	utilisation   float64
	utilisationAt time.Time
	// sharers is the number of instances by region as of the last SetPeers.
	sharers map[id.Region]float64
	// group is the mean load per slot that the group has observed, which arrived at groupAt.
	group   float64
	groupAt time.Time
	// counts are totals for the dump.
	counts LoadCounts
}

// LoadCounts are totals since the start of the process.
type LoadCounts struct {
	// Reports counts load reports in responses, and Bounded those with absurd figures.
	Reports, Bounded uint64
	// Merged counts reports that other instances have passed on, and Ignored those that were absurd.
	Merged, Ignored uint64
	// Paced counts requests sent to upstreams that were believed to be full.
	Paced uint64
}

const (
	// meanLoadHalfLife is the half-life of a report's weight in the mean load of a region.
	meanLoadHalfLife = time.Second
	// priorLoad is the load per slot that is assumed while there is no report younger than meanLoadTTL. It leaves room, so
	// that wrong figures end with the first requests after they have expired.
	priorLoad = 0.5
	// serviceWeight is the weight in slots of the mean load of all regions in that of one.
	serviceWeight = 3.0
	// usualLoadTime is the time over which the load of one upstream is averaged, and usualWeight the weight of that
	// average beside the mean of the region.
	usualLoadTime   = 2 * time.Second
	usualLoadWeight = 0.8
	// loadCacheTime is how long the means are kept before they are computed again; it is a small fraction of the time
	// that a request takes.
	loadCacheTime = 20 * time.Millisecond
	// maxLoadFactor bounds the load that a report may state, as a multiple of the slots. Upstreams shed at less.
	maxLoadFactor = 4.0
	// minRelaxation and maxRelaxation bound the time constant with which a report is forgotten, and with it the
	// processing time that the pace is derived from.
	minRelaxation = 50 * time.Millisecond
	maxRelaxation = 2 * time.Second
	// farSharerWeight is the part of a near instance's pace that an instance of another region gets, since most requests
	// come from the upstream's own region.
	farSharerWeight = 0.25
	// maxPace bounds the time between two requests of this instance to an upstream that is believed to be full.
	maxPace = 30 * time.Second
)

// recordReport records the load in a response, bounded since an upstream may report absurd figures.
func (c *Chooser) recordReport(now time.Time, u *upstream, l *Load) {
	c.load.counts.Reports++
	load, bound := float64(l.Running)+float64(l.Waiting), maxLoadFactor*max(float64(u.Slots), 1)
	if l.Running < 0 || l.Waiting < 0 || load > bound {
		c.load.counts.Bounded++
		load = min(max(load, 0), bound)
	}
	waiting := min(max(float64(l.Waiting)/max(float64(u.Slots), 1), 0), 1)
	u.estimate.room = max(u.estimate.room*decay(now.Sub(u.estimate.reportedAt), roomHalfLife), waiting)
	u.estimate.isPassedOn = false
	u.observeReport(now, load)
}

func (u *upstream) observeReport(at time.Time, load float64) {
	e := &u.estimate
	if e.reportedAt.IsZero() {
		e.usual = load
	}
	e.usual += (1 - math.Exp(-float64(at.Sub(e.reportedAt))/float64(usualLoadTime))) * (load - e.usual)
	e.reported, e.reportedAt = load, at
	// The figures of the former estimate are kept as well, in case the feature is switched off.
	u.otherLoad, u.otherLoadAt = max(load-float64(u.inFlight()), 0), at
}

// expectedOtherLoad returns the expected load from other instances. It is that of the last report at first, and moves
// towards the mean load with the time constant of a request: by then, the requests of the report have completed, and the
// others have sent as many as they usually do.
func (c *Chooser) expectedOtherLoad(now time.Time, u *upstream) float64 {
	sharers, _ := c.sharers(u)
	expected := c.usualLoad(now, u) * (1 - 1/sharers)
	fresh := c.freshness(now, u)
	if fresh == 0 {
		return expected
	}
	others := u.estimate.reported
	for _, a := range u.attempts {
		if a.sentAt.Before(u.estimate.reportedAt) {
			others--
		}
	}
	if u.estimate.isPassedOn && others < expected {
		// The whole group has learnt of the room and uses it.
		return expected
	}
	return expected + fresh*(max(others, 0)-expected)
}

// usualLoad returns the load that the upstream is expected to have without a recent report: between its own average and
// that of the upstreams of its region.
func (c *Chooser) usualLoad(now time.Time, u *upstream) float64 {
	mean := c.meanLoad(now, u.Region) * max(float64(u.Slots), 1)
	if u.estimate.reportedAt.IsZero() {
		return mean
	}
	weight := usualLoadWeight * decay(now.Sub(u.estimate.reportedAt), usualLoadTime)
	return mean + weight*(u.estimate.usual-mean)
}

// meanLoad returns the mean load per slot of a region's upstreams, from reports of the last seconds.
func (c *Chooser) meanLoad(now time.Time, region id.Region) float64 {
	l := &c.load
	if l.means != nil && now.Sub(l.meansAt) >= 0 && now.Sub(l.meansAt) < loadCacheTime {
		if mean, ok := l.means[region]; ok {
			return mean
		}
		return priorLoad
	}
	busy, slots := make(map[id.Region]float64), make(map[id.Region]float64)
	allBusy, allSlots := 0.0, 0.0
	if !l.groupAt.IsZero() && now.Sub(l.groupAt) < loadReportTTL {
		allBusy, allSlots = groupWeight*l.group, groupWeight
	}
	room, known := 0.0, 0.0
	for _, u := range c.ordered {
		busy[u.Region] += 0
		age := now.Sub(u.estimate.reportedAt)
		if u.estimate.isPassedOn || u.estimate.reportedAt.IsZero() || u.isResting(now) || age > meanLoadTTL {
			continue
		}
		room, known = room+u.estimate.room, known+1
		weight := decay(age, meanLoadHalfLife)
		busy[u.Region] += weight * u.estimate.reported
		slots[u.Region] += weight * max(float64(u.Slots), 1)
		allBusy += weight * u.estimate.reported
		allSlots += weight * max(float64(u.Slots), 1)
	}
	l.room = room / max(known, 1)
	all := priorLoad
	if allSlots > 0 {
		all = allBusy / allSlots
	}
	l.means, l.meansAt = make(map[id.Region]float64, len(busy)), now
	for name, b := range busy {
		l.means[name] = (b + serviceWeight*all) / (slots[name] + serviceWeight)
	}
	if mean, ok := l.means[region]; ok {
		return mean
	}
	return priorLoad
}

const (
	// meanLoadTTL is the age above which a report has no part in the mean.
	meanLoadTTL = 8 * time.Second
	// groupWeight is the weight in slots of the mean that the group has observed in that of the service.
	groupWeight = 20.0
	// roomHalfLife is the half-life of the observed room for waiting requests.
	roomHalfLife = 10 * time.Second
	// roomMargin is the part of the room, in units of 1/sqrt(slots), that is left for the random differences between the
	// upstreams. In the simulation, using no room leaves slots free while requests wait, and using all of it makes upstreams
	// shed as much as without the estimate.
	roomMargin = 1.4
	// paceWaitFraction is the part of the time to this instance's turn that a request is expected to wait, since a report
	// that the upstream has room often comes earlier.
	paceWaitFraction = 0.5
)

// usableRoom returns how many requests, per slot, may wait at the upstream by estimate. It makes up for the uncertainty of
// the estimate, so that slots are not left free: none after a fresh report.
func (c *Chooser) usableRoom(now time.Time, u *upstream) float64 {
	fraction := 1 - roomMargin/math.Sqrt(max(float64(u.Slots), 1))
	return max(fraction, 0) * c.load.room * (1 - c.freshness(now, u))
}

// freshness returns the weight of the last report in the estimate.
func (c *Chooser) freshness(now time.Time, u *upstream) float64 {
	age := now.Sub(u.estimate.reportedAt)
	if u.estimate.reportedAt.IsZero() || age > loadReportTTL {
		return 0
	}
	return math.Exp(-float64(max(age, 0)) / float64(c.requestTime(now, u)))
}

// requestTime returns how long a request occupies a slot of the upstream, on average.
func (c *Chooser) requestTime(now time.Time, u *upstream) time.Duration {
	var sum, n float64
	for _, stats := range c.routes {
		count := float64(stats.counts[cacheCold] + stats.counts[cacheHome] + stats.counts[cacheWarm])
		sum += float64(stats.home) + count*float64(stats.overallAverage())
		n += 1 + count
	}
	if n == 0 {
		return probeDelay
	}
	average := time.Duration(sum / n * u.currentSlowdown(now))
	return min(max(average, minRelaxation), maxRelaxation)
}

// overallAverage returns the average processing time over the states of the cache.
func (s *routeStats) overallAverage() time.Duration {
	total := s.counts[cacheCold] + s.counts[cacheHome] + s.counts[cacheWarm]
	if total == 0 {
		return s.home
	}
	sum := float64(s.counts[cacheCold])*float64(s.cold) + float64(s.counts[cacheHome])*float64(s.home) +
		float64(s.counts[cacheWarm])*float64(s.warm)
	return time.Duration(sum / float64(total))
}

// sharers returns the number of instances that share the upstream, counted by how much they send to it, and the weight of
// this one.
func (c *Chooser) sharers(u *upstream) (total, own float64) {
	near := c.load.sharers[u.Region]
	total = near + farSharerWeight*(float64(len(c.peers))-near)
	own = 1
	if u.Region != c.config.Region {
		own = farSharerWeight
	}
	return max(total, own, 1), own
}

// countSharers counts the instances by region.
func (c *Chooser) countSharers() {
	c.load.sharers = make(map[id.Region]float64)
	for _, p := range c.peers {
		c.load.sharers[p.Region]++
	}
}

// pace returns the time between two requests of this instance to an upstream that is believed to be full, so that all
// instances together send about as many as it completes.
func (c *Chooser) pace(now time.Time, u *upstream) time.Duration {
	total, own := c.sharers(u)
	interval := float64(c.requestTime(now, u)) * total / own / max(float64(u.Slots), 1)
	return time.Duration(min(interval, float64(maxPace)))
}

// isPaceDue reports whether this instance's turn at a full upstream has come. The turns of the instances are spread by
// their names, so that those that have learnt the same do not send at the same moment.
func (c *Chooser) isPaceDue(now time.Time, u *upstream) bool {
	return !now.Before(c.paceDueAt(now, u))
}

// paceDueAt returns when this instance's turn at a full upstream comes.
func (c *Chooser) paceDueAt(now time.Time, u *upstream) time.Time {
	last := u.estimate.startedAt
	if last.IsZero() {
		return now
	}
	spread := 0.5 + unitHash(combineHashes(u.hash, hashString(string(c.self))), uint64(last.UnixNano()))
	return last.Add(time.Duration(spread * float64(c.pace(now, u))))
}

// paceWait returns the time until this instance's turn at a full upstream comes, after those of its requests that wait for
// the upstream already. A report that the upstream has room may come earlier.
func (c *Chooser) paceWait(now time.Time, u *upstream) time.Duration {
	return time.Duration(paceWaitFraction * float64(c.paceDueAt(now, u).Sub(now)+time.Duration(u.queued)*c.pace(now, u)))
}

// recordPaced records that a request is sent to an upstream.
func (c *Chooser) recordPaced(now time.Time, u *upstream, choice Choice) {
	if !choice.isUncontended {
		c.load.counts.Paced++
	}
	u.estimate.startedAt = now
}

// cachedUtilisation returns the fraction of slots in use as of the last loadCacheTime: a scan of the queue asks for it
// once for each request.
func (c *Chooser) cachedUtilisation(now time.Time) float64 {
	l := &c.load
	if l.utilisationAt.IsZero() || now.Before(l.utilisationAt) || now.Sub(l.utilisationAt) >= loadCacheTime {
		l.utilisation, l.utilisationAt = c.currentUtilisation(now), now
	}
	return l.utilisation
}
