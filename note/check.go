package note

import (
	"math"
	"net/netip"
	"path"
	"strconv"
	"strings"

	"bluebellhold/id"
)

// maxNameLength bounds names because they become parts of row names, URL paths and log lines.
const maxNameLength = 64

// NameRule describes the valid names in notes and settings, for error messages.
const NameRule = "a name of 1 to 64 letters, digits, '.', '_' or '-' that starts with a letter or digit"

// check reports every invalid value that can be found without a configuration.
func (n *Note) check(r *reporter) {
	r.checkName("id", string(n.ID))
	n.Add.check(r, "add")
	n.Change.check(r, "change")
	for name, service := range n.Change.Services {
		if len(service.Upstreams) > 0 {
			fieldPath := "change.services." + string(name) + ".upstreams"
			r.Report(fieldPath, "given", "add.upstreams, change.upstreams and withdraw.upstreams, one upstream at a time")
		}
	}
}

func (e *Entries) check(r *reporter, verb string) {
	for name, o := range e.Organisations {
		fieldPath := r.checkEntryName(verb, "organisations", string(name))
		r.checkPositive(fieldPath+".rate", float64(o.Rate))
		r.checkBurst(fieldPath+".burst", o.Burst)
	}
	for name, k := range e.Keys {
		fieldPath := r.checkEntryName(verb, "keys", string(name))
		r.checkName(fieldPath+".organisation", string(k.Organisation))
		if k.Digest == (id.Digest{}) {
			r.Report(fieldPath+".digest", "all zeros", "the SHA-256 digest of a secret")
		}
	}
	for name, s := range e.Services {
		fieldPath := r.checkEntryName(verb, "services", string(name))
		r.checkRoutes(fieldPath+".routes", s.Routes)
		r.checkUpstreams(fieldPath+".upstreams", s.Upstreams)
	}
	for name, upstreams := range e.Upstreams {
		r.checkUpstreams(r.checkEntryName(verb, "upstreams", string(name)), upstreams)
	}
	e.checkTopology(r, verb)
	e.checkShiftsAndDrains(r, verb)
}

func (e *Entries) checkTopology(r *reporter, verb string) {
	for name, l := range e.Links {
		fieldPath := r.checkEntryName(verb, "links", name)
		r.checkRegionPair(fieldPath, l.From, l.To)
		if l.Rate <= 0 {
			r.Report(fieldPath+".rate", strconv.FormatInt(int64(l.Rate), 10), "bytes per second above 0")
		}
	}
	for name, s := range e.Sites {
		fieldPath := r.checkEntryName(verb, "sites", string(name))
		r.checkName(fieldPath+".region", string(s.Region))
		r.checkName(fieldPath+".datacentre", string(s.DataCentre))
	}
	for block, site := range e.Blocks {
		fieldPath := verb + ".blocks." + block
		r.checkBlock(fieldPath, block)
		r.checkName(fieldPath, string(site))
	}
}

func (e *Entries) checkShiftsAndDrains(r *reporter, verb string) {
	for name, s := range e.Shifts {
		fieldPath := r.checkEntryName(verb, "shifts", string(name))
		r.checkName(fieldPath+".service", string(s.Service))
		r.checkRegionPair(fieldPath, s.From, s.To)
		if s.Percent < 0 || s.Percent > 100 {
			r.Report(fieldPath+".percent", strconv.Itoa(s.Percent), "0 to 100")
		}
		r.checkPositive(fieldPath+".rate", float64(s.Rate))
		r.checkBurst(fieldPath+".burst", s.Burst)
	}
	for name, d := range e.Drains {
		r.checkName(r.checkEntryName(verb, "drains", string(name))+".service", string(d.Service))
	}
}

// checkEntryName checks the name of an entry and returns the path of the entry in the note.
func (r *reporter) checkEntryName(verb, section, name string) string {
	fieldPath := verb + "." + section + "." + name
	r.checkName(fieldPath, name)
	return fieldPath
}

func (r *reporter) checkName(fieldPath, name string) {
	if !ValidName(name) {
		r.Report(fieldPath, quote(name), NameRule)
	}
}

// ValidName reports whether name follows the NameRule.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameLength || strings.IndexByte("._-", name[0]) >= 0 {
		return false
	}
	for _, c := range []byte(name) {
		isLetter := c|0x20 >= 'a' && c|0x20 <= 'z'
		if !isLetter && (c < '0' || c > '9') && strings.IndexByte("._-", c) < 0 {
			return false
		}
	}
	return true
}

func (r *reporter) checkPositive(fieldPath string, value float64) {
	if !(value > 0) || math.IsInf(value, 0) {
		r.Report(fieldPath, formatNumber(value), "a finite number above 0")
	}
}

func (r *reporter) checkBurst(fieldPath string, burst id.Tokens) {
	if !(burst >= 1) || math.IsInf(float64(burst), 0) {
		r.Report(fieldPath, formatNumber(float64(burst)), "a finite number of at least 1")
	}
}

func (r *reporter) checkRegionPair(fieldPath string, from, to id.Region) {
	r.checkName(fieldPath+".from", string(from))
	r.checkName(fieldPath+".to", string(to))
	if from == to {
		r.Report(fieldPath+".to", quote(string(to)), "a region other than from")
	}
}

func (r *reporter) checkBlock(fieldPath, block string) {
	prefix, err := netip.ParsePrefix(block)
	if err != nil || prefix.Masked().String() != block || prefix.Addr().Is4In6() {
		r.Report(fieldPath, quote(block), "a masked prefix in its shortest form, such as 10.1.0.0/16 or 2001:db8::/32")
	}
}

func (r *reporter) checkUpstreams(fieldPath string, upstreams map[id.Upstream]Upstream) {
	for name, u := range upstreams {
		fieldPath := fieldPath + "." + string(name)
		r.checkName(fieldPath, string(name))
		r.checkName(fieldPath+".region", string(u.Region))
		r.checkName(fieldPath+".datacentre", string(u.DataCentre))
		if address, err := netip.ParseAddrPort(u.Address); err != nil || address.Port() == 0 {
			r.Report(fieldPath+".address", quote(u.Address), "an IP number and a port, such as 10.1.2.3:8080 or [2001:db8::1]:8080")
		}
		if u.Slots < 1 {
			r.Report(fieldPath+".slots", strconv.Itoa(int(u.Slots)), "at least 1")
		}
	}
}

func (r *reporter) checkRoutes(fieldPath string, routes []Route) {
	declared := make(map[string]bool)
	for i, route := range routes {
		fieldPath := fieldPath + "." + strconv.Itoa(i)
		routePath := string(route.Path)
		trimmed := strings.TrimSuffix(routePath, "/")
		if !strings.HasPrefix(routePath, "/") || path.Clean("/"+trimmed) != "/"+strings.TrimPrefix(trimmed, "/") || strings.ContainsAny(routePath, "?#%\\ ") {
			r.Report(fieldPath+".path", quote(routePath), "a path that starts with a slash and has no '//', '.', '..', '%', '?' or '#'")
		}
		if route.Class != "" && route.Class != Small && route.Class != Bulk {
			r.Report(fieldPath+".class", quote(string(route.Class)), "small or bulk")
		}
		r.checkMethods(fieldPath, trimmed, route.Methods, declared)
	}
}

// checkMethods reports invalid methods, and routes of the same path that share a method, since one of them would never
// match. declared is the set of paths and methods of the routes checked so far.
func (r *reporter) checkMethods(fieldPath, path string, methods []string, declared map[string]bool) {
	if declared[path+" *"] || (len(methods) == 0 && declared[path]) {
		r.Report(fieldPath+".path", quote(path), "one route for each path and method")
	}
	declared[path] = true
	if len(methods) == 0 {
		declared[path+" *"] = true
	}
	for i, m := range methods {
		fieldPath := fieldPath + ".methods." + strconv.Itoa(i)
		if m == "" || strings.Trim(m, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") != "" {
			r.Report(fieldPath, quote(m), "an HTTP method in capital letters")
		}
		if declared[path+" "+m] {
			r.Report(fieldPath, quote(m), "one route for each path and method")
		}
		declared[path+" "+m] = true
	}
}

func formatNumber(value float64) string {
	return strconv.FormatFloat(value, 'g', -1, 64)
}

// quote returns a quoted text, truncated so that an oversized value does not inflate the response.
func quote(text string) string {
	if len(text) > 2*maxNameLength {
		text = text[:2*maxNameLength] + "..."
	}
	return strconv.Quote(text)
}
