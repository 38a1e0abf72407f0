package entry

import (
	"math"
	"slices"
	"time"

	"bluebellhold/id"
	"bluebellhold/placement"
)

// observedTTL is how long the observations of a member count for the mean load of the group.
const observedTTL = 2 * time.Second

// ownObservedLoad returns what this instance has seen of the load of upstreams, for its coordinator.
func (s *State) ownObservedLoad() map[id.Service]placement.ServiceLoad {
	if !s.Features().Even {
		return nil
	}
	loads := make(map[id.Service]placement.ServiceLoad)
	for _, name := range s.serviceNames {
		if load, ok := s.services[name].chooser.ObservedLoad(s.now, false); ok {
			loads[name] = load
		}
	}
	return loads
}

// mergeMemberLoad merges what a member has observed.
func (s *State) mergeMemberLoad(l *lender, observed map[id.Service]placement.ServiceLoad) {
	l.observedMeans = nil
	if !s.Features().Even {
		return
	}
	for name, load := range observed {
		svc := s.services[name]
		if svc == nil || !load.IsValid() {
			continue
		}
		if l.observedMeans == nil {
			l.observedMeans = make(map[id.Service]float64)
		}
		l.observedMeans[name] = load.Mean
		svc.chooser.MergeLoad(s.now, load)
	}
}

// groupObservedLoad returns what the group has observed, for the members. The mean is the median of those of the members
// and this instance, so that a wrong figure of one of them hardly moves it.
func (s *State) groupObservedLoad() map[id.Service]placement.ServiceLoad {
	if !s.Features().Even || !s.IsCoordinator() {
		return nil
	}
	loads := make(map[id.Service]placement.ServiceLoad)
	for _, name := range s.serviceNames {
		chooser := s.services[name].chooser
		observed, ok := chooser.ObservedLoad(s.now, true)
		var means []float64
		if ok {
			means = append(means, observed.Mean)
		}
		for _, l := range s.group.lenders {
			if mean, ok := l.observedMeans[name]; ok && s.now.Sub(l.reportedAt) < observedTTL {
				means = append(means, mean)
			}
		}
		if len(means) == 0 {
			continue
		}
		slices.Sort(means)
		observed.Mean = (means[(len(means)-1)/2] + means[len(means)/2]) / 2
		chooser.SetGroupLoad(s.now, observed.Mean)
		loads[name] = observed
	}
	return loads
}

// mergeGroupLoad merges what the coordinator says that the group has observed.
func (s *State) mergeGroupLoad(observed map[id.Service]placement.ServiceLoad) {
	if !s.Features().Even {
		return
	}
	for name, load := range observed {
		if svc := s.services[name]; svc != nil && load.IsValid() && !math.IsNaN(load.Mean) {
			svc.chooser.SetGroupLoad(s.now, load.Mean)
			svc.chooser.MergeLoad(s.now, load)
		}
	}
}
