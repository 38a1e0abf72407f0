package store

import (
	"context"

	"bluebellhold/id"
)

// Row is one named value of the table; version 0 means that the row does not exist.
//
// The versions of a name increase monotonically, also across deletion and re-insertion.
type Row struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Condition holds if the named row has exactly this version; version 0 requires that the row does not exist.
type Condition struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Name   string `json:"name"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction applies all its writes atomically if all its conditions hold, and none otherwise.
type Transaction struct {
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
}

// Result reports the outcome of a transaction.
//
// If the transaction was committed, Rows holds the written rows in the order of the writes, deleted rows with version
// 0. Otherwise it holds the current row of each condition, in the order of the conditions.
type Result struct {
	Committed bool  `json:"committed"`
	Rows      []Row `json:"rows"`
}

// Table is the platform's transactional table.
//
// After an error from Transact the outcome is unknown, and the caller has to read the rows to learn whether the
// transaction was committed. Implementations are safe for concurrent use.
type Table interface {
	Transact(ctx context.Context, t Transaction) (Result, error)
	// Read returns one row for each name, in order, with version 0 for rows that do not exist.
	Read(ctx context.Context, names []string) ([]Row, error)
	// Scan returns up to limit rows whose names start with prefix and sort after the name after. A limit below 1
	// returns no rows.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
}

// Objects is the platform's object store.
//
// Get returns a NotFoundError for an absent object. Implementations are safe for concurrent use.
type Objects interface {
	Put(ctx context.Context, name string, body []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
}

// Directory is the platform's eventually consistent list of live and leaving instances.
type Directory interface {
	List(ctx context.Context) ([]Member, error)
}

// Member is one instance in the directory.
//
// Caller and Peer are its addresses for callers and for other instances. Leaving is set if the platform is about to
// stop the instance.
type Member struct {
	Instance   id.Instance   `json:"instance"`
	Region     id.Region     `json:"region"`
	DataCentre id.DataCentre `json:"datacentre"`
	Caller     string        `json:"caller"`
	Peer       string        `json:"peer"`
	Leaving    bool          `json:"leaving,omitempty"`
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct {
	Name string
}

// Error returns a message with the name of the object.
func (e *NotFoundError) Error() string {
	return "store: object " + e.Name + " does not exist"
}

// UnavailableError reports that the platform could not be reached, timed out or returned an error or an invalid
// response.
//
// OutcomeUnknown is set for operations that write: the write may have taken effect, or may still take effect later.
type UnavailableError struct {
	Operation      string
	OutcomeUnknown bool
	Cause          error
}

// Error returns a message with the operation and the cause.
func (e *UnavailableError) Error() string {
	text := "store: " + e.Operation + " failed"
	if e.OutcomeUnknown {
		text += ", effect unknown"
	}
	if e.Cause == nil {
		return text
	}
	return text + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Cause
}
