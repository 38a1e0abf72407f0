package bluebellhold

import (
	"crypto/tls"
	"strings"

	"github.com/rcrowley/go-metrics"

	"bluebellhold/id"
	"bluebellhold/internal/peer"
	"bluebellhold/logwriter"
	"bluebellhold/store"
)

// Config configures an Instance.
//
// Self, Operator, Secret, Token, Table, Objects and Directory are required. The instance listens on the addresses in
// Self, and callers and peers connect to the same addresses.
type Config struct {
	Self store.Member
	// Operator is the address to listen on for the operators' API.
	Operator string
	// Secret is shared by the instances of a fleet and authenticates the sessions between them.
	Secret []byte
	// Token authenticates operators.
	Token     []byte
	Table     store.Table
	Objects   store.Objects
	Directory store.Directory
	// Log receives the log; nil discards it.
	Log *logwriter.Writer
	// Registry receives the metrics; nil means a private registry.
	Registry metrics.Registry
	// MaxBody limits the body of a request; zero means 1 GiB.
	MaxBody id.Bytes
	// MaxClaimedBody limits the body of a non-idempotent request, which is read into memory as a whole; zero means 1 MiB.
	MaxClaimedBody id.Bytes
	// MaxMemory limits the bodies and responses that are in memory at the same time; zero means 256 MiB. Connections and heads
	// may use a quarter more.
	MaxMemory id.Bytes
	// MaxDescriptors is the number of descriptors that the process may open, of which connections that are accepted may use a
	// half; zero means 65,536.
	MaxDescriptors int
	// MaxHeader limits the header of a request; zero means 64 KiB.
	MaxHeader id.Bytes
	// QueueClassLimit is the maximum number of requests of one class that wait for a service; zero means 1024.
	QueueClassLimit int
	// CallerTLS and OperatorTLS enable TLS for callers and operators; nil means plain HTTP.
	CallerTLS   *tls.Config
	OperatorTLS *tls.Config
	// PeerCertificates enables mutual TLS between instances; it is called for each new connection.
	PeerCertificates func() (peer.Certificates, error)
	// FaultInjection lets operators simulate network partitions between this instance and its peers. It is for tests only.
	FaultInjection bool
	// Incarnation is higher for the newer of two processes with the same name; zero means the start time in nanoseconds.
	Incarnation id.Incarnation
}

// ConfigError reports that required fields of a Config are empty.
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
