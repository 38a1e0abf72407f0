package entry

import (
	"math"
	"time"

	"bluebellhold/allotment"
	"bluebellhold/id"
)

// limitShare is this instance's share of an organisation's limit, as a fraction.
//
// The shares of all instances add up to at most the whole limit, even if their views differ. Each instance publishes
// its share, or the fraction of the limit that it has spent within the last window if that is larger. To grow, it
// publishes a claim in its heartbeat, reads the heartbeats of all others, and applies the claim only if the sum fits.
// The store serialises writes and reads of heartbeats, so of two claims that do not fit together at least one is
// detected. A share shrinks at once and is published afterwards.
type limitShare struct {
	window allotment.SlidingWindow
	// held is the share in use, and claim the share that the next heartbeat publishes.
	held, claim float64
	// reported is the spending that the last heartbeat reported.
	reported id.Tokens
}

const (
	// shareScale keeps heartbeats short: shares are published in ten thousandths, rounded up.
	shareScale = 1e4
	// shareTolerance exceeds the sum of the rounding of all shares in a fleet of some hundred instances.
	shareTolerance = 0.01
	// minShareGrowth is the smallest growth of a share that is worth a claim.
	minShareGrowth = 0.002
)

// LimitShares returns the shares of the organisations' limits that this instance claims in its next heartbeat.
//
// Until a configuration is known, they are those of the predecessor. No growth is claimed before the first heartbeat
// has been read back, so that instances that start together see each other before one of them claims the whole limit.
func (s *State) LimitShares(now time.Time) map[id.Organisation]float64 {
	if predecessor := s.predecessorHeartbeat(); predecessor != nil {
		return predecessor.LimitShares
	}
	claims := make(map[id.Organisation]float64, len(s.organisations))
	for name, o := range s.organisations {
		config := s.configuration.Organisations[name]
		if config.Rate <= 0 {
			continue
		}
		if o.claim = s.computeClaim(now, name, o, s.config.Bounds.maxPerWindow(config)); o.claim > 0 {
			claims[name] = o.claim
		}
	}
	return claims
}

// computeClaim shrinks the share if the desired growth of the other instances exceeds the free share, and returns the
// share to publish: the current one, or a larger one up to the target if that is free.
func (s *State) computeClaim(now time.Time, name id.Organisation, o *organisation, fleetLimit id.Tokens) float64 {
	totalDemand := s.membership.totalDemand(name)
	target := s.membership.targetShare(s.membership.members[s.config.Instance], name, totalDemand)
	free, othersDesiredGrowth := 1-o.held, 0.0
	for other, peer := range s.membership.members {
		if other != s.config.Instance {
			free -= peer.LimitShares[name]
			othersDesiredGrowth += max(s.membership.targetShare(peer, name, totalDemand)-peer.LimitShares[name], 0)
		}
	}
	if shortfall := othersDesiredGrowth - max(free, 0); target < o.held && shortfall > 0 {
		o.held = max(target, o.held-shortfall)
		s.applyShare(name, o)
	}
	current := max(o.held, float64(o.window.Spent(now)/fleetLimit))
	if s.membership.firstVersion == 0 && s.membership.predecessor == nil {
		return roundUpShare(current)
	}
	// All grow at the same time, so each claims a fraction of the free share in proportion to its desired growth.
	desiredGrowth := max(target-current, 0)
	if growth := min(desiredGrowth, free*desiredGrowth/max(desiredGrowth+othersDesiredGrowth, minShareGrowth)); growth > minShareGrowth {
		return roundUpShare(current + growth)
	}
	return roundUpShare(current)
}

func roundUpShare(share float64) float64 { return math.Ceil(share*shareScale) / shareScale }

// confirmClaims applies the claims that the store has accepted and that fit the shares of all others.
func (s *State) confirmClaims() {
	own := s.membership.members[s.config.Instance]
	if own == nil || own.StartTime != s.membership.startTime {
		return
	}
	for name, o := range s.organisations {
		config := s.configuration.Organisations[name]
		if config.Rate <= 0 || o.claim <= o.held || own.LimitShares[name] < o.claim {
			continue
		}
		if s.membership.totalShares(name) <= 1+shareTolerance {
			o.held = o.claim
			s.applyShare(name, o)
		}
	}
}

// LacksShares reports whether this instance holds no share of some organisation's limit.
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

// divideLimits divides the fleet-wide limits among the known instances.
func (s *State) divideLimits() {
	for name, o := range s.organisations {
		if config := s.configuration.Organisations[name]; config.Rate > 0 {
			s.restoreOrganisation(name, o)
			s.applyShare(name, o)
		}
	}
	s.confirmClaims()
	for name, svc := range s.services {
		svc.divideLimits(s, s.configuration.Services[name])
	}
}

// restoreOrganisation restores the share, the spending and the demand of this process's predecessor.
func (s *State) restoreOrganisation(name id.Organisation, o *organisation) {
	predecessor := s.membership.predecessor
	if o.isRestored || predecessor == nil {
		return
	}
	o.isRestored = true
	// The last heartbeat may contain a claim that did not fit and was never applied.
	o.held = max(predecessor.LimitShares[name]-max(s.membership.totalShares(name)-1, 0), 0)
	o.claim = o.held
	s.applyShare(name, o)
	o.reported = sum(predecessor.SpentBuckets[name])
	o.window.Restore(s.now, predecessor.SpentBuckets[name], o.unreportedAllowance(o.reported))
	o.demand = decayingRate{perSecond: predecessor.Demand[name], updatedAt: s.now}
}

const (
	// unreportedLimitFraction is the fraction of its limit that an instance may spend after a heartbeat before it
	// writes another one.
	unreportedLimitFraction = 0.05
	// unreportedSpendingFraction is the fraction of the last window's spending that it may spend in addition: what the
	// usual rate spends between two heartbeats, and a quarter more.
	unreportedSpendingFraction = 0.5
)

// unreportedAllowance returns what an instance may spend between a heartbeat that reported the given spending and the
// next one.
func (l *limitShare) unreportedAllowance(reported id.Tokens) id.Tokens {
	return max(min(unreportedSpendingFraction*reported+unreportedLimitFraction*l.window.Limit(),
		l.window.Limit()-reported), 0)
}

// SpentBuckets returns what this instance has spent of each limit, for its heartbeat, so that a successor does not
// spend it again.
//
// Until a configuration is known, it is what the predecessor reported.
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
	// spikeStdDevs is how many standard deviations of random arrivals a spike must exceed; at three, one heartbeat in
	// some hundred is written early without a spike.
	spikeStdDevs = 3
	// maxSpikeFraction bounds that to a fraction of the limit, so that spikes at a few instances stay within the
	// tolerance.
	maxSpikeFraction = 0.02
)

// unreportedTolerance returns what an instance spends beyond the unreported spending that a successor assumes before it
// requests a heartbeat: its share of the operator's tolerance beyond the limit, or the variation of random arrivals,
// which is larger in a fleet of many instances.
func (s *State) unreportedTolerance(name id.Organisation, o *organisation) id.Tokens {
	b := s.config.Bounds
	config := s.configuration.Organisations[name]
	fleetTolerance := b.RateExcess*(float64(config.Rate)*b.RateWindow.Seconds()+float64(config.Burst)) +
		b.RateSlack*(1-slackFraction)
	tolerance := fleetTolerance / float64(s.membership.count())
	variation := min(spikeStdDevs*math.Sqrt(float64(o.reported)+1), maxSpikeFraction*float64(b.maxPerWindow(config)))
	return id.Tokens(max(tolerance, variation))
}
