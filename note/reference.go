package note

import (
	"strings"

	"bluebellhold/id"
)

// checkReferences checks all references and uniqueness rules of the resulting configuration.
func (a *application) checkReferences() {
	digests := make(map[id.Digest]id.Key, len(a.after.Keys))
	for name, key := range a.after.Keys {
		entry := "keys." + string(name)
		if _, ok := a.after.Organisations[key.Organisation]; !ok {
			a.reportDangling(entry, "organisation", "organisations."+string(key.Organisation))
		}
		if other, ok := digests[key.Digest]; ok {
			a.reportDuplicate(entry, "keys."+string(other), "digest", "a digest that no other key has")
		}
		digests[key.Digest] = name
	}
	for block, site := range a.after.Blocks {
		if _, ok := a.after.Sites[site]; !ok {
			a.reportDangling("blocks."+block, "", "sites."+string(site))
		}
	}
	a.checkUniqueUpstreams()
	a.checkUniqueLinks()
	a.checkShiftAndDrainReferences()
}

// reportDangling reports a missing target at the entry that refers to it if the note names that entry, and otherwise at
// the withdrawal that removed the target.
func (a *application) reportDangling(entry, fieldName, target string) {
	kind, name, _ := strings.Cut(target, ".")
	if fieldPath, ok := a.notePaths[entry]; ok {
		if fieldName != "" {
			fieldPath += "." + fieldName
		}
		a.Report(fieldPath, quote(name)+", which does not exist", "one of the configuration's "+kind)
		return
	}
	fieldPath, ok := a.notePaths[target]
	if !ok {
		fieldPath = entry
	}
	a.Report(fieldPath, quote(name)+", which "+entry+" refers to", "a name that nothing refers to any more")
}

// reportDuplicate reports two entries that share a unique value, at the one that the note names.
func (a *application) reportDuplicate(entry, other, fieldName, allowed string) {
	if entry < other {
		entry, other = other, entry
	}
	if _, ok := a.notePaths[entry]; !ok {
		entry, other = other, entry
	}
	fieldPath, ok := a.notePaths[entry]
	if !ok {
		fieldPath = entry
	}
	if fieldName != "" {
		fieldPath += "." + fieldName
	}
	a.Report(fieldPath, "the same as in "+other, allowed)
}

func (a *application) checkUniqueUpstreams() {
	owners := make(map[id.Upstream]id.Service)
	for service, s := range a.after.Services {
		for name := range s.Upstreams {
			if other, ok := owners[name]; ok {
				a.reportDuplicate("upstreams."+string(service)+"."+string(name), "upstreams."+string(other)+"."+string(name), "",
					"a name that no upstream of another service has")
			}
			owners[name] = service
		}
	}
}

func (a *application) checkUniqueLinks() {
	type direction struct{ from, to id.Region }
	names := make(map[direction]string, len(a.after.Links))
	for name, l := range a.after.Links {
		if other, ok := names[direction{l.From, l.To}]; ok {
			a.reportDuplicate("links."+name, "links."+other, "", "one link for each direction between two regions")
		}
		names[direction{l.From, l.To}] = name
	}
}

func (a *application) checkShiftAndDrainReferences() {
	regions := a.after.Regions()
	for name, s := range a.after.Shifts {
		entry := "shifts." + string(name)
		service, ok := a.after.Services[s.Service]
		if !ok {
			a.reportDangling(entry, "service", "services."+string(s.Service))
			continue
		}
		if !regions[s.From] {
			a.reportUnknownRegion(entry, "from", s.From, "a region that has upstreams or sites")
		}
		if !service.hasRegion(s.To) {
			a.reportUnknownRegion(entry, "to", s.To, "a region that has upstreams of "+string(s.Service))
		}
	}
	for name, d := range a.after.Drains {
		service, ok := a.after.Services[d.Service]
		if !ok {
			a.reportDangling("drains."+string(name), "service", "services."+string(d.Service))
			continue
		}
		if _, ok := service.Upstreams[name]; !ok {
			a.reportDangling("drains."+string(name), "", "upstreams."+string(d.Service)+"."+string(name))
		}
	}
}

// reportUnknownRegion reports a shift whose region has no upstreams or sites, also if the note withdraws the region's
// last upstream.
func (a *application) reportUnknownRegion(entry, fieldName string, region id.Region, allowed string) {
	fieldPath, ok := a.notePaths[entry]
	if !ok {
		fieldPath = entry
	}
	a.Report(fieldPath+"."+fieldName, quote(string(region)), allowed)
}

// Regions returns the regions that have upstreams or sites.
func (c Configuration) Regions() map[id.Region]bool {
	out := make(map[id.Region]bool)
	for _, s := range c.Services {
		for _, u := range s.Upstreams {
			out[u.Region] = true
		}
	}
	for _, s := range c.Sites {
		out[s.Region] = true
	}
	return out
}

func (s Service) hasRegion(region id.Region) bool {
	for _, u := range s.Upstreams {
		if u.Region == region {
			return true
		}
	}
	return false
}
