package bluebellhold

import (
	"crypto/tls"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"bluebellhold/id"
	"bluebellhold/internal/peer"
	"bluebellhold/store"
)

// Config configures an Instance.
//
// Self, Table, Objects, Directory, Secret and Token are required. The addresses in Self are those that the instance
// listens on and that others reach it at.
type Config struct {
	Self store.Member
	// Operator is the address of the operators' API.
	Operator string
	// Secret is shared by the instances of a fleet and authenticates their sessions.
	Secret []byte
	// Token authenticates operators.
	Token     []byte
	Table     store.Table
	Objects   store.Objects
	Directory store.Directory
	// Log receives the log; nil discards it.
	Log *log.Logger
	// Registry receives the metrics; nil means a registry of its own.
	Registry metrics.Registry
	// MaxBody limits the body of a streamed request; zero means 1 GiB.
	MaxBody id.Bytes
	// MaxClaimedBody limits the body of a request that may not be repeated, which is read whole; zero means 1 MiB.
	MaxClaimedBody id.Bytes
	// MaxHeader limits the head of a request; zero means 64 KiB.
	MaxHeader id.Bytes
	// QueueClassLimit is the most requests of one class that wait for a service; zero means 1024.
	QueueClassLimit int
	// CallerTLS and OperatorTLS switch on TLS for callers and operators.
	CallerTLS   *tls.Config
	OperatorTLS *tls.Config
	// PeerCertificates switches on mutual TLS between instances.
	PeerCertificates func() (peer.Certificates, error)
	// FaultInjection lets operators cut the sessions to peers. It is for tests only; the default is off.
	FaultInjection bool
	// Incarnation tells this process from others of the same name; zero means the start time in nanoseconds.
	Incarnation id.Incarnation
}

// ConfigError reports required fields of a Config that are empty.
type ConfigError struct {
	Fields []string
}

// Error names the fields.
func (e *ConfigError) Error() string {
	return "bluebellhold: required fields are empty: " + strings.Join(e.Fields, ", ")
}

func (c *Config) validate() error {
	var missing []string
	for name, isEmpty := range map[string]bool{
		"Self.Instance": c.Self.Instance == "", "Self.Region": c.Self.Region == "",
		"Self.DataCentre": c.Self.DataCentre == "", "Self.Caller": c.Self.Caller == "", "Self.Peer": c.Self.Peer == "",
		"Operator": c.Operator == "", "Secret": len(c.Secret) == 0, "Token": len(c.Token) == 0,
		"Table": c.Table == nil, "Objects": c.Objects == nil, "Directory": c.Directory == nil,
	} {
		if isEmpty {
			missing = append(missing, name)
		}
	}
	if len(missing) > 0 {
		return &ConfigError{Fields: missing}
	}
	return nil
}
