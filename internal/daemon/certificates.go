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

// addCertificates switches TLS on for the addresses that have certificates in the settings.
func addCertificates(config *bluebellhold.Config, files settings.TLS) error {
	if files.Caller != nil {
		pair, err := openPair(files.Caller.CertFile, files.Caller.KeyFile)
		if err != nil {
			return err
		}
		config.CallerTLS = pair.server()
	}
	if files.Operator != nil {
		pair, err := openPair(files.Operator.CertFile, files.Operator.KeyFile)
		if err != nil {
			return err
		}
		config.OperatorTLS = pair.server()
	}
	if files.Peer == nil {
		return nil
	}
	mutual, err := openMutual(*files.Peer)
	if err != nil {
		return err
	}
	config.PeerCertificates = mutual.load
	return nil
}

// pair is a certificate with its key that is read again when its file changes, so that a renewed certificate needs
// no restart.
type pair struct {
	cert, key string

	m        sync.Mutex
	loaded   tls.Certificate
	modified time.Time
}

func openPair(cert, key string) (*pair, error) {
	p := &pair{cert: cert, key: key}
	_, err := p.load()
	return p, err
}

// load returns the certificate; if a changed file cannot be read, the certificate that was loaded before stays.
func (p *pair) load() (*tls.Certificate, error) {
	p.m.Lock()
	defer p.m.Unlock()
	info, err := os.Stat(p.cert)
	if err == nil && info.ModTime().Equal(p.modified) {
		return &p.loaded, nil
	}
	if err == nil {
		var loaded tls.Certificate
		if loaded, err = tls.LoadX509KeyPair(p.cert, p.key); err == nil {
			p.loaded, p.modified = loaded, info.ModTime()
			return &p.loaded, nil
		}
	}
	if p.modified.IsZero() {
		return nil, &CertificateError{File: p.cert, Cause: err}
	}
	return &p.loaded, nil
}

func (p *pair) server() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return p.load() },
	}
}

// mutual is the certificate between instances with the authorities that both sides must be signed by.
type mutual struct {
	own *pair
	ca  string
}

func openMutual(files settings.MutualTLS) (*mutual, error) {
	own, err := openPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, err
	}
	m := &mutual{own: own, ca: files.CAFile}
	_, err = m.load()
	return m, err
}

func (m *mutual) load() (peer.Certificates, error) {
	own, err := m.own.load()
	if err != nil {
		return peer.Certificates{}, err
	}
	text, err := os.ReadFile(m.ca)
	if err != nil {
		return peer.Certificates{}, &CertificateError{File: m.ca, Cause: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return peer.Certificates{}, &CertificateError{File: m.ca}
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
		return "bluebellholdd: " + e.File + " holds no certificate"
	}
	return "bluebellholdd: certificate " + e.File + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *CertificateError) Unwrap() error {
	return e.Cause
}
