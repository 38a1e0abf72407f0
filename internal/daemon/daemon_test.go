package daemon

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold"
	"bluebellhold/internal/settings"
)

// writePair writes a self-signed certificate for 127.0.0.1 with the serial number and its key.
func writePair(t *testing.T, directory string, serial int64) (cert, key string) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "osrednja-1"}, DNSNames: []string{"osrednja-1"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	body, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	require.NoError(t, err)
	secret, err := x509.MarshalECPrivateKey(private)
	require.NoError(t, err)
	cert, key = filepath.Join(directory, "cert.pem"), filepath.Join(directory, "key.pem")
	write(t, cert, "CERTIFICATE", body)
	write(t, key, "EC PRIVATE KEY", secret)
	return cert, key
}

func write(t *testing.T, path, kind string, body []byte) {
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: body}), 0o600))
}

// Guards against a server that does not speak TLS with its certificate, keeps a renewed certificate's predecessor, or
// loses its certificate to a broken file.
func TestCertificateIsReadAgain(t *testing.T) {
	directory := t.TempDir()
	cert, key := writePair(t, directory, 1)
	var config bluebellhold.Config
	require.NoError(t, addCertificates(&config, settings.TLS{
		Caller: &settings.KeyPair{CertFile: cert, KeyFile: key}, Peer: &settings.MutualTLS{CertFile: cert, KeyFile: key, CAFile: cert},
	}))
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.TLS = config.CallerTLS
	server.StartTLS()
	defer server.Close()
	serial := func() int64 {
		conn, err := tls.Dial("tcp", server.Listener.Addr().String(), &tls.Config{
			InsecureSkipVerify: true, //nolint:gosec // the test compares the serial number itself
			ServerName:         "osrednja-1",
		})
		require.NoError(t, err)
		defer conn.Close()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	require.Equal(t, int64(1), serial())
	peers, err := config.PeerCertificates()
	require.NoError(t, err)
	require.NotEmpty(t, peers.Own.Certificate)

	writePair(t, directory, 2)
	require.NoError(t, os.Chtimes(cert, time.Now(), time.Now().Add(time.Minute)))
	require.Equal(t, int64(2), serial())
	require.NoError(t, os.WriteFile(cert, []byte("broken"), 0o600))
	require.NoError(t, os.Chtimes(cert, time.Now(), time.Now().Add(2*time.Minute)))
	require.Equal(t, int64(2), serial())
}

// Guards against wrong settings or arguments that end with another status than 2.
func TestWrongUsageEndsWithStatusTwo(t *testing.T) {
	for _, arguments := range [][]string{
		{"bluebellholdd"},
		{"bluebellholdd", "--settings", "missing.json"},
		{"bluebellholdd", "--colour"},
	} {
		var output bytes.Buffer
		require.Equal(t, ExitUsage, Main(arguments, &output), arguments)
		require.NotEmpty(t, output.String())
	}
}
