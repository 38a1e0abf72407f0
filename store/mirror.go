package store

import (
	"context"
	"errors"
	"time"
)

// Mirror keeps a copy of one table by following its feed. It is not safe for concurrent use.
type Mirror struct {
	feed     ChangeFeed
	table    string
	rows     map[string]Change
	version  uint64
	isLoaded bool
}

// NewMirror returns a Mirror that has read nothing.
func NewMirror(feed ChangeFeed, table string) *Mirror {
	return &Mirror{feed: feed, table: table, rows: make(map[string]Change)}
}

// Refresh brings the copy up to date and returns the rows that changed, removed ones included. It waits up to wait
// for the first change. If the history is lost it reads the whole table.
func (m *Mirror) Refresh(ctx context.Context, maxWait time.Duration) ([]Change, error) {
	if !m.isLoaded {
		return m.load(ctx)
	}
	changes, err := m.feed.Changes(ctx, m.table, m.version, maxWait)
	if errors.As(err, new(*HistoryTruncatedError)) {
		return m.load(ctx)
	}
	if err != nil {
		return nil, err
	}
	m.version = max(m.version, changes.Version)
	return m.apply(changes.Rows), nil
}

// load reads the whole table. A snapshot that is older than the copy is stale and changes nothing.
func (m *Mirror) load(ctx context.Context) ([]Change, error) {
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
	m.isLoaded, m.version = true, snapshot.Version
	return m.apply(changes), nil
}

// apply takes the rows in and returns those that are news.
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

// Version returns the version of the store up to which the copy holds all changes.
func (m *Mirror) Version() uint64 { return m.version }

// RowVersion returns the version of a row in the copy, zero if there is none.
func (m *Mirror) RowVersion(name string) uint64 { return m.rows[name].Version }

// Rows returns the copy by name; it must not be changed.
func (m *Mirror) Rows() map[string]Change { return m.rows }

// StaleSnapshotError reports an answer that is older than what is known already.
type StaleSnapshotError struct {
	Version, Current uint64
}

// Error describes the failure.
func (e *StaleSnapshotError) Error() string {
	return "store: an answer is older than what is known"
}
