package store_test

import (
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bluebellhold/store"
)

type backing interface {
	store.Table
	store.Objects
	store.Directory
}

// eachStore runs check against Memory itself and against a Client and a Handler in front of a Memory.
func eachStore(t *testing.T, check func(t *testing.T, memory *store.Memory, s backing)) {
	t.Helper()
	t.Run("memory", func(t *testing.T) {
		var memory store.Memory
		check(t, &memory, &memory)
	})
	t.Run("client", func(t *testing.T) {
		var memory store.Memory
		handler := store.NewHandler(store.HandlerConfig{Table: &memory, Objects: &memory, Directory: &memory})
		check(t, &memory, serve(t, handler, store.ClientConfig{}))
	})
}

func serve(t *testing.T, handler http.Handler, config store.ClientConfig) *store.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	config.Address = server.URL
	client := store.NewClient(config)
	t.Cleanup(client.Close)
	return client
}

// Guards against object names that the path encoding merges or rewrites, and against a foreign 404 taken for an
// absent object.
func TestObjects(t *testing.T) {
	names := []string{"epoch/1-ab", "epoch/1-ab/", "epoch%2F1-ab", "a//b", "..", ".", "č ž?x=1#y", "a+b", "a b"}
	eachStore(t, func(t *testing.T, _ *store.Memory, s backing) {
		ctx := context.Background()
		var missing *store.NotFoundError
		for _, name := range names {
			_, err := s.Get(ctx, name)
			require.ErrorAs(t, err, &missing)
			require.Equal(t, name, missing.Name)
			require.NoError(t, s.Put(ctx, name, []byte("body of "+name)))
		}
		for _, name := range names {
			body, err := s.Get(ctx, name)
			require.NoError(t, err)
			require.Equal(t, "body of "+name, string(body))
		}
		require.NoError(t, s.Delete(ctx, names[0]))
		require.NoError(t, s.Delete(ctx, names[0]))
		_, err := s.Get(ctx, names[0])
		require.ErrorAs(t, err, &missing)
	})
	var unavailable *store.UnavailableError
	_, err := serve(t, http.NotFoundHandler(), store.ClientConfig{}).Get(context.Background(), "a")
	require.ErrorAs(t, err, &unavailable)
}

// Guards against members that lose a field on their way through the list.
func TestList(t *testing.T) {
	members := []store.Member{{
		Instance: "osrednja-1", Region: "osrednja", DataCentre: "osrednja-a", Caller: "127.0.0.1:1", Peer: "127.0.0.1:2",
	}, {Instance: "puget-1", Leaving: true}}
	eachStore(t, func(t *testing.T, memory *store.Memory, s backing) {
		memory.SetMembers(members)
		listed, err := s.List(context.Background())
		require.NoError(t, err)
		require.Equal(t, members, listed)
	})
}

// naive is the table as a plain map; it keeps the highest version seen of each name across deletes.
type naive struct {
	rows    map[string]store.Row
	highest map[string]uint64
}

func (n *naive) holds(conditions []store.Condition) bool {
	return !slices.ContainsFunc(conditions, func(c store.Condition) bool { return n.rows[c.Name].Version != c.Version })
}

func (n *naive) write(t *rapid.T, w store.Write, row store.Row) {
	require.Equal(t, w.Name, row.Name)
	if w.Delete {
		require.Zero(t, row.Version)
		delete(n.rows, w.Name)
		return
	}
	require.Greater(t, row.Version, n.highest[w.Name])
	require.Equal(t, string(w.Value), string(row.Value))
	n.highest[w.Name] = row.Version
	n.rows[w.Name] = row
}

func (n *naive) scan(prefix, after string, limit int) []store.Row {
	var rows []store.Row
	for _, name := range slices.Sorted(maps.Keys(n.rows)) {
		if strings.HasPrefix(name, prefix) && name > after && len(rows) < limit {
			rows = append(rows, n.rows[name])
		}
	}
	return rows
}

// current returns the rows of the names as Read returns them.
func (n *naive) current(names []string) []store.Row {
	var rows []store.Row
	for _, name := range names {
		rows = append(rows, store.Row{Name: name, Version: n.rows[name].Version, Value: n.rows[name].Value})
	}
	return rows
}

func requireRows(t *rapid.T, want, got []store.Row) {
	require.Len(t, got, len(want))
	for i := range want {
		require.Equal(t, want[i].Name, got[i].Name)
		require.Equal(t, want[i].Version, got[i].Version)
		require.Equal(t, string(want[i].Value), string(got[i].Value))
	}
}

// Guards against partial commits, wrong versions, wrong rows after a refusal and scans that skip or repeat rows.
func TestTableAgainstNaiveMap(t *testing.T) {
	names := []string{"a", "a/1", "a/2", "b/č%2F", "b/<&>", ""}
	name := rapid.SampledFrom(names)
	eachStore(t, func(t *testing.T, _ *store.Memory, s backing) {
		ctx := context.Background()
		rapid.Check(t, func(t *rapid.T) {
			model := naive{rows: map[string]store.Row{}, highest: map[string]uint64{}}
			for _, n := range names {
				_, err := s.Transact(ctx, store.Transaction{Writes: []store.Write{{Name: n, Delete: true}}})
				require.NoError(t, err)
			}
			condition := rapid.Custom(func(t *rapid.T) store.Condition {
				c := store.Condition{Name: name.Draw(t, "name")}
				if c.Version = model.rows[c.Name].Version; rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
					c.Version = model.highest[c.Name]
				}
				return c
			})
			write := rapid.Custom(func(t *rapid.T) store.Write {
				w := store.Write{Name: name.Draw(t, "name"), Delete: rapid.IntRange(0, 3).Draw(t, "delete") == 0}
				if !w.Delete {
					w.Value = rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "value")
				}
				return w
			})
			t.Repeat(map[string]func(*rapid.T){
				"transact": func(t *rapid.T) {
					call := store.Transaction{
						Conditions: rapid.SliceOfN(condition, 0, 3).Draw(t, "conditions"),
						Writes:     rapid.SliceOfN(write, 0, 4).Draw(t, "writes"),
					}
					result, err := s.Transact(ctx, call)
					require.NoError(t, err)
					require.Equal(t, model.holds(call.Conditions), result.Committed)
					if !result.Committed {
						var conditions []string
						for _, c := range call.Conditions {
							conditions = append(conditions, c.Name)
						}
						requireRows(t, model.current(conditions), result.Rows)
						return
					}
					require.Len(t, result.Rows, len(call.Writes))
					for i, w := range call.Writes {
						model.write(t, w, result.Rows[i])
					}
				},
				"scan": func(t *rapid.T) {
					prefix := rapid.SampledFrom([]string{"", "a", "a/", "b/", "c"}).Draw(t, "prefix")
					after, limit := name.Draw(t, "after"), rapid.IntRange(-1, 7).Draw(t, "limit")
					rows, err := s.Scan(ctx, prefix, after, limit)
					require.NoError(t, err)
					requireRows(t, model.scan(prefix, after, limit), rows)
				},
				"": func(t *rapid.T) {
					rows, err := s.Read(ctx, names)
					require.NoError(t, err)
					requireRows(t, model.current(names), rows)
				},
			})
		})
	})
}
