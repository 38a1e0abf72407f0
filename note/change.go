package note

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"

	"bluebellhold/id"
)

// Changes lists the changes of a note, ordered by path.
type Changes []Change

// Change is one entry that a note adds, changes or withdraws.
//
// Before and After are the JSON of the entry, empty if it does not exist, and omit the digests of keys. Caution says
// what could not be checked because a measurement is missing.
type Change struct {
	Verb    string `json:"verb"`
	Path    string `json:"path"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
	Caution string `json:"caution,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	line := c.Verb + " " + c.Path
	switch {
	case c.Before != "" && c.After != "":
		line += ": " + c.Before + " -> " + c.After
	case c.Before != "" || c.After != "":
		line += ": " + c.Before + c.After
	}
	if c.Caution != "" {
		line += " (caution: " + c.Caution + ")"
	}
	return line
}

// listChanges returns the changes to the entries that n names; after is the result of applying n to before.
func listChanges(before, after Configuration, n Note) Changes {
	var out Changes
	for _, section := range sections {
		old := reflect.ValueOf(before).FieldByName(section)
		updated := reflect.ValueOf(after).FieldByName(section)
		var names []reflect.Value
		names = append(names, reflect.ValueOf(n.Add).FieldByName(section).MapKeys()...)
		names = append(names, reflect.ValueOf(n.Change).FieldByName(section).MapKeys()...)
		withdraw := reflect.ValueOf(n.Withdraw).FieldByName(section)
		for i := range withdraw.Len() {
			names = append(names, withdraw.Index(i))
		}
		for _, name := range names {
			path := strings.ToLower(section) + "." + name.String()
			out = append(out, newChange(path, entryText(old.MapIndex(name)), entryText(updated.MapIndex(name))))
		}
	}
	out = append(out, upstreamChanges(before, after, n)...)
	slices.SortFunc(out, func(a, b Change) int { return strings.Compare(a.Path, b.Path) })
	return out
}

func upstreamChanges(before, after Configuration, n Note) Changes {
	names := make(map[id.Service][]id.Upstream)
	for service, upstreams := range n.Withdraw.Upstreams {
		names[service] = append(names[service], upstreams...)
	}
	for _, entries := range []Entries{n.Add, n.Change} {
		for service, upstreams := range entries.Upstreams {
			for name := range upstreams {
				names[service] = append(names[service], name)
			}
		}
		for service, s := range entries.Services {
			for name := range s.Upstreams {
				names[service] = append(names[service], name)
			}
		}
	}
	var out Changes
	for service, upstreams := range names {
		old, updated := reflect.ValueOf(before.Services[service].Upstreams), reflect.ValueOf(after.Services[service].Upstreams)
		for _, name := range upstreams {
			path := "upstreams." + string(service) + "." + string(name)
			key := reflect.ValueOf(name)
			out = append(out, newChange(path, entryText(old.MapIndex(key)), entryText(updated.MapIndex(key))))
		}
	}
	return out
}

func newChange(path, before, after string) Change {
	verb := "change"
	switch {
	case before == "":
		verb = "add"
	case after == "":
		verb = "withdraw"
	}
	return Change{Verb: verb, Path: path, Before: before, After: after}
}

// entryText returns the JSON of an entry without the digest of a key and without the upstreams of a service, which are
// changes of their own.
func entryText(value reflect.Value) string {
	if !value.IsValid() {
		return ""
	}
	visible := value.Interface()
	switch v := visible.(type) {
	case Key:
		visible = struct {
			Organisation id.Organisation `json:"organisation"`
		}{v.Organisation}
	case Service:
		v.Upstreams = nil
		visible = v
	}
	body, err := json.Marshal(visible)
	if err != nil {
		return err.Error()
	}
	return string(body)
}
