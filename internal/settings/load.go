package settings

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"bluebellhold/internal/strict"
	"bluebellhold/note"
)

// minSecretBytes is the minimum length of a secret; a shorter one can be guessed.
const minSecretBytes = 16

var logLevels = []string{"debug", "info", "warn", "error"}

// Load reads and checks the settings file, sets the defaults and reads the secret files. It passes over what only another
// release knows, except below tls, where a field may decide who is let in.
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
	strict.DecodeKnown(body, &s, c.Report, c.reportUnknown)
	c.checkIdentity(&s)
	c.checkAddresses(&s)
	c.checkOptions(&s)
	s.PeerSecret = c.readSecret("secret", &s.SecretFile)
	s.OperatorToken = c.readSecret("token", &s.TokenFile)
	c.checkTLS(&s.TLS)
	s.PassedOver = fieldErrors(c.unknown.Problems())
	if err := c.invalidError(path); err != nil {
		return Settings{PassedOver: s.PassedOver}, err
	}
	return s, nil
}

// Check is Load for a file that belongs to this release: what Load passes over is invalid.
func Check(path string) error {
	s, err := Load(path)
	return withPassedOver(path, err, s.PassedOver)
}

// withPassedOver adds the fields that were passed over to the result of Load or LoadEntry.
func withPassedOver(path string, err error, passedOver []*note.FieldError) error {
	if len(passedOver) == 0 || errors.As(err, new(*ReadError)) {
		return err
	}
	all := &InvalidError{File: path, Fields: passedOver}
	if invalid := (*InvalidError)(nil); errors.As(err, &invalid) {
		all.Fields = slices.Concat(invalid.Fields, passedOver)
	}
	slices.SortStableFunc(all.Fields, func(a, b *note.FieldError) int { return strings.Compare(a.Path, b.Path) })
	return all
}

type checker struct {
	strict.Collector
	// unknown collects what is passed over.
	unknown strict.Collector
	dir     string
}

// reportUnknown reports a field that this release does not know.
func (c *checker) reportUnknown(path, value, allowed string) {
	if strings.HasPrefix(path, "tls.") {
		c.Report(path, value, allowed)
		return
	}
	c.unknown.Report(path, value, allowed)
}

func fieldErrors(problems []strict.Problem) []*note.FieldError {
	var fields []*note.FieldError
	for _, p := range problems {
		fields = append(fields, &note.FieldError{Path: p.Path, Value: p.Value, Allowed: p.Allowed})
	}
	return fields
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
	c.checkDescriptors("limits.descriptors", s.Limits.Descriptors)
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
