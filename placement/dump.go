package placement

import (
	"time"

	"bluebellhold/id"
)

// RouteDump is the average processing time of one route by the expected state of the cache.
//
// The field names appear in the log line "instance: service", so renaming one changes that line.
type RouteDump struct {
	Cold   time.Duration `json:"cold"`
	Home   time.Duration `json:"home"`
	Repeat time.Duration `json:"repeat"`
	// Strangers, Homes and Repeats count the measured responses with an expected cold cache, at home and with a
	// warm cache.
	Strangers uint64 `json:"strangers"`
	Homes     uint64 `json:"homes"`
	Repeats   uint64 `json:"repeats"`
	// Prediction holds what else predictions use; nil if the feature is off.
	Prediction *PredictionDump `json:"prediction,omitempty"`
}

// PredictionDump is what the predictions for one route use apart from processing times.
type PredictionDump struct {
	// Shift is the fraction of objects that is served in another region than usually: elsewhere if it is positive, and
	// here if it is negative. LateHere and LateElsewhere are the latenesses that move it, between 0 and 1.
	Shift         float64 `json:"shift"`
	LateHere      float64 `json:"near"`
	LateElsewhere float64 `json:"far"`
	// NewConnections is the fraction of requests to other regions that needed a new connection.
	NewConnections float64 `json:"opened"`
	// Transfers holds the transfer times to other regions.
	Transfers map[id.Region]TransferDump `json:"transfers,omitempty"`
}

// TransferDump holds the transfer time to a region that is predicted for the next request of average size, and the last
// one measured, with the number of samples.
type TransferDump struct {
	Predicted time.Duration `json:"predicted"`
	Measured  time.Duration `json:"measured"`
	Samples   uint64        `json:"samples"`
}

// DumpRoutes returns the measurements of each route.
func (c *Chooser) DumpRoutes(now time.Time) map[id.Route]RouteDump {
	out := make(map[id.Route]RouteDump, len(c.routes))
	for name, stats := range c.routes {
		d := RouteDump{
			Cold: stats.cold, Home: stats.home, Repeat: stats.warm,
			Strangers: stats.counts[cacheCold], Homes: stats.counts[cacheHome], Repeats: stats.counts[cacheWarm],
		}
		if c.features.Speed {
			d.Prediction = stats.dumpPrediction(now)
		}
		out[name] = d
	}
	return out
}

func (s *routeStats) dumpPrediction(now time.Time) *PredictionDump {
	d := &PredictionDump{
		Shift: s.shift.fraction, LateHere: s.shift.near, LateElsewhere: s.shift.far,
		NewConnections: s.newConnections.current(now), Transfers: make(map[id.Region]TransferDump, len(s.transfers)),
	}
	for region, t := range s.transfers {
		d.Transfers[region] = TransferDump{Predicted: t.average, Measured: t.last, Samples: t.count}
	}
	return d
}

// SpeedDump is the last work factor that an upstream reported, its age and the one expected now, with the slowdown
// measured apart from it.
type SpeedDump struct {
	Work     WorkFactor    `json:"work"`
	Age      time.Duration `json:"age"`
	Expected WorkFactor    `json:"expected"`
	Slowdown float64       `json:"slowdown"`
}

// DumpSpeeds returns the speed of each upstream that has reported a work factor or was measured to be slow.
func (c *Chooser) DumpSpeeds(now time.Time) map[id.Upstream]SpeedDump {
	out := make(map[id.Upstream]SpeedDump)
	if !c.features.Speed {
		return out
	}
	for _, u := range c.ordered {
		slowdown := u.currentSlowdown(now)
		if u.speed.work == 0 && slowdown < overdueFactor {
			continue
		}
		d := SpeedDump{Work: u.speed.work, Expected: c.currentWork(now, u), Slowdown: slowdown}
		if u.speed.work != 0 {
			d.Age = now.Sub(u.speed.workAt)
		}
		out[u.ID] = d
	}
	return out
}
