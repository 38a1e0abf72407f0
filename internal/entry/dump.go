package entry

import (
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/uplink"
	"bluebellhold/placement"
)

// Dump is the state of an instance for diagnosis, without secrets.
type Dump struct {
	Version   uint64                     `json:"version"`
	Ready     bool                       `json:"ready"`
	Counts    Counts                     `json:"counts"`
	Members   []id.Instance              `json:"members"`
	Evacuated []id.DataCentre            `json:"evacuated"`
	Services  map[id.Service]ServiceDump `json:"services"`
	// Uplink tells whether the instance reaches the upstreams.
	Uplink uplink.Evidence `json:"uplink"`
}

// ServiceDump is the state of one service.
type ServiceDump struct {
	QueueLength int `json:"waiting"`
	Upstreams   int `json:"upstreams"`
	// Order is the order of service, if it spans the group.
	Order *OrderDump `json:"order,omitempty"`
	// Routes holds the measured processing times of each route.
	Routes map[id.Route]placement.RouteDump `json:"classes"`
	// Speeds holds the work factors that upstreams report; it is empty if the feature is off.
	Speeds map[id.Upstream]placement.SpeedDump `json:"speeds,omitempty"`
	// LocalShare is the fraction of the objects of routes without a plan whose home is in this region, and Plan that of
	// the others; Far are the upstreams of other regions that are the homes of the rest.
	LocalShare float64       `json:"kept"`
	Plan       *PlanDump     `json:"plan,omitempty"`
	Far        []id.Upstream `json:"far,omitempty"`
	// Load is the estimated load of the upstreams; nil while the feature Even is off.
	Load *placement.LoadDump `json:"load,omitempty"`
}

// Dump returns the state for diagnosis.
func (s *State) Dump(now time.Time) Dump {
	d := Dump{
		Version: s.configuration.Version, Ready: s.IsReady(), Counts: s.counts, Members: s.membership.instances(),
		Services: make(map[id.Service]ServiceDump, len(s.services)), Uplink: s.uplink.Evidence(now),
	}
	for name := range s.evacuated {
		d.Evacuated = append(d.Evacuated, name)
	}
	for name, svc := range s.services {
		n := 0
		for _, u := range s.upstreams {
			if u.Service == name {
				n++
			}
		}
		dump := ServiceDump{
			QueueLength: svc.queue.Len(), Upstreams: n, Routes: svc.chooser.DumpRoutes(now),
			Speeds:     svc.chooser.DumpSpeeds(now),
			LocalShare: svc.chooser.LocalShare(), Plan: s.dumpPlan(svc, now), Far: svc.chooser.FarUpstreams(), Order: s.dumpOrder(now, svc),
		}
		if load, ok := svc.chooser.DumpLoad(now); ok {
			dump.Load = &load
		}
		d.Services[name] = dump
	}
	return d
}

// OrderDump is the state of the order of service.
type OrderDump struct {
	// Promised is the number of places of refused requests that have not returned.
	Promised int `json:"promised"`
	// HeldBack counts the requests that were held back on arrival for more urgent work elsewhere.
	HeldBack uint64 `json:"held"`
	// Elsewhere is the work that waits at other instances of the group, and NewsAge the age of that news in milliseconds.
	Elsewhere []WaitingDump `json:"elsewhere"`
	NewsAge   int64         `json:"age"`
	// Own is the work that waits at this instance.
	Own []WaitingDump `json:"own"`
}

// WaitingDump is the work of one priority that waits.
type WaitingDump struct {
	Organisation int     `json:"organisation"`
	Route        int     `json:"route"`
	Slots        float64 `json:"slots"`
	// Age is how long the oldest request has waited, in milliseconds.
	Age int64 `json:"age"`
}

func (s *State) dumpOrder(now time.Time, svc *service) *OrderDump {
	if !s.Features().Order {
		return nil
	}
	d := &OrderDump{Promised: svc.queue.Promised(), HeldBack: svc.cutOff.heldBack}
	if !svc.cutOff.receivedAt.IsZero() {
		d.NewsAge = now.Sub(svc.cutOff.receivedAt).Milliseconds()
	}
	for _, w := range svc.cutOff.news {
		d.Elsewhere = append(d.Elsewhere, WaitingDump{w.Priority.Organisation, w.Priority.Route, w.Slots, w.Age.Milliseconds()})
	}
	for _, w := range svc.queue.Waiting(now) {
		d.Own = append(d.Own, WaitingDump{w.Priority.Organisation, w.Priority.Route, float64(w.Requests), w.Age.Milliseconds()})
	}
	return d
}
