package settings

import (
	"encoding/json"

	"bluebellhold/id"
	"bluebellhold/note"
)

// Defaults of the optional settings.
//
// DefaultMaxClaimedBody limits the bodies of non-idempotent requests, which are held in memory as a whole.
const (
	DefaultLogLevel                 = "info"
	DefaultMaxClaimedBody  id.Bytes = 1 << 20
	DefaultMaxMemory       id.Bytes = 256 << 20
	DefaultMaxHeader       id.Bytes = 64 << 10
	DefaultQueueClassLimit          = 1024
)

// Settings contains the daemon's settings.
//
// SecretFile and TokenFile are paths. Load reads these files into PeerSecret and OperatorToken, whose contents never
// appear in the JSON or text form.
type Settings struct {
	Name            id.Instance   `json:"name"`
	Region          id.Region     `json:"region"`
	DataCentre      id.DataCentre `json:"datacentre"`
	CallerAddress   string        `json:"caller"`
	PeerAddress     string        `json:"peer"`
	OperatorAddress string        `json:"operator"`
	PlatformURL     string        `json:"platform"`
	SecretFile      string        `json:"secret"`
	TokenFile       string        `json:"token"`
	TLS             TLS           `json:"tls,omitzero"`
	LogLevel        string        `json:"log,omitempty"`
	Limits          Limits        `json:"limits,omitzero"`
	Testing         bool          `json:"testing,omitempty"`

	PeerSecret    Secret `json:"-"`
	OperatorToken Secret `json:"-"`
	// PassedOver are the fields that this release does not know.
	PassedOver []*note.FieldError `json:"-"`
}

// TLS names the certificate files of each address; nil means that the address uses no TLS.
type TLS struct {
	Caller   *KeyPair   `json:"caller,omitempty"`
	Operator *KeyPair   `json:"operator,omitempty"`
	Peer     *MutualTLS `json:"peer,omitempty"`
}

// KeyPair names the PEM files of a certificate and its private key.
type KeyPair struct {
	CertFile string `json:"cert"`
	KeyFile  string `json:"key"`
}

// MutualTLS names the PEM files of a certificate, its private key and the CA certificates that verify both sides.
type MutualTLS struct {
	CertFile string `json:"cert"`
	KeyFile  string `json:"key"`
	CAFile   string `json:"ca"`
}

// Limits bounds the requests that one instance holds in memory. MaxClaimedBody is for non-idempotent requests,
// MaxMemory for all bodies and responses together, and QueueClassLimit for the queued requests of one class of a service.
// Descriptors is the number of descriptors that the process may open; zero means the limit of the process.
type Limits struct {
	MaxClaimedBody  id.Bytes `json:"body,omitempty"`
	MaxMemory       id.Bytes `json:"memory,omitempty"`
	MaxHeader       id.Bytes `json:"header,omitempty"`
	QueueClassLimit int      `json:"queue,omitempty"`
	Descriptors     int64    `json:"descriptors,omitempty"`
}

// String returns the settings as JSON without the contents of secret files.
func (s Settings) String() string {
	body, err := json.Marshal(s)
	if err != nil {
		return err.Error()
	}
	return string(body)
}
