package note

import (
	"slices"
	"strconv"

	"bluebellhold/id"
)

// LoadReport is the measured load of the fleet by service and region.
type LoadReport struct {
	Load map[id.Service]map[id.Region]Load `json:"load,omitempty"`
}

// Load is the load of a service in one region.
//
// InFlight counts the requests in flight and Rate the requests started per second. Known is false if there is no recent
// report; the other fields are meaningless then.
type Load struct {
	InFlight id.Slots           `json:"running"`
	Rate     id.TokensPerSecond `json:"rate"`
	Known    bool               `json:"known"`
}

// Plan returns the changes that n would make, and checks whether the fleet has the capacity for them.
//
// The error is that of Apply, or an InfeasibleError together with the changes. A change that cannot be checked because
// a load is unknown is accepted with a caution, since operators must be able to act while measurements are missing.
// A change that leaves a service without any slot for new requests is always infeasible.
func Plan(c Configuration, n Note, load LoadReport) (Changes, error) {
	_, changes, err := PlanAndApply(c, n, load)
	return changes, err
}

// PlanAndApply returns the result of applying n to c together with the changes and the error that Plan returns.
//
// The configuration is valid only if there is no error.
func PlanAndApply(c Configuration, n Note, load LoadReport) (Configuration, Changes, error) {
	after, err := Apply(c, n)
	if err != nil {
		return Configuration{}, nil, err
	}
	p := plan{before: c, after: after, note: n, loadReport: load, cautions: make(map[string]string)}
	p.checkCapacity()
	p.checkShifts()
	p.checkLinks()
	changes := listChanges(c, after, n)
	for i := range changes {
		changes[i].Caution = p.cautions[changes[i].Path]
	}
	if fields := fieldErrors(&p.Collector); len(fields) > 0 {
		return Configuration{}, changes, &InfeasibleError{Fields: fields}
	}
	return after, changes, nil
}

type plan struct {
	reporter
	before     Configuration
	after      Configuration
	note       Note
	loadReport LoadReport
	cautions   map[string]string
}

// SlotsByRegion returns the slots of a service's upstreams by region, without drained upstreams.
func (c Configuration) SlotsByRegion(service id.Service) map[id.Region]id.Slots {
	out := make(map[id.Region]id.Slots)
	for name, u := range c.Services[service].Upstreams {
		if _, drained := c.Drains[name]; !drained {
			out[u.Region] += u.Slots
		}
	}
	return out
}

// reduction is one part of a note that may reduce the slots of a service.
type reduction struct {
	service    id.Service
	notePath   string
	changePath string // Path of the Change.
}

// reductions returns the drains, withdrawals and changes that may leave a service with fewer slots.
func (p *plan) reductions() []reduction {
	var out []reduction
	for _, verb := range []string{"add", "change"} {
		drains := p.note.Add.Drains
		if verb == "change" {
			drains = p.note.Change.Drains
		}
		for name, d := range drains {
			out = append(out, reduction{d.Service, verb + ".drains." + string(name), "drains." + string(name)})
		}
	}
	for service, names := range p.note.Withdraw.Upstreams {
		for i, name := range names {
			pathPrefix := "upstreams." + string(service) + "."
			out = append(out, reduction{service, "withdraw." + pathPrefix + strconv.Itoa(i), pathPrefix + string(name)})
		}
	}
	for service, upstreams := range p.note.Change.Upstreams {
		for name := range upstreams {
			changePath := "upstreams." + string(service) + "." + string(name)
			out = append(out, reduction{service, "change." + changePath, changePath})
		}
	}
	return out
}

// checkCapacity reports each reduction that leaves a service fewer slots than it has requests in flight, or none.
func (p *plan) checkCapacity() {
	for _, r := range p.reductions() {
		slotsAfter, slotsBefore := totalSlots(p.after.SlotsByRegion(r.service)), totalSlots(p.before.SlotsByRegion(r.service))
		if slotsAfter >= slotsBefore {
			continue
		}
		inFlight, known := p.inFlight(r.service)
		required := max(inFlight, 1)
		if slotsAfter < required {
			p.Report(r.notePath, "a change that leaves "+formatSlots(slotsAfter)+" of "+string(r.service),
				"at least "+formatSlots(required)+" (measured: "+strconv.Itoa(int(inFlight))+" requests running)")
			continue
		}
		if !known {
			p.addCaution(r.changePath, "the load of "+string(r.service)+" is not known in every region")
		}
	}
}

// inFlight returns the measured requests in flight of a service in all regions, and whether the load of every region
// with slots is known.
func (p *plan) inFlight(service id.Service) (id.Slots, bool) {
	var sum id.Slots
	known := true
	for _, load := range p.loadReport.Load[service] {
		if load.Known {
			sum += load.InFlight
		}
	}
	for region := range p.before.SlotsByRegion(service) {
		known = known && p.loadReport.Load[service][region].Known
	}
	return sum, known
}

// checkShifts checks the shifts that the note adds or changes, ordered by name.
//
// The slots for several shifts to the same destination add up. Shifts that the note does not change are already part of
// the measured load.
func (p *plan) checkShifts() {
	type destination struct {
		service id.Service
		region  id.Region
	}
	notePaths := make(map[id.Shift]string)
	var names []id.Shift
	for name := range p.note.Add.Shifts {
		notePaths[name] = "add.shifts." + string(name)
		names = append(names, name)
	}
	for name := range p.note.Change.Shifts {
		notePaths[name] = "change.shifts." + string(name)
		names = append(names, name)
	}
	slices.Sort(names)
	reserved := make(map[destination]float64)
	for _, name := range names {
		s := p.after.Shifts[name]
		target := destination{s.Service, s.To}
		reserved[target] += p.checkShift(name, notePaths[name], reserved[target])
	}
}

// checkShift checks one shift and returns the slots that it needs in the destination region at its rate limit.
func (p *plan) checkShift(name id.Shift, notePath string, reserved float64) float64 {
	s := p.after.Shifts[name]
	changePath := "shifts." + string(name)
	from, to := p.loadReport.Load[s.Service][s.From], p.loadReport.Load[s.Service][s.To]
	if !from.Known {
		p.addCaution(changePath, "the load of "+string(s.Service)+" in "+string(s.From)+" is not known")
	} else if shiftedRate := float64(from.Rate) * float64(s.Percent) / 100; shiftedRate > float64(s.Rate) {
		p.Report(notePath+".rate", formatNumber(float64(s.Rate))+" per second",
			"at least the "+formatNumber(shiftedRate)+" per second that "+strconv.Itoa(s.Percent)+" percent would move")
	}
	spareSlots := float64(p.after.SlotsByRegion(s.Service)[s.To])
	if to.Known {
		spareSlots -= float64(to.InFlight)
	}
	spareSlots = max(spareSlots-reserved, 0)
	serviceSeconds, known := p.meanServiceSeconds(s.Service)
	required := float64(s.Rate) * serviceSeconds
	if spareSlots == 0 || required > spareSlots {
		p.Report(notePath+".rate", formatNumber(float64(s.Rate))+" per second, which takes "+formatNumber(required)+" slots",
			"a cap that fits the "+formatNumber(spareSlots)+" spare slots of "+string(s.Service)+" in "+string(s.To))
		return required
	}
	if !known || !to.Known {
		p.addCaution(changePath, "the spare capacity of "+string(s.Service)+" in "+string(s.To)+" is not known")
	}
	return required
}

func (p *plan) addCaution(changePath, text string) {
	if old, ok := p.cautions[changePath]; ok {
		text = old + "; " + text
	}
	p.cautions[changePath] = text
}

// meanServiceSeconds returns the mean service time, for which a request of the service occupies a slot: by Little's law,
// the requests in flight divided by their rate.
func (p *plan) meanServiceSeconds(service id.Service) (float64, bool) {
	var inFlight, rate float64
	for _, load := range p.loadReport.Load[service] {
		if load.Known {
			inFlight += float64(load.InFlight)
			rate += float64(load.Rate)
		}
	}
	if rate <= 0 || inFlight <= 0 {
		return 0, false
	}
	return inFlight / rate, true
}

func (p *plan) checkLinks() {
	regions := p.after.Regions()
	for _, verb := range []string{"add", "change"} {
		links := p.note.Add.Links
		if verb == "change" {
			links = p.note.Change.Links
		}
		for name, l := range links {
			for field, region := range map[string]id.Region{"from": l.From, "to": l.To} {
				if !regions[region] {
					p.Report(verb+".links."+name+"."+field, quote(string(region)), "a region that has upstreams or sites")
				}
			}
		}
	}
}

func totalSlots(slots map[id.Region]id.Slots) id.Slots {
	var sum id.Slots
	for _, n := range slots {
		sum += n
	}
	return sum
}

func formatSlots(n id.Slots) string {
	return strconv.Itoa(int(n)) + " slots"
}
