package tool

import (
	"errors"
	"strings"

	"bluebellhold/id"
	"bluebellhold/internal/operator"
	"bluebellhold/internal/settings"
	"bluebellhold/note"
)

// UsageError reports invalid arguments; the exit status is 2.
type UsageError struct {
	Text string
}

// Error describes the invalid argument.
func (e *UsageError) Error() string {
	return e.Text
}

// CommandError reports the failure of a command with valid arguments; the exit status is 1.
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

// FileError reports a file that cannot be read, or a file without a certificate if Cause is nil.
type FileError struct {
	File  string
	Cause error
}

// Error names the file.
func (e *FileError) Error() string {
	if e.Cause == nil {
		return e.File + " contains no PEM certificate"
	}
	return e.File + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error {
	return e.Cause
}

// RefusedError reports that an instance refused a request.
type RefusedError struct {
	Address string
	Status  int
	operator.Refusal
}

// Error returns the code and the outcome, and each invalid field on a line of its own.
func (e *RefusedError) Error() string {
	text := e.Address + ": " + e.Code + " (" + string(e.Outcome) + ")"
	if len(e.Fields) == 0 {
		return text + ": " + e.Refusal.Error
	}
	return text + formatFields(e.Fields)
}

// errorText returns the text of err, with each field that a local check found invalid on a line of its own.
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

// ResponseError reports an instance that could not be reached or sent no valid response.
//
// If Sent is true, the request may have taken effect; otherwise it did not.
type ResponseError struct {
	Address string
	Sent    bool
	Cause   error
}

// Error names the address.
func (e *ResponseError) Error() string {
	if e.Cause == nil {
		return e.Address + ": the response is not from an instance"
	}
	return e.Address + ": no response: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ResponseError) Unwrap() error {
	return e.Cause
}

// OutcomeUnknownError reports that it is unknown whether a note was accepted.
type OutcomeUnknownError struct {
	Note  id.Note
	Hint  string
	Cause error
}

// Error names the note and includes the hint on how to resolve the outcome.
func (e *OutcomeUnknownError) Error() string {
	return e.Cause.Error() + "\nwhether note " + string(e.Note) + " was accepted is unknown; " + e.Hint
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error {
	return e.Cause
}
