package note

import (
	"bluebellhold/id"
	"bluebellhold/internal/strict"
)

// Note is a release note: a set of entries to add, change and withdraw in one atomic step.
//
// A name in Add must be absent from the configuration, and a name in Change or Withdraw must exist. If BaseEpoch is
// set, the note applies only to the configuration of that epoch.
type Note struct {
	ID        id.Note     `json:"id"`
	BaseEpoch *id.Epoch   `json:"base,omitempty"`
	Add       Entries     `json:"add,omitzero"`
	Change    Entries     `json:"change,omitzero"`
	Withdraw  Withdrawals `json:"withdraw,omitzero"`
}

// Entries are the values that a note adds or changes; a changed value replaces the old one as a whole.
//
// A changed service replaces the routes and keeps the upstreams, which Upstreams changes one by one. An added service
// may include its upstreams. Blocks maps CIDR blocks of clients to sites.
type Entries struct {
	Organisations map[id.Organisation]Organisation        `json:"organisations,omitempty"`
	Keys          map[id.Key]Key                          `json:"keys,omitempty"`
	Services      map[id.Service]Service                  `json:"services,omitempty"`
	Upstreams     map[id.Service]map[id.Upstream]Upstream `json:"upstreams,omitempty"`
	Links         map[string]Link                         `json:"links,omitempty"`
	Sites         map[id.Site]Site                        `json:"sites,omitempty"`
	Blocks        map[string]id.Site                      `json:"blocks,omitempty"`
	Shifts        map[id.Shift]Shift                      `json:"shifts,omitempty"`
	Drains        map[id.Upstream]Drain                   `json:"drains,omitempty"`
}

// Withdrawals are the names of the entries that a note withdraws; withdrawing a service withdraws its upstreams.
type Withdrawals struct {
	Organisations []id.Organisation            `json:"organisations,omitempty"`
	Keys          []id.Key                     `json:"keys,omitempty"`
	Services      []id.Service                 `json:"services,omitempty"`
	Upstreams     map[id.Service][]id.Upstream `json:"upstreams,omitempty"`
	Links         []string                     `json:"links,omitempty"`
	Sites         []id.Site                    `json:"sites,omitempty"`
	Blocks        []string                     `json:"blocks,omitempty"`
	Shifts        []id.Shift                   `json:"shifts,omitempty"`
	Drains        []id.Upstream                `json:"drains,omitempty"`
}

// Parse decodes a release note and validates everything that does not depend on a configuration.
//
// The error is an InvalidError with one FieldError for each invalid field.
func Parse(body []byte) (Note, error) {
	var n Note
	var r reporter
	strict.Decode(body, &n, r.Report)
	n.check(&r)
	if err := r.err(); err != nil {
		return Note{}, err
	}
	return n, nil
}
