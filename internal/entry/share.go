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
type limitShare struct {
	window allotment.SlidingWindow
	// part is what the instance uses, and claim what its next heartbeat says.
	held, claim float64
	// told is what the last heartbeat said that has been spent.
	reported id.Tokens
}

const (
	// heldDigits keeps heartbeats short: ten thousandths are published, rounded up.
	shareScale = 1e4
	// heldSlack is more than the rounding of all instances' parts of a fleet of some hundred adds up to.
	shareTolerance = 0.01
	// leastGrowth is the part of a limit that is not worth claiming.
	minShareGrowth = 0.002
)

// LimitShares returns the parts of the organisations' limits that this instance claims in its next heartbeat.
//
// Until a configuration is known it is what the predecessor held, and nothing before the first heartbeat has been read
// back: instances that start together see each other before one of them claims the whole.
func (s *State) LimitShares(now time.Time) map[id.Organisation]float64 {
	if predecessor := s.predecessorHeartbeat(); predecessor != nil {
		return predecessor.LimitShares
	}
	claims := make(map[id.Organisation]float64, len(s.organisations))
	for name, o := range s.organisations {
		limit := s.configuration.Organisations[name]
		if limit.Rate <= 0 {
			continue
		}
		if o.claim = s.computeClaim(now, name, o, s.config.Bounds.maxPerWindow(limit)); o.claim > 0 {
			claims[name] = o.claim
		}
	}
	return claims
}

// claim gives up what others want more, and returns what this instance holds, or what it should hold if that is free.
func (s *State) computeClaim(now time.Time, name id.Organisation, o *organisation, fleetLimit id.Tokens) float64 {
	totalDemand := s.membership.totalDemand(name)
	target := s.membership.targetShare(s.membership.members[s.config.Instance], name, totalDemand)
	free, othersWanted := 1-o.held, 0.0
	for other, peer := range s.membership.members {
		if other != s.config.Instance {
			free -= peer.LimitShares[name]
			othersWanted += max(s.membership.targetShare(peer, name, totalDemand)-peer.LimitShares[name], 0)
		}
	}
	if shortfall := othersWanted - max(free, 0); target < o.held && shortfall > 0 {
		o.held = max(target, o.held-shortfall)
		s.applyShare(name, o)
	}
	current := max(o.held, float64(o.window.Spent(now)/fleetLimit))
	if s.membership.firstVersion == 0 && s.membership.predecessor == nil {
		return roundUpShare(current)
	}
	// The others grow at the same time: each claims its part of what is free.
	ownWanted := max(target-current, 0)
	if growth := min(ownWanted, free*ownWanted/max(ownWanted+othersWanted, minShareGrowth)); growth > minShareGrowth {
		return roundUpShare(current + growth)
	}
	return roundUpShare(current)
}

func roundUpShare(share float64) float64 { return math.Ceil(share*shareScale) / shareScale }

// confirm puts the claims in force that the store has accepted and that fit the parts of all others.
func (s *State) confirmClaims() {
	own := s.membership.members[s.config.Instance]
	if own == nil || own.StartTime != s.membership.startTime {
		return
	}
	for name, o := range s.organisations {
		limit := s.configuration.Organisations[name]
		if limit.Rate <= 0 || o.claim <= o.held || own.LimitShares[name] < o.claim {
			continue
		}
		if s.membership.totalShares(name) <= 1+shareTolerance {
			o.held = o.claim
			s.applyShare(name, o)
		}
	}
}

// LacksShares reports whether this instance holds no part of some organisation's limit.
func (s *State) LacksShares() bool {
	for name, o := range s.organisations {
		if o.held == 0 && s.configuration.Organisations[name].Rate > 0 {
			return true
		}
	}
	return false
}

func (s *State) applyShare(name id.Organisation, o *organisation) {
	fleetLimit := s.config.Bounds.maxPerWindow(s.configuration.Organisations[name])
	o.window.SetLimit(s.now, id.Tokens(o.held)*fleetLimit, s.config.Bounds.RateWindow)
}

// shareLimits divides the fleet-wide limits among the instances that are known.
func (s *State) divideLimits() {
	for name, o := range s.organisations {
		if limit := s.configuration.Organisations[name]; limit.Rate > 0 {
			s.restoreOrganisation(name, o)
			s.applyShare(name, o)
		}
	}
	s.confirmClaims()
	for name, svc := range s.services {
		svc.divideLimits(s, s.configuration.Services[name])
	}
}

// restore takes over the part that a predecessor of this process holds, counts what it has spent, and goes on from its
// demand.
func (s *State) restoreOrganisation(name id.Organisation, o *organisation) {
	predecessor := s.membership.predecessor
	if o.isRestored || predecessor == nil {
		return
	}
	o.isRestored = true
	// The last heartbeat may hold a claim that did not fit and was never used.
	o.held = max(predecessor.LimitShares[name]-max(s.membership.totalShares(name)-1, 0), 0)
	o.claim = o.held
	s.applyShare(name, o)
	o.reported = sum(predecessor.SpentBuckets[name])
	o.window.Restore(s.now, predecessor.SpentBuckets[name], o.unreportedAllowance(o.reported))
	o.demand = decayingRate{perSecond: predecessor.Demand[name], updatedAt: s.now}
}

const (
	// untoldPart is the part of what it holds that an instance spends after a heartbeat without another one.
	unreportedLimitFraction = 0.05
	// untoldFactor is the part of the last window's spending that it spends without another heartbeat: what the usual
	// rate spends between two, and a quarter more.
	unreportedSpendingFraction = 0.5
)

// untold returns what an instance may spend after a heartbeat that told of the spending before it writes another one.
func (l *limitShare) unreportedAllowance(reported id.Tokens) id.Tokens {
	return max(min(unreportedSpendingFraction*reported+unreportedLimitFraction*l.window.Limit(),
		l.window.Limit()-reported), 0)
}

// SpentBuckets returns what this instance has spent of each limit, for its heartbeat, so that a successor does not spend it again.
//
// Until a configuration is known it is what the predecessor told.
func (s *State) SpentBuckets(now time.Time) map[id.Organisation][]id.Tokens {
	if predecessor := s.predecessorHeartbeat(); predecessor != nil {
		return predecessor.SpentBuckets
	}
	s.isHeartbeatRequested = false
	spent := make(map[id.Organisation][]id.Tokens, len(s.organisations))
	for name, o := range s.organisations {
		counts := o.window.BucketCounts(now)
		for i, count := range counts {
			counts[i] = id.Tokens(math.Ceil(float64(count)))
		}
		if len(counts) > 0 {
			spent[name] = counts
		}
		o.reported = sum(counts)
	}
	return spent
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
	spikeStdDevs = 3
	// variesMost bounds that to a part of the limit, so that jumps at a few instances stay within what is tolerated.
	maxSpikeFraction = 0.02
)

// unasked returns what an instance spends beyond what a successor assumes before it asks for a heartbeat: its part of what
// the operator tolerates beyond the limit, and what random arrivals vary by, which at many instances is more.
func (s *State) unreportedTolerance(name id.Organisation, o *organisation) id.Tokens {
	b := s.config.Bounds
	limit := s.configuration.Organisations[name]
	fleetTolerance := b.RateExcess*(float64(limit.Rate)*b.RateWindow.Seconds()+float64(limit.Burst)) +
		b.RateSlack*(1-slackFraction)
	tolerance := fleetTolerance / float64(s.membership.count())
	variation := min(spikeStdDevs*math.Sqrt(float64(o.reported)+1), maxSpikeFraction*float64(b.maxPerWindow(limit)))
	return id.Tokens(max(tolerance, variation))
}
