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

// Error returns a message with the cause.
func (e *EncodeError) Error() string {
	return "note: configuration cannot be encoded: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error {
	return e.Cause
}

// Encode returns the JSON of c with sorted names, and the digest of that JSON.
//
// The encoding is canonical: equal configurations have equal encodings, whether their empty maps are nil or not.
func Encode(c Configuration) ([]byte, id.Digest, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, id.Digest{}, &EncodeError{Cause: err}
	}
	return body, id.DigestOf(body), nil
}

// Decode returns the configuration that Encode encoded, or an InvalidError.
//
// Unknown fields are rejected, because an instance that ignored a field would not apply the whole accepted
// configuration.
func Decode(body []byte) (Configuration, error) {
	var c Configuration
	var r reporter
	strict.Decode(body, &c, r.Report)
	if err := r.err(); err != nil {
		return Configuration{}, err
	}
	return c, nil
}
