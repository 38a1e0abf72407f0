package features

// Set says which optional parts are on. Its zero value switches all of them off.
type Set struct {
	// Order is one order of service for the whole fleet while room is scarce.
	Order bool
	// Even is even load of the upstreams from old reports.
	Even bool
	// Plan is moving demand between regions ahead of its waves.
	Plan bool
	// Speed is predicting latencies from the momentary speed of upstreams.
	Speed bool
}

// All returns the set of all parts.
func All() Set { return Set{Order: true, Even: true, Plan: true, Speed: true} }

// Demanding returns the parts for deployments with hard load. Even load is not among them: it keeps upstreams from
// shedding, but more requests are refused for it than without.
func Demanding() Set { return Set{Order: true, Plan: true, Speed: true} }

// Union returns the set of the parts that are on in either set.
func (s Set) Union(other Set) Set {
	return Set{
		Order: s.Order || other.Order, Even: s.Even || other.Even, Plan: s.Plan || other.Plan,
		Speed: s.Speed || other.Speed,
	}
}

// Names returns the names of all parts, as settings spell them.
func Names() []string { return []string{"order", "even", "plan", "speed"} }

// Parse returns the set of the named parts, and the names that are unknown.
func Parse(names []string) (set Set, unknown []string) {
	for _, name := range names {
		switch name {
		case "order":
			set.Order = true
		case "even":
			set.Even = true
		case "plan":
			set.Plan = true
		case "speed":
			set.Speed = true
		default:
			if !IsAlwaysOn(name) {
				unknown = append(unknown, name)
			}
		}
	}
	return set, unknown
}

// IsAlwaysOn reports whether the name is that of a part that earlier versions could switch on and that is always on now.
func IsAlwaysOn(name string) bool { return name == "held" }

// Names returns the names of the parts that are on, for logs.
func (s Set) Names() []string {
	var names []string
	for _, name := range Names() {
		if one, _ := Parse([]string{name}); s.Union(one) == s {
			names = append(names, name)
		}
	}
	return names
}
