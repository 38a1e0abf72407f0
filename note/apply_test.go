package note_test

import (
	"encoding/json"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bluebellhold/note"
)

// model is the configuration as flat JSON trees: section, then name, then value.
type model map[string]map[string]any

func modelOf(t require.TestingT, v any) model {
	body, err := json.Marshal(v)
	require.NoError(t, err)
	var raw map[string]any
	require.NoError(t, json.Unmarshal(body, &raw))
	out := model{}
	for section, entries := range raw {
		if named, ok := entries.(map[string]any); ok {
			out[section] = named
		}
	}
	return out
}

// apply is the naive rule: every name must fit its verb, and every reference of the result must resolve.
func (m model) apply(n map[string]map[string]any) (model, bool) {
	out := model{}
	for section, entries := range m {
		out[section] = maps.Clone(entries)
	}
	ok := true
	for _, verb := range []string{"withdraw", "change", "add"} {
		for section, entries := range n[verb] {
			if out[section] == nil {
				out[section] = map[string]any{}
			}
			if names, isList := entries.([]any); isList {
				for _, name := range names {
					_, exists := out[section][name.(string)]
					ok = ok && exists
					delete(out[section], name.(string))
				}
				continue
			}
			for name, value := range entries.(map[string]any) {
				_, existed := m[section][name]
				_, exists := out[section][name]
				ok = ok && (verb == "add") != existed && (verb == "add") != exists
				out[section][name] = value
			}
		}
	}
	return out, ok && out.resolves()
}

func (m model) resolves() bool {
	for _, k := range m["keys"] {
		if _, ok := m["organisations"][k.(map[string]any)["organisation"].(string)]; !ok {
			return false
		}
	}
	for _, site := range m["blocks"] {
		if _, ok := m["sites"][site.(string)]; !ok {
			return false
		}
	}
	return true
}

func genNote(t *rapid.T) map[string]map[string]any {
	values := map[string]func(name string) any{
		"organisations": func(string) any {
			return map[string]any{"rate": float64(rapid.IntRange(1, 3).Draw(t, "rate")), "burst": 1.0}
		},
		"keys": func(name string) any {
			digest := map[string]string{"a": digestA, "b": digestB, "c": digestA[:63] + "c"}[name]
			return map[string]any{"organisation": rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "owner"), "digest": digest}
		},
		"sites":  func(string) any { return map[string]any{"region": "r", "datacentre": "d"} },
		"blocks": func(string) any { return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "site") },
	}
	out := map[string]map[string]any{}
	for range rapid.IntRange(1, 5).Draw(t, "operations") {
		verb := rapid.SampledFrom([]string{"add", "add", "change", "withdraw"}).Draw(t, "verb")
		section := rapid.SampledFrom([]string{"organisations", "keys", "sites", "blocks"}).Draw(t, "section")
		name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
		value := values[section](name)
		if section == "blocks" {
			name = map[string]string{"a": "10.0.0.0/8", "b": "10.1.0.0/16", "c": "::/0"}[name]
		}
		if out[verb] == nil {
			out[verb] = map[string]any{}
		}
		if verb == "withdraw" {
			list, _ := out[verb][section].([]any)
			out[verb][section] = append(list, name)
			continue
		}
		entries, _ := out[verb][section].(map[string]any)
		if entries == nil {
			entries = map[string]any{}
			out[verb][section] = entries
		}
		entries[name] = value
	}
	return out
}

// Guards against an Apply that differs from the naive rules, applies a part of a refused note, or changes its argument.
func TestApplyAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c note.Configuration
		m := model{}
		for range rapid.IntRange(1, 12).Draw(t, "notes") {
			raw := genNote(t)
			body := map[string]any{"id": "n"}
			for verb, sections := range raw {
				body[verb] = sections
			}
			text, err := json.Marshal(body)
			require.NoError(t, err)
			n := mustParse(t, string(text))
			before, digest, err := note.Encode(c)
			require.NoError(t, err)

			next, err := note.Apply(c, n)
			expected, ok := m.apply(raw)
			require.Equal(t, ok, err == nil, "%s on %s: %v", text, before, err)
			_, same, encodeErr := note.Encode(c)
			require.NoError(t, encodeErr)
			require.Equal(t, digest, same, "the argument changed")
			if err != nil {
				require.NotEmpty(t, paths(t, err))
				continue
			}
			require.Equal(t, c.Epoch+1, next.Epoch)
			maps.DeleteFunc(expected, func(_ string, named map[string]any) bool { return len(named) == 0 })
			require.Equal(t, expected, modelOf(t, next))
			c, m = next, expected
		}
	})
}

// Guards against upstream operations that touch other upstreams, and against a route change that drops upstreams.
func TestApplyUpstreamsOneByOne(t *testing.T) {
	base := mustApply(t, note.Configuration{}, full)
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
