package store

import (
	"context"
	"errors"
	"slices"
	"time"
)

// Mirror is a local copy of one table that follows the table's ChangeFeed. It is not safe for concurrent use.
type Mirror struct {
	feed     ChangeFeed
	table    string
	rows     map[string]Change
	version  uint64
	isLoaded bool
	readAt   time.Time
}

// NewMirror returns an empty Mirror; its first Refresh loads the table.
func NewMirror(feed ChangeFeed, table string) *Mirror {
	return &Mirror{feed: feed, table: table, rows: make(map[string]Change)}
}

// Refresh updates the copy and returns the rows that changed, deleted rows included. It waits up to maxWait for the
// first change. After a HistoryTruncatedError it reloads the whole table.
func (m *Mirror) Refresh(ctx context.Context, maxWait time.Duration) ([]Change, error) {
	if !m.isLoaded {
		return m.load(ctx)
	}
	startedAt := time.Now()
	changes, err := m.feed.Changes(ctx, m.table, m.version, maxWait)
	if errors.As(err, new(*HistoryTruncatedError)) {
		return m.load(ctx)
	}
	if err != nil {
		return nil, err
	}
	m.version, m.readAt = max(m.version, changes.Version), startedAt
	if len(changes.Rows) == 0 && time.Since(startedAt) >= maxWait {
		// The store had no change to report until then.
		m.readAt = startedAt.Add(maxWait)
	}
	return m.apply(changes.Rows), nil
}

// load reads the whole table. It rejects a snapshot that is older than the copy.
func (m *Mirror) load(ctx context.Context) ([]Change, error) {
	startedAt := time.Now()
	snapshot, err := m.feed.Snapshot(ctx, m.table)
	if err != nil {
		return nil, err
	}
	if m.isLoaded && snapshot.Version < m.version {
		return nil, &StaleSnapshotError{Version: snapshot.Version, Current: m.version}
	}
	changes := snapshot.Rows
	inSnapshot := make(map[string]bool, len(changes))
	for _, row := range changes {
		inSnapshot[row.Name] = true
	}
	for name := range m.rows {
		if !inSnapshot[name] {
			changes = append(changes, Change{Name: name, Version: snapshot.Version, Deleted: true})
		}
	}
	m.isLoaded, m.version, m.readAt = true, snapshot.Version, startedAt
	return m.apply(changes), nil
}

// apply updates the copy and returns the changes that are newer than it.
func (m *Mirror) apply(changes []Change) []Change {
	var applied []Change
	for _, row := range changes {
		current, ok := m.rows[row.Name]
		if ok && row.Version <= current.Version || !ok && row.Deleted {
			continue
		}
		if row.Deleted {
			delete(m.rows, row.Name)
		} else {
			m.rows[row.Name] = row
		}
		applied = append(applied, row)
	}
	return applied
}

// Apply updates the copy with changes that another reader of the table has read, and returns the rows that changed. It
// reports false and changes nothing unless the copy has been loaded and is as new as the changes require: after is the
// version since which they are complete.
func (m *Mirror) Apply(after uint64, changes ChangeSet) ([]Change, bool) {
	if !m.isLoaded || after > m.version {
		return nil, false
	}
	// The copy is complete up to its version: an older row is known, or has been deleted since.
	known := m.version
	rows := slices.DeleteFunc(slices.Clone(changes.Rows), func(row Change) bool { return row.Version <= known })
	m.version = max(m.version, changes.Version)
	return m.apply(rows), true
}

// IsLoaded reports whether the table has been read.
func (m *Mirror) IsLoaded() bool { return m.isLoaded }

// Version returns the version of the store that the copy is up to date with.
func (m *Mirror) Version() uint64 { return m.version }

// ReadAt returns the time as of which the last Refresh has made the copy complete.
func (m *Mirror) ReadAt() time.Time { return m.readAt }

// RowVersion returns the version of a row in the copy, or 0 if there is none.
func (m *Mirror) RowVersion(name string) uint64 { return m.rows[name].Version }

// Rows returns the rows of the copy by name; callers must not modify the map.
func (m *Mirror) Rows() map[string]Change { return m.rows }

// StaleSnapshotError reports a snapshot of the table that is older than the local copy.
type StaleSnapshotError struct {
	Version, Current uint64
}

// Error returns a fixed message.
func (e *StaleSnapshotError) Error() string {
	return "store: the snapshot is older than the local copy of the table"
}
