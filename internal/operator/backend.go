package operator

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"bluebellhold/id"
	"bluebellhold/note"
)

// Backend executes the requests of operators. Its methods are called concurrently.
//
// Propose returns a ConflictError if another note was accepted first. It is idempotent: for a note whose id was
// accepted before, it returns the epoch of the earlier acceptance, so that an operator can retry after a lost response.
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

// Acceptance holds the epoch that an accepted note created.
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

// Status is the status of the fleet as seen by one instance.
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

// Freshness reports whether the configuration in force counts as the newest, so that API keys are accepted, and until
// when.
type Freshness struct {
	Fresh bool      `json:"fresh"`
	Until time.Time `json:"until,omitzero"`
}

// Store reports whether the instance's last read of the head row of the platform's table succeeded. Since is the time
// of the last failure.
type Store struct {
	Reachable bool      `json:"reachable"`
	Since     time.Time `json:"since,omitzero"`
}

// InstanceStatus is the availability of an instance as seen by the one that serves the request.
type InstanceStatus string

// The statuses of an instance.
const (
	Live    InstanceStatus = "live"
	Suspect InstanceStatus = "suspect"
	Leaving InstanceStatus = "leaving"
	Gone    InstanceStatus = "gone"
)

// Instance is the status of one instance of the fleet, with the epoch that it last reported.
type Instance struct {
	Instance   id.Instance    `json:"instance"`
	Region     id.Region      `json:"region"`
	DataCentre id.DataCentre  `json:"datacentre"`
	Status     InstanceStatus `json:"status"`
	Epoch      id.Epoch       `json:"epoch"`
}

// Region is the capacity of one service in one region.
//
// Running is the number of requests in flight and Headroom the number of spare slots. Known is false if the load is not
// measured; Running then counts only requests of this instance.
type Region struct {
	Region   id.Region  `json:"region"`
	Service  id.Service `json:"service"`
	Slots    id.Slots   `json:"slots"`
	Running  id.Slots   `json:"running"`
	Headroom id.Slots   `json:"headroom"`
	Known    bool       `json:"known"`
}

// Drain is a drained upstream; Running is the number of this instance's requests that are still in flight at it.
type Drain struct {
	Upstream id.Upstream `json:"upstream"`
	Service  id.Service  `json:"service"`
	Running  id.Slots    `json:"running"`
}

// Shift is a traffic shift. Cap is the limit of its rate and Use its current rate; a zero Use is not measured.
type Shift struct {
	Shift   id.Shift           `json:"shift"`
	Service id.Service         `json:"service"`
	From    id.Region          `json:"from"`
	To      id.Region          `json:"to"`
	Percent int                `json:"percent"`
	Cap     id.TokensPerSecond `json:"cap"`
	Use     id.TokensPerSecond `json:"use,omitzero"`
}

// Organisation is an organisation that has exceeded its rate limit at this instance since the instance started.
//
// Rate is the limit, Refused the number of requests refused because of it, and Use the current rate; a zero Use is not
// measured.
type Organisation struct {
	Organisation id.Organisation    `json:"organisation"`
	Rate         id.TokensPerSecond `json:"rate"`
	Use          id.TokensPerSecond `json:"use,omitzero"`
	Refused      int64              `json:"refused"`
}
