package note

import (
	"bluebellhold/id"
)

// Configuration is the accepted configuration of the fleet at one epoch.
//
// Note is the release note that produced the epoch, and Blocks maps CIDR blocks of clients to sites. The zero value is
// the empty configuration before the first release note. An accepted Configuration is never modified, so it is safe for
// concurrent reads.
type Configuration struct {
	Epoch         id.Epoch                         `json:"epoch"`
	Note          id.Note                          `json:"note"`
	Organisations map[id.Organisation]Organisation `json:"organisations,omitempty"`
	Keys          map[id.Key]Key                   `json:"keys,omitempty"`
	Services      map[id.Service]Service           `json:"services,omitempty"`
	Links         map[string]Link                  `json:"links,omitempty"`
	Sites         map[id.Site]Site                 `json:"sites,omitempty"`
	Blocks        map[string]id.Site               `json:"blocks,omitempty"`
	Shifts        map[id.Shift]Shift               `json:"shifts,omitempty"`
	Drains        map[id.Upstream]Drain            `json:"drains,omitempty"`
}

// Organisation is a tenant with a rate limit, which applies to all instances together.
type Organisation struct {
	Rate  id.TokensPerSecond `json:"rate"`
	Burst id.Tokens          `json:"burst"`
}

// Key is an API key of one organisation; only the digest of its secret is stored.
type Key struct {
	Organisation id.Organisation `json:"organisation"`
	Digest       id.Digest       `json:"digest"`
}

// Service is a group of upstreams with the routes that they serve.
//
// Upstream names are unique across all services, because Drains are indexed by the upstream's name alone.
type Service struct {
	Routes    []Route                  `json:"routes,omitempty"`
	Upstreams map[id.Upstream]Upstream `json:"upstreams,omitempty"`
}

// Upstream is one server of a service. Slots is its concurrency limit.
type Upstream struct {
	Region     id.Region     `json:"region"`
	DataCentre id.DataCentre `json:"datacentre"`
	Address    string        `json:"address"`
	Slots      id.Slots      `json:"slots"`
}

// Class distinguishes small requests from bulk transfers.
type Class string

// The classes of a route. An empty class means Small.
const (
	Small Class = "small"
	Bulk  Class = "bulk"
)

// Route is a path prefix of a service, such as "/draws", with the rules for requests to it.
//
// An empty list of methods matches all methods. Requests to an Idempotent route may be retried and need no idempotency
// key. Requests to a Public route need no API key.
type Route struct {
	Path       id.Route `json:"path"`
	Methods    []string `json:"methods,omitempty"`
	Idempotent bool     `json:"repeat,omitempty"`
	Public     bool     `json:"open,omitempty"`
	Class      Class    `json:"class,omitempty"`
}

// Link limits the bandwidth from one region to another.
//
// Rate is in bytes per second.
type Link struct {
	From id.Region `json:"from"`
	To   id.Region `json:"to"`
	Rate id.Bytes  `json:"rate"`
}

// Site is a location that client blocks are assigned to.
type Site struct {
	Region     id.Region     `json:"region"`
	DataCentre id.DataCentre `json:"datacentre"`
}

// Shift moves a percentage of a service's requests from the upstreams of one region to those of another.
//
// Percent is the percentage of requests to move. Rate and Burst are a hard limit on the moved requests.
type Shift struct {
	Service id.Service         `json:"service"`
	From    id.Region          `json:"from"`
	To      id.Region          `json:"to"`
	Percent int                `json:"percent"`
	Rate    id.TokensPerSecond `json:"rate"`
	Burst   id.Tokens          `json:"burst"`
}

// Drain takes one upstream out of rotation; its requests in flight finish.
type Drain struct {
	Service id.Service `json:"service"`
}
