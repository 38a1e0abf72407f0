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

func (d *demand) add(now time.Time) {
	d.decay(now)
	d.perSecond += 1 / demandFor.Seconds()
}

func (d *demand) decay(now time.Time) {
	if !d.at.IsZero() {
		d.perSecond *= math.Exp(-now.Sub(d.at).Seconds() / demandFor.Seconds())
	}
	d.at = now
}

// Demand returns what callers ask for per organisation and second, for this instance's heartbeat.
func (s *State) Demand(now time.Time) map[id.Organisation]float64 {
	out := make(map[id.Organisation]float64, len(s.organisations))
	for name, o := range s.organisations {
		o.demand.decay(now)
		if o.demand.perSecond >= leastDemand {
			out[name] = math.Round(o.demand.perSecond*demandDigits) / demandDigits
		}
	}
	return out
}

const (
	// leastDemand is the demand per second that is not worth publishing.
	leastDemand = 0.02
	// demandDigits keeps heartbeats short: hundredths are published.
	demandDigits = 100
)
