package examples_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/settings"
	"bluebellhold/note"
)

type routeCase struct {
	service    id.Service
	method     string
	path       string
	idempotent bool
	class      note.Class
}

// Guards against example notes that do not parse, have other sizes than the example fleets, or mark a route such as that
// of draws or orders as idempotent, so that a request could run twice.
func TestNotes(t *testing.T) {
	for name, c := range map[string]struct {
		slots    map[id.Service]id.Slots
		requests []routeCase
	}{
		"zadruga": {
			map[id.Service]id.Slots{"pregled": 14 * 6, "zrebalnik": 12 * 4, "darila": 12 * 3},
			[]routeCase{
				{"pregled", "GET", "/draws/7", true, ""},
				{"pregled", "GET", "/albums/7", true, note.Bulk},
				{"zrebalnik", "POST", "/draws", false, ""},
				{"zrebalnik", "GET", "/draws/7", true, ""},
				{"darila", "POST", "/payments/7", false, ""},
			},
		},
		"cascadia": {
			map[id.Service]id.Slots{"catalogue": 18 * 6, "orderdesk": 12 * 5, "dealerdocs": 12 * 3},
			[]routeCase{
				{"catalogue", "GET", "/stock/7", true, ""},
				{"orderdesk", "POST", "/orders", false, ""},
				{"orderdesk", "POST", "/shipments", false, ""},
				{"dealerdocs", "GET", "/patterns/7", true, note.Bulk},
			},
		},
	} {
		body, err := os.ReadFile(filepath.Join(name, "note.json"))
		require.NoError(t, err)
		n, err := note.Parse(body)
		require.NoError(t, err)
		_, err = note.Plan(note.Configuration{}, n, note.LoadReport{})
		require.NoError(t, err)
		configuration, err := note.Apply(note.Configuration{}, n)
		require.NoError(t, err)
		require.Len(t, configuration.Organisations, 8)
		require.Len(t, configuration.Regions(), 3)
		require.Len(t, configuration.Sites, 6)
		require.Len(t, configuration.Links, 6)
		for _, l := range configuration.Links {
			require.EqualValues(t, 4_000_000_000/8, l.Rate)
		}
		compiled := note.Compile(configuration)
		for service, wantSlots := range c.slots {
			var slots id.Slots
			dataCentres := map[id.DataCentre]bool{}
			for _, u := range configuration.Services[service].Upstreams {
				slots += u.Slots
				dataCentres[u.DataCentre] = true
			}
			require.Equal(t, wantSlots, slots, service)
			require.Len(t, dataCentres, 6, service)
		}
		for _, r := range c.requests {
			route, ok := compiled.MatchRoute(r.service, r.method, r.path)
			require.True(t, ok, r)
			require.Equal(t, r.idempotent, route.Idempotent, r)
			require.Equal(t, r.class, route.Class, r)
			require.False(t, route.Public, r)
		}
	}
}

// Guards against a README with settings that the daemon rejects.
func TestSettings(t *testing.T) {
	for _, name := range []string{"zadruga", "cascadia"} {
		readme, err := os.ReadFile(filepath.Join(name, "README.md"))
		require.NoError(t, err)
		_, rest, found := strings.Cut(string(readme), "```json\n")
		require.True(t, found)
		body, _, found := strings.Cut(rest, "```")
		require.True(t, found)
		dir := t.TempDir()
		for file, content := range map[string]string{
			"settings.json": body, "peers.secret": strings.Repeat("s", 16), "operators.token": strings.Repeat("t", 16),
		} {
			require.NoError(t, os.WriteFile(filepath.Join(dir, file), []byte(content), 0o600))
		}
		s, err := settings.Load(filepath.Join(dir, "settings.json"))
		require.NoError(t, err)
		require.Equal(t, settings.DefaultMaxClaimedBody, s.Limits.MaxClaimedBody)
	}
}
