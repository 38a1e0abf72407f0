package placement

import (
	"math"
	"time"

	"bluebellhold/id"
)

// coldSlowdown multiplies the expected processing time at a cold upstream.
const coldSlowdown = 2

const (
	// minWork and maxWork bound the work factors that upstreams report.
	minWork, maxWork WorkFactor = 0.25, 20
	// workHalfLife is the half-life with which a reported work factor decays towards the mean: a spell of slow work lasts
	// about 600 ms, and half of one has passed on average when it is reported.
	workHalfLife = 300 * time.Millisecond
	// meanWorkWeight is the weight of a new report in the mean work factor of the service.
	meanWorkWeight = 0.02
	// longRatio is the multiple of the expected processing time above which a request counts as long. A few requests in a
	// hundred take 7 times as long as usual, at any upstream.
	longRatio = 3.0
	// maxSampleRatio and minSampleRatio bound a sample of a processing time as a multiple of the average that it changes.
	// A lasting change by a factor of 5 is in the average after 17 samples, while a long request in 33 raises it by 3 in
	// 100.
	maxSampleRatio, minSampleRatio = 2.0, 0.25
)

// upstreamSpeed is what an instance knows of the speed of an upstream, apart from its slowdown.
type upstreamSpeed struct {
	// work is the work factor that was reported at workAt; zero if none has been.
	work   WorkFactor
	workAt time.Time
	// deviatesSince is when the upstream first reported a factor that deviates from the mean in the same direction as all
	// since.
	deviatesSince time.Time
	// longRatio is the ratio of elapsed to expected time of the last request if that was long, and otherwise zero.
	longRatio float64
}

// processingTime returns the processing time that is expected at the upstream now, given that without slowdown.
func (c *Chooser) processingTime(now time.Time, u *upstream, expected time.Duration) time.Duration {
	slowness := max(u.currentSlowdown(now), u.overdueRatio(now))
	if c.features.Speed {
		slowness = max(u.currentSlowdown(now)*float64(c.currentWork(now, u)), u.commonOverdueRatio(now))
		slowness = min(max(slowness, float64(minWork)), maxSlowdown)
	}
	processing := time.Duration(float64(expected) * slowness)
	if u.isCold(now) {
		processing *= coldSlowdown
	}
	return processing
}

// currentWork returns the work factor that is expected at the upstream now; 1 if it has reported none.
func (c *Chooser) currentWork(now time.Time, u *upstream) WorkFactor {
	if u.speed.work == 0 {
		return 1
	}
	mean := max(c.meanWork, minWork)
	return mean + (u.speed.work-mean)*WorkFactor(decay(now.Sub(u.speed.workAt), u.speed.halfLife()))
}

// halfLife returns the half-life of the reported factor: what has lasted for longer than a spell is expected to last.
func (s *upstreamSpeed) halfLife() time.Duration {
	return min(max(s.workAt.Sub(s.deviatesSince)/2, workHalfLife), slowdownHalfLife)
}

// momentaryExcess returns the part of a latency which is due to work that is slower at the upstream than the mean. It
// excludes what has lasted for seconds.
func (c *Chooser) momentaryExcess(now time.Time, u *upstream, latency time.Duration) time.Duration {
	work, mean := c.currentWork(now, u), max(c.meanWork, minWork)
	if u.speed.work == 0 || work <= mean {
		return 0
	}
	lasting := 1 - math.Exp(-float64(now.Sub(u.speed.deviatesSince))/float64(shiftSmoothing))
	return time.Duration(float64(latency) * float64(1-mean/work) * (1 - lasting))
}

// boundWork returns a reported work factor within the bounds, or zero if the upstream does not say.
func boundWork(reported WorkFactor) WorkFactor {
	if !(reported > 0) || math.IsInf(float64(reported), 0) {
		return 0
	}
	return min(max(reported, minWork), maxWork)
}

// observeWork records the work factor that an upstream reports and returns it within the bounds, or 1 if it reports none.
func (c *Chooser) observeWork(now time.Time, u *upstream, l *Load) WorkFactor {
	if l == nil || boundWork(l.Work) == 0 {
		return 1
	}
	work := boundWork(l.Work)
	if c.meanWork == 0 {
		c.meanWork = 1
	}
	if u.speed.work == 0 || (u.speed.work > c.meanWork) != (work > c.meanWork) {
		u.speed.deviatesSince = now
	}
	u.speed.work, u.speed.workAt = work, now
	c.meanWork += meanWorkWeight * (work - c.meanWork)
	return work
}

// commonOverdueRatio returns the second highest ratio of age to expected latency among the requests in flight, or the
// highest if the last request was long as well, and 1 if that is not overdue. A single overdue request is no sign of a
// slow upstream.
func (u *upstream) commonOverdueRatio(now time.Time) float64 {
	highest, second := 0.0, 0.0
	for _, a := range u.attempts {
		ratio := float64(now.Sub(a.sentAt)) / float64(max(a.expectedLatency, time.Millisecond))
		if ratio > highest {
			highest, second = ratio, highest
		} else {
			second = max(second, ratio)
		}
	}
	if u.speed.longRatio > 0 {
		second = highest
	}
	if second <= overdueFactor {
		return 1
	}
	return min(second, maxSlowdown)
}

// observeRatio records the ratio of the elapsed to the expected processing time, given the work factor that the upstream
// reported. It returns whether the request was long.
//
// The slowdown may fall below 1 by as much as the work factor is above 1, so that a work factor which is far too high does
// not keep requests away.
func (u *upstream) observeRatio(now time.Time, ratio float64, work WorkFactor) (isLong bool) {
	previous := u.speed.longRatio
	u.speed.longRatio = 0
	if ratio > longRatio {
		u.speed.longRatio = ratio
		if previous == 0 && u.commonOverdueRatio(now) == 1 {
			return true
		}
	}
	if ratio > longRatio && previous > 0 {
		u.mixSlowdown(now, previous, work)
	}
	u.mixSlowdown(now, ratio, work)
	return ratio > longRatio
}

func (u *upstream) mixSlowdown(now time.Time, ratio float64, work WorkFactor) {
	current := u.currentSlowdown(now)
	lowest := 1 / math.Max(float64(work), 1)
	u.slowdown = min(max(current+slowdownWeight*(min(ratio, maxSlowdown)-current), lowest), maxSlowdown)
	u.slowdownAt = now
}

// observeSpeed records what a response says about the processing time at the upstream, and about the transfer time from
// its region. The elapsed time is divided by the reported work factor first, so that nothing is counted twice.
func (c *Chooser) observeSpeed(now time.Time, u *upstream, choice Choice, req Request, o Answered) {
	stats := c.stats(req)
	stats.observeResponseSize(o.Size)
	work := c.observeWork(now, u, o.Load)
	roundTrips := choice.rtt
	if choice.isNewConnection {
		roundTrips *= 2
	}
	remaining := o.Elapsed - roundTrips
	transfer := time.Duration(0)
	if u.Region != c.config.Region {
		transfer = stats.predictTransfer(u.Region, req)
	}
	processing := time.Duration(float64(max(remaining-transfer, time.Millisecond)) / float64(work))
	expected := max(choice.expectedProcessing, time.Millisecond)
	isLong := false
	isUncontended := choice.isUncontended && !o.IsRelayed && (o.Load == nil || o.Load.Waiting == 0)
	if isUncontended {
		stats.observeOccupied(max(remaining-transfer, time.Millisecond))
		isLong = u.observeRatio(now, float64(processing)/float64(expected), work)
		if !isLong && u.Region != c.config.Region {
			// The time known for the object would include the transfer, since it was measured there.
			usual := float64(stats.average(choice.cacheState)) * float64(work) * u.currentSlowdown(now)
			stats.observeTransfer(u.Region, req, remaining-time.Duration(usual))
		}
		if !u.isCold(now) && stats.learnsFrom(choice.cacheState, u.Region == c.config.Region) {
			stats.observeBounded(choice.cacheState, processing)
		}
	}
	if req.Object == "" {
		return
	}
	known, isKnown := u.processingTimes[req.key()]
	if !isKnown && len(u.processingTimes) >= maxTrackedObjects {
		u.evictOldest()
	}
	// The object is in the upstream's cache now, whatever this request took.
	next := stats.warm
	switch {
	case choice.cacheState != cacheWarm || !isUncontended:
	case isLong && isKnown:
		next = known.processing
	case !isLong:
		// A time above that with a cold cache indicates a slow upstream, not an expensive object.
		next = min(max(processing, time.Duration(minSampleRatio*float64(stats.warm))), stats.cold)
	}
	u.processingTimes[req.key()] = sample{processing: next, at: now}
}

// observeTimeout records an attempt that was cancelled at its deadline, given how long it had lasted.
func (c *Chooser) observeTimeout(now time.Time, u *upstream, choice Choice, elapsed time.Duration) {
	ratio := float64(elapsed) / float64(max(choice.EstimatedLatency, time.Millisecond))
	u.observeRatio(now, math.Max(ratio, u.currentSlowdown(now)), 1)
}

// minNearSamples is the number of samples from this region after which those from others no longer count towards the
// processing times. What differs there is transfer.
const minNearSamples = 10

// learnsFrom reports whether a sample counts towards the average processing time.
func (s *routeStats) learnsFrom(state cacheState, isNear bool) bool {
	if isNear {
		s.nearCounts[state]++
		return true
	}
	return s.nearCounts[state] < minNearSamples
}

// average returns the average processing time by expected state of the cache.
func (s *routeStats) average(state cacheState) time.Duration {
	switch state {
	case cacheWarm:
		return s.warm
	case cacheHome:
		return s.home
	}
	return s.cold
}

// observeBounded records a processing time within bounds around the average that it changes.
func (s *routeStats) observeBounded(state cacheState, processing time.Duration) {
	average := max(s.average(state), time.Millisecond)
	lowest, highest := time.Duration(minSampleRatio*float64(average)), time.Duration(maxSampleRatio*float64(average))
	s.observe(state, min(max(processing, lowest), highest))
	// Homes that are measured only while they are full would seem slower than upstreams with a cold cache.
	s.home = min(s.home, max(s.cold, s.warm))
}

// observeResponseSize records the size of a response. The first one replaces the initial average, since the border costs
// of the next responses would be far too low otherwise.
func (s *routeStats) observeResponseSize(size id.Bytes) {
	if s.size == 0 {
		s.size = float64(size)
	}
	s.observeSize(size)
}
