package peer

import (
	"io"
	"net/netip"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"bluebellhold/id"
	"bluebellhold/internal/wire"
)

// MinSecretLength is the least length of the shared secret in bytes; a recorded handshake lets a listener on the
// network try guesses offline, so a short secret would not hold.
const MinSecretLength = 16

// Config describes one node.
type Config struct {
	// Self is the name that this instance proves to its peers.
	Self id.Instance
	// Incarnation tells peers which of two processes with the same name is the newer one.
	Incarnation id.Incarnation
	// Listen is the IP address and port to accept sessions on; port 0 picks a free one.
	Listen string
	// Secret is shared by all instances of a fleet.
	Secret []byte
	// Certificates is called for each new connection and switches mutual TLS on unless it is nil.
	Certificates func() (Certificates, error)
	// Log receives state changes of sessions; nil discards them.
	Log *log.Logger
	// Registry receives the counters; nil uses a registry of the node's own.
	Registry metrics.Registry
	// OnMessage is called for each message, from one goroutine for a peer's messages and another for its EpochReply
	// messages, and must not call Close. While it blocks, further messages of this peer wait.
	OnMessage func(from id.Instance, m *wire.Envelope)
	// IsBlocked cuts the connection to a peer while it returns true; it exists for tests of network partitions. It must
	// return at once and not call the node.
	IsBlocked func(peer id.Instance) bool

	faultInjection bool // whether IsBlocked was set
}

func (c Config) withDefaults() (Config, error) {
	if !isValidName(c.Self) {
		return c, &NameError{Name: c.Self}
	}
	if len(c.Secret) < MinSecretLength {
		return c, &SecretError{Length: len(c.Secret)}
	}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return c, &AddressError{Address: c.Listen}
	}
	if c.Log == nil {
		c.Log = log.New(io.Discard)
	}
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	if c.OnMessage == nil {
		c.OnMessage = func(id.Instance, *wire.Envelope) {}
	}
	c.faultInjection = c.IsBlocked != nil
	if !c.faultInjection {
		c.IsBlocked = func(id.Instance) bool { return false }
	}
	return c, nil
}

// validName bounds names, so that a hello always fits its frame.
func isValidName(name id.Instance) bool {
	return name != "" && len(name) <= 255
}
