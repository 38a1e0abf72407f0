package operator

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"bluebellhold/id"
	"bluebellhold/note"
)

// Backend carries out what operators ask for. Its methods are called concurrently.
//
// Propose returns a ConflictError if another note won, and the epoch of the earlier acceptance if a note with this id
// was accepted before, so that operators resolve a lost answer by sending the note again.
type Backend interface {
	Propose(ctx context.Context, n note.Note) (Acceptance, error)
	Plan(ctx context.Context, n note.Note) (note.Changes, error)
	History(ctx context.Context) ([]Release, error)
	Status(ctx context.Context) (Status, error)
	Dump(ctx context.Context) (json.RawMessage, error)
	Configuration(ctx context.Context) (note.Configuration, error)
	Lookup(ctx context.Context, service id.Service, organisation id.Organisation, address netip.Addr) (any, error)
	Stop(ctx context.Context) error
}

// Acceptance is the epoch that a note became.
type Acceptance struct {
	Epoch id.Epoch `json:"epoch"`
}

// Release is one accepted note.
type Release struct {
	Epoch  id.Epoch  `json:"epoch"`
	Note   id.Note   `json:"note"`
	Digest id.Digest `json:"digest"`
	Time   time.Time `json:"time,omitzero"`
}

// Status is the fleet as one instance sees it.
type Status struct {
	Instance      id.Instance    `json:"instance"`
	Region        id.Region      `json:"region"`
	DataCentre    id.DataCentre  `json:"datacentre"`
	Epoch         id.Epoch       `json:"epoch"`
	Freshness     Freshness      `json:"freshness"`
	Store         Store          `json:"store"`
	Instances     []Instance     `json:"instances"`
	Regions       []Region       `json:"regions"`
	Drains        []Drain        `json:"drains"`
	Shifts        []Shift        `json:"shifts"`
	Organisations []Organisation `json:"organisations"`
}

// Freshness says until when this instance may decide on keys by the configuration that it has.
type Freshness struct {
	Fresh bool      `json:"fresh"`
	Until time.Time `json:"until,omitzero"`
}

// Store says whether the platform's table answered the last call.
type Store struct {
	Reachable bool      `json:"reachable"`
	Since     time.Time `json:"since,omitzero"`
}

// InstanceStatus is the state of an instance in the fleet.
type InstanceStatus string

// The states of an instance.
const (
	Live    InstanceStatus = "live"
	Suspect InstanceStatus = "suspect"
	Leaving InstanceStatus = "leaving"
	Gone    InstanceStatus = "gone"
)

// Instance is one instance of the fleet with the epoch that it last reported.
type Instance struct {
	Instance   id.Instance    `json:"instance"`
	Region     id.Region      `json:"region"`
	DataCentre id.DataCentre  `json:"datacentre"`
	Status     InstanceStatus `json:"status"`
	Epoch      id.Epoch       `json:"epoch"`
}

// Region is the capacity of one service in one region.
//
// Known is false if the load is not measured; Running then counts local requests only.
type Region struct {
	Region   id.Region  `json:"region"`
	Service  id.Service `json:"service"`
	Slots    id.Slots   `json:"slots"`
	Running  id.Slots   `json:"running"`
	Headroom id.Slots   `json:"headroom"`
	Known    bool       `json:"known"`
}

// Drain is a drained upstream with the requests that still run on it.
type Drain struct {
	Upstream id.Upstream `json:"upstream"`
	Service  id.Service  `json:"service"`
	Running  id.Slots    `json:"running"`
}

// Shift is a traffic shift with its cap and the rate that it moves now; a zero Use is not measured.
type Shift struct {
	Shift   id.Shift           `json:"shift"`
	Service id.Service         `json:"service"`
	From    id.Region          `json:"from"`
	To      id.Region          `json:"to"`
	Percent int                `json:"percent"`
	Cap     id.TokensPerSecond `json:"cap"`
	Use     id.TokensPerSecond `json:"use,omitzero"`
}

// Organisation is an organisation of which this instance has refused requests for their rate since it started.
//
// A zero Use is not measured.
type Organisation struct {
	Organisation id.Organisation    `json:"organisation"`
	Rate         id.TokensPerSecond `json:"rate"`
	Use          id.TokensPerSecond `json:"use,omitzero"`
	Refused      int64              `json:"refused"`
}
