package peer_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/peer"
	"bluebellhold/store"
)

// Guards against a stranger without the secret who joins, whichever side dials.
func TestWrongSecretIsRefused(t *testing.T) {
	a := start(t, "a", nil)
	stranger := start(t, "b", func(c *peer.Config) { c.Secret = []byte("another secret of enough bytes") })
	stranger.SetPeers(members(a))
	eventually(t, func() bool { return a.count("refused") > 1 }, "refusals")
	a.SetPeers(members(stranger))
	eventually(t, func() bool { return stranger.count("refused") > 1 }, "refusals")
	require.Zero(t, a.count("opened")+stranger.count("opened"))
}

// Guards against a recorded handshake that opens a session when it is sent again.
func TestReplayIsRefused(t *testing.T) {
	a, b := start(t, "a", nil), start(t, "b", nil)
	path := newRelay(t, b.Address())
	a.SetPeers([]store.Member{{Instance: "b", Peer: path.address()}})
	linked(t, a, b)
	a.Close()
	eventually(t, func() bool { return !b.connected(a) }, "the session ends")
	conn, err := net.Dial("tcp", b.Address())
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write(path.recorded())
	require.NoError(t, err)
	eventually(t, func() bool { return b.count("refused") == 1 }, "refusal")
	require.EqualValues(t, 1, b.count("opened"))
}

// Guards against an instance that takes its own reflected handshake for a peer.
func TestConnectionToItselfIsRefused(t *testing.T) {
	a := start(t, "a", nil)
	a.SetPeers([]store.Member{{Instance: "b", Peer: newRelay(t, a.Address()).address()}})
	eventually(t, func() bool { return a.count("refused") > 1 }, "refusals")
	require.Zero(t, a.count("opened"))
}

// Guards against a stranger who connects, says nothing and occupies a handshake for ever.
func TestSilentStrangerIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		started := time.Now()
		require.Error(t, peer.AcceptConn(peer.Config{Self: "a", Secret: secret}, near))
		require.Equal(t, peer.HandshakeTimeout, time.Since(started))
	})
}

// authority issues certificates.
type authority struct {
	t     *testing.T
	key   *ecdsa.PrivateKey
	root  *x509.Certificate
	roots *x509.CertPool
}

func newAuthority(t *testing.T) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a := &authority{t: t, key: key, roots: x509.NewCertPool()}
	a.root = &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	a.root.Raw, err = x509.CreateCertificate(rand.Reader, a.root, a.root, key.Public(), key)
	require.NoError(t, err)
	a.root, err = x509.ParseCertificate(a.root.Raw)
	require.NoError(t, err)
	a.roots.AddCert(a.root)
	return a
}

// use presents a certificate of this authority for the name and trusts roots.
func (a *authority) use(name string, roots *x509.CertPool) func(*peer.Config) {
	leaf := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{name},
	}
	raw, err := x509.CreateCertificate(rand.Reader, leaf, a.root, a.key.Public(), a.key)
	require.NoError(a.t, err)
	own := tls.Certificate{Certificate: [][]byte{raw}, PrivateKey: a.key}
	return func(c *peer.Config) {
		c.Certificates = func() (peer.Certificates, error) {
			return peer.Certificates{Own: own, Roots: roots}, nil
		}
	}
}

// Guards against TLS that lets in an instance without a certificate, with another fleet's or with another name's.
func TestCertificatesAreRequired(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	for name, stranger := range map[id.Instance]func(*peer.Config){
		"plain": nil, "foreign": theirs.use("foreign", ours.roots), "other": ours.use("another", ours.roots),
	} {
		a := start(t, "a", ours.use("a", ours.roots))
		b := start(t, name, stranger)
		b.SetPeers(members(a))
		eventually(t, func() bool { return a.count("refused") > 1 }, "refusals of "+string(name))
		a.SetPeers(members(b))
		eventually(t, func() bool { return b.count("refused") > 1 }, "refusals by a of "+string(name))
		require.Zero(t, a.count("opened"))
	}
	a, b := start(t, "a", ours.use("a", ours.roots)), start(t, "b", ours.use("b", ours.roots))
	a.SetPeers(members(b))
	b.SetPeers(members(a))
	linked(t, a, b)
	a.Send("b", loan(1))
	eventually(t, func() bool { return len(b.received()) == 1 }, "message over TLS")
}
