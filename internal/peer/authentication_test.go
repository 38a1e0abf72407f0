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

// Guards against a session with an instance that does not have the secret, whichever side dials.
func TestWrongSecretIsRefused(t *testing.T) {
	a := startInstance(t, "a", nil)
	unauthorised := startInstance(t, "b", func(c *peer.Config) { c.Secret = []byte("another secret of enough bytes") })
	unauthorised.SetPeers(members(a))
	eventually(t, func() bool { return a.count("refused") > 1 }, "refusals")
	a.SetPeers(members(unauthorised))
	eventually(t, func() bool { return unauthorised.count("refused") > 1 }, "refusals")
	require.Zero(t, a.count("opened")+unauthorised.count("opened"))
}

// Guards against a replay attack with a recorded handshake.
func TestReplayedHandshakeIsRefused(t *testing.T) {
	a, b := startInstance(t, "a", nil), startInstance(t, "b", nil)
	proxy := newRecordingProxy(t, b.Address())
	a.SetPeers([]store.Member{{Instance: "b", Peer: proxy.address()}})
	waitForSession(t, a, b)
	a.Close()
	eventually(t, func() bool { return !b.isConnectedTo(a) }, "the session closes")
	conn, err := net.Dial("tcp", b.Address())
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write(proxy.recorded())
	require.NoError(t, err)
	eventually(t, func() bool { return b.count("refused") == 1 }, "refusal")
	require.EqualValues(t, 1, b.count("opened"))
}

// Guards against an instance that opens a session with itself.
func TestConnectionToItselfIsRefused(t *testing.T) {
	a := startInstance(t, "a", nil)
	a.SetPeers([]store.Member{{Instance: "b", Peer: newRecordingProxy(t, a.Address()).address()}})
	eventually(t, func() bool { return a.count("refused") > 1 }, "refusals")
	require.Zero(t, a.count("opened"))
}

// Guards against an idle connection that occupies a handshake slot for ever.
func TestSilentConnectionTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		acceptConn, dialConn := net.Pipe()
		defer dialConn.Close()
		started := time.Now()
		require.Error(t, peer.AcceptConn(peer.Config{Self: "a", Secret: sharedSecret}, acceptConn))
		require.Equal(t, peer.HandshakeTimeout, time.Since(started))
	})
}

// testCA issues certificates.
type testCA struct {
	t     *testing.T
	key   *ecdsa.PrivateKey
	root  *x509.Certificate
	roots *x509.CertPool
}

func newTestCA(t *testing.T) *testCA {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	ca := &testCA{t: t, key: key, roots: x509.NewCertPool()}
	ca.root = &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	ca.root.Raw, err = x509.CreateCertificate(rand.Reader, ca.root, ca.root, key.Public(), key)
	require.NoError(t, err)
	ca.root, err = x509.ParseCertificate(ca.root.Raw)
	require.NoError(t, err)
	ca.roots.AddCert(ca.root)
	return ca
}

// withCertificate configures a certificate for the name, issued by ca, and the trusted roots.
func (ca *testCA) withCertificate(name string, roots *x509.CertPool) func(*peer.Config) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{name},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.root, ca.key.Public(), ca.key)
	require.NoError(ca.t, err)
	certificate := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: ca.key}
	return func(c *peer.Config) {
		c.Certificates = func() (peer.Certificates, error) {
			return peer.Certificates{Own: certificate, Roots: roots}, nil
		}
	}
}

// Guards against TLS that accepts an instance without a certificate, with another CA's or with another instance's name.
func TestCertificatesAreRequired(t *testing.T) {
	fleetCA, otherCA := newTestCA(t), newTestCA(t)
	for name, configure := range map[id.Instance]func(*peer.Config){
		"plain": nil, "foreign": otherCA.withCertificate("foreign", fleetCA.roots),
		"other": fleetCA.withCertificate("another", fleetCA.roots),
	} {
		a := startInstance(t, "a", fleetCA.withCertificate("a", fleetCA.roots))
		b := startInstance(t, name, configure)
		b.SetPeers(members(a))
		eventually(t, func() bool { return a.count("refused") > 1 }, "refusals of "+string(name))
		a.SetPeers(members(b))
		eventually(t, func() bool { return b.count("refused") > 1 }, "refusals by "+string(name))
		require.Zero(t, a.count("opened"))
	}
	a, b := startInstance(t, "a", fleetCA.withCertificate("a", fleetCA.roots)),
		startInstance(t, "b", fleetCA.withCertificate("b", fleetCA.roots))
	a.SetPeers(members(b))
	b.SetPeers(members(a))
	waitForSession(t, a, b)
	a.Send("b", loanReturn(1))
	eventually(t, func() bool { return len(b.received()) == 1 }, "message over TLS")
}
