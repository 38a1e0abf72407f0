package store

import (
	"context"
	"time"
)

// Change is the newest value of one named row, or its removal.
type Change struct {
	Name    string
	Version uint64
	Value   []byte
	Deleted bool
}

// ChangeSet holds rows of one table as of a version of the store.
type ChangeSet struct {
	Rows    []Change
	Version uint64
}

// ChangeFeed tells what has changed in tables whose rows others write as well.
//
// Implementations are safe for concurrent use.
type ChangeFeed interface {
	// Changes returns the rows of a table that changed after the version, and waits up to wait for the first. It
	// returns a HistoryTruncatedError if the store no longer knows all changes since then.
	Changes(ctx context.Context, table string, afterVersion uint64, maxWait time.Duration) (ChangeSet, error)
	// Snapshot returns all rows of a table.
	Snapshot(ctx context.Context, table string) (ChangeSet, error)
	// Put replaces the version of one row, zero if there is none. It returns a ConflictError if the row has another
	// version; after any other error it is unknown whether it was or will be written.
	Put(ctx context.Context, table, name string, value []byte, expectedVersion uint64) error
}

// ConflictError reports that a row has another version than the one to be replaced.
type ConflictError struct {
	Table, Name string
	// ExpectedVersion is the one that was expected.
	ExpectedVersion uint64
}

// Error names the row.
func (e *ConflictError) Error() string {
	return "store: row " + e.Name + " of " + e.Table + " has another version"
}

// HistoryTruncatedError reports that the changes since a version are no longer known.
type HistoryTruncatedError struct {
	After uint64
}

// Error describes the failure.
func (e *HistoryTruncatedError) Error() string {
	return "store: the history since the version asked for is gone"
}
