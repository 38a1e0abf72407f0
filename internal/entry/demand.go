package entry

import (
	"math"
	"time"

	"bluebellhold/id"
)

// demandFor is the time constant of the measured demand: short beside the waves of the users' days, long beside the
// heartbeats that publish it.
const demandTimeConstant = 3 * time.Second

// demand is a rate of events that decays exponentially.
type decayingRate struct {
	perSecond float64
	updatedAt time.Time
}

func (d *decayingRate) add(now time.Time, amount float64) {
	d.decay(now)
	d.perSecond += amount / demandTimeConstant.Seconds()
}

func (d *decayingRate) decay(now time.Time) {
	if !d.updatedAt.IsZero() {
		d.perSecond *= math.Exp(-now.Sub(d.updatedAt).Seconds() / demandTimeConstant.Seconds())
	}
	d.updatedAt = now
}

// published returns the rate as heartbeats tell it, zero if it is not worth telling.
func (d *decayingRate) heartbeatValue(now time.Time) float64 {
	d.decay(now)
	if d.perSecond < minDemand {
		return 0
	}
	return roundForHeartbeat(d.perSecond)
}

func roundForHeartbeat(x float64) float64 { return math.Round(x*heartbeatScale) / heartbeatScale }

// inherited returns the last heartbeat of this process's predecessor as long as no configuration is known, and nil
// otherwise. A heartbeat that tells less would give this instance's part of each limit to the others.
func (s *State) predecessorHeartbeat() *Member {
	if s.isConfigured {
		return nil
	}
	return s.membership.predecessor
}

// Demand returns what callers ask for per organisation and second, for this instance's heartbeat.
func (s *State) Demand(now time.Time) map[id.Organisation]float64 {
	if predecessor := s.predecessorHeartbeat(); predecessor != nil {
		return predecessor.Demand
	}
	demands := make(map[id.Organisation]float64, len(s.organisations))
	for name, o := range s.organisations {
		if rate := o.demand.heartbeatValue(now); rate > 0 {
			demands[name] = rate
		}
	}
	return demands
}

// LocalShares returns the part of the objects that stay in the region, per service, for this instance's heartbeat.
func (s *State) LocalShares() map[id.Service]float64 {
	if predecessor := s.predecessorHeartbeat(); predecessor != nil {
		return predecessor.LocalShares
	}
	shares := make(map[id.Service]float64, len(s.services))
	for name, svc := range s.services {
		shares[name] = roundForHeartbeat(svc.chooser.LocalShare())
	}
	return shares
}

// restoreHomes goes on from the work and the homes of this process's predecessor, whose objects the upstreams still know.
func (s *State) restoreServices() {
	predecessor := s.membership.predecessor
	if predecessor == nil {
		return
	}
	for name, svc := range s.services {
		if svc.isRestored {
			continue
		}
		svc.isRestored = true
		svc.chooser.AssumeColdRateSpent(s.now)
		if share, ok := predecessor.LocalShares[name]; ok {
			svc.chooser.RestoreLocalShare(share)
			svc.offeredLoad = decayingRate{perSecond: predecessor.OfferedLoad[name], updatedAt: s.now}
		}
	}
}

// OfferedLoad returns the slots that the requests of this instance's callers would keep busy, for its heartbeat.
func (s *State) OfferedLoad(now time.Time) map[id.Service]float64 {
	if predecessor := s.predecessorHeartbeat(); predecessor != nil {
		return predecessor.OfferedLoad
	}
	loads := make(map[id.Service]float64, len(s.services))
	for name, svc := range s.services {
		if load := svc.offeredLoad.heartbeatValue(now); load > 0 {
			loads[name] = load
		}
	}
	return loads
}

// PinnedLoad returns the slots that the requests of this instance's callers that are bound to regions would keep busy there, for
// its heartbeat.
func (s *State) PinnedLoad(now time.Time) map[id.Service]map[id.Region]float64 {
	loads := make(map[id.Service]map[id.Region]float64)
	for name, svc := range s.services {
		for region, rate := range svc.pinnedLoad {
			load := rate.heartbeatValue(now)
			if load == 0 {
				continue
			}
			if loads[name] == nil {
				loads[name] = make(map[id.Region]float64)
			}
			loads[name][region] = load
		}
	}
	return loads
}

// fullAt is the part of a region's slots that its own demand may fill; above it, waiting grows faster than the way to
// another region.
const targetUtilisation = 0.5

// keepObjects lets each service keep as many of the region's objects as the region has slots for, besides the requests
// of all regions that may run nowhere else.
func (s *State) adjustLocalShares() {
	for name, svc := range s.services {
		var offeredLoad, pinnedLoad float64
		for _, m := range s.membership.members {
			pinnedLoad += m.PinnedLoad[name][s.config.Region]
			if m.Region == s.config.Region {
				offeredLoad += m.OfferedLoad[name]
			}
		}
		if offeredLoad < minOfferedLoad {
			continue
		}
		capacity := targetUtilisation * float64(svc.chooser.UsableSlots(s.now, s.config.Region))
		svc.chooser.AdjustLocalShare(min(max(capacity-pinnedLoad, 0)/offeredLoad, 1))
	}
}

const (
	// leastWork is the work in slots below which it says nothing about the demand to come.
	minOfferedLoad = 0.5
	// leastDemand is the demand per second that is not worth publishing.
	minDemand = 0.02
	// demandDigits keeps heartbeats short: hundredths are published.
	heartbeatScale = 100
)
