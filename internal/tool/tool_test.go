package tool_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/operator"
	"bluebellhold/internal/settings"
	"bluebellhold/internal/tool"
	"bluebellhold/note"
)

// fleet accepts each note once, like the instances that share one table.
type fleet struct {
	m        sync.Mutex
	accepted map[id.Note]id.Epoch
	state
}

type state struct {
	configuration note.Configuration
	stopped       int
	bodies        string
}

func (f *fleet) now() state {
	f.m.Lock()
	defer f.m.Unlock()
	return f.state
}

func (f *fleet) Propose(_ context.Context, n note.Note) (operator.Acceptance, error) {
	if epoch, ok := f.accepted[n.ID]; ok {
		return operator.Acceptance{Epoch: epoch}, nil
	}
	next, err := note.Apply(f.configuration, n)
	if err != nil {
		return operator.Acceptance{}, err
	}
	f.configuration = next
	f.accepted[n.ID] = next.Epoch
	return operator.Acceptance{Epoch: next.Epoch}, nil
}

func (f *fleet) Plan(_ context.Context, n note.Note) (note.Changes, error) {
	return note.Plan(f.configuration, n, note.LoadReport{})
}

func (f *fleet) History(context.Context) ([]operator.Release, error) {
	return []operator.Release{{Epoch: f.configuration.Epoch, Note: f.configuration.Note}}, nil
}

func (f *fleet) Status(context.Context) (operator.Status, error) {
	return operator.Status{Instance: "osrednja-1", Instances: []operator.Instance{{Instance: "primorska-1", Status: operator.Suspect}}}, nil
}

func (f *fleet) Dump(context.Context) (json.RawMessage, error) {
	return json.RawMessage(`{"state":1}`), nil
}

func (f *fleet) Configuration(context.Context) (note.Configuration, error) {
	return f.configuration, nil
}

func (f *fleet) Lookup(_ context.Context, s id.Service, _ id.Organisation, a netip.Addr) (any, error) {
	return []string{string(s), a.String()}, nil
}

func (f *fleet) Stop(context.Context) error {
	f.stopped++
	return nil
}

const token = "the-operators-token"

// serve starts an instance; if lose is true, it carries requests out and cuts the connection before the answer.
func (f *fleet) serve(t *testing.T, lose bool) string {
	handler := operator.New(operator.Config{Backend: f, Token: settings.NewSecret([]byte(token))})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.m.Lock()
		defer f.m.Unlock()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		f.bodies += string(body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		if lose {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func newFleet() *fleet {
	return &fleet{accepted: make(map[id.Note]id.Epoch)}
}

func write(t *testing.T, name, body string) string {
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(body), 0o600))
	return path
}

func run(t *testing.T, addresses []string, args ...string) (int, string, string) {
	all := append([]string{"bluebellhold"}, args...)
	for _, a := range addresses {
		all = append(all, "--operator", a)
	}
	if addresses != nil {
		all = append(all, "--token", write(t, "token", token+"\n"))
	}
	var output, failures bytes.Buffer
	status := tool.Run(context.Background(), tool.Config{Args: all, Input: strings.NewReader(base), Output: &output, Errors: &failures})
	require.NotContains(t, output.String()+failures.String(), token)
	return status, output.String(), failures.String()
}

const base = `{"add":{"organisations":{"sola":{"rate":5,"burst":10}},"services":{"pregled":{"routes":[{"path":"/"}],"upstreams":{
 "p1":{"region":"west","datacentre":"w1","address":"127.0.0.1:81","slots":6},
 "p2":{"region":"east","datacentre":"e1","address":"127.0.0.1:82","slots":6}}}}}}`

// closed returns an address that refuses connections.
func closed() string {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	return server.Listener.Addr().String()
}

// Guards against a note that is carried out twice after a lost answer, and against giving up while an instance lives.
func TestLostAnswerIsResolvedByTheNextInstance(t *testing.T) {
	f := newFleet()
	addresses := []string{closed(), f.serve(t, true), f.serve(t, false)}
	status, output, failures := run(t, addresses, "apply", "-", "--id", "first")
	require.Equal(t, 0, status, failures)
	require.Equal(t, "Note first is accepted as epoch 1.\n", output)
	require.EqualValues(t, 1, f.now().configuration.Epoch)

	lossy := newFleet()
	status, _, failures = run(t, []string{lossy.serve(t, true)}, "apply", "-", "--id", "first")
	require.Equal(t, 1, status)
	require.Contains(t, failures, "whether note first was accepted is unknown; send the same file again with --id first")
	require.EqualValues(t, 1, lossy.now().configuration.Epoch, "the note was sent again with the same id")

	status, _, failures = run(t, []string{closed()}, "apply", "-")
	require.Equal(t, 1, status)
	require.NotContains(t, failures, "unknown", "a connection that was refused carried nothing")
}

// Guards against a secret that leaves the tool other than by the one output of "key issue".
func TestKeyIssueSendsOnlyTheDigest(t *testing.T) {
	f := newFleet()
	addresses := []string{f.serve(t, false)}
	status, _, failures := run(t, addresses, "apply", "-")
	require.Equal(t, 0, status, failures)
	status, output, failures := run(t, addresses, "key", "issue", "sola", "--name", "k1", "--json")
	require.Equal(t, 0, status, failures)
	var issued struct{ Key, Secret string }
	require.NoError(t, json.Unmarshal([]byte(output), &issued))
	require.Equal(t, id.DigestOf([]byte(issued.Secret)), f.now().configuration.Keys["k1"].Digest)
	require.NotContains(t, f.now().bodies+failures, issued.Secret)
	_, output, _ = run(t, addresses, "key", "issue", "sola", "--name", "k2")
	require.Contains(t, output, "bbh_")

	status, output, failures = run(t, addresses, "key", "withdraw", "k1")
	require.Equal(t, 0, status, failures)
	require.NotContains(t, output, "bbh_")
	require.Len(t, f.now().configuration.Keys, 1)

	status, output, failures = run(t, []string{f.serve(t, true)}, "key", "issue", "sola", "--name", "k3")
	require.Equal(t, 1, status)
	require.NotContains(t, output+failures, "bbh_", "a secret whose key may not exist must not be shown")
	require.Contains(t, failures, "withdraw the key k3")
}

// Guards against commands that change something other than what they say, and against unreadable output.
func TestCommands(t *testing.T) {
	f := newFleet()
	addresses := []string{f.serve(t, false)}
	shift := []string{"shift", "add", "winter", "--service", "pregled", "--from", "west", "--to", "east", "--rate", "4", "--percent"}
	for _, c := range []struct {
		args   []string
		status int
		text   string
	}{
		{[]string{"plan", "-"}, 0, `add   upstreams.pregled.p1`},
		{[]string{"apply", "-", "--json"}, 0, `"epoch": 1`},
		{append(shift, "140"), 1, "add.shifts.winter.percent: is 140, allowed is 0 to 100"},
		{append(shift, "20"), 0, "epoch 2"},
		{[]string{"shift", "add"}, 2, "Required flags"},
		{append(shift, "20"), 1, "invalid (not run)\n  add.shifts.winter: is \"winter\", which exists"},
		{[]string{"shift", "remove", "winter"}, 0, "epoch 3"},
		{[]string{"drain", "add", "p1", "--service", "pregled"}, 0, "epoch 4"},
		{[]string{"drain", "remove", "p1", "--id", "again"}, 0, "epoch 5"},
		{[]string{"drain", "remove", "p1", "--id", "again"}, 0, "epoch 5"},
		{[]string{"history"}, 0, "EPOCH  NOTE   TIME  DIGEST\n5      again  -"},
		{[]string{"status"}, 0, "primorska-1                       suspect  0"},
		{[]string{"status", "--json"}, 0, `"status": "suspect"`},
		{[]string{"dump"}, 0, `"state": 1`},
		{[]string{"lookup", "pregled", "10.0.0.1"}, 0, `"10.0.0.1"`},
		{[]string{"lookup", "pregld", "10.0.0.1"}, 1, `absent (not run): operator: service "pregld" does not exist`},
		{[]string{"status", "--operator", "instance:8003"}, 2, "--operator instance:8003 is not an IP number and a port"},
		{[]string{"lookup", "pregled", "host"}, 1, "address: is \"host\", allowed is an IP number"},
		{[]string{"stop"}, 0, "stops after its requests have ended"},
		{[]string{"stop", "--operator", "127.0.0.1:1"}, 2, "exactly one --operator"},
		{[]string{"apply", "a", "b"}, 2, "usage: bluebellhold apply FILE"},
		{[]string{"key", "nope"}, 2, "unknown command bluebellhold key nope"},
		{[]string{"status", "--colour"}, 2, "colour"},
		{[]string{"check", "note", "-"}, 0, "- is valid."},
		{[]string{"check", "note", write(t, "n", `{"id":"a","colour":1}`)}, 1, "the note is not valid\n  colour: is an unknown field"},
		{[]string{"check", "settings", write(t, "s", `{"name":"a"}`)}, 1, "is not valid\n  caller: is missing"},
	} {
		status, output, failures := run(t, addresses, c.args...)
		require.Equal(t, c.status, status, "%v: %s%s", c.args, output, failures)
		require.Contains(t, output+failures, c.text, c.args)
	}
	require.Equal(t, 1, f.now().stopped)
	status, _, failures := run(t, nil, "status")
	require.Equal(t, 2, status)
	require.Contains(t, failures, "--operator is needed")
}
