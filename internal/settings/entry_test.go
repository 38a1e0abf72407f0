package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/settings"
)

const validEntrySettings = `{"name":"front-1","region":"koper","datacentre":"koper-a","regions":{"koper-a":"koper"},
"callers":"10.1.0.8:8206","ready":"10.1.0.8:8201","lookup":"10.1.0.8:8209","metrics":"10.1.0.8:7600","peers":"10.1.0.8:7699",
"store":"10.200.1.7:8205","memory":284,"bounds":{"retries":{"ratio":0.2,"extra":56,"window":"10s"},
"rates":{"window":"5s","excess":0.1,"slack":20},"cold":{"excess":1.5,"slack":5},"drain":"2500ms",
"grace":"6s","ttl":"5s"}}`

func loadEntry(t *testing.T, text string) (settings.Entry, error) {
	return settings.LoadEntry(writeEntry(t, text))
}

func writeEntry(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadEntry(t *testing.T) {
	s, err := loadEntry(t, validEntrySettings)
	require.NoError(t, err)
	require.Equal(t, "info", s.LogLevel)
	require.Equal(t, settings.Duration(2500*time.Millisecond), s.Bounds.MaxDrainDelay)
	require.Equal(t, 56.0, s.Bounds.RetryBudget.Extra)
}

// Guards against terms of a newer platform that make the settings invalid.
func TestLoadEntryTakesFeaturesAndTerms(t *testing.T) {
	s, err := loadEntry(t, strings.Replace(validEntrySettings, `"memory"`, `"features":["even"],"terms":["base","new"],"memory"`, 1))
	require.NoError(t, err)
	require.Equal(t, []string{"even"}, s.Features)
	require.Equal(t, []string{"base", "new"}, s.Terms)
}

// Guards against invalid settings that are detected only when they are used, and against an error that does not name
// the field.
func TestLoadEntryReportsInvalidField(t *testing.T) {
	for original, replacement := range map[string]string{
		`"10.1.0.8:8206"`: `"host:8206"`, `"memory":284`: `"memory":1`, `"drain":"2500ms"`: `"drain":"0s"`,
		`"ratio":0.2`: `"ratio":-1`, `{"koper-a":"koper"}`: `{"koper-a":"other"}`, `"grace":"6s"`: `"grace":"6"`,
		`"ttl":"5s"`: `"ttl":"5s","unknown":1`, `"memory":284,`: `"memory":284,"features":["even","fair"],`,
	} {
		path := map[string]string{
			`"10.1.0.8:8206"`: "callers", `"memory":284`: "memory", `"drain":"2500ms"`: "bounds.drain",
			`"ratio":0.2`: "bounds.retries.ratio", `{"koper-a":"koper"}`: "regions", `"grace":"6s"`: "bounds.grace",
			`"ttl":"5s"`: "bounds.unknown", `"memory":284,`: "features",
		}[original]
		file := writeEntry(t, strings.Replace(validEntrySettings, original, replacement, 1))
		require.Equal(t, path, pathsOf(t, settings.CheckEntry(file)), replacement)
		// At a start, each of these fields is refused or reported as passed over.
		s, err := settings.LoadEntry(file)
		reported := pathsOf(t, err)
		if path == "bounds.unknown" || path == "features" {
			require.NoError(t, err)
			require.Len(t, s.PassedOver, 1)
			reported = s.PassedOver[0].Path
		}
		require.Equal(t, path, reported, replacement)
	}
	require.NoError(t, settings.CheckEntry(writeEntry(t, validEntrySettings)))
}
