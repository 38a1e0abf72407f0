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

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"bluebellhold"
	"bluebellhold/internal/settings"
)

// writeKeyPair writes a self-signed certificate for osrednja-1 with the serial number, and its key.
func writeKeyPair(t *testing.T, dir string, serial int64) (certFile, keyFile string) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "osrednja-1"}, DNSNames: []string{"osrednja-1"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	certDER, err := x509.CreateCertificate(rand.Reader, template, template, &privateKey.PublicKey, privateKey)
	require.NoError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(privateKey)
	require.NoError(t, err)
	certFile, keyFile = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	writePEM(t, certFile, "CERTIFICATE", certDER)
	writePEM(t, keyFile, "EC PRIVATE KEY", keyDER)
	return certFile, keyFile
}

func writePEM(t *testing.T, path, blockType string, der []byte) {
	require.NoError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600))
}

// Guards against a server that does not use the configured certificate, serves the old one after a renewal, or drops it
// when the file becomes invalid.
func TestChangedCertificateIsReloaded(t *testing.T) {
	dir := t.TempDir()
	certFile, keyFile := writeKeyPair(t, dir, 1)
	var config bluebellhold.Config
	require.NoError(t, configureTLS(&config, settings.TLS{
		Caller: &settings.KeyPair{CertFile: certFile, KeyFile: keyFile},
		Peer:   &settings.MutualTLS{CertFile: certFile, KeyFile: keyFile, CAFile: certFile},
	}))
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.TLS = config.CallerTLS
	server.StartTLS()
	defer server.Close()
	servedSerial := func() int64 {
		conn, err := tls.Dial("tcp", server.Listener.Addr().String(), &tls.Config{
			InsecureSkipVerify: true, //nolint:gosec // the test compares the serial number itself
			ServerName:         "osrednja-1",
		})
		require.NoError(t, err)
		defer conn.Close()
		return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
	}
	require.Equal(t, int64(1), servedSerial())
	peerCertificates, err := config.PeerCertificates()
	require.NoError(t, err)
	require.NotEmpty(t, peerCertificates.Own.Certificate)

	writeKeyPair(t, dir, 2)
	require.NoError(t, os.Chtimes(certFile, time.Now(), time.Now().Add(time.Minute)))
	require.Equal(t, int64(2), servedSerial())
	require.NoError(t, os.WriteFile(certFile, []byte("broken"), 0o600))
	require.NoError(t, os.Chtimes(certFile, time.Now(), time.Now().Add(2*time.Minute)))
	require.Equal(t, int64(2), servedSerial())
}

// Guards against an exit status other than 2 after invalid settings or arguments.
func TestInvalidUsageExitsWithStatus2(t *testing.T) {
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

// Guards against a misspelled setting that --check does not find, and against a process that does not report what it passes
// over at its start.
func TestUnknownSettingsAreReported(t *testing.T) {
	sample, err := os.ReadFile("../settings/testdata/formats/entry-b68f64d.json")
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "settings.json")
	check := func() (status int, output string) {
		var buffer bytes.Buffer
		status = Main([]string{"bluebellholdd", "--entry", "--check", "--settings", path}, &buffer)
		return status, buffer.String()
	}
	require.NoError(t, os.WriteFile(path, sample, 0o600))
	status, output := check()
	require.Equal(t, ExitOK, status, output)

	require.NoError(t, os.WriteFile(path, bytes.Replace(sample, []byte(`"link"`), []byte(`"lnk"`), 1), 0o600))
	status, output = check()
	require.Equal(t, ExitUsage, status)
	require.Contains(t, output, "lnk: is an unknown field with a number")

	s, err := settings.LoadEntry(path)
	require.NoError(t, err)
	var buffer bytes.Buffer
	logPassedOver(log.NewWithOptions(&buffer, log.Options{Formatter: log.LogfmtFormatter}), s.PassedOver)
	require.Contains(t, buffer.String(), `msg="settings: passed over, not known to this release" field=lnk`)
}
