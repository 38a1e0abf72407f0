package note

import (
	"strconv"
	"strings"

	"bluebellhold/id"
	"bluebellhold/internal/strict"
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

// fieldErrors returns the collected problems as errors in the order of their paths.
func fieldErrors(c *strict.Collector) []*FieldError {
	var out []*FieldError
	for _, p := range c.Problems() {
		out = append(out, &FieldError{Path: p.Path, Value: p.Value, Allowed: p.Allowed})
	}
	return out
}

// reporter collects wrong fields; its methods check single values.
type reporter struct {
	strict.Collector
}

func (r *reporter) err() error {
	if fields := fieldErrors(&r.Collector); len(fields) > 0 {
		return &InvalidError{Fields: fields}
	}
	return nil
}
