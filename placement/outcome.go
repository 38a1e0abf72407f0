package placement

import (
	"math"
	"time"

	"bluebellhold/id"
)

// Outcome is how an attempt at an upstream ended.
type Outcome interface{ isOutcome() }

// Answered means that the upstream ran the request; Elapsed is the time from sending the request to receiving the whole
// response.
type Answered struct {
	Elapsed time.Duration
	Size    id.Bytes
	Load    *Load
	// Limit is the rate that the upstream takes from all instances together; nil if the response names none.
	Limit *id.TokensPerSecond
	// Rest is how long the upstream wants no further request of this instance; zero means that it does not say.
	Rest time.Duration
	// IsRelayed is set if another instance stood between this one and the upstream, so that Elapsed says little about the
	// upstream.
	IsRelayed bool
}

// Shed means that the upstream reported that it did not run the request.
type Shed struct {
	Load *Load
	// Limit and Rest are those of Answered.
	Limit *id.TokensPerSecond
	Rest  time.Duration
}

// Misdirected means that another upstream responded at the address.
type Misdirected struct{}

// ConnectFailed means that no connection to the upstream could be made.
type ConnectFailed struct{}

// Broken means that the response was missing, truncated or malformed.
type Broken struct{}

// TimedOut means that the attempt was cancelled at its deadline.
type TimedOut struct {
	Elapsed time.Duration
}

// Cancelled means that the attempt ended for a reason that says nothing about the upstream, such as a disconnected
// caller.
type Cancelled struct{}

func (Answered) isOutcome()      {}
func (Shed) isOutcome()          {}
func (Misdirected) isOutcome()   {}
func (ConnectFailed) isOutcome() {}
func (Broken) isOutcome()        {}
func (TimedOut) isOutcome()      {}
func (Cancelled) isOutcome()     {}

// RecordStart records that a request is sent to the chosen upstream, and returns the choice to pass to RecordOutcome.
func (c *Chooser) RecordStart(now time.Time, choice Choice, req Request) Choice {
	choice.sentAt = now
	u := c.upstreams[choice.Upstream]
	if u == nil {
		return choice
	}
	if c.features.Speed {
		choice = c.recordConnection(now, choice, req)
	}
	c.recordPaced(now, u, choice)
	u.attempts = append(u.attempts, attempt{sentAt: now, expectedLatency: choice.EstimatedLatency})
	if req.Object != "" && choice.cacheState != cacheWarm {
		if _, ok := u.warmingSince[req.key()]; !ok {
			u.warmingSince[req.key()] = now
		}
	}
	if u.isCold(now) {
		u.coldShare.Take(now)
	}
	if u.isLimited(now) {
		u.limit.share.Take(now, 1)
	}
	return choice
}

// WriteOff forgets an attempt that was recorded by RecordStart and whose outcome will say nothing about the upstream.
func (c *Chooser) WriteOff(choice Choice, req Request) {
	if u := c.upstreams[choice.Upstream]; u != nil {
		u.removeAttempt(choice)
		delete(u.warmingSince, req.key())
	}
}

// ForgetFailures forgets failures of the upstreams, since this instance was at fault for them.
func (c *Chooser) ForgetFailures() {
	for _, u := range c.ordered {
		u.consecutiveFailures, u.retryAt, u.assumedColdUntil = 0, time.Time{}, time.Time{}
		u.errorRate, u.slowdown, u.speed.longRatio = 0, 1, 0
	}
}

// RecordQueued records that a request waits for the chosen upstream, until RecordDequeued.
func (c *Chooser) RecordQueued(upstream id.Upstream) {
	if u := c.upstreams[upstream]; u != nil {
		u.queued++
	}
}

// RecordDequeued records that a request no longer waits for an upstream.
func (c *Chooser) RecordDequeued(upstream id.Upstream) {
	if u := c.upstreams[upstream]; u != nil {
		u.queued = max(u.queued-1, 0)
	}
}

// RecordOutcome records the outcome of an attempt that was recorded by RecordStart.
func (c *Chooser) RecordOutcome(now time.Time, choice Choice, req Request, o Outcome) {
	u := c.upstreams[choice.Upstream]
	if u == nil {
		return
	}
	u.removeAttempt(choice)
	delete(u.warmingSince, req.key())
	c.observeConnection(now, u, o)
	switch o := o.(type) {
	case Answered:
		u.consecutiveFailures = 0
		c.observeLoad(now, u, o.Load)
		c.observeRest(now, u, o.Rest)
		c.observeLimit(now, u, o.Limit)
		if c.features.Speed {
			c.observeSpeed(now, u, choice, req, o)
		} else {
			u.observeProcessing(now, choice, req, c.stats(req), o)
		}
		u.errorRate, u.errorRateAt = u.currentErrorRate(now)*(1-errorRateWeight), now
	case Shed:
		u.consecutiveFailures = 0
		c.observeLoad(now, u, o.Load)
		if c.features.Speed {
			c.observeWork(now, u, o.Load)
		}
		c.observeRest(now, u, o.Rest)
		if o.Limit != nil {
			// Only the response to a request that ran shows that a limit has ended.
			c.observeLimit(now, u, o.Limit)
		}
		u.errorRate, u.errorRateAt = u.currentErrorRate(now)+errorRateWeight*(1-u.currentErrorRate(now)), now
	case Misdirected:
		u.backOff(now, maxBackoff)
	case ConnectFailed:
		u.backOff(now, minBackoff)
		u.assumedColdUntil = now.Add(assumedColdDuration)
	case Broken:
		u.errorRate, u.errorRateAt = u.currentErrorRate(now)+errorRateWeight*(1-u.currentErrorRate(now)), now
	case TimedOut:
		if c.features.Speed {
			c.observeTimeout(now, u, choice, o.Elapsed)
			return
		}
		u.observeSlowdown(now, math.Max(float64(o.Elapsed)/float64(max(choice.EstimatedLatency, time.Millisecond)), u.currentSlowdown(now)))
	case Cancelled:
	}
}

const (
	// errorRateWeight is the weight of one attempt in the error rate.
	errorRateWeight = 0.25
	// slowdownWeight is the weight of a new sample in the slowdown, and maxSlowdown bounds the estimate.
	slowdownWeight = 0.3
	maxSlowdown    = 20
	// minBackoff and maxBackoff bound the exponential backoff after consecutive failures.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// assumedColdDuration is how long an upstream that could not be reached counts as cold, unless the list of
	// upstreams says longer; it covers the start of a process and the report of its state.
	assumedColdDuration = 3 * time.Second
)

func (u *upstream) backOff(now time.Time, base time.Duration) {
	u.consecutiveFailures++
	u.retryAt = now.Add(min(base<<min(u.consecutiveFailures-1, 4), maxBackoff))
}

// observeProcessing records the processing time, which is the elapsed time without the round trip, and the
// response's size.
func (u *upstream) observeProcessing(now time.Time, choice Choice, req Request, stats *routeStats, o Answered) {
	processing := max(o.Elapsed-choice.rtt, time.Millisecond)
	isUncontended := choice.isUncontended && !o.IsRelayed && (o.Load == nil || o.Load.Waiting == 0)
	if isUncontended {
		u.observeSlowdown(now, float64(processing)/float64(max(choice.expectedProcessing, time.Millisecond)))
	}
	if isUncontended && !u.isCold(now) {
		stats.observe(choice.cacheState, processing)
	}
	stats.observeSize(o.Size)
	if req.Object == "" {
		return
	}
	if _, known := u.processingTimes[req.key()]; !known && len(u.processingTimes) >= maxTrackedObjects {
		u.evictOldest()
	}
	// The object is in the upstream's cache now, whatever this request took.
	next := stats.warm
	if choice.cacheState == cacheWarm && isUncontended {
		// A time above that with a cold cache indicates a slow upstream, not an expensive object.
		next = min(processing, stats.cold)
	}
	u.processingTimes[req.key()] = sample{processing: next, at: now}
}

// maxTrackedObjects bounds the objects tracked per upstream; upstreams cache fewer than a hundred.
const maxTrackedObjects = 256

func (u *upstream) evictOldest() {
	var oldest objectKey
	var at time.Time
	for object, s := range u.processingTimes {
		if oldest.object == "" || s.at.Before(at) {
			oldest, at = object, s.at
		}
	}
	delete(u.processingTimes, oldest)
}

func (u *upstream) observeSlowdown(now time.Time, ratio float64) {
	current := u.currentSlowdown(now)
	u.slowdown = min(current+slowdownWeight*(ratio-current), maxSlowdown)
	u.slowdownAt = now
	if u.slowdown < 1 {
		u.slowdown = 1
	}
}

// decay returns the exponential decay factor for the given age and half-life.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
