package note

import (
	"slices"
	"strconv"

	"bluebellhold/id"
)

// LoadReport is what the fleet reports about its load, for each service and region.
type LoadReport struct {
	Load map[id.Service]map[id.Region]Load `json:"load,omitempty"`
}

// Load is the work that a service does in one region.
//
// InFlight counts requests in progress and Rate the requests started per second. Known is false if no recent report
// exists; then the other fields mean nothing.
type Load struct {
	InFlight id.Slots           `json:"running"`
	Rate     id.TokensPerSecond `json:"rate"`
	Known    bool               `json:"known"`
}

// Plan reports what n would change and whether the measured fleet can carry it.
//
// The error is that of Apply, or an InfeasibleError together with the changes. What cannot be judged because a load
// is unknown is not refused, since operators must be able to act while measurements are missing; the change carries
// a caution instead. A service is never left without any slot that takes new work.
func Plan(c Configuration, n Note, m LoadReport) (Changes, error) {
	_, changes, err := PlanAndApply(c, n, m)
	return changes, err
}

// PlanAndApply returns the configuration that follows c, and what Plan reports of the same note.
//
// The configuration is to be used only if there is no error.
func PlanAndApply(c Configuration, n Note, m LoadReport) (Configuration, Changes, error) {
	after, err := Apply(c, n)
	if err != nil {
		return Configuration{}, nil, err
	}
	p := plan{before: c, after: after, note: n, measured: m, cautions: make(map[string]string)}
	p.drains()
	p.shifts()
	p.links()
	changes := changesOf(c, after, n)
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
	before   Configuration
	after    Configuration
	note     Note
	measured LoadReport
	cautions map[string]string
}

// SlotsByRegion returns the slots of a service's upstreams that are not drained, by region.
func (c Configuration) SlotsByRegion(service id.Service) map[id.Region]id.Slots {
	out := make(map[id.Region]id.Slots)
	for name, u := range c.Services[service].Upstreams {
		if _, drained := c.Drains[name]; !drained {
			out[u.Region] += u.Slots
		}
	}
	return out
}

// reduction is one part of a note that takes slots from a service.
type reduction struct {
	service id.Service
	path    string // in the note
	entry   string // in the list of changes
}

// reductions lists the drains, withdrawals and changes that may leave a service with fewer slots.
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
			tail := "upstreams." + string(service) + "."
			out = append(out, reduction{service, "withdraw." + tail + strconv.Itoa(i), tail + string(name)})
		}
	}
	for service, upstreams := range p.note.Change.Upstreams {
		for name := range upstreams {
			entry := "upstreams." + string(service) + "." + string(name)
			out = append(out, reduction{service, "change." + entry, entry})
		}
	}
	return out
}

func (p *plan) drains() {
	for _, r := range p.reductions() {
		left, had := total(p.after.SlotsByRegion(r.service)), total(p.before.SlotsByRegion(r.service))
		if left >= had {
			continue
		}
		running, known := p.running(r.service)
		needed := max(running, 1)
		if left < needed {
			p.Report(r.path, "a change that leaves "+slots(left)+" of "+string(r.service),
				"at least "+slots(needed)+" (measured: "+strconv.Itoa(int(running))+" requests running)")
			continue
		}
		if !known {
			p.caution(r.entry, "the load of "+string(r.service)+" is not known in every region")
		}
	}
}

// running returns the measured requests of a service in all regions and whether each region that has slots reported.
func (p *plan) running(service id.Service) (id.Slots, bool) {
	var sum id.Slots
	known := true
	for _, load := range p.measured.Load[service] {
		if load.Known {
			sum += load.InFlight
		}
	}
	for region := range p.before.SlotsByRegion(service) {
		known = known && p.measured.Load[service][region].Known
	}
	return sum, known
}

// shifts judges the shifts that the note adds or changes, in the order of their names.
//
// Caps of several shifts to the same place add up. Shifts that the note leaves alone already count as measured load.
func (p *plan) shifts() {
	type place struct {
		service id.Service
		region  id.Region
	}
	paths := make(map[id.Shift]string)
	var names []id.Shift
	for name := range p.note.Add.Shifts {
		paths[name] = "add.shifts." + string(name)
		names = append(names, name)
	}
	for name := range p.note.Change.Shifts {
		paths[name] = "change.shifts." + string(name)
		names = append(names, name)
	}
	slices.Sort(names)
	taken := make(map[place]float64)
	for _, name := range names {
		s := p.after.Shifts[name]
		to := place{s.Service, s.To}
		taken[to] += p.shift(name, paths[name], taken[to])
	}
}

// shift judges one shift and returns the slots that its cap takes in the receiving region.
func (p *plan) shift(name id.Shift, path string, taken float64) float64 {
	s := p.after.Shifts[name]
	entry := "shifts." + string(name)
	from, to := p.measured.Load[s.Service][s.From], p.measured.Load[s.Service][s.To]
	if !from.Known {
		p.caution(entry, "the load of "+string(s.Service)+" in "+string(s.From)+" is not known")
	} else if moved := float64(from.Rate) * float64(s.Percent) / 100; moved > float64(s.Rate) {
		p.Report(path+".rate", number(float64(s.Rate))+" per second",
			"at least the "+number(moved)+" per second that "+strconv.Itoa(s.Percent)+" percent would move")
	}
	spare := float64(p.after.SlotsByRegion(s.Service)[s.To])
	if to.Known {
		spare -= float64(to.InFlight)
	}
	spare = max(spare-taken, 0)
	seconds, known := p.seconds(s.Service)
	needed := float64(s.Rate) * seconds
	if spare == 0 || needed > spare {
		p.Report(path+".rate", number(float64(s.Rate))+" per second, which takes "+number(needed)+" slots",
			"a cap that fits the "+number(spare)+" spare slots of "+string(s.Service)+" in "+string(s.To))
		return needed
	}
	if !known || !to.Known {
		p.caution(entry, "the spare capacity of "+string(s.Service)+" in "+string(s.To)+" is not known")
	}
	return needed
}

func (p *plan) caution(entry, text string) {
	if old, ok := p.cautions[entry]; ok {
		text = old + "; " + text
	}
	p.cautions[entry] = text
}

// seconds returns the mean time that a request of the service holds a slot: running requests divided by their rate.
func (p *plan) seconds(service id.Service) (float64, bool) {
	var running, rate float64
	for _, load := range p.measured.Load[service] {
		if load.Known {
			running += float64(load.InFlight)
			rate += float64(load.Rate)
		}
	}
	if rate <= 0 || running <= 0 {
		return 0, false
	}
	return running / rate, true
}

func (p *plan) links() {
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

func total(slots map[id.Region]id.Slots) id.Slots {
	var sum id.Slots
	for _, n := range slots {
		sum += n
	}
	return sum
}

func slots(n id.Slots) string {
	return strconv.Itoa(int(n)) + " slots"
}
