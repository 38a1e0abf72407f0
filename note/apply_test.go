package note_test

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bluebellhold/id"
	"bluebellhold/note"
)

// model is a reference model of the configuration: decoded JSON values by section and name. Upstreams are named
// "service/name".
type model map[string]map[string]any

func (m model) set(section, name string, value any) {
	if m[section] == nil {
		m[section] = map[string]any{}
	}
	m[section][name] = value
}

// modelOf converts a Configuration or Entries, which have the same sections.
func modelOf(t require.TestingT, v any) model {
	body, err := json.Marshal(v)
	require.NoError(t, err)
	var raw map[string]any
	require.NoError(t, json.Unmarshal(body, &raw))
	out := model{}
	for section, entries := range raw {
		byName, ok := entries.(map[string]any)
		for name, value := range byName {
			switch {
			case section == "services":
				upstreams, _ := value.(map[string]any)["upstreams"].(map[string]any)
				for upstream, u := range upstreams {
					out.set("upstreams", name+"/"+upstream, u)
				}
				delete(value.(map[string]any), "upstreams")
				out.set(section, name, value)
			case section == "upstreams":
				for upstream, u := range value.(map[string]any) {
					out.set(section, name+"/"+upstream, u)
				}
			case ok:
				out.set(section, name, value)
			}
		}
	}
	return out
}

// apply is the reference implementation of Apply: an added name must be absent, a changed or withdrawn name must exist,
// and every reference of the result must resolve.
func (m model) apply(t require.TestingT, n note.Note) (model, bool) {
	out := model{}
	for section, entries := range m {
		out[section] = maps.Clone(entries)
	}
	ok := true
	withdraw := func(section, name string) {
		_, exists := out[section][name]
		ok = ok && exists
		delete(out[section], name)
	}
	for service, names := range n.Withdraw.Upstreams {
		for _, name := range names {
			withdraw("upstreams", string(service)+"/"+string(name))
		}
		ok = ok && !slices.Contains(n.Withdraw.Services, service)
	}
	for service := range n.Change.Upstreams {
		ok = ok && !slices.Contains(n.Withdraw.Services, service)
	}
	for section, names := range namesBySection(t, n.Withdraw) {
		for _, name := range names {
			withdraw(section, name)
			maps.DeleteFunc(out["upstreams"], func(upstream string, _ any) bool {
				return section == "services" && strings.HasPrefix(upstream, name+"/")
			})
		}
	}
	for section, entries := range modelOf(t, n.Change) {
		for name, value := range entries {
			_, exists := out[section][name]
			ok = ok && exists
			out.set(section, name, value)
		}
	}
	for section, entries := range modelOf(t, n.Add) {
		for name, value := range entries {
			_, existed := m[section][name]
			ok = ok && !existed
			out.set(section, name, value)
		}
	}
	for service, upstreams := range n.Add.Upstreams {
		for name := range upstreams {
			_, isDuplicate := n.Add.Services[service].Upstreams[name]
			ok = ok && !isDuplicate
		}
	}
	return out, ok && out.referencesResolve()
}

// namesBySection returns the withdrawn names of all sections but upstreams.
func namesBySection(t require.TestingT, names note.Withdrawals) map[string][]string {
	names.Upstreams = nil
	body, err := json.Marshal(names)
	require.NoError(t, err)
	var out map[string][]string
	require.NoError(t, json.Unmarshal(body, &out))
	return out
}

func (m model) referencesResolve() bool {
	get := func(value any, field string) string { return value.(map[string]any)[field].(string) }
	has := func(section, name string) bool { _, ok := m[section][name]; return ok }
	owners, regions := map[string]int{}, map[string]bool{}
	ok := true
	for name, u := range m["upstreams"] {
		service, upstream, _ := strings.Cut(name, "/")
		owners[upstream]++
		regions[get(u, "region")], regions[service+"/"+get(u, "region")] = true, true
		ok = ok && owners[upstream] == 1 && has("services", service)
	}
	for _, s := range m["sites"] {
		regions[get(s, "region")] = true
	}
	for _, k := range m["keys"] {
		ok = ok && has("organisations", get(k, "organisation"))
	}
	for _, site := range m["blocks"] {
		ok = ok && has("sites", site.(string))
	}
	for _, s := range m["shifts"] {
		ok = ok && has("services", get(s, "service")) && regions[get(s, "from")] && regions[get(s, "service")+"/"+get(s, "to")]
	}
	for name, d := range m["drains"] {
		ok = ok && has("upstreams", get(d, "service")+"/"+name)
	}
	return ok
}

// genNote generates a note from few names, so that valid notes and each kind of invalid reference are frequent.
func genNote(t *rapid.T) note.Note {
	pick := func(label string, from ...string) string { return rapid.SampledFrom(from).Draw(t, label) }
	upstream := func() note.Upstream {
		return note.Upstream{Region: id.Region(pick("region", "east", "west")), DataCentre: "d", Address: "127.0.0.1:80", Slots: id.Slots(rapid.IntRange(1, 3).Draw(t, "slots"))}
	}
	n := note.Note{ID: "n"}
	for range rapid.IntRange(1, 6).Draw(t, "operations") {
		verb := pick("verb", "add", "add", "add", "change", "withdraw")
		e, w := &n.Add, &n.Withdraw
		if verb == "change" {
			e = &n.Change
		}
		name := pick("name", "a", "b")
		service := id.Service(pick("service", "a", "b"))
		section := pick("section", "organisations", "keys", "services", "services", "upstreams", "upstreams", "sites", "blocks", "shifts", "drains")
		if verb == "withdraw" {
			switch section {
			case "organisations":
				w.Organisations = append(w.Organisations, id.Organisation(name))
			case "keys":
				w.Keys = append(w.Keys, id.Key(name))
			case "services":
				w.Services = append(w.Services, service)
			case "upstreams":
				setEntry(&w.Upstreams, service, append(w.Upstreams[service], id.Upstream(name)))
			case "sites":
				w.Sites = append(w.Sites, id.Site(name))
			case "blocks":
				w.Blocks = append(w.Blocks, blocks[name])
			case "shifts":
				w.Shifts = append(w.Shifts, id.Shift(name))
			case "drains":
				w.Drains = append(w.Drains, id.Upstream(name))
			}
			continue
		}
		switch section {
		case "organisations":
			setEntry(&e.Organisations, id.Organisation(name), note.Organisation{Rate: id.TokensPerSecond(rapid.IntRange(1, 3).Draw(t, "rate")), Burst: 1})
		case "keys":
			setEntry(&e.Keys, id.Key(name), note.Key{Organisation: id.Organisation(pick("owner", "a", "b")), Digest: id.DigestOf([]byte(name))})
		case "services":
			s := note.Service{Routes: []note.Route{{Path: id.Route("/" + pick("path", "x", "y"))}}}
			if verb == "add" && rapid.Bool().Draw(t, "upstreams") {
				s.Upstreams = map[id.Upstream]note.Upstream{id.Upstream(name): upstream()}
			}
			setEntry(&e.Services, service, s)
		case "upstreams":
			if e.Upstreams[service] == nil {
				setEntry(&e.Upstreams, service, map[id.Upstream]note.Upstream{})
			}
			e.Upstreams[service][id.Upstream(name)] = upstream()
		case "sites":
			setEntry(&e.Sites, id.Site(name), note.Site{Region: id.Region(pick("region", "east", "west")), DataCentre: "d"})
		case "blocks":
			setEntry(&e.Blocks, blocks[name], id.Site(pick("site", "a", "b")))
		case "shifts":
			setEntry(&e.Shifts, id.Shift(name), note.Shift{Service: service, From: "west", To: "east", Percent: 1, Rate: 1, Burst: 1})
		case "drains":
			setEntry(&e.Drains, id.Upstream(name), note.Drain{Service: service})
		}
	}
	return n
}

var blocks = map[string]string{"a": "10.0.0.0/8", "b": "::/0"}

// setEntry sets an entry of the map that target points to.
func setEntry(target, name, value any) {
	m := reflect.ValueOf(target).Elem()
	if m.IsNil() {
		m.Set(reflect.MakeMap(m.Type()))
	}
	m.SetMapIndex(reflect.ValueOf(name), reflect.ValueOf(value))
}

// Guards against an Apply that differs from the model, applies a rejected note in part, or modifies its argument.
func TestApplyAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c note.Configuration
		m := model{}
		for range rapid.IntRange(1, 12).Draw(t, "notes") {
			n := genNote(t)
			text, err := json.Marshal(n)
			require.NoError(t, err)
			require.Equal(t, n, mustParse(t, string(text)))
			before, digest, err := note.Encode(c)
			require.NoError(t, err)

			next, err := note.Apply(c, n)
			expected, ok := m.apply(t, n)
			require.Equal(t, ok, err == nil, "%s on %s: %v", text, before, err)
			_, digestAfter, encodeErr := note.Encode(c)
			require.NoError(t, encodeErr)
			require.Equal(t, digest, digestAfter, "the argument changed")
			if err != nil {
				require.NotEmpty(t, errorPaths(t, err))
				continue
			}
			require.Equal(t, c.Epoch+1, next.Epoch)
			maps.DeleteFunc(expected, func(_ string, named map[string]any) bool { return len(named) == 0 })
			require.Equal(t, expected, modelOf(t, next))
			c, m = next, expected
		}
	})
}

// Guards against changes of one upstream that affect others, and against a change of routes that drops upstreams.
func TestApplyUpstreamsOneByOne(t *testing.T) {
	base := mustApply(t, note.Configuration{}, fullNote)
	before, _, err := note.Encode(base)
	require.NoError(t, err)
	next := mustApply(t, base, `{"id":"n2",
	 "add":{"upstreams":{"pregled":{"p3":{"region":"east","datacentre":"e2","address":"127.0.0.1:83","slots":2}}}},
	 "change":{"upstreams":{"pregled":{"p1":{"region":"west","datacentre":"w1","address":"127.0.0.1:80","slots":9}}},
	           "services":{"pregled":{"routes":[{"path":"/"}]}}},
	 "withdraw":{"upstreams":{"pregled":["p2"]},"drains":["p2"]}}`)
	service := next.Services["pregled"]
	require.Len(t, service.Upstreams, 2)
	require.EqualValues(t, 9, service.Upstreams["p1"].Slots)
	require.EqualValues(t, 2, service.Upstreams["p3"].Slots)
	require.EqualValues(t, "/", service.Routes[0].Path)
	after, _, err := note.Encode(base)
	require.NoError(t, err)
	require.Equal(t, string(before), string(after), "the argument changed")
}
