package note

import (
	"bluebellhold/id"
)

// Configuration is everything that operators have accepted, as of one epoch.
//
// The zero value is the empty configuration before the first release note. A Configuration that has been accepted
// is not changed any more, so it is safe for concurrent reads.
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

// Organisation is a tenant with the rate and burst that hold across all instances together.
type Organisation struct {
	Rate  id.TokensPerSecond `json:"rate"`
	Burst id.Tokens          `json:"burst"`
}

// Key belongs to one organisation; only the digest of its secret is kept.
type Key struct {
	Organisation id.Organisation `json:"organisation"`
	Digest       id.Digest       `json:"digest"`
}

// Service is a group of upstreams with the routes that they serve.
//
// Upstream names are unique across all services, because a Drain is found by the upstream's name alone.
type Service struct {
	Routes    []Route                  `json:"routes,omitempty"`
	Upstreams map[id.Upstream]Upstream `json:"upstreams,omitempty"`
}

// Upstream is one server of a service.
type Upstream struct {
	Region     id.Region     `json:"region"`
	DataCentre id.DataCentre `json:"datacentre"`
	Address    string        `json:"address"`
	Slots      id.Slots      `json:"slots"`
}

// Class tells small requests from bulk transfers.
type Class string

// The classes of a route. An empty class means Small.
const (
	Small Class = "small"
	Bulk  Class = "bulk"
)

// Route is a path prefix of a service, such as "/draws", with the rules for requests to it.
//
// An empty list of methods means all methods.
type Route struct {
	Path       id.Route `json:"path"`
	Methods    []string `json:"methods,omitempty"`
	Idempotent bool     `json:"repeat,omitempty"`
	Public     bool     `json:"open,omitempty"`
	Class      Class    `json:"class,omitempty"`
}

// Link limits the data that may flow from one region to another.
//
// Rate is in bytes per second.
type Link struct {
	From id.Region `json:"from"`
	To   id.Region `json:"to"`
	Rate id.Bytes  `json:"rate"`
}

// Site is a place that blocks of clients are steered to.
type Site struct {
	Region     id.Region     `json:"region"`
	DataCentre id.DataCentre `json:"datacentre"`
}

// Shift moves a share of a service's requests from the upstreams of one region to those of another.
//
// Percent is the share of requests that would be moved; Rate and Burst are the cap that is never exceeded.
type Shift struct {
	Service id.Service         `json:"service"`
	From    id.Region          `json:"from"`
	To      id.Region          `json:"to"`
	Percent int                `json:"percent"`
	Rate    id.TokensPerSecond `json:"rate"`
	Burst   id.Tokens          `json:"burst"`
}

// Drain takes one upstream out of service; work that runs on it is finished.
type Drain struct {
	Service id.Service `json:"service"`
}
