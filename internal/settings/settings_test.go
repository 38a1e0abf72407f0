package settings_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/settings"
)

const validSettings = `{"name":"osrednja-1","region":"osrednja","datacentre":"lj1",
 "caller":"127.0.0.1:8001","peer":"127.0.0.1:8002","operator":"127.0.0.1:8003",
 "platform":"http://127.0.0.1:9000","secret":"secret","token":"token","log":"warn","limits":{"queue":7}}`

func loadSettings(t *testing.T, body string) (settings.Settings, error) {
	return settings.Load(writeSettings(t, body))
}

// writeSettings writes the settings and the files that they name, and returns the path of the settings.
func writeSettings(t *testing.T, body string) string {
	dir := t.TempDir()
	for name, content := range map[string]string{
		"settings.json": body, "secret": "the-peers-own-secret\n", "token": "the-operators-token\n", "short": "x",
	} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600))
	}
	return filepath.Join(dir, "settings.json")
}

// Guards against missing defaults and against secrets in printed or logged settings.
func TestLoadSetsDefaultsAndRedactsSecrets(t *testing.T) {
	s, err := loadSettings(t, validSettings)
	require.NoError(t, err)
	require.Equal(t, settings.Limits{MaxClaimedBody: settings.DefaultMaxClaimedBody, MaxMemory: settings.DefaultMaxMemory, MaxHeader: settings.DefaultMaxHeader, QueueClassLimit: 7}, s.Limits)
	require.Equal(t, "the-peers-own-secret", string(s.PeerSecret.Bytes()))
	require.True(t, s.OperatorToken.Equal([]byte("the-operators-token")))
	require.False(t, s.OperatorToken.Equal(nil))
	require.False(t, settings.Secret{}.Equal(nil))
	for _, printed := range []any{s, &s, s.PeerSecret, []settings.Secret{s.PeerSecret}} {
		body, err := json.Marshal(printed)
		require.NoError(t, err)
		text := string(body) + fmt.Sprintf("%v %+v %#v %s %x %d %q", printed, printed, printed, printed, printed, printed, printed)
		require.NotContains(t, text, "peers-own")
		require.NotContains(t, text, fmt.Sprintf("%x", "peers-own"))
		require.NotContains(t, text, "112 101 101 114", "decimal bytes of the secret")
	}
}

// Guards against an invalid setting that is accepted, or reported with the path of another field.
func TestLoadReportsEveryInvalidField(t *testing.T) {
	for _, c := range []struct{ old, replacement, paths string }{
		{`"name":"osrednja-1"`, `"name":"a/b"`, "name"},
		{`"region":"osrednja",`, ``, "region"},
		{`127.0.0.1:8001`, `localhost:8001`, "caller"},
		{`127.0.0.1:8001`, `127.0.0.1:0`, "caller"},
		{`127.0.0.1:8002`, `127.0.0.1:8001`, "peer"},
		{`http://127.0.0.1:9000`, `ftp://127.0.0.1:9000`, "platform"},
		{`http://127.0.0.1:9000`, `http://platform:9000`, "platform"},
		{`"secret":"secret"`, `"secret":"none"`, "secret"},
		{`"token":"token"`, `"token":"short"`, "token"},
		{`"warn"`, `"loud"`, "log"},
		{`"queue":7`, `"queue":0,"body":-1,"memory":7,"colour":1`, "limits.body limits.colour limits.memory limits.queue"},
		{`"log"`, `"tls":{"caller":{"cert":"token","key":"token"},"peer":{"cert":"none"}},"log"`, "tls.caller tls.peer.ca tls.peer.cert tls.peer.key"},
		{`"log"`, `"testing":1,"log"`, "testing"},
		{`"log"`, `"Log":"x","log"`, "Log"},
		{`{"name"`, `"name"`, ""},
	} {
		body := strings.Replace(validSettings, c.old, c.replacement, 1)
		require.NotEqual(t, validSettings, body, c.old)
		path := writeSettings(t, body)
		require.Equal(t, c.paths, pathsOf(t, settings.Check(path)), c.replacement)
		// At a start, each of these fields is refused or reported as passed over.
		s, err := settings.Load(path)
		reported := strings.Fields(pathsOf(t, err))
		for _, f := range s.PassedOver {
			require.Contains(t, []string{"limits.colour", "Log"}, f.Path)
			reported = append(reported, f.Path)
		}
		slices.Sort(reported)
		require.Equal(t, c.paths, strings.Join(reported, " "), c.replacement)
	}
	require.NoError(t, settings.Check(writeSettings(t, validSettings)))
	require.ErrorAs(t, settings.Check(filepath.Join(t.TempDir(), "absent")), new(*settings.ReadError))
	_, err := settings.Load(filepath.Join(t.TempDir(), "absent"))
	var readErr *settings.ReadError
	require.ErrorAs(t, err, &readErr)
}

// pathsOf returns the paths of the invalid fields, and an empty text if there is no error.
func pathsOf(t *testing.T, err error) string {
	if err == nil {
		return ""
	}
	var invalidErr *settings.InvalidError
	require.ErrorAs(t, err, &invalidErr)
	var paths []string
	for _, f := range invalidErr.Fields {
		require.NotEmpty(t, f.Value)
		require.NotEmpty(t, f.Allowed)
		paths = append(paths, f.Path)
	}
	return strings.Join(paths, " ")
}

// Guards against a build that does not start with the settings of the next one, and against one that passes over a field
// which may decide who is let in.
func TestLoadPassesOverFieldsOfAnotherRelease(t *testing.T) {
	s, err := loadSettings(t, strings.Replace(validSettings, `"log"`, `"new":{"a":[1]},"log"`, 1))
	require.NoError(t, err)
	require.Len(t, s.PassedOver, 1)
	require.Equal(t, "new", s.PassedOver[0].Path)
	require.Equal(t, 7, s.Limits.QueueClassLimit, "the rest is read")
	for _, field := range []string{`"tls":{"new":1},"log"`, `"tls":{"operator":{"cert":"token","key":"token","new":1}},"log"`} {
		_, err = loadSettings(t, strings.Replace(validSettings, `"log"`, field, 1))
		require.Regexp(t, `\btls(\.operator)?\.new$`, pathsOf(t, err), field)
	}
}
