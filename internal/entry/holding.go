package entry

import (
	"math"
	"time"

	"bluebellhold/allotment"
	"bluebellhold/id"
)

// holding is this instance's part of an organisation's limit.
//
// What all instances hold adds up to the whole at most, however their views differ. Each publishes its part, or what it
// has spent of the limit within the last window if that is more. To grow, it claims a part in its heartbeat, reads those of
// all others, and uses the claim only if the sum fits; heartbeats are written and read one after the other by the store, so of
// two claims that don't fit together at least one is seen. A part shrinks at once and is published afterwards.
type holding struct {
	share allotment.SlidingWindow
	// part is what the instance uses, and claim what its next heartbeat says.
	part, claim float64
	// told is what the last heartbeat said that has been spent.
	told id.Tokens
}

const (
	// heldDigits keeps heartbeats short: ten thousandths are published, rounded up.
	heldDigits = 1e4
	// heldSlack is more than the rounding of all instances' parts of a fleet of some hundred adds up to.
	heldSlack = 0.01
	// leastGrowth is the part of a limit that is not worth claiming.
	leastGrowth = 0.002
)

// LimitShares returns the parts of the organisations' limits that this instance claims in its next heartbeat.
//
// Until a configuration is known it is what the predecessor held, and nothing before the first heartbeat has been read
// back: instances that start together see each other before one of them claims the whole.
func (s *State) LimitShares(now time.Time) map[id.Organisation]float64 {
	if own := s.inherited(); own != nil {
		return own.LimitShares
	}
	out := make(map[id.Organisation]float64, len(s.organisations))
	for name, o := range s.organisations {
		limit := s.current.Organisations[name]
		if limit.Rate <= 0 {
			continue
		}
		if o.claim = s.claim(now, name, o, s.config.Bounds.most(limit)); o.claim > 0 {
			out[name] = o.claim
		}
	}
	return out
}

// claim gives up what others want more, and returns what this instance holds, or what it should hold if that is free.
func (s *State) claim(now time.Time, name id.Organisation, o *organisation, most id.Tokens) float64 {
	demand := s.members.demand(name)
	target := s.members.target(s.members.all[s.config.Instance], name, demand)
	free, wanted := 1-o.part, 0.0
	for other, e := range s.members.all {
		if other != s.config.Instance {
			free -= e.LimitShares[name]
			wanted += max(s.members.target(e, name, demand)-e.LimitShares[name], 0)
		}
	}
	if missing := wanted - max(free, 0); target < o.part && missing > 0 {
		o.part = max(target, o.part-missing)
		s.setShare(name, o)
	}
	held := max(o.part, float64(o.share.Spent(now)/most))
	if s.members.firstVersion == 0 && s.members.predecessor == nil {
		return ceiling(held)
	}
	// The others grow at the same time: each claims its part of what is free.
	own := max(target-held, 0)
	if growth := min(own, free*own/max(own+wanted, leastGrowth)); growth > leastGrowth {
		return ceiling(held + growth)
	}
	return ceiling(held)
}

func ceiling(part float64) float64 { return math.Ceil(part*heldDigits) / heldDigits }

// confirm puts the claims in force that the store has accepted and that fit the parts of all others.
func (s *State) confirm() {
	own := s.members.all[s.config.Instance]
	if own == nil || own.StartTime != s.members.started {
		return
	}
	for name, o := range s.organisations {
		limit := s.current.Organisations[name]
		if limit.Rate <= 0 || o.claim <= o.part || own.LimitShares[name] < o.claim {
			continue
		}
		if s.members.held(name) <= 1+heldSlack {
			o.part = o.claim
			s.setShare(name, o)
		}
	}
}

// LacksShares reports whether this instance holds no part of some organisation's limit.
func (s *State) LacksShares() bool {
	for name, o := range s.organisations {
		if o.part == 0 && s.current.Organisations[name].Rate > 0 {
			return true
		}
	}
	return false
}

func (s *State) setShare(name id.Organisation, o *organisation) {
	most := s.config.Bounds.most(s.current.Organisations[name])
	o.share.SetLimit(s.now, id.Tokens(o.part)*most, s.config.Bounds.RateWindow)
}

// shareLimits divides the fleet-wide limits among the instances that are known.
func (s *State) shareLimits() {
	for name, o := range s.organisations {
		if limit := s.current.Organisations[name]; limit.Rate > 0 {
			s.restore(name, o)
			s.setShare(name, o)
		}
	}
	s.confirm()
	for name, svc := range s.services {
		svc.share(s, s.current.Services[name])
	}
}

// restore takes over the part that a predecessor of this process holds, counts what it has spent, and goes on from its
// demand.
func (s *State) restore(name id.Organisation, o *organisation) {
	own := s.members.predecessor
	if o.isRestored || own == nil {
		return
	}
	o.isRestored = true
	// The last heartbeat may hold a claim that did not fit and was never used.
	o.part = max(own.LimitShares[name]-max(s.members.held(name)-1, 0), 0)
	o.claim = o.part
	s.setShare(name, o)
	o.told = sum(own.SpentBuckets[name])
	o.share.Restore(s.now, own.SpentBuckets[name], o.untold(o.told))
	o.demand = demand{perSecond: own.Demand[name], at: s.now}
}

const (
	// untoldPart is the part of what it holds that an instance spends after a heartbeat without another one.
	untoldPart = 0.05
	// untoldFactor is the part of the last window's spending that it spends without another heartbeat: what the usual
	// rate spends between two, and a quarter more.
	untoldFactor = 0.5
)

// untold returns what an instance may spend after a heartbeat that told of the spending before it writes another one.
func (h *holding) untold(told id.Tokens) id.Tokens {
	return max(min(untoldFactor*told+untoldPart*h.share.Limit(), h.share.Limit()-told), 0)
}

// SpentBuckets returns what this instance has spent of each limit, for its heartbeat, so that a successor does not spend it again.
//
// Until a configuration is known it is what the predecessor told.
func (s *State) SpentBuckets(now time.Time) map[id.Organisation][]id.Tokens {
	if own := s.inherited(); own != nil {
		return own.SpentBuckets
	}
	s.hasAsked = false
	out := make(map[id.Organisation][]id.Tokens, len(s.organisations))
	for name, o := range s.organisations {
		spending := o.share.BucketCounts(now)
		for i, count := range spending {
			spending[i] = id.Tokens(math.Ceil(float64(count)))
		}
		if len(spending) > 0 {
			out[name] = spending
		}
		o.told = sum(spending)
	}
	return out
}

func sum(counts []id.Tokens) id.Tokens {
	var total id.Tokens
	for _, c := range counts {
		total += c
	}
	return total
}

const (
	// chance is how many standard deviations of random arrivals a jump must stand out by; at three, one heartbeat in some
	// hundred is written early without one.
	chance = 3
	// variesMost bounds that to a part of the limit, so that jumps at a few instances stay within what is tolerated.
	variesMost = 0.02
)

// unasked returns what an instance spends beyond what a successor assumes before it asks for a heartbeat: its part of what
// the operator tolerates beyond the limit, and what random arrivals vary by, which at many instances is more.
func (s *State) unasked(name id.Organisation, o *organisation) id.Tokens {
	b := s.config.Bounds
	limit := s.current.Organisations[name]
	whole := b.RateExcess*(float64(limit.Rate)*b.RateWindow.Seconds()+float64(limit.Burst)) + b.RateSlack*(1-slackPart)
	tolerated := whole / float64(s.members.count())
	varies := min(chance*math.Sqrt(float64(o.told)+1), variesMost*float64(b.most(limit)))
	return id.Tokens(max(tolerated, varies))
}
