package tool

import (
	"errors"
	"strings"

	"bluebellhold/id"
	"bluebellhold/internal/operator"
	"bluebellhold/internal/settings"
	"bluebellhold/note"
)

// UsageError reports wrong arguments; the tool ends with status 2.
type UsageError struct {
	Text string
}

// Error describes the wrong argument.
func (e *UsageError) Error() string {
	return e.Text
}

// CommandError reports a command that was understood and failed; the tool ends with status 1.
type CommandError struct {
	Cause error
}

// Error returns the text of the cause.
func (e *CommandError) Error() string {
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CommandError) Unwrap() error {
	return e.Cause
}

// FileError reports a file that cannot be read or holds nothing usable.
type FileError struct {
	File  string
	Cause error
}

// Error names the file.
func (e *FileError) Error() string {
	if e.Cause == nil {
		return e.File + " holds no certificate in PEM form"
	}
	return e.File + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error {
	return e.Cause
}

// RefusedError is the refusal of an instance.
type RefusedError struct {
	Address string
	Status  int
	operator.Refusal
}

// Error gives the code, the outcome and each wrong field on a line of its own.
func (e *RefusedError) Error() string {
	text := e.Address + ": " + e.Code + " (" + string(e.Outcome) + ")"
	if len(e.Fields) == 0 {
		return text + ": " + e.Refusal.Error
	}
	return text + formatFields(e.Fields)
}

// describe gives the wrong fields of a local check a line each.
func errorText(err error) string {
	var invalidNote *note.InvalidError
	var invalidSettings *settings.InvalidError
	switch {
	case errors.As(err, &invalidNote):
		return "the note is not valid" + formatFields(invalidNote.Fields)
	case errors.As(err, &invalidSettings):
		return invalidSettings.File + " is not valid" + formatFields(invalidSettings.Fields)
	}
	return err.Error()
}

func formatFields(fields []*note.FieldError) string {
	var lines strings.Builder
	for _, f := range fields {
		lines.WriteString("\n  " + f.Error())
	}
	return lines.String()
}

// ResponseError reports an instance that could not be reached, or that gave no complete answer.
//
// If Sent is true, it is unknown whether the request took effect, and otherwise it did not.
type ResponseError struct {
	Address string
	Sent    bool
	Cause   error
}

// Error names the address.
func (e *ResponseError) Error() string {
	if e.Cause == nil {
		return e.Address + ": the answer is not from an instance"
	}
	return e.Address + ": no answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ResponseError) Unwrap() error {
	return e.Cause
}

// OutcomeUnknownError reports a note of which it is unknown whether it was accepted.
type OutcomeUnknownError struct {
	Note  id.Note
	Hint  string
	Cause error
}

// Error names the note and says how to find out.
func (e *OutcomeUnknownError) Error() string {
	return e.Cause.Error() + "\nwhether note " + string(e.Note) + " was accepted is unknown; " + e.Hint
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error {
	return e.Cause
}
