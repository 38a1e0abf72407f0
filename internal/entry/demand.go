package entry

import (
	"math"
	"time"

	"bluebellhold/id"
)

// demandTimeConstant is the time constant of the measured rates: short compared with the daily cycle of the traffic,
// and longer than the interval of the heartbeats that publish them.
const demandTimeConstant = 3 * time.Second

// decayingRate is a rate of events, averaged with exponential decay.
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

// heartbeatValue returns the rate as published in heartbeats: rounded, and zero below minDemand.
func (d *decayingRate) heartbeatValue(now time.Time) float64 {
	d.decay(now)
	if d.perSecond < minDemand {
		return 0
	}
	return roundForHeartbeat(d.perSecond)
}

func roundForHeartbeat(x float64) float64 { return math.Round(x*heartbeatScale) / heartbeatScale }

// predecessorHeartbeat returns the last heartbeat of this process's predecessor until a configuration is known, and nil
// from then on, so that the first heartbeat does not report that the load has gone.
func (s *State) predecessorHeartbeat() *Member {
	if s.isConfigured {
		return nil
	}
	return s.membership.predecessor
}

// LocalShares returns the fraction of each service's objects whose home is in this region, for this instance's
// heartbeat.
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

// restoreServices restores the offered load and the local shares of this process's predecessor, whose objects are still
// in the upstreams' caches, and counts the cold rates as spent by it.
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

// OfferedLoad returns the slots that the requests of the callers of this instance and of its members would occupy, for
// its heartbeat. Requests that are restricted to some regions count as PinnedLoad instead. A member's heartbeat reports
// none, since its coordinator's does.
func (s *State) OfferedLoad(now time.Time) map[id.Service]float64 {
	if predecessor := s.predecessorHeartbeat(); predecessor != nil {
		return predecessor.OfferedLoad
	}
	if !s.IsCoordinator() {
		return nil
	}
	loads := s.ownOfferedLoad(now)
	for _, l := range s.group.lenders {
		for name, load := range l.offeredLoad {
			loads[name] = roundForHeartbeat(loads[name] + load)
		}
	}
	return loads
}

func (s *State) ownOfferedLoad(now time.Time) map[id.Service]float64 {
	loads := make(map[id.Service]float64, len(s.services))
	for name, svc := range s.services {
		if load := svc.offeredLoad.heartbeatValue(now); load > 0 {
			loads[name] = load
		}
	}
	return loads
}

// PinnedLoad returns the slots that those requests counted by OfferedLoad would occupy that are restricted to some
// regions, by service and region, for the heartbeat.
func (s *State) PinnedLoad(now time.Time) map[id.Service]map[id.Region]float64 {
	if !s.IsCoordinator() {
		return nil
	}
	loads := s.ownPinnedLoad(now)
	for _, l := range s.group.lenders {
		for name, byRegion := range l.pinnedLoad {
			if loads[name] == nil {
				loads[name] = make(map[id.Region]float64)
			}
			for region, load := range byRegion {
				loads[name][region] = roundForHeartbeat(loads[name][region] + load)
			}
		}
	}
	return loads
}

func (s *State) ownPinnedLoad(now time.Time) map[id.Service]map[id.Region]float64 {
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

// targetUtilisation is the maximum utilisation of a region's slots by its own callers' requests. Above it, the queueing
// delay grows beyond the additional latency of another region.
const targetUtilisation = 0.5

// adjustLocalShares adjusts the fraction of each service's objects that are served in this region to the region's
// slots, less those for the requests of all regions that are pinned to it.
func (s *State) adjustLocalShares() {
	for name, svc := range s.services {
		var offeredLoad, pinnedLoad float64
		for _, m := range s.membership.members {
			pinnedLoad += m.PinnedLoad[name][s.config.Region]
			if m.Region == s.config.Region {
				offeredLoad += m.OfferedLoad[name]
			}
		}
		if offeredLoad < minOfferedLoad || s.Features().Plan && svc.plan.shares != nil {
			continue
		}
		capacity := targetUtilisation * float64(svc.chooser.UsableSlots(s.now, s.config.Region))
		svc.chooser.AdjustLocalShare(min(max(capacity-pinnedLoad, 0)/offeredLoad, 1))
	}
}

const (
	// minOfferedLoad is the offered load in slots below which it does not predict the demand to come.
	minOfferedLoad = 0.5
	// minDemand is the lowest rate per second that is published.
	minDemand = 0.02
	// heartbeatScale keeps heartbeats short: rates are published in hundredths.
	heartbeatScale = 100
)
