package daemon

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"bluebellhold"
	"bluebellhold/internal/peer"
	"bluebellhold/internal/settings"
)

// configureTLS enables TLS for the addresses that have certificates in the settings.
func configureTLS(config *bluebellhold.Config, files settings.TLS) error {
	if files.Caller != nil {
		reloader, err := newCertReloader(files.Caller.CertFile, files.Caller.KeyFile)
		if err != nil {
			return err
		}
		config.CallerTLS = reloader.serverConfig()
	}
	if files.Operator != nil {
		reloader, err := newCertReloader(files.Operator.CertFile, files.Operator.KeyFile)
		if err != nil {
			return err
		}
		config.OperatorTLS = reloader.serverConfig()
	}
	if files.Peer == nil {
		return nil
	}
	reloader, err := newPeerCertReloader(*files.Peer)
	if err != nil {
		return err
	}
	config.PeerCertificates = reloader.load
	return nil
}

// certReloader loads a certificate and its key, and reloads them when the certificate file changes, so that a renewed
// certificate needs no restart.
type certReloader struct {
	certFile, keyFile string

	mu      sync.Mutex
	current tls.Certificate
	modTime time.Time
}

func newCertReloader(certFile, keyFile string) (*certReloader, error) {
	r := &certReloader{certFile: certFile, keyFile: keyFile}
	_, err := r.load()
	return r, err
}

// load returns the certificate, reloaded if the modification time of its file has changed. If the changed file cannot
// be loaded, it returns the previous certificate.
func (r *certReloader) load() (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	info, err := os.Stat(r.certFile)
	if err == nil && info.ModTime().Equal(r.modTime) {
		return &r.current, nil
	}
	if err == nil {
		var loaded tls.Certificate
		if loaded, err = tls.LoadX509KeyPair(r.certFile, r.keyFile); err == nil {
			r.current, r.modTime = loaded, info.ModTime()
			return &r.current, nil
		}
	}
	if r.modTime.IsZero() {
		return nil, &CertificateError{File: r.certFile, Cause: err}
	}
	return &r.current, nil
}

func (r *certReloader) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.load() },
	}
}

// peerCertReloader loads the certificate for connections between instances, and the CA certificates that verify both
// sides.
type peerCertReloader struct {
	own    *certReloader
	caFile string
}

func newPeerCertReloader(files settings.MutualTLS) (*peerCertReloader, error) {
	own, err := newCertReloader(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, err
	}
	r := &peerCertReloader{own: own, caFile: files.CAFile}
	_, err = r.load()
	return r, err
}

func (r *peerCertReloader) load() (peer.Certificates, error) {
	own, err := r.own.load()
	if err != nil {
		return peer.Certificates{}, err
	}
	pemData, err := os.ReadFile(r.caFile)
	if err != nil {
		return peer.Certificates{}, &CertificateError{File: r.caFile, Cause: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pemData) {
		return peer.Certificates{}, &CertificateError{File: r.caFile}
	}
	return peer.Certificates{Own: *own, Roots: roots}, nil
}

// CertificateError reports a certificate file that cannot be used.
type CertificateError struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (e *CertificateError) Error() string {
	if e.Cause == nil {
		return "bluebellholdd: " + e.File + " contains no certificate"
	}
	return "bluebellholdd: certificate " + e.File + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CertificateError) Unwrap() error {
	return e.Cause
}
