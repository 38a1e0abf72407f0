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
	secret         []byte
	self           id.Instance
	incarnation    id.Incarnation
	channelBinding []byte
}

// dial proves this instance to the peer and returns the peer's hello.
func (h handshake) dial(conn io.ReadWriter, peer id.Instance) (*wire.Hello, error) {
	localHello := h.newHello()
	if err := writeFrame(conn, localHello, maxHandshakeFrame); err != nil {
		return nil, err
	}
	remoteHello, err := h.readHello(conn)
	if err != nil {
		return nil, err
	}
	if remoteHello.GetInstance() != string(peer) {
		return nil, &AuthenticationError{Peer: peer, Reason: "the address belongs to another instance"}
	}
	if err := writeFrame(
		conn, &wire.Proof{Mac: h.computeMAC(dialLabel, localHello, remoteHello)}, maxHandshakeFrame,
	); err != nil {
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
	if !hmac.Equal(proof.GetMac(), h.computeMAC(label, localHello, remoteHello)) {
		return nil, &AuthenticationError{Peer: peer, Reason: "wrong proof"}
	}
	if proof.GetDuplicate() {
		return nil, &DuplicateSessionError{Peer: peer}
	}
	return remoteHello, nil
}

// accept verifies the dialling side, asks admit about it and returns its hello.
//
// A DuplicateSessionError from admit is told to the dialling side; after any other error it is told nothing.
func (h handshake) accept(conn io.ReadWriter, admit func(*wire.Hello) error) (*wire.Hello, error) {
	remoteHello, err := h.readHello(conn)
	if err != nil {
		return nil, err
	}
	localHello := h.newHello()
	if err := writeFrame(conn, localHello, maxHandshakeFrame); err != nil {
		return nil, err
	}
	proof, err := readProof(conn)
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(proof.GetMac(), h.computeMAC(dialLabel, remoteHello, localHello)) {
		return nil, &AuthenticationError{Peer: id.Instance(remoteHello.GetInstance()), Reason: "wrong proof"}
	}
	err = admit(remoteHello)
	if _, duplicate := err.(*DuplicateSessionError); duplicate {
		response := &wire.Proof{Mac: h.computeMAC(duplicateLabel, remoteHello, localHello), Duplicate: true}
		if err := writeFrame(conn, response, maxHandshakeFrame); err != nil {
			return nil, err
		}
	}
	if err != nil {
		return nil, err
	}
	return remoteHello, writeFrame(
		conn, &wire.Proof{Mac: h.computeMAC(acceptLabel, remoteHello, localHello)}, maxHandshakeFrame,
	)
}

func (h handshake) newHello() *wire.Hello {
	nonce := make([]byte, nonceSize)
	rand.Read(nonce) // Never fails: crypto/rand ends the process instead.
	return &wire.Hello{Instance: string(h.self), Incarnation: uint64(h.incarnation), Nonce: nonce}
}

func (h handshake) readHello(conn io.Reader) (*wire.Hello, error) {
	var hello wire.Hello
	reader := frameReader{source: conn, maxSize: maxHandshakeFrame}
	if err := reader.readFrame(&hello); err != nil {
		return nil, err
	}
	name := id.Instance(hello.GetInstance())
	if !isValidName(name) || len(hello.GetNonce()) != nonceSize {
		return nil, &InvalidMessageError{}
	}
	if name == h.self {
		return nil, &AuthenticationError{Peer: name, Reason: "it has this instance's name"}
	}
	return &hello, nil
}

func readProof(conn io.Reader) (*wire.Proof, error) {
	var proof wire.Proof
	reader := frameReader{source: conn, maxSize: maxHandshakeFrame}
	return &proof, reader.readFrame(&proof)
}

// mac authenticates the label, both hellos and the channel; each part is preceded by its length.
func (h handshake) computeMAC(label string, dialling, accepting *wire.Hello) []byte {
	sum := hmac.New(sha256.New, h.secret)
	writeField := func(b []byte) {
		sum.Write(binary.BigEndian.AppendUint32(nil, uint32(len(b))))
		sum.Write(b)
	}
	writeField([]byte(label))
	for _, hello := range []*wire.Hello{dialling, accepting} {
		writeField([]byte(hello.GetInstance()))
		writeField(binary.BigEndian.AppendUint64(nil, hello.GetIncarnation()))
		writeField(hello.GetNonce())
	}
	writeField(h.channelBinding)
	return sum.Sum(nil)
}
