package note

import (
	"math"
	"net/netip"
	"path"
	"strconv"
	"strings"

	"bluebellhold/id"
)

// maxName bounds names because they become parts of row names, URL paths and log lines.
const maxName = 64

// NameRule describes the names that notes and settings may use.
const NameRule = "a name of 1 to 64 letters, digits, '.', '_' or '-' that starts with a letter or digit"

// check reports every wrong value that can be found without a configuration.
func (n *Note) check(r *reporter) {
	r.name("id", string(n.ID))
	n.Add.check(r, "add")
	n.Change.check(r, "change")
	for name, service := range n.Change.Services {
		if len(service.Upstreams) > 0 {
			at := "change.services." + string(name) + ".upstreams"
			r.Report(at, "given", "add.upstreams, change.upstreams and withdraw.upstreams, one upstream at a time")
		}
	}
}

func (e *Entries) check(r *reporter, verb string) {
	for name, o := range e.Organisations {
		at := r.entry(verb, "organisations", string(name))
		r.positive(at+".rate", float64(o.Rate))
		r.burst(at+".burst", o.Burst)
	}
	for name, k := range e.Keys {
		at := r.entry(verb, "keys", string(name))
		r.name(at+".organisation", string(k.Organisation))
		if k.Digest == (id.Digest{}) {
			r.Report(at+".digest", "all zeros", "the SHA-256 digest of a secret")
		}
	}
	for name, s := range e.Services {
		at := r.entry(verb, "services", string(name))
		r.routes(at+".routes", s.Routes)
		r.upstreams(at+".upstreams", s.Upstreams)
	}
	for name, upstreams := range e.Upstreams {
		r.upstreams(r.entry(verb, "upstreams", string(name)), upstreams)
	}
	e.checkPlaces(r, verb)
	e.checkSteering(r, verb)
}

func (e *Entries) checkPlaces(r *reporter, verb string) {
	for name, l := range e.Links {
		at := r.entry(verb, "links", name)
		r.pair(at, l.From, l.To)
		if l.Rate <= 0 {
			r.Report(at+".rate", strconv.FormatInt(int64(l.Rate), 10), "bytes per second above 0")
		}
	}
	for name, s := range e.Sites {
		at := r.entry(verb, "sites", string(name))
		r.name(at+".region", string(s.Region))
		r.name(at+".datacentre", string(s.DataCentre))
	}
	for block, site := range e.Blocks {
		at := verb + ".blocks." + block
		r.block(at, block)
		r.name(at, string(site))
	}
}

func (e *Entries) checkSteering(r *reporter, verb string) {
	for name, s := range e.Shifts {
		at := r.entry(verb, "shifts", string(name))
		r.name(at+".service", string(s.Service))
		r.pair(at, s.From, s.To)
		if s.Percent < 0 || s.Percent > 100 {
			r.Report(at+".percent", strconv.Itoa(s.Percent), "0 to 100")
		}
		r.positive(at+".rate", float64(s.Rate))
		r.burst(at+".burst", s.Burst)
	}
	for name, d := range e.Drains {
		r.name(r.entry(verb, "drains", string(name))+".service", string(d.Service))
	}
}

// entry checks the name of an entry and returns its path.
func (r *reporter) entry(verb, section, name string) string {
	at := verb + "." + section + "." + name
	r.name(at, name)
	return at
}

func (r *reporter) name(at, name string) {
	if !ValidName(name) {
		r.Report(at, quote(name), NameRule)
	}
}

// ValidName reports whether name follows the NameRule.
func ValidName(name string) bool {
	if name == "" || len(name) > maxName || strings.IndexByte("._-", name[0]) >= 0 {
		return false
	}
	for _, c := range []byte(name) {
		letter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !letter && (c < '0' || c > '9') && strings.IndexByte("._-", c) < 0 {
			return false
		}
	}
	return true
}

func (r *reporter) positive(at string, value float64) {
	if !(value > 0) || math.IsInf(value, 0) {
		r.Report(at, number(value), "a finite number above 0")
	}
}

func (r *reporter) burst(at string, burst id.Tokens) {
	if !(burst >= 1) || math.IsInf(float64(burst), 0) {
		r.Report(at, number(float64(burst)), "a finite number of at least 1")
	}
}

func (r *reporter) pair(at string, from, to id.Region) {
	r.name(at+".from", string(from))
	r.name(at+".to", string(to))
	if from == to {
		r.Report(at+".to", quote(string(to)), "a region other than from")
	}
}

func (r *reporter) block(at, block string) {
	p, err := netip.ParsePrefix(block)
	if err != nil || p.Masked().String() != block || p.Addr().Is4In6() {
		r.Report(at, quote(block), "a masked prefix in its shortest form, such as 10.1.0.0/16 or 2001:db8::/32")
	}
}

func (r *reporter) upstreams(at string, upstreams map[id.Upstream]Upstream) {
	for name, u := range upstreams {
		at := at + "." + string(name)
		r.name(at, string(name))
		r.name(at+".region", string(u.Region))
		r.name(at+".datacentre", string(u.DataCentre))
		if a, err := netip.ParseAddrPort(u.Address); err != nil || a.Port() == 0 {
			r.Report(at+".address", quote(u.Address), "an IP number and a port, such as 10.1.2.3:8080 or [2001:db8::1]:8080")
		}
		if u.Slots < 1 {
			r.Report(at+".slots", strconv.Itoa(int(u.Slots)), "at least 1")
		}
	}
}

func (r *reporter) routes(at string, routes []Route) {
	taken := make(map[string]bool)
	for i, route := range routes {
		at := at + "." + strconv.Itoa(i)
		p := string(route.Path)
		trimmed := strings.TrimSuffix(p, "/")
		if !strings.HasPrefix(p, "/") || path.Clean("/"+trimmed) != "/"+strings.TrimPrefix(trimmed, "/") || strings.ContainsAny(p, "?#%\\ ") {
			r.Report(at+".path", quote(p), "a path that starts with a slash and has no '//', '.', '..', '%', '?' or '#'")
		}
		if route.Class != "" && route.Class != Small && route.Class != Bulk {
			r.Report(at+".class", quote(string(route.Class)), "small or bulk")
		}
		r.methods(at, trimmed, route.Methods, taken)
	}
}

// methods reports unknown methods and routes of the same path that share a method, since one would never match.
func (r *reporter) methods(at, path string, methods []string, taken map[string]bool) {
	if taken[path+" *"] || (len(methods) == 0 && taken[path]) {
		r.Report(at+".path", quote(path), "one route for each path and method")
	}
	taken[path] = true
	if len(methods) == 0 {
		taken[path+" *"] = true
	}
	for i, m := range methods {
		at := at + ".methods." + strconv.Itoa(i)
		if m == "" || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
			r.Report(at, quote(m), "an HTTP method in capital letters")
		}
		if taken[path+" "+m] {
			r.Report(at, quote(m), "one route for each path and method")
		}
		taken[path+" "+m] = true
	}
}

func number(value float64) string {
	return strconv.FormatFloat(value, 'g', -1, 64)
}

// quote shows a text, shortened so that an oversized value does not fill the answer.
func quote(text string) string {
	if len(text) > 2*maxName {
		text = text[:2*maxName] + "..."
	}
	return strconv.Quote(text)
}
