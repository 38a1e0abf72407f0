package settings

import (
	"crypto/subtle"
	"fmt"
	"io"
)

// redacted is printed in place of a secret.
const redacted = "(hidden)"

// Secret contains the contents of a secret file and prints as a fixed text in every format.
type Secret struct {
	value []byte
}

// NewSecret returns a Secret with a copy of value.
func NewSecret(value []byte) Secret {
	return Secret{value: append([]byte(nil), value...)}
}

// Bytes returns a copy of the secret itself.
func (s Secret) Bytes() []byte {
	return append([]byte(nil), s.value...)
}

// Equal compares in constant time; an empty secret equals nothing.
func (s Secret) Equal(other []byte) bool {
	return len(s.value) > 0 && subtle.ConstantTimeCompare(s.value, other) == 1
}

// String returns a fixed text.
func (s Secret) String() string {
	return redacted
}

// Format writes a fixed text for every verb, since verbs such as %d would reach the bytes.
func (s Secret) Format(f fmt.State, _ rune) {
	_, _ = io.WriteString(f, redacted)
}

// MarshalText returns a fixed text.
func (s Secret) MarshalText() ([]byte, error) {
	return []byte(redacted), nil
}
