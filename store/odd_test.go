package store_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/store"
)

// serveBody returns a client of a platform that sends one body in reply to each call.
func serveBody(t *testing.T, config store.ClientConfig, body string) *store.Client {
	return serve(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }), config)
}

// Guards against one odd entry in the list of instances that makes each read of the list fail, so that the instances stop
// following it.
func TestOddEntryOfTheDirectoryLeavesTheOthers(t *testing.T) {
	digits := strings.Repeat("9", 400)
	const good = `{"instance":"a","region":"r","datacentre":"d","caller":"10.0.0.1:80","peer":"10.0.0.1:81"}`
	for name, odd := range map[string]string{
		"type":          `{"instance":7,"region":"r","caller":"10.0.0.2:80","peer":"10.0.0.2:81"}`,
		"leaving":       `{"instance":"odd","region":"r","leaving":` + digits + `,"caller":"10.0.0.2:80","peer":"10.0.0.2:81"}`,
		"nested":        `{"instance":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`,
		"port":          `{"instance":"odd","region":"r","caller":"10.0.0.2:65536","peer":"10.0.0.2:81"}`,
		"port 0":        `{"instance":"odd","region":"r","caller":"10.0.0.2:80","peer":"10.0.0.2:0"}`,
		"port digits":   `{"instance":"odd","region":"r","caller":"10.0.0.2:` + digits + `","peer":"10.0.0.2:81"}`,
		"no name":       `{"region":"r","caller":"10.0.0.2:80","peer":"10.0.0.2:81"}`,
		"no object":     `[]`,
		"null":          `null`,
		"number":        digits,
		"long and null": `{"instance":null,"region":"` + strings.Repeat("x", 1<<20) + `"}`,
	} {
		t.Run(name, func(t *testing.T) {
			var reported []error
			c := serveBody(t, store.ClientConfig{OnOddEntry: func(err error) { reported = append(reported, err) }},
				`{"instances":[`+good+","+odd+`,{"instance":"z","region":"r","datacentre":"d","caller":"10.0.0.3:80","peer":"10.0.0.3:81"}]}`)
			members, err := c.List(context.Background())
			require.NoError(t, err)
			var names []id.Instance
			for _, m := range members {
				names = append(names, m.Instance)
			}
			require.Equal(t, []id.Instance{"a", "z"}, names)
			require.Len(t, reported, 1)
			require.Less(t, len(reported[0].Error()), 512)
		})
	}
}

// Guards against a row whose value can't be decoded and that makes a read of other rows fail. It must not look like a row
// without a value.
func TestOddValueOfARowLeavesTheOthers(t *testing.T) {
	for name, odd := range map[string]string{"base64": `"%%%"`, "type": `{"a":1}`, "number": strings.Repeat("9", 400)} {
		t.Run(name, func(t *testing.T) {
			c := serveBody(t, store.ClientConfig{},
				`{"rows":[{"name":"a","version":1,"value":"QQ=="},{"name":"odd","version":2,"value":`+odd+`},{"name":"z","version":3,"value":"Wg=="}]}`)
			rows, err := c.Read(context.Background(), []string{"a", "odd", "z"})
			require.NoError(t, err)
			require.Equal(t, store.Row{Name: "a", Version: 1, Value: []byte("A")}, rows[0])
			require.Equal(t, store.Row{Name: "z", Version: 3, Value: []byte("Z")}, rows[2])
			require.Equal(t, uint64(2), rows[1].Version)
			require.NotEmpty(t, rows[1].Value)
			rows, err = c.Scan(context.Background(), "", "", 3)
			require.NoError(t, err)
			require.Len(t, rows, 3)
		})
	}
}
