package settings

import (
	"strings"

	"bluebellhold/note"
)

// InvalidError reports all invalid fields of a settings file.
type InvalidError struct {
	File   string
	Fields []*note.FieldError
}

// Error lists the invalid fields.
func (e *InvalidError) Error() string {
	messages := make([]string, 0, len(e.Fields))
	for _, f := range e.Fields {
		messages = append(messages, f.Error())
	}
	return "settings: " + e.File + ": " + strings.Join(messages, "; ")
}

// Unwrap returns the fields' errors.
func (e *InvalidError) Unwrap() []error {
	errs := make([]error, 0, len(e.Fields))
	for _, f := range e.Fields {
		errs = append(errs, f)
	}
	return errs
}

// ReadError reports a settings file that cannot be read.
type ReadError struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (e *ReadError) Error() string {
	return "settings: " + e.File + " cannot be read: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error {
	return e.Cause
}
