package note

import (
	"encoding/json"

	"bluebellhold/id"
	"bluebellhold/internal/strict"
)

// EncodeError reports a Configuration that has no JSON form, such as one with an infinite rate.
type EncodeError struct {
	Cause error
}

// Error names the cause.
func (e *EncodeError) Error() string {
	return "note: configuration cannot be encoded: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error {
	return e.Cause
}

// Encode returns c as JSON with sorted names, and the digest of that text.
//
// Equal configurations have equal texts, whether their empty maps are nil or not.
func Encode(c Configuration) ([]byte, id.Digest, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, id.Digest{}, &EncodeError{Cause: err}
	}
	return body, id.DigestOf(body), nil
}

// Decode returns the configuration that Encode wrote, or an InvalidError.
//
// Unknown fields are refused, because an instance that ignored a field would not carry out what operators accepted.
func Decode(body []byte) (Configuration, error) {
	var c Configuration
	var r reporter
	strict.Decode(body, &c, r.Report)
	if err := r.err(); err != nil {
		return Configuration{}, err
	}
	return c, nil
}
