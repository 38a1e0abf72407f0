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

// Demand returns what callers ask for per organisation and second, for this instance's heartbeat.
//
// Until a configuration is known it is what the predecessor published: a heartbeat without demand would give this
// instance's part of each limit to the others.
func (s *State) Demand(now time.Time) map[id.Organisation]float64 {
	if own := s.members.predecessor; own != nil && !s.isConfigured {
		return own.Demand
	}
	out := make(map[id.Organisation]float64, len(s.organisations))
	for name, o := range s.organisations {
		o.demand.decay(now)
		if o.demand.perSecond >= leastDemand {
			out[name] = math.Round(o.demand.perSecond*demandDigits) / demandDigits
		}
	}
	return out
}

// Kept returns the part of the objects that stay in the region, per service, for this instance's heartbeat.
func (s *State) Kept() map[id.Service]float64 {
	if own := s.members.predecessor; own != nil && !s.isConfigured {
		return own.Kept
	}
	out := make(map[id.Service]float64, len(s.services))
	for name, svc := range s.services {
		out[name] = math.Round(svc.chooser.Kept()*demandDigits) / demandDigits
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
		if kept, ok := own.Kept[name]; ok && !svc.isRestored {
			svc.chooser.Restore(kept)
			svc.work = demand{perSecond: own.Work[name], at: s.now}
		}
		if !svc.isRestored {
			svc.chooser.AssumeCold(s.now)
		}
		svc.isRestored = true
	}
}

// Work returns the slots that the requests of this instance's callers would keep busy, for its heartbeat.
func (s *State) Work(now time.Time) map[id.Service]float64 {
	if own := s.members.predecessor; own != nil && !s.isConfigured {
		return own.Work
	}
	out := make(map[id.Service]float64, len(s.services))
	for name, svc := range s.services {
		svc.work.decay(now)
		if svc.work.perSecond >= leastDemand {
			out[name] = math.Round(svc.work.perSecond*demandDigits) / demandDigits
		}
	}
	return out
}

// Bound returns the slots that the requests of this instance's callers that are bound to regions would keep busy there, for
// its heartbeat.
func (s *State) Bound(now time.Time) map[id.Service]map[id.Region]float64 {
	out := make(map[id.Service]map[id.Region]float64)
	for name, svc := range s.services {
		for region, work := range svc.bound {
			work.decay(now)
			if work.perSecond < leastDemand {
				continue
			}
			if out[name] == nil {
				out[name] = make(map[id.Region]float64)
			}
			out[name][region] = math.Round(work.perSecond*demandDigits) / demandDigits
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
			bound += m.Bound[name][s.config.Region]
			if m.Region == s.config.Region {
				work += m.Work[name]
			}
		}
		if work < leastWork {
			continue
		}
		room := fullAt * float64(svc.chooser.Slots(s.now, s.config.Region))
		svc.chooser.Keep(min(max(room-bound, 0)/work, 1))
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
