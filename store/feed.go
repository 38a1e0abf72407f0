package store

import (
	"context"
	"time"
)

// Change is the latest value of one row, or its deletion. Its version increases with each change, also from era to era.
type Change struct {
	Name    string
	Version uint64
	Value   []byte
	Deleted bool
}

// ChangeSet holds rows of one table as of a version of the store, either all of them or those that changed.
type ChangeSet struct {
	Rows    []Change
	Version uint64
}

// CallTimeout is how long a ChangeFeed waits for the first bytes of an answer, in addition to the time for which the call waits
// for a change, and then for further ones, before it gives the call up.
const CallTimeout = time.Second

// ChangeFeed reads tables and their changes, and writes rows with compare-and-set.
//
// Implementations are safe for concurrent use.
type ChangeFeed interface {
	// Changes returns the rows of a table that changed after afterVersion, and waits up to maxWait for the first
	// change. It returns a HistoryTruncatedError if the store no longer holds all changes since that version. A call that
	// fails for lack of an answer makes the next one use a new connection.
	Changes(ctx context.Context, table string, afterVersion uint64, maxWait time.Duration) (ChangeSet, error)
	// Snapshot returns all rows of a table.
	Snapshot(ctx context.Context, table string) (ChangeSet, error)
	// Put writes a row if it has expectedVersion, which is 0 for a row that does not exist. It returns a ConflictError
	// if the row has another version. After any other error the write may have taken effect, or may still take effect.
	Put(ctx context.Context, table, name string, value []byte, expectedVersion uint64) error
}

// ConflictError reports that a row does not have the expected version.
type ConflictError struct {
	Table, Name     string
	ExpectedVersion uint64
}

// Error returns a message with the name of the row.
func (e *ConflictError) Error() string {
	return "store: row " + e.Name + " of " + e.Table + " has another version"
}

// HistoryTruncatedError reports that the store no longer holds all changes since a version.
type HistoryTruncatedError struct {
	After uint64
}

// Error returns a fixed message.
func (e *HistoryTruncatedError) Error() string {
	return "store: the change history does not reach back to the requested version"
}
