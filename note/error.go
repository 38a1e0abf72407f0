package note

import (
	"slices"
	"strconv"
	"strings"

	"bluebellhold/id"
)

// FieldError reports one wrong field.
//
// Path names the field, such as "add.shifts.winter.percent", and is empty for the document as a whole.
type FieldError struct {
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Error names the field, the value seen and what is allowed.
func (e *FieldError) Error() string {
	path := e.Path
	if path == "" {
		path = "the document"
	}
	return path + ": is " + e.Value + ", allowed is " + e.Allowed
}

// InvalidError reports all wrong fields of one note or configuration, in the order of their paths.
type InvalidError struct {
	Fields []*FieldError
}

// Error lists the wrong fields.
func (e *InvalidError) Error() string {
	return "note: " + joinFields(e.Fields)
}

// Unwrap returns the fields' errors.
func (e *InvalidError) Unwrap() []error {
	return unwrapFields(e.Fields)
}

// InfeasibleError reports all parts of a valid note that the measured fleet cannot carry.
type InfeasibleError struct {
	Fields []*FieldError
}

// Error lists the infeasible parts.
func (e *InfeasibleError) Error() string {
	return "note: infeasible: " + joinFields(e.Fields)
}

// Unwrap returns the fields' errors.
func (e *InfeasibleError) Unwrap() []error {
	return unwrapFields(e.Fields)
}

// ConflictError reports a note that lost to another one; Epoch is the epoch it lost to.
type ConflictError struct {
	Epoch id.Epoch
}

// Error names the epoch.
func (e *ConflictError) Error() string {
	return "note: the note lost to epoch " + strconv.FormatUint(uint64(e.Epoch), 10)
}

func joinFields(fields []*FieldError) string {
	texts := make([]string, 0, len(fields))
	for _, f := range fields {
		texts = append(texts, f.Error())
	}
	return strings.Join(texts, "; ")
}

func unwrapFields(fields []*FieldError) []error {
	out := make([]error, 0, len(fields))
	for _, f := range fields {
		out = append(out, f)
	}
	return out
}

// reporter collects wrong fields and keeps the first report of a field and of the fields inside it.
type reporter struct {
	fields []*FieldError
	seen   map[string]bool
}

func (r *reporter) report(path, value, allowed string) {
	if r.covered(path) {
		return
	}
	if r.seen == nil {
		r.seen = make(map[string]bool)
	}
	r.seen[path] = true
	r.fields = append(r.fields, &FieldError{Path: path, Value: value, Allowed: allowed})
}

func (r *reporter) covered(path string) bool {
	if r.seen[""] {
		return true
	}
	for i := range len(path) {
		if path[i] == '.' && r.seen[path[:i]] {
			return true
		}
	}
	return r.seen[path]
}

// sorted returns the reports in the order of their paths, because the checks walk maps.
func (r *reporter) sorted() []*FieldError {
	slices.SortStableFunc(r.fields, func(a, b *FieldError) int { return strings.Compare(a.Path, b.Path) })
	return r.fields
}

func (r *reporter) err() error {
	if len(r.fields) == 0 {
		return nil
	}
	return &InvalidError{Fields: r.sorted()}
}
