package placement

import (
	"math"
	"time"

	"bluebellhold/id"
)

// Outcome is how a send to an upstream ended.
type Outcome interface{ isOutcome() }

// Served means that the upstream ran the request; Elapsed is the time from the send to the whole answer.
type Served struct {
	Elapsed time.Duration
	Size    id.Bytes
	Load    *Load
}

// Shed means that the upstream rejected the request without running it.
type Shed struct {
	Load *Load
}

// Misdirected means that another upstream answers at the address.
type Misdirected struct{}

// ConnectFailed means that no connection to the upstream could be made.
type ConnectFailed struct{}

// Broken means that the answer did not come, was cut off or was not an answer.
type Broken struct{}

// TimedOut means that the send was given up at its deadline.
type TimedOut struct {
	Elapsed time.Duration
}

// Cancelled means that the caller went away, which says nothing about the upstream.
type Cancelled struct{}

func (Served) isOutcome()        {}
func (Shed) isOutcome()          {}
func (Misdirected) isOutcome()   {}
func (ConnectFailed) isOutcome() {}
func (Broken) isOutcome()        {}
func (TimedOut) isOutcome()      {}
func (Cancelled) isOutcome()     {}

// Start records that a request is sent as chosen, and returns the choice to give to End.
func (c *Chooser) Start(now time.Time, choice Choice, w Request) Choice {
	choice.sentAt = now
	u := c.upstreams[choice.Upstream]
	if u == nil {
		return choice
	}
	u.sends = append(u.sends, send{at: now, expected: choice.EstimatedLatency})
	if w.Object != "" && choice.familiarity != repeated {
		if _, ok := u.warming[w.key()]; !ok {
			u.warming[w.key()] = now
		}
	}
	if u.isCold(now) {
		u.cold.Take(now)
	}
	return choice
}

// Enqueue records that a request waits for the chosen upstream, until Leave.
func (c *Chooser) Enqueue(upstream id.Upstream) {
	if u := c.upstreams[upstream]; u != nil {
		u.waiting++
	}
}

// Dequeue records that a request no longer waits for an upstream.
func (c *Chooser) Dequeue(upstream id.Upstream) {
	if u := c.upstreams[upstream]; u != nil {
		u.waiting = max(u.waiting-1, 0)
	}
}

// End records how a send that Start recorded ended.
func (c *Chooser) End(now time.Time, choice Choice, w Request, o Outcome) {
	u := c.upstreams[choice.Upstream]
	if u == nil {
		return
	}
	u.ended(choice)
	delete(u.warming, w.key())
	switch o := o.(type) {
	case Served:
		u.failures = 0
		u.learnLoad(now, o.Load)
		u.learnWork(now, choice, w, c.class(w), o)
		u.shed, u.shedAt = u.shedNow(now)*(1-shedWeight), now
	case Shed:
		u.failures = 0
		u.learnLoad(now, o.Load)
		u.shed, u.shedAt = u.shedNow(now)+shedWeight*(1-u.shedNow(now)), now
	case Misdirected:
		u.fail(now, longestRetry)
	case ConnectFailed:
		u.fail(now, shortestRetry)
		u.maybeColdUntil = now.Add(coldSuspicion)
	case Broken:
		u.shed, u.shedAt = u.shedNow(now)+shedWeight*(1-u.shedNow(now)), now
	case TimedOut:
		u.slow(now, math.Max(float64(o.Elapsed)/float64(max(choice.EstimatedLatency, time.Millisecond)), u.slowFactor(now)))
	case Cancelled:
	}
}

const (
	// shedWeight is the weight of one rejection or success in the share of rejections.
	shedWeight = 0.25
	// slownessWeight is the weight of a sample of slowness, and mostSlowness bounds the estimate.
	slownessWeight = 0.3
	mostSlowness   = 20
	// shortestRetry and longestRetry bound the pause after failures in a row, which doubles each time.
	shortestRetry = 250 * time.Millisecond
	longestRetry  = 2 * time.Second
	// coldSuspicion is how long an upstream that could not be reached is treated as cold, unless the list of
	// upstreams says more; it covers the start of a process and a report of its state.
	coldSuspicion = 3 * time.Second
)

func (u *upstream) fail(now time.Time, pause time.Duration) {
	u.failures++
	u.retryAt = now.Add(min(pause<<min(u.failures-1, 4), longestRetry))
}

func (u *upstream) learnLoad(now time.Time, l *Load) {
	if l == nil {
		return
	}
	u.others, u.othersAt = max(float64(l.Running+l.Waiting)-float64(u.inFlight()), 0), now
}

// learnWork takes the work out of the elapsed time and keeps it for the object and the class.
func (u *upstream) learnWork(now time.Time, choice Choice, w Request, cl *class, o Served) {
	work := max(o.Elapsed-choice.path, time.Millisecond)
	isClean := choice.isClean && (o.Load == nil || o.Load.Waiting == 0)
	if isClean {
		u.slow(now, float64(work)/float64(max(choice.expected, time.Millisecond)))
	}
	if isClean && !u.isCold(now) {
		cl.learn(choice.familiarity, work)
	}
	cl.learnSize(o.Size)
	if w.Object == "" {
		return
	}
	if _, known := u.works[w.key()]; !known && len(u.works) >= objectsKept {
		u.forgetOldest()
	}
	// What the upstream has just handled is warm now, whatever this request took.
	next := cl.repeat
	if choice.familiarity == repeated && isClean {
		// More than the work of an unknown object tells of a slow upstream, not of the object.
		next = min(work, cl.cold)
	}
	u.works[w.key()] = sample{work: next, at: now}
}

// objectsKept bounds the objects that an instance remembers per upstream; upstreams remember fewer than a hundred.
const objectsKept = 256

func (u *upstream) forgetOldest() {
	var oldest objectKey
	var at time.Time
	for object, s := range u.works {
		if oldest.object == "" || s.at.Before(at) {
			oldest, at = object, s.at
		}
	}
	delete(u.works, oldest)
}

func (u *upstream) slow(now time.Time, ratio float64) {
	current := u.slowFactor(now)
	u.slowness = min(current+slownessWeight*(ratio-current), mostSlowness)
	u.slownessAt = now
	if u.slowness < 1 {
		u.slowness = 1
	}
}

// halving is the weight of something of the given age that counts for half after each half-life.
func halving(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
