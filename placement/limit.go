package placement

import (
	"maps"
	"math"
	"time"

	"bluebellhold/allotment"
	"bluebellhold/id"
)

// Peer is an instance that forwards requests of the service.
type Peer struct {
	Instance id.Instance
	Region   id.Region
}

// LimitReport is what one instance knows of the rate limit of an upstream, as exchanged between instances.
type LimitReport struct {
	Upstream    id.Upstream
	Incarnation id.Incarnation
	// Limit is the rate that the upstream takes from all instances together; nil means that it has stopped to name one.
	Limit *id.TokensPerSecond
	// Age is the time since the response that said so.
	Age time.Duration
}

// IsValid reports whether the age and the limit are possible, which reports from outside need not be.
func (r LimitReport) IsValid() bool {
	return r.Age >= 0 && (r.Limit == nil || *r.Limit >= 0 && !math.IsInf(float64(*r.Limit), 0))
}

const (
	// minLimitRate is the rate that all instances together send to an upstream with a lower limit, in requests per
	// second. Only a response shows that the limit has ended.
	minLimitRate = 0.25
	// limitTTL is how long an instance without a share of a limit heeds it without news, and how long the end of a limit
	// is reported to other instances.
	limitTTL = 30 * time.Second
	// limitEndDelay is how much newer a report that a limit has ended must be than the last one that named it. Reports
	// take up to two heartbeats, which makes them look newer than they are.
	limitEndDelay = 4 * time.Second
	// limitReportInterval is the time after which an unchanged limit is reported again.
	limitReportInterval = 5 * time.Second
)

const (
	// limitWindow is the window within which upstreams tolerate limitExcess times what their limit allows, and limitSlack
	// requests more.
	limitWindow = 4 * time.Second
	limitExcess = 0.5
	limitSlack  = 5
	// limitBurstFraction is the fraction of that tolerance that instances use. The rest covers requests that arrive closer
	// together than they were sent, and instances that disagree on who holds a share.
	limitBurstFraction = 0.5
)

// limitHolders returns the number of instances that divide a limit, and the requests that each of them can save up: at
// least one. Together they exceed the rate by what they save up within any window.
func limitHolders(rate id.TokensPerSecond, peers int) (holders int, depth id.Tokens) {
	burst := limitBurstFraction * (limitExcess*float64(rate)*limitWindow.Seconds() + limitSlack)
	holders = int(max(min(burst, float64(peers)), 1))
	return holders, id.Tokens(max(burst/float64(holders), 1))
}

// rateLimit is the rate that one process of an upstream takes from all instances together, as its last response said.
type rateLimit struct {
	incarnation id.Incarnation
	rate        id.TokensPerSecond
	isNamed     bool
	// observedAt is when the last response that names it arrived, or that no longer does since endedAt.
	observedAt, endedAt time.Time
	// share is this instance's share; holdsShare is false if other instances hold all of it.
	share      allotment.TokenBucket
	holdsShare bool
}

// SetPeers sets the instances that forward requests of the service, this one included.
func (c *Chooser) SetPeers(now time.Time, self id.Instance, peers []Peer) {
	c.self, c.peers = self, peers
	c.countSharers()
	for name, l := range c.limits {
		c.divideLimit(now, name, l)
	}
}

// divideLimit divides the limit of an upstream among as many instances as can hold a token of it, those of the upstream's
// region first, since most of its requests come from there.
func (c *Chooser) divideLimit(now time.Time, name id.Upstream, l *rateLimit) {
	if !l.isNamed {
		return
	}
	holders, depth := limitHolders(l.rate, len(c.peers))
	l.holdsShare = c.limitRank(name) < holders
	if !l.holdsShare {
		l.share.SetLimit(now, 0, 0)
		return
	}
	l.share.SetLimit(now, max(l.rate, minLimitRate)/id.TokensPerSecond(holders), depth)
}

// limitRank is the position of this instance in the order of instances that may use a limited upstream.
func (c *Chooser) limitRank(name id.Upstream) int {
	hash, region := hashString(string(name)), c.config.Region
	if u := c.upstreams[name]; u != nil {
		region = u.Region
	}
	own := combineHashes(hash, hashString(string(c.self)))
	isOwnNear := region == c.config.Region
	rank := 0
	for _, p := range c.peers {
		switch isNear := p.Region == region; {
		case p.Instance == c.self:
		case isNear != isOwnNear:
			if isNear {
				rank++
			}
		case combineHashes(hash, hashString(string(p.Instance))) > own:
			rank++
		}
	}
	return rank
}

// observeLimit records the limit that a response of the upstream names, or none.
func (c *Chooser) observeLimit(now time.Time, u *upstream, limit *id.TokensPerSecond) {
	l := c.limits[u.ID]
	switch {
	case limit != nil:
		c.nameLimit(now, now, u, *limit)
	case l != nil && l.isNamed:
		l.end(now)
	case l != nil:
		l.observedAt = now
	}
}

func (l *rateLimit) end(now time.Time) {
	l.isNamed, l.observedAt, l.endedAt = false, now, now
}

// nameLimit records that an upstream named a limit in a response that arrived at observedAt.
func (c *Chooser) nameLimit(now, observedAt time.Time, u *upstream, rate id.TokensPerSecond) {
	l := c.limits[u.ID]
	if l == nil {
		l = &rateLimit{incarnation: u.Incarnation}
		c.limits[u.ID], u.limit = l, l
	}
	isChange := !l.isNamed || l.rate != rate
	l.isNamed, l.rate, l.observedAt = true, rate, observedAt
	if isChange {
		c.divideLimit(now, u.ID, l)
	}
}

// MergeLimit records what another instance knows of the limit of an upstream, if that is newer.
func (c *Chooser) MergeLimit(now time.Time, r LimitReport) {
	u := c.upstreams[r.Upstream]
	if u == nil || u.Incarnation != r.Incarnation || r.Age > limitTTL || !r.IsValid() {
		return
	}
	observedAt, l := now.Add(-r.Age), c.limits[r.Upstream]
	switch {
	case r.Limit != nil:
		if l == nil || observedAt.After(l.observedAt) {
			c.nameLimit(now, observedAt, u, *r.Limit)
		}
	case r.Limit == nil && l != nil && l.isNamed && observedAt.Sub(l.observedAt) > limitEndDelay:
		l.end(observedAt)
	}
}

// Limits returns the limits that upstreams name or have stopped to name lately, in any order.
func (c *Chooser) Limits(now time.Time) []LimitReport {
	var reports []LimitReport
	for name, l := range c.limits {
		r := LimitReport{Upstream: name, Incarnation: l.incarnation, Age: max(now.Sub(l.observedAt), 0)}
		if r.Age > limitTTL || !l.isNamed && now.Sub(l.endedAt) > limitTTL {
			continue
		}
		if l.isNamed {
			rate := l.rate
			r.Limit = &rate
		}
		reports = append(reports, r)
	}
	return reports
}

// reattachLimits keeps the limits of upstreams whose process has not changed, also of those that were missing from the
// list for a while.
func (c *Chooser) reattachLimits(now time.Time) {
	maps.DeleteFunc(c.limits, func(name id.Upstream, l *rateLimit) bool {
		u := c.upstreams[name]
		return u == nil && now.Sub(l.observedAt) > limitTTL || u != nil && u.Incarnation != l.incarnation
	})
	for name, u := range c.upstreams {
		u.limit = c.limits[name]
	}
}

// isLimited reports whether a limit applies to the requests of this instance.
func (u *upstream) isLimited(now time.Time) bool {
	return u.limit != nil && u.limit.isNamed && (u.limit.holdsShare || now.Sub(u.limit.observedAt) < limitTTL)
}

// canTakeLimited reports whether the share of a limit allows a request now.
func (u *upstream) canTakeLimited(now time.Time) bool { return u.limit.share.Level(now) >= 1 }

// limitWait returns the time until the share of a limit allows a request, after those of this instance that wait for the
// upstream already.
func (u *upstream) limitWait(now time.Time) time.Duration {
	missing := float64(u.queued+1) - float64(u.limit.share.Level(now))
	if missing <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(missing / float64(u.limit.share.Rate()) * float64(time.Second)))
}

// LimitReports remembers what another instance has been told about the limits of upstreams. Its zero value is ready to
// use.
type LimitReports struct {
	told map[id.Upstream]toldLimit
}

type toldLimit struct {
	incarnation id.Incarnation
	rate        id.TokensPerSecond
	isNamed     bool
	observedAt  time.Time
}

// Changes returns the reports that are news to the other instance, and remembers that it knows them.
func (t *LimitReports) Changes(now time.Time, current []LimitReport) []LimitReport {
	var changed []LimitReport
	for _, r := range current {
		told := toldLimit{incarnation: r.Incarnation, isNamed: r.Limit != nil, observedAt: now.Add(-r.Age)}
		if r.Limit != nil {
			told.rate = *r.Limit
		}
		last, isKnown := t.told[r.Upstream]
		if isKnown && last.incarnation == told.incarnation && last.isNamed == told.isNamed && last.rate == told.rate &&
			told.observedAt.Sub(last.observedAt) < limitReportInterval {
			continue
		}
		if t.told == nil || len(t.told) >= maxToldLimits {
			t.told = make(map[id.Upstream]toldLimit)
		}
		t.told[r.Upstream] = told
		changed = append(changed, r)
	}
	return changed
}

// maxToldLimits bounds a LimitReports; when it is full, all limits are reported again.
const maxToldLimits = 1024

// Forget makes Changes report everything again.
func (t *LimitReports) Forget() { t.told = nil }
