package peer

import (
	"context"
	"io"
	"net"
	"net/netip"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"bluebellhold/id"
	"bluebellhold/internal/memory"
	"bluebellhold/internal/occupancy"
	"bluebellhold/internal/wire"
)

// MinSecretLength is the minimum length of the shared secret in bytes. A recorded handshake allows an offline
// brute-force attack, which a short secret would not resist.
const MinSecretLength = 16

// Config configures a Transport.
type Config struct {
	// Self is the name of this instance, which the handshake proves to its peers.
	Self id.Instance
	// Incarnation is higher for the newer of two processes with the same name.
	Incarnation id.Incarnation
	// Listen is the IP address and port to accept connections on; port 0 selects a free port.
	Listen string
	// Secret is the key of the handshake, shared by all instances of a fleet.
	Secret []byte
	// Certificates is called for each new connection; nil disables mutual TLS.
	Certificates func() (Certificates, error)
	// Log receives the state changes of sessions; nil discards them.
	Log *log.Logger
	// Registry holds the counters; nil means a private registry.
	Registry metrics.Registry
	// Clients counts the accepted connections among the clients of the process; nil counts them alone.
	Clients *occupancy.Clients
	// OnMessage handles a received message. Each session calls it from two goroutines, one for EpochReply messages and
	// one for all others. It must not call Close, and further messages from the peer wait until it returns.
	OnMessage func(from id.Instance, m *wire.Envelope)
	// OnTunnel connects to an upstream for a peer. It returns a TunnelRefusedError if this instance connects no peer to any
	// upstream, or, with IsUnreached, none to this one; nil refuses all tunnels.
	OnTunnel func(ctx context.Context, from id.Instance, target TunnelTarget) (net.Conn, error)
	// OnOpened is called after a session with a peer has opened; nil means no call.
	OnOpened func(peer id.Instance)
	// OnClosed is called after the session with a peer has closed, unless another one has replaced it; nil means no call.
	OnClosed func(peer id.Instance)
	// IsBlocked simulates a network partition in tests: while it returns true, sessions with the peer are closed and
	// messages are dropped. It must not block and must not call the Transport, whose mutex may be held.
	IsBlocked func(peer id.Instance) bool

	faultInjection bool // whether the caller has set IsBlocked
}

// withDefaults validates c and fills in the defaults of its optional fields.
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
	if c.Clients == nil {
		c.Clients = occupancy.New(occupancy.Config{
			Memory: memory.New(defaultMemory, metrics.NewRegistry()), Descriptors: defaultDescriptors,
		})
	}
	if c.OnMessage == nil {
		c.OnMessage = func(id.Instance, *wire.Envelope) {}
	}
	if c.OnTunnel == nil {
		c.OnTunnel = func(context.Context, id.Instance, TunnelTarget) (net.Conn, error) {
			return nil, &TunnelRefusedError{Peer: c.Self}
		}
	}
	if c.OnOpened == nil {
		c.OnOpened = func(id.Instance) {}
	}
	if c.OnClosed == nil {
		c.OnClosed = func(id.Instance) {}
	}
	c.faultInjection = c.IsBlocked != nil
	if !c.faultInjection {
		c.IsBlocked = func(id.Instance) bool { return false }
	}
	return c, nil
}

// isValidName limits the length of names, so that a Hello always fits into maxHandshakeFrameSize.
func isValidName(name id.Instance) bool {
	return name != "" && len(name) <= 255
}
