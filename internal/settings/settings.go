package settings

import (
	"encoding/json"

	"bluebellhold/id"
)

// Defaults of the optional settings.
//
// The largest body matches the design's limit for requests that may not be repeated, which are held in memory.
const (
	DefaultLog             = "info"
	DefaultBody   id.Bytes = 1 << 20
	DefaultHeader id.Bytes = 64 << 10
	DefaultQueue           = 1024
)

// Settings are the daemon's settings.
//
// Secret and Token are paths; the contents of those files are in PeerSecret and OperatorToken after Load and never
// appear in the JSON or text form.
type Settings struct {
	Name       id.Instance   `json:"name"`
	Region     id.Region     `json:"region"`
	DataCentre id.DataCentre `json:"datacentre"`
	Caller     string        `json:"caller"`
	Peer       string        `json:"peer"`
	Operator   string        `json:"operator"`
	Platform   string        `json:"platform"`
	Secret     string        `json:"secret"`
	Token      string        `json:"token"`
	TLS        TLS           `json:"tls,omitzero"`
	Log        string        `json:"log,omitempty"`
	Limits     Limits        `json:"limits,omitzero"`
	Testing    bool          `json:"testing,omitempty"`

	PeerSecret    Secret `json:"-"`
	OperatorToken Secret `json:"-"`
}

// TLS names the certificate files of each address; nil means that the address uses no TLS.
type TLS struct {
	Caller   *Pair   `json:"caller,omitempty"`
	Operator *Pair   `json:"operator,omitempty"`
	Peer     *Mutual `json:"peer,omitempty"`
}

// Pair names the files of a certificate and its private key in PEM form.
type Pair struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
}

// Mutual names the files of a certificate, its private key and the authorities that both sides must be signed by.
type Mutual struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
}

// Limits bounds what one instance holds in memory.
type Limits struct {
	Body   id.Bytes `json:"body,omitempty"`
	Header id.Bytes `json:"header,omitempty"`
	Queue  int      `json:"queue,omitempty"`
}

// String returns the settings as JSON without the contents of secret files.
func (s Settings) String() string {
	body, err := json.Marshal(s)
	if err != nil {
		return err.Error()
	}
	return string(body)
}
