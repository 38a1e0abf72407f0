package note

import (
	"maps"
	"reflect"
	"strconv"
	"strings"

	"bluebellhold/id"
)

// sections are the names of the fields that Configuration, Entries and Withdrawals have in common.
var sections = []string{"Organisations", "Keys", "Services", "Links", "Sites", "Blocks", "Shifts", "Drains"}

// Apply applies n to c and returns the resulting configuration, which has the next epoch.
//
// It applies n atomically and modifies neither argument. The error is a ConflictError if n is based on another epoch,
// and otherwise an InvalidError with one FieldError for each invalid field.
func Apply(c Configuration, n Note) (Configuration, error) {
	if n.BaseEpoch != nil && *n.BaseEpoch != c.Epoch {
		return Configuration{}, &ConflictError{Epoch: c.Epoch}
	}
	a := application{before: c, after: c, note: n, notePaths: make(map[string]string)}
	n.check(&a.reporter)
	a.after.Epoch++
	a.after.Note = n.ID
	for _, section := range sections {
		a.applySection(section)
	}
	a.applyUpstreams()
	a.checkReferences()
	if err := a.err(); err != nil {
		return Configuration{}, err
	}
	return a.after, nil
}

// application is the state of one call of Apply.
//
// notePaths maps each entry that the note names, such as "keys.k1", to its path in the note.
type application struct {
	reporter
	before    Configuration
	after     Configuration
	note      Note
	notePaths map[string]string
}

// applySection applies one section of the note. It uses reflection, because all sections follow the same rules.
func (a *application) applySection(section string) {
	target := reflect.ValueOf(&a.after).Elem().FieldByName(section)
	before := reflect.ValueOf(a.before).FieldByName(section)
	add := reflect.ValueOf(a.note.Add).FieldByName(section)
	change := reflect.ValueOf(a.note.Change).FieldByName(section)
	withdraw := reflect.ValueOf(a.note.Withdraw).FieldByName(section)
	if add.Len()+change.Len()+withdraw.Len() == 0 {
		return
	}
	after := reflect.MakeMapWithSize(before.Type(), before.Len()+add.Len())
	for entries := before.MapRange(); entries.Next(); {
		after.SetMapIndex(entries.Key(), entries.Value())
	}
	sectionName := strings.ToLower(section)
	for i := range withdraw.Len() {
		key := withdraw.Index(i)
		if a.checkExists("withdraw."+sectionName+"."+strconv.Itoa(i), sectionName, key.String(), before.MapIndex(key).IsValid()) {
			after.SetMapIndex(key, reflect.Value{})
		}
	}
	for entries := change.MapRange(); entries.Next(); {
		key := entries.Key()
		if a.checkExists("change."+sectionName+"."+key.String(), sectionName, key.String(), before.MapIndex(key).IsValid()) {
			after.SetMapIndex(key, a.storedValue(entries.Value(), before.MapIndex(key)))
		}
	}
	for entries := add.MapRange(); entries.Next(); {
		key := entries.Key()
		if a.checkAbsent("add."+sectionName+"."+key.String(), sectionName, key.String(), before.MapIndex(key).IsValid()) {
			after.SetMapIndex(key, a.storedValue(entries.Value(), reflect.Value{}))
		}
	}
	target.Set(after)
}

// storedValue returns the value to store. A service gets its own copy of its existing or initial upstreams.
func (a *application) storedValue(noteValue, old reflect.Value) reflect.Value {
	service, ok := noteValue.Interface().(Service)
	if !ok {
		return noteValue
	}
	if old.IsValid() {
		service.Upstreams = old.Interface().(Service).Upstreams
	}
	service.Upstreams = maps.Clone(service.Upstreams)
	return reflect.ValueOf(service)
}

// checkExists checks that an entry to change or withdraw exists and is named only once in the note.
func (a *application) checkExists(fieldPath, section, name string, exists bool) bool {
	entry := section + "." + name
	if _, ok := a.notePaths[entry]; ok {
		a.Report(fieldPath, quote(name), "each name once in change and withdraw")
		return false
	}
	a.notePaths[entry] = fieldPath
	if !exists {
		a.Report(fieldPath, quote(name)+", which does not exist", "a name that exists")
	}
	return exists
}

func (a *application) checkAbsent(fieldPath, section, name string, exists bool) bool {
	if exists {
		a.Report(fieldPath, quote(name)+", which exists", "a name that does not exist yet")
		return false
	}
	a.notePaths[section+"."+name] = fieldPath
	return true
}

// applyUpstreams applies the changes to individual upstreams.
func (a *application) applyUpstreams() {
	for service := range a.note.Add.Services {
		for name := range a.note.Add.Services[service].Upstreams {
			fieldPath := "add.services." + string(service) + ".upstreams." + string(name)
			a.notePaths["upstreams."+string(service)+"."+string(name)] = fieldPath
		}
	}
	pathPrefixes := make(map[id.Service]string)
	for service := range a.note.Withdraw.Upstreams {
		pathPrefixes[service] = "withdraw.upstreams."
	}
	for service := range a.note.Change.Upstreams {
		pathPrefixes[service] = "change.upstreams."
	}
	for service := range a.note.Add.Upstreams {
		pathPrefixes[service] = "add.upstreams."
	}
	if len(pathPrefixes) > 0 {
		a.after.Services = maps.Clone(a.after.Services)
	}
	for service, pathPrefix := range pathPrefixes {
		if _, ok := a.after.Services[service]; !ok {
			a.Report(pathPrefix+string(service), quote(string(service))+", which does not exist", "a service that exists")
			continue
		}
		a.applyServiceUpstreams(service)
	}
}

func (a *application) applyServiceUpstreams(service id.Service) {
	before := a.before.Services[service].Upstreams
	updated := a.after.Services[service]
	updated.Upstreams = maps.Clone(updated.Upstreams)
	if updated.Upstreams == nil {
		updated.Upstreams = make(map[id.Upstream]Upstream)
	}
	section := "upstreams." + string(service)
	for i, name := range a.note.Withdraw.Upstreams[service] {
		_, exists := before[name]
		if a.checkExists("withdraw."+section+"."+strconv.Itoa(i), section, string(name), exists) {
			delete(updated.Upstreams, name)
		}
	}
	for name, value := range a.note.Change.Upstreams[service] {
		_, exists := before[name]
		if a.checkExists("change."+section+"."+string(name), section, string(name), exists) {
			updated.Upstreams[name] = value
		}
	}
	initial := a.note.Add.Services[service].Upstreams
	for name, value := range a.note.Add.Upstreams[service] {
		_, exists := before[name]
		_, isDuplicate := initial[name]
		if a.checkAbsent("add."+section+"."+string(name), section, string(name), exists || isDuplicate) {
			updated.Upstreams[name] = value
		}
	}
	a.after.Services[service] = updated
}
