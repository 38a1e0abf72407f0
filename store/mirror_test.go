package store_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/store"
)

// scriptedFeed returns the listed responses and errors in order.
type scriptedFeed struct {
	changes   []scriptedResponse
	snapshots []scriptedResponse
}

type scriptedResponse struct {
	store.ChangeSet
	err error
}

func (f *scriptedFeed) Changes(context.Context, string, uint64, time.Duration) (store.ChangeSet, error) {
	next := f.changes[0]
	f.changes = f.changes[1:]
	return next.ChangeSet, next.err
}

func (f *scriptedFeed) Snapshot(context.Context, string) (store.ChangeSet, error) {
	next := f.snapshots[0]
	f.snapshots = f.snapshots[1:]
	return next.ChangeSet, next.err
}

func (f *scriptedFeed) Put(context.Context, string, string, []byte, uint64) error { return nil }

func row(name string, version uint64) store.Change {
	return store.Change{Name: name, Version: version, Value: []byte(name)}
}

func refresh(t *testing.T, m *store.Mirror) []store.Change {
	t.Helper()
	changes, err := m.Refresh(context.Background(), 0)
	require.NoError(t, err)
	return changes
}

// Guards against rows that stay in the copy although they were deleted in the part of the history that was truncated.
func TestMirrorReloadsAfterTruncatedHistory(t *testing.T) {
	feed := &scriptedFeed{
		snapshots: []scriptedResponse{
			{ChangeSet: store.ChangeSet{Rows: []store.Change{row("a", 1), row("b", 2)}, Version: 2}},
			{ChangeSet: store.ChangeSet{Rows: []store.Change{row("b", 2), row("c", 8)}, Version: 9}},
		},
		changes: []scriptedResponse{
			{err: &store.HistoryTruncatedError{After: 2}},
			{ChangeSet: store.ChangeSet{Rows: []store.Change{{Name: "b", Version: 10, Deleted: true}}, Version: 10}},
		},
	}
	m := store.NewMirror(feed, "table")
	require.Len(t, refresh(t, m), 2)
	require.ElementsMatch(t, []store.Change{row("c", 8), {Name: "a", Version: 9, Deleted: true}}, refresh(t, m))
	require.Equal(t, []store.Change{{Name: "b", Version: 10, Deleted: true}}, refresh(t, m))
	require.Equal(t, map[string]store.Change{"c": row("c", 8)}, m.Rows())
}

// Guards against a stale snapshot that reverts newer rows of the copy.
func TestMirrorRejectsStaleSnapshot(t *testing.T) {
	feed := &scriptedFeed{
		snapshots: []scriptedResponse{
			{ChangeSet: store.ChangeSet{Rows: []store.Change{row("a", 5)}, Version: 5}},
			{ChangeSet: store.ChangeSet{Rows: []store.Change{row("a", 3)}, Version: 4}},
		},
		changes: []scriptedResponse{{err: &store.HistoryTruncatedError{After: 5}}},
	}
	m := store.NewMirror(feed, "table")
	refresh(t, m)
	_, err := m.Refresh(context.Background(), 0)
	require.ErrorAs(t, err, new(*store.StaleSnapshotError))
	require.Equal(t, uint64(5), m.Rows()["a"].Version)
}

// Guards against a duplicate or older change that is reported as a new one.
func TestMirrorIgnoresDuplicateChanges(t *testing.T) {
	feed := &scriptedFeed{
		snapshots: []scriptedResponse{{ChangeSet: store.ChangeSet{Rows: []store.Change{row("a", 5)}, Version: 5}}},
		changes:   []scriptedResponse{{ChangeSet: store.ChangeSet{Rows: []store.Change{row("a", 5), row("a", 4)}, Version: 6}}},
	}
	m := store.NewMirror(feed, "table")
	refresh(t, m)
	require.Empty(t, refresh(t, m))
}

// Guards against changes of a stale reader that bring back a row which has been deleted since, or leave out changes.
func TestRelayedChangesNeedTheirVersion(t *testing.T) {
	feed := &scriptedFeed{snapshots: []scriptedResponse{
		{ChangeSet: store.ChangeSet{Version: 5, Rows: []store.Change{row("a", 3), row("b", 4)}}},
	}}
	m := store.NewMirror(feed, "rows")
	_, ok := m.Apply(0, store.ChangeSet{Version: 9})
	require.False(t, ok, "nothing has been loaded")
	refresh(t, m)
	_, ok = m.Apply(6, store.ChangeSet{Version: 8, Rows: []store.Change{row("c", 8)}})
	require.False(t, ok, "changes are missing")
	require.Equal(t, uint64(5), m.Version())
	applied, ok := m.Apply(5, store.ChangeSet{Version: 7, Rows: []store.Change{{Name: "a", Version: 7, Deleted: true}}})
	require.True(t, ok)
	require.Len(t, applied, 1)
	applied, ok = m.Apply(2, store.ChangeSet{Version: 6, Rows: []store.Change{row("b", 4), row("a", 6)}})
	require.True(t, ok)
	require.Empty(t, applied, "one is known, the other has been deleted since")
	require.NotContains(t, m.Rows(), "a")
	require.Equal(t, uint64(7), m.Version(), "the version never goes back")
}
