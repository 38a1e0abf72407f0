package peer

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/wire"
)

var sharedSecret = []byte("a secret of enough bytes")

// runHandshake runs a handshake between dialler and acceptor, and returns the errors of both.
func runHandshake(dialler, acceptor handshake, admitErr error) (dialErr, acceptErr error) {
	dialConn, acceptConn := net.Pipe()
	acceptDone := make(chan error)
	go func() {
		_, err := acceptor.accept(acceptConn, func(*wire.Hello) error { return admitErr })
		acceptConn.Close()
		acceptDone <- err
	}()
	_, dialErr = dialler.dial(dialConn, acceptor.self)
	dialConn.Close()
	return dialErr, <-acceptDone
}

// Guards against proofs that do not depend on the channel binding or the secret, and against unauthenticated responses.
func TestHandshakeBindsChannelAndSecret(t *testing.T) {
	a := handshake{secret: sharedSecret, self: "a", incarnation: 1, channelBinding: []byte("channel")}
	b := handshake{secret: sharedSecret, self: "b", incarnation: 2, channelBinding: []byte("channel")}
	dialErr, acceptErr := runHandshake(a, b, nil)
	require.NoError(t, dialErr)
	require.NoError(t, acceptErr)

	var duplicateErr *DuplicateSessionError
	dialErr, acceptErr = runHandshake(a, b, &DuplicateSessionError{})
	require.ErrorAs(t, dialErr, &duplicateErr)
	require.ErrorAs(t, acceptErr, &duplicateErr)

	var authErr *AuthenticationError
	b.channelBinding = []byte("another channel")
	_, acceptErr = runHandshake(a, b, nil)
	require.ErrorAs(t, acceptErr, &authErr)
	b.channelBinding, b.secret = a.channelBinding, []byte("another secret of enough bytes")
	_, acceptErr = runHandshake(a, b, nil)
	require.ErrorAs(t, acceptErr, &authErr)
	_, acceptErr = runHandshake(a, a, nil)
	require.ErrorAs(t, acceptErr, &authErr, "a handshake of an instance with itself")
}

// reflectHandshake accepts a handshake and returns the dialling side's own messages, under the expected name.
func reflectHandshake(conn net.Conn, name id.Instance, duplicate bool) {
	defer conn.Close()
	reader := frameReader{source: conn, maxSize: maxHandshakeFrameSize}
	var hello wire.Hello
	var proof wire.Proof
	if reader.readFrame(&hello) != nil {
		return
	}
	hello.Instance = string(name)
	if writeFrame(conn, &hello, maxHandshakeFrameSize) != nil || reader.readFrame(&proof) != nil {
		return
	}
	proof.Duplicate = duplicate
	writeFrame(conn, &proof, maxHandshakeFrameSize)
}

// Guards against a reflection attack, in which the dialling side accepts its own proof as that of the peer.
func TestReflectedProofIsRefused(t *testing.T) {
	for _, duplicate := range []bool{false, true} {
		dialConn, acceptConn := net.Pipe()
		go reflectHandshake(acceptConn, "b", duplicate)
		_, err := handshake{secret: sharedSecret, self: "a"}.dial(dialConn, "b")
		var authErr *AuthenticationError
		require.ErrorAs(t, err, &authErr)
		dialConn.Close()
	}
}

// Guards against sides that keep different sessions, and against two sessions that each supersede the other.
func TestBothSidesSelectSameSession(t *testing.T) {
	a, b := &Transport{config: Config{Self: "a"}}, &Transport{config: Config{Self: "b"}}
	newTestSession := func(transport *Transport, dialledByA bool, incarnation id.Incarnation) *session {
		if transport == a {
			return &session{transport: a, peer: "b", dialled: dialledByA, incarnation: incarnation}
		}
		return &session{transport: b, peer: "a", dialled: !dialledByA, incarnation: incarnation}
	}
	for _, transport := range []*Transport{a, b} {
		require.True(t, newTestSession(transport, true, 1).supersedes(newTestSession(transport, false, 1)),
			"the lower name's session wins")
		require.False(t, newTestSession(transport, false, 1).supersedes(newTestSession(transport, true, 1)))
		for _, dialledByA := range []bool{true, false} {
			require.True(t, newTestSession(transport, dialledByA, 1).supersedes(newTestSession(transport, dialledByA, 1)),
				"a later dial shows that the earlier one ended")
			require.True(t, newTestSession(transport, dialledByA, 2).supersedes(newTestSession(transport, !dialledByA, 1)))
			require.False(t, newTestSession(transport, dialledByA, 1).supersedes(newTestSession(transport, !dialledByA, 2)))
		}
	}
}
