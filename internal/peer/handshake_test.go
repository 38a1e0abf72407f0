package peer

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/wire"
)

var sharedSecret = []byte("a secret of enough bytes")

// meet runs a handshake of a dialling with b accepting and returns both errors.
func meet(a, b handshake, admit error) (dialled, accepted error) {
	near, far := net.Pipe()
	done := make(chan error)
	go func() {
		_, err := b.accept(far, func(*wire.Hello) error { return admit })
		far.Close()
		done <- err
	}()
	_, dialled = a.dial(near, b.self)
	near.Close()
	return dialled, <-done
}

// Guards against proofs that do not depend on the channel or the secret, and against an unauthenticated verdict.
func TestHandshakeBindsChannelAndSecret(t *testing.T) {
	a := handshake{secret: sharedSecret, self: "a", own: 1, binding: []byte("channel")}
	b := handshake{secret: sharedSecret, self: "b", own: 2, binding: []byte("channel")}
	dialled, accepted := meet(a, b, nil)
	require.NoError(t, dialled)
	require.NoError(t, accepted)

	var duplicate *DuplicateSessionError
	dialled, accepted = meet(a, b, &DuplicateSessionError{})
	require.ErrorAs(t, dialled, &duplicate)
	require.ErrorAs(t, accepted, &duplicate)

	var refused *AuthenticationError
	b.binding = []byte("another channel")
	_, accepted = meet(a, b, nil)
	require.ErrorAs(t, accepted, &refused)
	b.binding, b.secret = a.binding, []byte("another secret of enough bytes")
	_, accepted = meet(a, b, nil)
	require.ErrorAs(t, accepted, &refused)
	_, accepted = meet(a, a, nil)
	require.ErrorAs(t, accepted, &refused, "a handshake of an instance with itself")
}

// impostor answers a dialling instance with what it has sent itself, under the expected name.
func impostor(conn net.Conn, name id.Instance, duplicate bool) {
	defer conn.Close()
	reader := frameReader{source: conn, limit: handshakeLimit}
	var hello wire.Hello
	var proof wire.Proof
	if reader.next(&hello) != nil {
		return
	}
	hello.Instance = string(name)
	if writeFrame(conn, &hello, handshakeLimit) != nil || reader.next(&proof) != nil {
		return
	}
	proof.Duplicate = duplicate
	writeFrame(conn, &proof, handshakeLimit)
}

// Guards against a dialling instance that accepts its own proof as that of the other side.
func TestReflectedProofIsRefused(t *testing.T) {
	for _, duplicate := range []bool{false, true} {
		near, far := net.Pipe()
		go impostor(far, "b", duplicate)
		_, err := handshake{secret: sharedSecret, self: "a"}.dial(near, "b")
		var refused *AuthenticationError
		require.ErrorAs(t, err, &refused)
		near.Close()
	}
}

// Guards against two sides that keep different sessions, or a rule under which both sessions replace each other.
func TestBothSidesKeepTheSameSession(t *testing.T) {
	a, b := &Transport{config: Config{Self: "a"}}, &Transport{config: Config{Self: "b"}}
	seen := func(n *Transport, byA bool, incarnation id.Incarnation) *session {
		if n == a {
			return &session{node: a, peer: "b", dialled: byA, incarnation: incarnation}
		}
		return &session{node: b, peer: "a", dialled: !byA, incarnation: incarnation}
	}
	for _, n := range []*Transport{a, b} {
		require.True(t, seen(n, true, 1).precedes(seen(n, false, 1)), "the lower name's session wins")
		require.False(t, seen(n, false, 1).precedes(seen(n, true, 1)))
		for _, byA := range []bool{true, false} {
			require.True(t, seen(n, byA, 1).precedes(seen(n, byA, 1)), "a later dial shows that the earlier one ended")
			require.True(t, seen(n, byA, 2).precedes(seen(n, !byA, 1)))
			require.False(t, seen(n, byA, 1).precedes(seen(n, !byA, 2)))
		}
	}
}
