package note

import (
	"strconv"
	"strings"

	"bluebellhold/id"
	"bluebellhold/internal/strict"
)

// FieldError reports one invalid field.
//
// Path names the field, such as "add.shifts.winter.percent", and is empty for the document as a whole.
type FieldError struct {
	Path    string `json:"path"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Error returns a message with the path, the value and the allowed values.
func (e *FieldError) Error() string {
	path := e.Path
	if path == "" {
		path = "the document"
	}
	return path + ": is " + e.Value + ", allowed is " + e.Allowed
}

// InvalidError reports all invalid fields of one note or configuration, ordered by path.
type InvalidError struct {
	Fields []*FieldError
}

// Error returns a message with all invalid fields.
func (e *InvalidError) Error() string {
	return "note: " + joinFields(e.Fields)
}

// Unwrap returns the fields' errors.
func (e *InvalidError) Unwrap() []error {
	return unwrapFields(e.Fields)
}

// InfeasibleError reports all parts of a valid note that exceed the fleet's capacity at the measured load, or that refer
// to a region without upstreams and sites.
type InfeasibleError struct {
	Fields []*FieldError
}

// Error returns a message with all infeasible parts.
func (e *InfeasibleError) Error() string {
	return "note: infeasible: " + joinFields(e.Fields)
}

// Unwrap returns the fields' errors.
func (e *InfeasibleError) Unwrap() []error {
	return unwrapFields(e.Fields)
}

// ConflictError reports a note whose base epoch is not the current epoch, because another note was accepted first.
// Epoch is the current epoch.
type ConflictError struct {
	Epoch id.Epoch
}

// Error returns a message with the current epoch.
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

// fieldErrors returns the collected problems as errors, ordered by path.
func fieldErrors(c *strict.Collector) []*FieldError {
	var out []*FieldError
	for _, p := range c.Problems() {
		out = append(out, &FieldError{Path: p.Path, Value: p.Value, Allowed: p.Allowed})
	}
	return out
}

// reporter collects invalid fields; its methods validate single values.
type reporter struct {
	strict.Collector
}

func (r *reporter) err() error {
	if fields := fieldErrors(&r.Collector); len(fields) > 0 {
		return &InvalidError{Fields: fields}
	}
	return nil
}
