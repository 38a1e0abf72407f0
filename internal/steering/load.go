package steering

import (
	"slices"
	"strings"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/wire"
	"bluebellhold/note"
)

// loadReportTTL is how long a peer's load report is valid; heartbeats are sent every 500 ms.
const loadReportTTL = 3 * time.Second

// regionKey identifies one service in one region.
type regionKey struct {
	service id.Service
	region  id.Region
}

// RegionLoad is the capacity of one service in one region and the requests of all instances in flight there.
//
// Known is false if an instance has not reported its load recently; InFlight is then only a lower bound.
type RegionLoad struct {
	Region   id.Region
	Service  id.Service
	Slots    id.Slots
	InFlight id.Slots
	Spare    id.Slots
	Known    bool
}

// RegionLoads returns the load of each service in each region.
func (s *State) RegionLoads(now time.Time) []RegionLoad {
	var loads []RegionLoad
	for _, name := range s.serviceNames {
		slots := s.epochs.current.SlotsByRegion(name)
		for _, target := range s.services[name].targets {
			inFlight, known := s.fleetLoad(now, regionKey{name, target.region})
			loads = append(loads, RegionLoad{
				Region: target.region, Service: name, Slots: slots[target.region], InFlight: inFlight,
				Spare: max(0, slots[target.region]-inFlight), Known: known,
			})
		}
	}
	return loads
}

// fleetLoad sums the requests in flight of all instances.
func (s *State) fleetLoad(now time.Time, key regionKey) (inFlight id.Slots, known bool) {
	known = true
	inFlight = id.Slots(s.services[key.service].inFlight[key.region])
	for _, name := range s.peerNames() {
		p := s.peers[name]
		if p == nil || now.Sub(p.loadsAt) >= loadReportTTL {
			known = false
			continue
		}
		inFlight += id.Slots(p.loads[key])
	}
	return inFlight, known
}

// measuredLoad returns the load that a release note is checked against.
func (s *State) measuredLoad() note.LoadReport {
	report := note.LoadReport{Load: make(map[id.Service]map[id.Region]note.Load)}
	for _, load := range s.RegionLoads(s.now) {
		if report.Load[load.Service] == nil {
			report.Load[load.Service] = make(map[id.Region]note.Load)
		}
		report.Load[load.Service][load.Region] = note.Load{InFlight: load.InFlight, Known: load.Known}
	}
	return report
}

// ownLoads returns the requests in flight of this instance by service and region, without zeros.
func (s *State) ownLoads() []*wire.Load {
	var loads []*wire.Load
	for _, name := range s.serviceNames {
		for region, n := range s.services[name].inFlight {
			if n > 0 {
				loads = append(loads, &wire.Load{Service: string(name), Region: string(region), Running: uint32(n)})
			}
		}
	}
	slices.SortFunc(loads, func(a, b *wire.Load) int {
		return strings.Compare(a.GetService()+"/"+a.GetRegion(), b.GetService()+"/"+b.GetRegion())
	})
	return loads
}

func (p *peer) recordLoads(now time.Time, loads []*wire.Load) {
	p.loadsAt = now
	p.loads = make(map[regionKey]int, len(loads))
	for _, m := range loads {
		p.loads[regionKey{id.Service(m.GetService()), id.Region(m.GetRegion())}] = int(m.GetRunning())
	}
}
