package peer

import (
	"strconv"

	"bluebellhold/id"
)

// NameError reports an instance name that is empty or longer than 255 bytes.
type NameError struct {
	Name id.Instance
}

// Error describes the name and what is allowed.
func (e *NameError) Error() string {
	return "peer: instance name " + strconv.Quote(string(e.Name)) + " has not 1 to 255 bytes"
}

// SecretError reports a shared secret that is too short.
type SecretError struct {
	Length int
}

// Error gives the length and the least length, never the secret.
func (e *SecretError) Error() string {
	return "peer: secret has " + strconv.Itoa(e.Length) + " bytes, at least " + strconv.Itoa(MinSecretLength) +
		" are required"
}

// AddressError reports an address that is not an IP address with a port.
type AddressError struct {
	Address string
}

// Error describes the address and what is allowed.
func (e *AddressError) Error() string {
	return "peer: address " + strconv.Quote(e.Address) + " is not an IP address with a port"
}

// ListenError reports that the listener could not be bound.
type ListenError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *ListenError) Error() string {
	return "peer: cannot listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.Cause
}

// ConnectionError reports a step towards a session that failed.
type ConnectionError struct {
	Step  string
	Cause error
}

// Error names the step and the cause.
func (e *ConnectionError) Error() string {
	return "peer: " + e.Step + " failed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ConnectionError) Unwrap() error {
	return e.Cause
}

// AuthenticationError reports a handshake whose other side is not the instance that it should be.
type AuthenticationError struct {
	Peer   id.Instance
	Reason string
}

// Error names the claimed peer and the reason.
func (e *AuthenticationError) Error() string {
	return "peer: handshake with " + strconv.Quote(string(e.Peer)) + " refused: " + e.Reason
}

// DuplicateSessionError reports that the other side keeps another session with this instance.
type DuplicateSessionError struct {
	Peer id.Instance
}

// Error names the peer.
func (e *DuplicateSessionError) Error() string {
	return "peer: another session with " + string(e.Peer) + " has precedence"
}

// BlockedError reports a peer that the fault hook has cut off.
type BlockedError struct {
	Peer id.Instance
}

// Error names the peer.
func (e *BlockedError) Error() string {
	return "peer: " + string(e.Peer) + " is blocked"
}

// ClosedError reports a session that one side closed on purpose.
type ClosedError struct {
	Remote bool
}

// Error tells which side closed the session.
func (e *ClosedError) Error() string {
	if e.Remote {
		return "peer: closed by the other side"
	}
	return "peer: closed by this side"
}

// FrameTooLargeError reports a frame that exceeds the limit of its stream.
type FrameTooLargeError struct {
	Size, Limit int
}

// Error gives the size and the limit.
func (e *FrameTooLargeError) Error() string {
	return "peer: frame of " + strconv.Itoa(e.Size) + " bytes exceeds the limit of " + strconv.Itoa(e.Limit)
}

// InvalidMessageError reports a frame that does not hold the expected message.
type InvalidMessageError struct {
	Cause error
}

// Error gives the cause.
func (e *InvalidMessageError) Error() string {
	if e.Cause == nil {
		return "peer: unexpected message"
	}
	return "peer: malformed message: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *InvalidMessageError) Unwrap() error {
	return e.Cause
}
