package note

import (
	"strings"

	"bluebellhold/id"
)

// references checks every reference of the resulting configuration.
func (a *application) references() {
	digests := make(map[id.Digest]id.Key, len(a.after.Keys))
	for name, key := range a.after.Keys {
		entry := "keys." + string(name)
		if _, ok := a.after.Organisations[key.Organisation]; !ok {
			a.dangling(entry, "organisation", "organisations."+string(key.Organisation))
		}
		if other, ok := digests[key.Digest]; ok {
			a.clash(entry, "keys."+string(other), "digest", "a digest that no other key has")
		}
		digests[key.Digest] = name
	}
	for block, site := range a.after.Blocks {
		if _, ok := a.after.Sites[site]; !ok {
			a.dangling("blocks."+block, "", "sites."+string(site))
		}
	}
	a.uniqueUpstreams()
	a.uniqueLinks()
	a.steering()
}

// dangling reports a missing target at the entry that refers to it, or at the withdrawal that removed the target.
func (a *application) dangling(entry, field, target string) {
	kind, name, _ := strings.Cut(target, ".")
	if at, ok := a.touched[entry]; ok {
		if field != "" {
			at += "." + field
		}
		a.Report(at, quote(name)+", which does not exist", "one of the configuration's "+kind)
		return
	}
	at, ok := a.touched[target]
	if !ok {
		at = entry
	}
	a.Report(at, quote(name)+", which "+entry+" refers to", "a name that nothing refers to any more")
}

// clash reports two entries that share what must be unique, at the one that the note touches.
func (a *application) clash(entry, other, field, allowed string) {
	if entry < other {
		entry, other = other, entry
	}
	if _, ok := a.touched[entry]; !ok {
		entry, other = other, entry
	}
	at, ok := a.touched[entry]
	if !ok {
		at = entry
	}
	if field != "" {
		at += "." + field
	}
	a.Report(at, "the same as in "+other, allowed)
}

func (a *application) uniqueUpstreams() {
	owner := make(map[id.Upstream]id.Service)
	for service, s := range a.after.Services {
		for name := range s.Upstreams {
			if other, ok := owner[name]; ok {
				a.clash("upstreams."+string(service)+"."+string(name), "upstreams."+string(other)+"."+string(name), "",
					"a name that no upstream of another service has")
			}
			owner[name] = service
		}
	}
}

func (a *application) uniqueLinks() {
	type pair struct{ from, to id.Region }
	seen := make(map[pair]string, len(a.after.Links))
	for name, l := range a.after.Links {
		if other, ok := seen[pair{l.From, l.To}]; ok {
			a.clash("links."+name, "links."+other, "", "one link for each direction between two regions")
		}
		seen[pair{l.From, l.To}] = name
	}
}

func (a *application) steering() {
	regions := a.after.Regions()
	for name, s := range a.after.Shifts {
		entry := "shifts." + string(name)
		service, ok := a.after.Services[s.Service]
		if !ok {
			a.dangling(entry, "service", "services."+string(s.Service))
			continue
		}
		if !regions[s.From] {
			a.unknownRegion(entry, "from", s.From, "a region that has upstreams or sites")
		}
		if !service.in(s.To) {
			a.unknownRegion(entry, "to", s.To, "a region that has upstreams of "+string(s.Service))
		}
	}
	for name, d := range a.after.Drains {
		service, ok := a.after.Services[d.Service]
		if !ok {
			a.dangling("drains."+string(name), "service", "services."+string(d.Service))
			continue
		}
		if _, ok := service.Upstreams[name]; !ok {
			a.dangling("drains."+string(name), "", "upstreams."+string(d.Service)+"."+string(name))
		}
	}
}

// unknownRegion reports a shift whose region has nothing, also if the note took the region's last upstream away.
func (a *application) unknownRegion(entry, field string, region id.Region, allowed string) {
	at, ok := a.touched[entry]
	if !ok {
		at = entry
	}
	a.Report(at+"."+field, quote(string(region)), allowed)
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

func (s Service) in(region id.Region) bool {
	for _, u := range s.Upstreams {
		if u.Region == region {
			return true
		}
	}
	return false
}
