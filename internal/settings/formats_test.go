package settings_test

import (
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/settings"
)

// releases are those whose settings are kept in testdata/formats, the oldest first: entry-RELEASE.json as its template
// yields them with the fields of the platform's example, and notes-RELEASE.json as its stand-in writes them for a fleet that
// is run by release notes.
var releases = []string{"e555cc4", "c4011e5", "b68f64d"}

func sampleOf(t *testing.T, name string) string {
	body, err := os.ReadFile("testdata/formats/" + name + ".json")
	require.NoError(t, err)
	return string(body)
}

// Guards against a build that does not start, or not with the same meaning, with the settings of an earlier one.
func TestSettingsOfEarlierReleasesAreRead(t *testing.T) {
	newest, err := settings.LoadEntry("testdata/formats/entry-" + releases[len(releases)-1] + ".json")
	require.NoError(t, err)
	for _, release := range releases {
		path := "testdata/formats/entry-" + release + ".json"
		require.NoError(t, settings.CheckEntry(path), release)
		s, err := settings.LoadEntry(path)
		require.NoError(t, err, release)
		require.Equal(t, release != "e555cc4", len(s.Terms) > 0)
		s.Terms = newest.Terms
		require.Equal(t, newest, s, release)

		path = writeSettings(t, sampleOf(t, "notes-"+release))
		require.NoError(t, settings.Check(path), release)
		notes, err := settings.Load(path)
		require.NoError(t, err, release)
		require.Contains(t, sampleOf(t, "notes-"+release), `"platform": "`+notes.PlatformURL+`"`)
		require.NotEmpty(t, notes.PeerSecret.Bytes())
	}
}

// Guards against a build that refuses the settings of the next one, as e555cc4 does: "terms: is an unknown field".
func TestSettingsOfTheNextReleaseAreRead(t *testing.T) {
	for _, release := range releases {
		entry := sampleOf(t, "entry-"+release)
		s, err := loadEntry(t, entry)
		require.NoError(t, err)
		extended := strings.NewReplacer(
			`"link"`, `"new":{"a":[1,{"b":"text"}]},"link"`, `"ratio"`, `"new":1,"ratio"`, `"drain": `, `"new":"1s","drain": `,
			`"log"`, `"features":["new","even"],"log"`,
		).Replace(entry)
		next, err := loadEntry(t, extended)
		require.NoError(t, err)
		var passedOver []string
		for _, f := range next.PassedOver {
			passedOver = append(passedOver, f.Path)
		}
		require.Equal(t, []string{"bounds.new", "bounds.retries.new", "features", "new"}, passedOver)
		require.Equal(t, "bounds.new bounds.retries.new features new", pathsOf(t, settings.CheckEntry(writeEntry(t, extended))))
		next.PassedOver, next.Features = nil, nil
		require.Equal(t, s, next, "the rest is read as without the unknown fields")
	}
}

// Guards against a template that changes without a sample of what it yields.
func TestNewestSampleHasTheFieldsOfTheTemplate(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.json")
	require.NoError(t, err)
	fields := func(text string) []string {
		names := regexp.MustCompile(`"([a-z]+)":`).FindAllString(text, -1)
		slices.Sort(names)
		return names
	}
	require.Equal(t, fields(string(template)), fields(sampleOf(t, "entry-"+releases[len(releases)-1])))
}
