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

type platformStore interface {
	store.Table
	store.Objects
	store.Directory
}

// forEachStore runs check against a Memory, and against a Client that calls the handler of a Memory.
func forEachStore(t *testing.T, check func(t *testing.T, memory *store.Memory, s platformStore)) {
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

// Guards against object names that the path encoding merges or rewrites, and against a 404 of another server that is
// taken for an absent object.
func TestObjects(t *testing.T) {
	names := []string{"epoch/1-ab", "epoch/1-ab/", "epoch%2F1-ab", "a//b", "..", ".", "č ž?x=1#y", "a+b", "a b"}
	forEachStore(t, func(t *testing.T, _ *store.Memory, s platformStore) {
		ctx := context.Background()
		var notFound *store.NotFoundError
		for _, name := range names {
			_, err := s.Get(ctx, name)
			require.ErrorAs(t, err, &notFound)
			require.Equal(t, name, notFound.Name)
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
		require.ErrorAs(t, err, &notFound)
	})
	var unavailable *store.UnavailableError
	_, err := serve(t, http.NotFoundHandler(), store.ClientConfig{}).Get(context.Background(), "a")
	require.ErrorAs(t, err, &unavailable)
}

// Guards against fields of members that List drops.
func TestList(t *testing.T) {
	members := []store.Member{{
		Instance: "osrednja-1", Region: "osrednja", DataCentre: "osrednja-a", Caller: "127.0.0.1:1", Peer: "127.0.0.1:2",
	}, {Instance: "puget-1", Leaving: true}}
	forEachStore(t, func(t *testing.T, memory *store.Memory, s platformStore) {
		memory.SetMembers(members)
		listed, err := s.List(context.Background())
		require.NoError(t, err)
		require.Equal(t, members, listed)
	})
}

// modelTable is a reference model of the table. maxVersions keeps the highest version of each name across deletions.
type modelTable struct {
	rows        map[string]store.Row
	maxVersions map[string]uint64
}

func (m *modelTable) conditionsMet(conditions []store.Condition) bool {
	return !slices.ContainsFunc(conditions, func(c store.Condition) bool { return m.rows[c.Name].Version != c.Version })
}

func (m *modelTable) write(t *rapid.T, w store.Write, row store.Row) {
	require.Equal(t, w.Name, row.Name)
	if w.Delete {
		require.Zero(t, row.Version)
		delete(m.rows, w.Name)
		return
	}
	require.Greater(t, row.Version, m.maxVersions[w.Name])
	require.Equal(t, string(w.Value), string(row.Value))
	m.maxVersions[w.Name] = row.Version
	m.rows[w.Name] = row
}

func (m *modelTable) scan(prefix, after string, limit int) []store.Row {
	var rows []store.Row
	for _, name := range slices.Sorted(maps.Keys(m.rows)) {
		if strings.HasPrefix(name, prefix) && name > after && len(rows) < limit {
			rows = append(rows, m.rows[name])
		}
	}
	return rows
}

// read returns the rows of the names as Read returns them.
func (m *modelTable) read(names []string) []store.Row {
	var rows []store.Row
	for _, name := range names {
		rows = append(rows, store.Row{Name: name, Version: m.rows[name].Version, Value: m.rows[name].Value})
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

// Guards against partial commits, wrong versions, wrong rows after a failed condition, and scans that skip or repeat
// rows.
func TestTableAgainstModel(t *testing.T) {
	names := []string{"a", "a/1", "a/2", "b/č%2F", "b/<&>", ""}
	genName := rapid.SampledFrom(names)
	forEachStore(t, func(t *testing.T, _ *store.Memory, s platformStore) {
		ctx := context.Background()
		rapid.Check(t, func(t *rapid.T) {
			model := modelTable{rows: map[string]store.Row{}, maxVersions: map[string]uint64{}}
			for _, n := range names {
				_, err := s.Transact(ctx, store.Transaction{Writes: []store.Write{{Name: n, Delete: true}}})
				require.NoError(t, err)
			}
			genCondition := rapid.Custom(func(t *rapid.T) store.Condition {
				c := store.Condition{Name: genName.Draw(t, "name")}
				if c.Version = model.rows[c.Name].Version; rapid.IntRange(0, 9).Draw(t, "stale") == 0 {
					c.Version = model.maxVersions[c.Name]
				}
				return c
			})
			genWrite := rapid.Custom(func(t *rapid.T) store.Write {
				w := store.Write{Name: genName.Draw(t, "name"), Delete: rapid.IntRange(0, 3).Draw(t, "delete") == 0}
				if !w.Delete {
					w.Value = rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(t, "value")
				}
				return w
			})
			t.Repeat(map[string]func(*rapid.T){
				"transact": func(t *rapid.T) {
					transaction := store.Transaction{
						Conditions: rapid.SliceOfN(genCondition, 0, 3).Draw(t, "conditions"),
						Writes:     rapid.SliceOfN(genWrite, 0, 4).Draw(t, "writes"),
					}
					result, err := s.Transact(ctx, transaction)
					require.NoError(t, err)
					require.Equal(t, model.conditionsMet(transaction.Conditions), result.Committed)
					if !result.Committed {
						var conditions []string
						for _, c := range transaction.Conditions {
							conditions = append(conditions, c.Name)
						}
						requireRows(t, model.read(conditions), result.Rows)
						return
					}
					require.Len(t, result.Rows, len(transaction.Writes))
					for i, w := range transaction.Writes {
						model.write(t, w, result.Rows[i])
					}
				},
				"scan": func(t *rapid.T) {
					prefix := rapid.SampledFrom([]string{"", "a", "a/", "b/", "c"}).Draw(t, "prefix")
					after, limit := genName.Draw(t, "after"), rapid.IntRange(-1, 7).Draw(t, "limit")
					rows, err := s.Scan(ctx, prefix, after, limit)
					require.NoError(t, err)
					requireRows(t, model.scan(prefix, after, limit), rows)
				},
				"": func(t *rapid.T) {
					rows, err := s.Read(ctx, names)
					require.NoError(t, err)
					requireRows(t, model.read(names), rows)
				},
			})
		})
	})
}
