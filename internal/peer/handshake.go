package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"

	"bluebellhold/id"
	"bluebellhold/internal/wire"
)

const nonceSize = 32

// The labels keep a proof of one role from serving as a proof of the other, and name the version of the protocol.
const (
	dialLabel      = "bluebellhold peer 1 dialling"
	acceptLabel    = "bluebellhold peer 1 accepting"
	duplicateLabel = "bluebellhold peer 1 duplicate"
)

// handshake authenticates both sides of one connection before any other use of it.
//
// The dialling side proves itself first, so that a stranger who connects learns nothing that depends on the secret.
// A proof covers both hellos, whose nonces are fresh, and the keying material of the TLS connection if there is one.
type handshake struct {
	secret  []byte
	self    id.Instance
	own     id.Incarnation
	binding []byte
}

// dial proves this instance to the peer and returns the peer's hello.
func (h handshake) dial(conn io.ReadWriter, peer id.Instance) (*wire.Hello, error) {
	ours := h.hello()
	if err := writeFrame(conn, ours, handshakeLimit); err != nil {
		return nil, err
	}
	theirs, err := h.readHello(conn)
	if err != nil {
		return nil, err
	}
	if theirs.GetInstance() != string(peer) {
		return nil, &AuthenticationError{Peer: peer, Reason: "the address belongs to another instance"}
	}
	if err := writeFrame(conn, &wire.Proof{Mac: h.mac(dialLabel, ours, theirs)}, handshakeLimit); err != nil {
		return nil, err
	}
	proof, err := readProof(conn)
	if err != nil {
		return nil, err
	}
	label := acceptLabel
	if proof.GetDuplicate() {
		label = duplicateLabel
	}
	if !hmac.Equal(proof.GetMac(), h.mac(label, ours, theirs)) {
		return nil, &AuthenticationError{Peer: peer, Reason: "wrong proof"}
	}
	if proof.GetDuplicate() {
		return nil, &DuplicateSessionError{Peer: peer}
	}
	return theirs, nil
}

// accept verifies the dialling side, asks admit about it and returns its hello.
//
// A DuplicateSessionError from admit is told to the dialling side; after any other error it is told nothing.
func (h handshake) accept(conn io.ReadWriter, admit func(*wire.Hello) error) (*wire.Hello, error) {
	theirs, err := h.readHello(conn)
	if err != nil {
		return nil, err
	}
	ours := h.hello()
	if err := writeFrame(conn, ours, handshakeLimit); err != nil {
		return nil, err
	}
	proof, err := readProof(conn)
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(proof.GetMac(), h.mac(dialLabel, theirs, ours)) {
		return nil, &AuthenticationError{Peer: id.Instance(theirs.GetInstance()), Reason: "wrong proof"}
	}
	err = admit(theirs)
	if _, duplicate := err.(*DuplicateSessionError); duplicate {
		verdict := &wire.Proof{Mac: h.mac(duplicateLabel, theirs, ours), Duplicate: true}
		if err := writeFrame(conn, verdict, handshakeLimit); err != nil {
			return nil, err
		}
	}
	if err != nil {
		return nil, err
	}
	return theirs, writeFrame(conn, &wire.Proof{Mac: h.mac(acceptLabel, theirs, ours)}, handshakeLimit)
}

func (h handshake) hello() *wire.Hello {
	nonce := make([]byte, nonceSize)
	rand.Read(nonce) // Never fails: crypto/rand ends the process instead.
	return &wire.Hello{Instance: string(h.self), Incarnation: uint64(h.own), Nonce: nonce}
}

func (h handshake) readHello(conn io.Reader) (*wire.Hello, error) {
	var hello wire.Hello
	reader := frameReader{source: conn, limit: handshakeLimit}
	if err := reader.next(&hello); err != nil {
		return nil, err
	}
	name := id.Instance(hello.GetInstance())
	if !validName(name) || len(hello.GetNonce()) != nonceSize {
		return nil, &InvalidMessageError{}
	}
	if name == h.self {
		return nil, &AuthenticationError{Peer: name, Reason: "it has this instance's name"}
	}
	return &hello, nil
}

func readProof(conn io.Reader) (*wire.Proof, error) {
	var proof wire.Proof
	reader := frameReader{source: conn, limit: handshakeLimit}
	return &proof, reader.next(&proof)
}

// mac authenticates the label, both hellos and the channel; each part is preceded by its length.
func (h handshake) mac(label string, dialling, accepting *wire.Hello) []byte {
	sum := hmac.New(sha256.New, h.secret)
	part := func(b []byte) {
		sum.Write(binary.BigEndian.AppendUint32(nil, uint32(len(b))))
		sum.Write(b)
	}
	part([]byte(label))
	for _, hello := range []*wire.Hello{dialling, accepting} {
		part([]byte(hello.GetInstance()))
		part(binary.BigEndian.AppendUint64(nil, hello.GetIncarnation()))
		part(hello.GetNonce())
	}
	part(h.binding)
	return sum.Sum(nil)
}
