package peer

import (
	"strconv"

	"bluebellhold/id"
)

// NameError reports an instance name that is empty or longer than 255 bytes.
type NameError struct {
	Name id.Instance
}

// Error returns a message with the name and the allowed length.
func (e *NameError) Error() string {
	return "peer: instance name " + strconv.Quote(string(e.Name)) + " must have 1 to 255 bytes"
}

// SecretError reports a shared secret that is shorter than MinSecretLength.
type SecretError struct {
	Length int
}

// Error returns a message with the length and the minimum length, but never the secret.
func (e *SecretError) Error() string {
	return "peer: secret has " + strconv.Itoa(e.Length) + " bytes, at least " + strconv.Itoa(MinSecretLength) +
		" are required"
}

// AddressError reports an address that is not an IP address with a port.
type AddressError struct {
	Address string
}

// Error returns a message with the address and the expected format.
func (e *AddressError) Error() string {
	return "peer: address " + strconv.Quote(e.Address) + " is not an IP address with a port"
}

// ListenError reports that the listener could not be bound.
type ListenError struct {
	Address string
	Cause   error
}

// Error returns a message with the address and the cause.
func (e *ListenError) Error() string {
	return "peer: cannot listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.Cause
}

// ConnectionError reports a failed step of opening a session or of sending an EpochReply.
type ConnectionError struct {
	Step  string
	Cause error
}

// Error returns a message with the step and the cause.
func (e *ConnectionError) Error() string {
	return "peer: " + e.Step + " failed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ConnectionError) Unwrap() error {
	return e.Cause
}

// AuthenticationError reports a handshake that did not authenticate the other side as the expected instance.
type AuthenticationError struct {
	Peer   id.Instance
	Reason string
}

// Error returns a message with the claimed name of the peer and the reason.
func (e *AuthenticationError) Error() string {
	return "peer: handshake with " + strconv.Quote(string(e.Peer)) + " refused: " + e.Reason
}

// DuplicateSessionError reports that another session with the same peer takes precedence.
type DuplicateSessionError struct {
	Peer id.Instance
}

// Error returns a message with the name of the peer.
func (e *DuplicateSessionError) Error() string {
	return "peer: another session with " + string(e.Peer) + " takes precedence"
}

// BlockedError reports a peer that Config.IsBlocked blocks.
type BlockedError struct {
	Peer id.Instance
}

// Error returns a message with the name of the peer.
func (e *BlockedError) Error() string {
	return "peer: " + string(e.Peer) + " is blocked by fault injection"
}

// ClosedError reports a session that one side closed in an orderly way.
type ClosedError struct {
	Remote bool
}

// Error returns a message with the side that closed the session.
func (e *ClosedError) Error() string {
	if e.Remote {
		return "peer: session closed by the peer"
	}
	return "peer: session closed by this instance"
}

// TunnelRefusedError reports that a peer does not connect to an upstream. IsUnreached is set if that is due to the upstream:
// the peer has tried and did not reach it, or it gets no requests as far as the peer knows.
type TunnelRefusedError struct {
	Peer        id.Instance
	IsUnreached bool
}

// Error returns a message with the name of the peer.
func (e *TunnelRefusedError) Error() string {
	if e.IsUnreached {
		return "peer: " + string(e.Peer) + " did not reach the upstream"
	}
	return "peer: " + string(e.Peer) + " refused a tunnel"
}

// FrameTooLargeError reports a frame that exceeds the size limit of its stream.
type FrameTooLargeError struct {
	Size, Limit int
}

// Error returns a message with the size and the limit in bytes.
func (e *FrameTooLargeError) Error() string {
	return "peer: frame of " + strconv.Itoa(e.Size) + " bytes exceeds the limit of " + strconv.Itoa(e.Limit)
}

// InvalidMessageError reports a frame that does not contain the expected message. Cause is nil if the frame could be
// decoded.
type InvalidMessageError struct {
	Cause error
}

// Error returns a message with the cause, if any.
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
