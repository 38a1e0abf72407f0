package id

import (
	"crypto/sha256"
	"encoding/hex"
)

// Organisation identifies an organisation, whose requests share one rate and burst.
type Organisation string

// Service identifies a service that callers send requests to.
type Service string

// Upstream identifies one server of a service.
type Upstream string

// Region identifies a region.
type Region string

// DataCentre identifies a data centre within a region.
type DataCentre string

// Instance identifies one instance of the fleet by its name from the settings.
type Instance string

// Group identifies the instances that share a coordinator: those of a region, or of a data centre in a large region.
type Group string

// Site identifies a location that client address blocks are steered to.
type Site string

// Limit identifies a fleet-wide limit whose shares are held by instances.
type Limit string

// Shift identifies a traffic shift.
type Shift string

// Key identifies an API key of an organisation; it is not the secret.
type Key string

// Note identifies a release note.
type Note string

// Route identifies a route by its path prefix or its name.
type Route string

// Epoch is the number of an accepted configuration. It only increases; zero means that there is none.
type Epoch uint64

// Request is the number of a request, unique within one process.
type Request uint64

// Incarnation distinguishes successive processes of the same name.
type Incarnation uint64

// Digest is a SHA-256 digest.
type Digest [sha256.Size]byte

// DigestOf returns the digest of body.
func DigestOf(body []byte) Digest {
	return sha256.Sum256(body)
}

// String returns the digest in hexadecimal.
func (d Digest) String() string {
	return hex.EncodeToString(d[:])
}

// MarshalText encodes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// UnmarshalText decodes a hexadecimal digest and returns a DigestError for any other text.
func (d *Digest) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(d) {
		return &DigestError{Text: string(text)}
	}
	copy(d[:], raw)
	return nil
}

// DigestError reports a text that is not a hexadecimal SHA-256 digest.
type DigestError struct {
	Text string
}

// Error returns the text and what is allowed.
func (e *DigestError) Error() string {
	return "id: digest " + e.Text + " is not 64 hexadecimal digits"
}
