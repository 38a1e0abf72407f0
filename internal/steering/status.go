package steering

import (
	"sort"
	"time"

	"bluebellhold/fleet"
	"bluebellhold/id"
	"bluebellhold/note"
)

// Plan lists what a release note would change.
func (s *State) Plan(now time.Time, n note.Note) (note.Changes, error) {
	s.now = now
	return note.Plan(s.epochs.current.Configuration, n, s.measuredLoad())
}

// Configuration returns the configuration in force.
func (s *State) Configuration() note.Configuration {
	return s.epochs.current.Configuration
}

// Members returns the instances of the fleet sorted by name, including this one.
func (s *State) Members() []fleet.Member { return s.view.Members() }

// FreshUntil returns the time until which the epoch in force counts as the newest, so that API keys are accepted.
func (s *State) FreshUntil() time.Time { return s.freshness.validUntil }

// StoreDown reports whether the last read of the head failed, and returns the time of the last failure.
func (s *State) StoreDown() (bool, time.Time) {
	return s.freshness.storeDown, s.freshness.headReadFailedAt
}

// PeerEpoch returns the epoch that a peer last reported.
func (s *State) PeerEpoch(name id.Instance) id.Epoch {
	if p := s.peers[name]; p != nil {
		return p.epoch
	}
	return 0
}

// InFlight returns the number of requests of this instance that are in flight on an upstream.
func (s *State) InFlight(service id.Service, upstream id.Upstream) id.Slots {
	if svc := s.services[service]; svc != nil {
		return id.Slots(svc.chooser.InFlight(upstream))
	}
	return 0
}

// RateLimitedOrganisations returns the organisations that had requests refused by their rate limit at this instance,
// sorted by name.
func (s *State) RateLimitedOrganisations() []OrganisationDump {
	var out []OrganisationDump
	for _, o := range s.organisations {
		if o.rateLimited > 0 {
			out = append(out, OrganisationDump{Organisation: o.id, Served: o.served, RateLimited: o.rateLimited})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Organisation < out[j].Organisation })
	return out
}

// Stats holds the figures of an instance for its gauges.
type Stats struct {
	Epoch           id.Epoch
	Fresh           bool
	StoreDown       bool
	LiveInstances   int
	Requests        int
	UnsettledClaims int
	Suspects        int
}

// Stats returns the figures at the time now.
func (s *State) Stats(now time.Time) Stats {
	return Stats{
		Epoch:           s.epochs.current.Epoch,
		Fresh:           s.freshness.isFresh(now),
		StoreDown:       s.freshness.isStoreDown(now),
		LiveInstances:   s.candidates.Len(),
		Requests:        len(s.requests),
		UnsettledClaims: s.stop.unsettledClaims,
		Suspects:        s.suspects.Len(),
	}
}
