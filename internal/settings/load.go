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

// minSecretBytes is the minimum length of a secret; a shorter one can be guessed.
const minSecretBytes = 16

var logLevels = []string{"debug", "info", "warn", "error"}

// Load reads and checks the settings file, sets the defaults and reads the secret files.
//
// The error is a ReadError or an InvalidError.
func Load(path string) (Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &ReadError{File: path, Cause: err}
	}
	c := checker{dir: filepath.Dir(path)}
	s := Settings{
		LogLevel: DefaultLogLevel,
		Limits:   Limits{MaxClaimedBody: DefaultMaxClaimedBody, MaxMemory: DefaultMaxMemory, MaxHeader: DefaultMaxHeader, QueueClassLimit: DefaultQueueClassLimit},
	}
	strict.Decode(body, &s, c.Report)
	c.checkIdentity(&s)
	c.checkAddresses(&s)
	c.checkOptions(&s)
	s.PeerSecret = c.readSecret("secret", &s.SecretFile)
	s.OperatorToken = c.readSecret("token", &s.TokenFile)
	c.checkTLS(&s.TLS)
	if err := c.invalidError(path); err != nil {
		return Settings{}, err
	}
	return s, nil
}

type checker struct {
	strict.Collector
	dir string
}

func (c *checker) checkIdentity(s *Settings) {
	c.checkNames(map[string]string{
		"name": string(s.Name), "region": string(s.Region), "datacentre": string(s.DataCentre),
	})
}

func (c *checker) checkAddresses(s *Settings) {
	pathByAddress := make(map[string]string)
	for _, a := range []struct{ path, address string }{
		{"caller", s.CallerAddress}, {"peer", s.PeerAddress}, {"operator", s.OperatorAddress},
	} {
		parsed, err := netip.ParseAddrPort(a.address)
		if err != nil || (parsed.Port() == 0 && !s.Testing) {
			c.Report(a.path, strconv.Quote(a.address), "an IP number and a port, such as 10.1.2.3:8080")
			continue
		}
		if otherPath, ok := pathByAddress[a.address]; ok && parsed.Port() != 0 {
			c.Report(a.path, strconv.Quote(a.address)+", the same as "+otherPath, "another address")
		}
		pathByAddress[a.address] = a.path
	}
	c.checkPlatformURL(s.PlatformURL)
}

func (c *checker) checkPlatformURL(platformURL string) {
	u, err := url.Parse(platformURL)
	if err != nil {
		c.Report("platform", "not a URL", "a URL such as http://10.1.2.3:9000")
		return
	}
	_, hostErr := netip.ParseAddr(u.Hostname())
	if (u.Scheme != "http" && u.Scheme != "https") || hostErr != nil || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		c.Report("platform", strconv.Quote(u.Redacted()), "an http or https URL with an IP number, such as http://10.1.2.3:9000")
	}
}

func (c *checker) checkOptions(s *Settings) {
	c.checkLogLevel(s.LogLevel)
	c.checkRange("limits.body", int64(s.Limits.MaxClaimedBody), 1<<10, 64<<20)
	c.checkRange("limits.memory", int64(s.Limits.MaxMemory), 1<<20, 1<<40)
	c.checkRange("limits.header", int64(s.Limits.MaxHeader), 1<<10, 1<<20)
	c.checkRange("limits.queue", int64(s.Limits.QueueClassLimit), 1, 1_000_000)
}

func (c *checker) checkRange(path string, value, minValue, maxValue int64) {
	if value < minValue || value > maxValue {
		c.Report(path, strconv.FormatInt(value, 10), strconv.FormatInt(minValue, 10)+" to "+strconv.FormatInt(maxValue, 10))
	}
}

// readFile returns the contents of *file and resolves a relative *file against the directory of the settings file.
func (c *checker) readFile(path string, file *string) ([]byte, bool) {
	if *file == "" {
		c.Report(path, `""`, "the path of a file")
		return nil, false
	}
	if !filepath.IsAbs(*file) {
		*file = filepath.Join(c.dir, *file)
	}
	body, err := os.ReadFile(*file)
	if err != nil {
		c.Report(path, strconv.Quote(*file)+", which cannot be read", "the path of a readable file")
		return nil, false
	}
	return body, true
}

func (c *checker) readSecret(path string, file *string) Secret {
	body, ok := c.readFile(path, file)
	if !ok {
		return Secret{}
	}
	body = bytes.TrimSpace(body)
	if len(body) < minSecretBytes {
		c.Report(path, "a file with "+strconv.Itoa(len(body))+" bytes", "a file with at least "+strconv.Itoa(minSecretBytes)+" bytes")
		return Secret{}
	}
	return NewSecret(body)
}

func (c *checker) checkTLS(t *TLS) {
	if t.Caller != nil {
		c.checkKeyPair("tls.caller", &t.Caller.CertFile, &t.Caller.KeyFile)
	}
	if t.Operator != nil {
		c.checkKeyPair("tls.operator", &t.Operator.CertFile, &t.Operator.KeyFile)
	}
	if t.Peer == nil {
		return
	}
	c.checkKeyPair("tls.peer", &t.Peer.CertFile, &t.Peer.KeyFile)
	if body, ok := c.readFile("tls.peer.ca", &t.Peer.CAFile); ok && !x509.NewCertPool().AppendCertsFromPEM(body) {
		c.Report("tls.peer.ca", strconv.Quote(t.Peer.CAFile), "a PEM file with at least one certificate")
	}
}

func (c *checker) checkKeyPair(path string, certFile, keyFile *string) {
	certPEM, certOK := c.readFile(path+".cert", certFile)
	keyPEM, keyOK := c.readFile(path+".key", keyFile)
	if !certOK || !keyOK {
		return
	}
	if _, err := tls.X509KeyPair(certPEM, keyPEM); err != nil {
		c.Report(path, "a certificate and a key that do not load", "a PEM certificate and its private key")
	}
}
