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

// The labels prevent a proof of one role from being accepted as a proof of another, and contain the protocol version.
const (
	dialLabel      = "bluebellhold peer 1 dialling"
	acceptLabel    = "bluebellhold peer 1 accepting"
	duplicateLabel = "bluebellhold peer 1 duplicate"
	tunnelLabel    = "bluebellhold peer 1 tunnel"
)

// handshake authenticates both sides of a connection to each other before any other use of it.
//
// The dialling side sends its proof first, so that an unauthenticated client receives nothing that depends on the
// secret. A proof is an HMAC over both Hello messages, whose nonces are random, and the TLS channel binding, if any.
type handshake struct {
	secret         []byte
	self           id.Instance
	incarnation    id.Incarnation
	channelBinding []byte
	// tunnel is set on the dialling side of a tunnel.
	tunnel *wire.Tunnel
}

// dial runs the dialling side of the handshake and returns the peer's Hello.
func (h handshake) dial(conn io.ReadWriter, peer id.Instance) (*wire.Hello, error) {
	localHello := h.newHello()
	if err := writeFrame(conn, localHello, maxHandshakeFrameSize); err != nil {
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
		conn, &wire.Proof{Mac: h.computeMAC(labelOf(localHello), localHello, remoteHello)}, maxHandshakeFrameSize,
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

// accept runs the accepting side of the handshake and returns the Hello of the dialling side.
//
// It calls admit once the dialling side is authenticated. If admit returns a DuplicateSessionError, the response says
// so; after any other error there is no response.
func (h handshake) accept(conn io.ReadWriter, admit func(*wire.Hello) error) (*wire.Hello, error) {
	remoteHello, err := h.readHello(conn)
	if err != nil {
		return nil, err
	}
	localHello := h.newHello()
	if err := writeFrame(conn, localHello, maxHandshakeFrameSize); err != nil {
		return nil, err
	}
	proof, err := readProof(conn)
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(proof.GetMac(), h.computeMAC(labelOf(remoteHello), remoteHello, localHello)) {
		return nil, &AuthenticationError{Peer: id.Instance(remoteHello.GetInstance()), Reason: "wrong proof"}
	}
	err = admit(remoteHello)
	if _, duplicate := err.(*DuplicateSessionError); duplicate {
		response := &wire.Proof{Mac: h.computeMAC(duplicateLabel, remoteHello, localHello), Duplicate: true}
		if err := writeFrame(conn, response, maxHandshakeFrameSize); err != nil {
			return nil, err
		}
	}
	if err != nil {
		return nil, err
	}
	return remoteHello, writeFrame(
		conn, &wire.Proof{Mac: h.computeMAC(acceptLabel, remoteHello, localHello)}, maxHandshakeFrameSize,
	)
}

func (h handshake) newHello() *wire.Hello {
	nonce := make([]byte, nonceSize)
	rand.Read(nonce) // Read never returns an error; it crashes the process instead.
	return &wire.Hello{Instance: string(h.self), Incarnation: uint64(h.incarnation), Nonce: nonce, Tunnel: h.tunnel}
}

// labelOf returns the label of the dialling side's proof. A process that knows no tunnels expects another one, and so
// refuses a tunnel instead of taking it for a session.
func labelOf(dialling *wire.Hello) string {
	if dialling.GetTunnel() != nil {
		return tunnelLabel
	}
	return dialLabel
}

func (h handshake) readHello(conn io.Reader) (*wire.Hello, error) {
	var hello wire.Hello
	reader := frameReader{source: conn, maxSize: maxHandshakeFrameSize}
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
	reader := frameReader{source: conn, maxSize: maxHandshakeFrameSize}
	return &proof, reader.readFrame(&proof)
}

// computeMAC returns the HMAC over the label, both Hello messages and the channel binding; each field is prefixed with
// its length.
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
	if tunnel := dialling.GetTunnel(); tunnel != nil {
		writeField([]byte(tunnel.GetUpstream()))
		writeField(binary.BigEndian.AppendUint64(nil, tunnel.GetIncarnation()))
	}
	writeField(h.channelBinding)
	return sum.Sum(nil)
}
