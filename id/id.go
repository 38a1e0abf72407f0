package id

import (
	"crypto/sha256"
	"encoding/hex"
)

// Organisation identifies a tenant whose requests share one rate and burst.
type Organisation string

// Service identifies a service that callers send requests to.
type Service string

// Upstream identifies one server instance of a service.
type Upstream string

// Region identifies a region.
type Region string

// DataCentre identifies a data centre within a region.
type DataCentre string

// Instance identifies one entry instance by its name from the settings.
type Instance string

// Site identifies a place that client blocks are steered to.
type Site string

// Limit identifies a fleet-wide limit whose shares are held by instances.
type Limit string

// Shift identifies a traffic shift.
type Shift string

// Key identifies an organisation's key and is not the secret itself.
type Key string

// Note identifies a release note.
type Note string

// Route identifies a route of a service by its path prefix.
type Route string

// Epoch numbers the accepted configurations and only rises; zero means none.
type Epoch uint64

// Request numbers the requests of one process.
type Request uint64

// Incarnation tells apart the processes that run one after another under the same instance name.
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

// Error describes the text and what is allowed.
func (e *DigestError) Error() string {
	return "id: digest " + e.Text + " is not 64 hexadecimal digits"
}
