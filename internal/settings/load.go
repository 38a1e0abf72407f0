package settings

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strconv"

	"bluebellhold/internal/strict"
)

// minSecret is the shortest secret in bytes; shorter ones can be guessed.
const minSecret = 16

var levels = []string{"debug", "info", "warn", "error"}

// Load reads and checks the settings file, fills in the defaults and reads the secret files.
//
// The error is a ReadError or an InvalidError.
func Load(path string) (Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &ReadError{File: path, Cause: err}
	}
	c := checker{folder: filepath.Dir(path)}
	s := Settings{
		LogLevel: DefaultLogLevel,
		Limits:   Limits{MaxBody: DefaultMaxBody, MaxHeader: DefaultMaxHeader, QueueLength: DefaultQueueLength},
	}
	strict.Decode(body, &s, c.Report)
	c.place(&s)
	c.addresses(&s)
	c.options(&s)
	s.PeerSecret = c.secret("secret", &s.SecretFile)
	s.OperatorToken = c.secret("token", &s.TokenFile)
	c.tls(&s.TLS)
	if err := c.invalid(path); err != nil {
		return Settings{}, err
	}
	return s, nil
}

type checker struct {
	strict.Collector
	folder string
}

func (c *checker) place(s *Settings) {
	c.names(map[string]string{
		"name": string(s.Name), "region": string(s.Region), "datacentre": string(s.DataCentre),
	})
}

func (c *checker) addresses(s *Settings) {
	seen := make(map[string]string)
	for _, a := range []struct{ path, address string }{
		{"caller", s.CallerAddress}, {"peer", s.PeerAddress}, {"operator", s.OperatorAddress},
	} {
		parsed, err := netip.ParseAddrPort(a.address)
		if err != nil || (parsed.Port() == 0 && !s.Testing) {
			c.Report(a.path, strconv.Quote(a.address), "an IP number and a port, such as 10.1.2.3:8080")
			continue
		}
		if other, ok := seen[a.address]; ok && parsed.Port() != 0 {
			c.Report(a.path, strconv.Quote(a.address)+", the same as "+other, "another address")
		}
		seen[a.address] = a.path
	}
	c.platform(s.PlatformURL)
}

func (c *checker) platform(text string) {
	u, err := url.Parse(text)
	if err != nil {
		c.Report("platform", "not a URL", "a URL such as http://10.1.2.3:9000")
		return
	}
	_, notNumber := netip.ParseAddr(u.Hostname())
	if (u.Scheme != "http" && u.Scheme != "https") || notNumber != nil || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		c.Report("platform", strconv.Quote(u.Redacted()), "an http or https URL with an IP number, such as http://10.1.2.3:9000")
	}
}

func (c *checker) options(s *Settings) {
	c.level(s.LogLevel)
	c.between("limits.body", int64(s.Limits.MaxBody), 1<<10, 64<<20)
	c.between("limits.header", int64(s.Limits.MaxHeader), 1<<10, 1<<20)
	c.between("limits.queue", int64(s.Limits.QueueLength), 1, 1_000_000)
}

func (c *checker) between(path string, value, low, high int64) {
	if value < low || value > high {
		c.Report(path, strconv.FormatInt(value, 10), strconv.FormatInt(low, 10)+" to "+strconv.FormatInt(high, 10))
	}
}

// read makes the path of a file absolute to the settings' folder and returns the file's contents.
func (c *checker) read(path string, file *string) ([]byte, bool) {
	if *file == "" {
		c.Report(path, `""`, "the path of a file")
		return nil, false
	}
	if !filepath.IsAbs(*file) {
		*file = filepath.Join(c.folder, *file)
	}
	body, err := os.ReadFile(*file)
	if err != nil {
		c.Report(path, strconv.Quote(*file)+", which cannot be read", "the path of a readable file")
		return nil, false
	}
	return body, true
}

func (c *checker) secret(path string, file *string) Secret {
	body, ok := c.read(path, file)
	if !ok {
		return Secret{}
	}
	body = bytes.TrimSpace(body)
	if len(body) < minSecret {
		c.Report(path, "a file with "+strconv.Itoa(len(body))+" bytes", "a file with at least "+strconv.Itoa(minSecret)+" bytes")
		return Secret{}
	}
	return NewSecret(body)
}

func (c *checker) tls(t *TLS) {
	if t.Caller != nil {
		c.pair("tls.caller", &t.Caller.CertFile, &t.Caller.KeyFile)
	}
	if t.Operator != nil {
		c.pair("tls.operator", &t.Operator.CertFile, &t.Operator.KeyFile)
	}
	if t.Peer == nil {
		return
	}
	c.pair("tls.peer", &t.Peer.CertFile, &t.Peer.KeyFile)
	if body, ok := c.read("tls.peer.ca", &t.Peer.CAFile); ok && !x509.NewCertPool().AppendCertsFromPEM(body) {
		c.Report("tls.peer.ca", strconv.Quote(t.Peer.CAFile), "a PEM file with at least one certificate")
	}
}

func (c *checker) pair(path string, cert, key *string) {
	certBody, certOK := c.read(path+".cert", cert)
	keyBody, keyOK := c.read(path+".key", key)
	if !certOK || !keyOK {
		return
	}
	if _, err := tls.X509KeyPair(certBody, keyBody); err != nil {
		c.Report(path, "a certificate and a key that do not load", "a PEM certificate and its private key")
	}
}
