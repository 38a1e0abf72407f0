package entry

import (
	"math"
	"time"

	"bluebellhold/id"
)

// demandFor is the time constant of the measured demand: short beside the waves of the users' days, long beside the
// heartbeats that publish it.
const demandFor = 3 * time.Second

// demand is a rate of events that decays exponentially.
type demand struct {
	perSecond float64
	at        time.Time
}

func (d *demand) add(now time.Time, amount float64) {
	d.decay(now)
	d.perSecond += amount / demandFor.Seconds()
}

func (d *demand) decay(now time.Time) {
	if !d.at.IsZero() {
		d.perSecond *= math.Exp(-now.Sub(d.at).Seconds() / demandFor.Seconds())
	}
	d.at = now
}

// published returns the rate as heartbeats tell it, zero if it is not worth telling.
func (d *demand) published(now time.Time) float64 {
	d.decay(now)
	if d.perSecond < leastDemand {
		return 0
	}
	return hundredths(d.perSecond)
}

func hundredths(x float64) float64 { return math.Round(x*demandDigits) / demandDigits }

// inherited returns the last heartbeat of this process's predecessor as long as no configuration is known, and nil
// otherwise. A heartbeat that tells less would give this instance's part of each limit to the others.
func (s *State) inherited() *Member {
	if s.isConfigured {
		return nil
	}
	return s.members.predecessor
}

// Demand returns what callers ask for per organisation and second, for this instance's heartbeat.
func (s *State) Demand(now time.Time) map[id.Organisation]float64 {
	if own := s.inherited(); own != nil {
		return own.Demand
	}
	out := make(map[id.Organisation]float64, len(s.organisations))
	for name, o := range s.organisations {
		if rate := o.demand.published(now); rate > 0 {
			out[name] = rate
		}
	}
	return out
}

// LocalShares returns the part of the objects that stay in the region, per service, for this instance's heartbeat.
func (s *State) LocalShares() map[id.Service]float64 {
	if own := s.inherited(); own != nil {
		return own.LocalShares
	}
	out := make(map[id.Service]float64, len(s.services))
	for name, svc := range s.services {
		out[name] = hundredths(svc.chooser.LocalShare())
	}
	return out
}

// restoreHomes goes on from the work and the homes of this process's predecessor, whose objects the upstreams still know.
func (s *State) restoreHomes() {
	own := s.members.predecessor
	if own == nil {
		return
	}
	for name, svc := range s.services {
		if svc.isRestored {
			continue
		}
		svc.isRestored = true
		svc.chooser.AssumeColdRateSpent(s.now)
		if kept, ok := own.LocalShares[name]; ok {
			svc.chooser.RestoreLocalShare(kept)
			svc.work = demand{perSecond: own.OfferedLoad[name], at: s.now}
		}
	}
}

// OfferedLoad returns the slots that the requests of this instance's callers would keep busy, for its heartbeat.
func (s *State) OfferedLoad(now time.Time) map[id.Service]float64 {
	if own := s.inherited(); own != nil {
		return own.OfferedLoad
	}
	out := make(map[id.Service]float64, len(s.services))
	for name, svc := range s.services {
		if work := svc.work.published(now); work > 0 {
			out[name] = work
		}
	}
	return out
}

// PinnedLoad returns the slots that the requests of this instance's callers that are bound to regions would keep busy there, for
// its heartbeat.
func (s *State) PinnedLoad(now time.Time) map[id.Service]map[id.Region]float64 {
	out := make(map[id.Service]map[id.Region]float64)
	for name, svc := range s.services {
		for region, bound := range svc.bound {
			work := bound.published(now)
			if work == 0 {
				continue
			}
			if out[name] == nil {
				out[name] = make(map[id.Region]float64)
			}
			out[name][region] = work
		}
	}
	return out
}

// fullAt is the part of a region's slots that its own demand may fill; above it, waiting grows faster than the way to
// another region.
const fullAt = 0.5

// keepObjects lets each service keep as many of the region's objects as the region has slots for, besides the requests
// of all regions that may run nowhere else.
func (s *State) keepObjects() {
	for name, svc := range s.services {
		var work, bound float64
		for _, m := range s.members.all {
			bound += m.PinnedLoad[name][s.config.Region]
			if m.Region == s.config.Region {
				work += m.OfferedLoad[name]
			}
		}
		if work < leastWork {
			continue
		}
		room := fullAt * float64(svc.chooser.UsableSlots(s.now, s.config.Region))
		svc.chooser.AdjustLocalShare(min(max(room-bound, 0)/work, 1))
	}
}

const (
	// leastWork is the work in slots below which it says nothing about the demand to come.
	leastWork = 0.5
	// leastDemand is the demand per second that is not worth publishing.
	leastDemand = 0.02
	// demandDigits keeps heartbeats short: hundredths are published.
	demandDigits = 100
)
