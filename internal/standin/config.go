package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"

	"bluebellhold/id"
	"bluebellhold/store"
)

// Milliseconds is a duration in the settings and in the control interface.
type Milliseconds int64

// Duration returns m as a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// Config contains the settings of a stand-in; an empty address selects a free port of 127.0.0.1.
type Config struct {
	Control  string                    `json:"control,omitempty"`
	Platform string                    `json:"platform,omitempty"`
	Members  Members                   `json:"members,omitzero"`
	Services map[id.Service][]Upstream `json:"services,omitempty"`
}

// Members configures the directory of the platform: the list of instances and the lag after which a change becomes
// visible.
//
// With Probe, only members that accept a connection at their peer address are listed.
type Members struct {
	List  []store.Member `json:"list,omitempty"`
	Probe bool           `json:"probe,omitempty"`
	Lag   Milliseconds   `json:"lag,omitempty"`
}

// Upstream configures one simulated upstream.
//
// After each start, its cache is cold: the service time of a request is multiplied by ColdFactor until ColdPeriod has
// passed or, if WarmupRequests is positive, until that many requests have started. Outage is the downtime after a
// request with the header Test-Crash.
type Upstream struct {
	Name           id.Upstream   `json:"name"`
	Service        id.Service    `json:"service,omitempty"`
	Region         id.Region     `json:"region"`
	DataCentre     id.DataCentre `json:"datacentre"`
	Address        string        `json:"address,omitempty"`
	Slots          id.Slots      `json:"slots"`
	ServiceTime    Milliseconds  `json:"time,omitempty"`
	ColdPeriod     Milliseconds  `json:"cold,omitempty"`
	ColdFactor     float64       `json:"factor,omitempty"`
	WarmupRequests int           `json:"warm,omitempty"`
	Outage         Milliseconds  `json:"outage,omitempty"`
}

// Parse parses and checks settings; it rejects unknown fields.
func Parse(body []byte) (Config, error) {
	var config Config
	if err := decode(bytes.NewReader(body), &config); err != nil {
		return Config{}, err
	}
	return config, config.check()
}

// decode decodes exactly one JSON value and rejects unknown fields.
func decode(body io.Reader, target any) error {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return &ConfigError{Field: "JSON", Found: err.Error(), Allowed: "one object with known fields"}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return &ConfigError{Field: "JSON", Found: "more than one value", Allowed: "one object"}
	}
	return nil
}

func (c Config) check() error {
	if err := checkLoopback("control", c.Control); err != nil {
		return err
	}
	if err := checkLoopback("platform", c.Platform); err != nil {
		return err
	}
	if err := c.Members.check(); err != nil {
		return err
	}
	names := make(map[id.Upstream]bool)
	for service, upstreams := range c.Services {
		for _, u := range upstreams {
			if u.Service != "" && u.Service != service {
				return &ConfigError{Field: "service", Found: u.Service, Allowed: service}
			}
			u.Service = service
			if err := u.check(); err != nil {
				return err
			}
			if names[u.Name] {
				return &ConfigError{Field: "name", Found: u.Name, Allowed: "each name once"}
			}
			names[u.Name] = true
		}
	}
	return nil
}

func (m Members) check() error {
	if m.Lag < 0 {
		return &ConfigError{Field: "lag", Found: m.Lag, Allowed: "zero or more"}
	}
	names := make(map[id.Instance]bool)
	for _, member := range m.List {
		if member.Instance == "" || names[member.Instance] {
			return &ConfigError{Field: "instance", Found: member.Instance, Allowed: "each name once, not empty"}
		}
		names[member.Instance] = true
		if m.Probe && member.Peer == "" {
			return &ConfigError{Field: "peer", Found: member.Peer, Allowed: "an address to probe"}
		}
		if err := checkLoopback("peer", member.Peer); err != nil {
			return err
		}
	}
	return nil
}

func (u Upstream) check() error {
	if u.Name == "" || u.Service == "" || u.Region == "" {
		return &ConfigError{Field: "upstream", Found: u, Allowed: "name, service and region not empty"}
	}
	if u.Slots < 1 {
		return &ConfigError{Field: "slots", Found: u.Slots, Allowed: "at least 1"}
	}
	if u.ServiceTime < 0 || u.ColdPeriod < 0 || u.Outage < 0 || u.ColdFactor < 0 || u.WarmupRequests < 0 {
		return &ConfigError{Field: "upstream", Found: u, Allowed: "no negative numbers"}
	}
	return checkLoopback("address", u.Address)
}

// checkLoopback accepts loopback addresses only, so that no test load leaves the machine.
func checkLoopback(field, address string) error {
	if address == "" {
		return nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil || !net.ParseIP(host).IsLoopback() {
		return &ConfigError{Field: field, Found: address, Allowed: "a loopback IP address with a port"}
	}
	return nil
}

// ConfigError reports an invalid value in settings or in a control request.
type ConfigError struct {
	Field   string
	Found   any
	Allowed any
}

// Error includes the field, the value and the values allowed.
func (e *ConfigError) Error() string {
	return fmt.Sprintf("standin: %s is %v; allowed: %v", e.Field, e.Found, e.Allowed)
}
