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

// fakeFleet accepts each note once, like instances that share one table.
type fakeFleet struct {
	mu          sync.Mutex
	epochByNote map[id.Note]id.Epoch
	fleetState
}

type fleetState struct {
	configuration note.Configuration
	stopCalls     int
	requestBodies string
}

func (f *fakeFleet) snapshot() fleetState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fleetState
}

func (f *fakeFleet) Propose(_ context.Context, n note.Note) (operator.Acceptance, error) {
	if epoch, ok := f.epochByNote[n.ID]; ok {
		return operator.Acceptance{Epoch: epoch}, nil
	}
	next, err := note.Apply(f.configuration, n)
	if err != nil {
		return operator.Acceptance{}, err
	}
	f.configuration = next
	f.epochByNote[n.ID] = next.Epoch
	return operator.Acceptance{Epoch: next.Epoch}, nil
}

func (f *fakeFleet) Plan(_ context.Context, n note.Note) (note.Changes, error) {
	return note.Plan(f.configuration, n, note.LoadReport{})
}

func (f *fakeFleet) History(context.Context) ([]operator.Release, error) {
	return []operator.Release{{Epoch: f.configuration.Epoch, Note: f.configuration.Note}}, nil
}

func (f *fakeFleet) Status(context.Context) (operator.Status, error) {
	return operator.Status{Instance: "osrednja-1", Instances: []operator.Instance{{Instance: "primorska-1", Status: operator.Suspect}}}, nil
}

func (f *fakeFleet) Dump(context.Context) (json.RawMessage, error) {
	return json.RawMessage(`{"state":1}`), nil
}

func (f *fakeFleet) Configuration(context.Context) (note.Configuration, error) {
	return f.configuration, nil
}

func (f *fakeFleet) Lookup(_ context.Context, s id.Service, _ id.Organisation, a netip.Addr) (any, error) {
	return []string{string(s), a.String()}, nil
}

func (f *fakeFleet) Stop(context.Context) error {
	f.stopCalls++
	return nil
}

const token = "the-operators-token"

// serve starts an instance; if dropResponses is true, it executes each request and closes the connection without a
// response.
func (f *fakeFleet) serve(t *testing.T, dropResponses bool) string {
	handler := operator.New(operator.Config{Backend: f, Token: settings.NewSecret([]byte(token))})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.mu.Lock()
		defer f.mu.Unlock()
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		f.requestBodies += string(body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		if dropResponses {
			handler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{epochByNote: make(map[id.Note]id.Epoch)}
}

func writeFile(t *testing.T, name, body string) string {
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(body), 0o600))
	return path
}

func runTool(t *testing.T, addresses []string, args ...string) (int, string, string) {
	allArgs := append([]string{"bluebellhold"}, args...)
	for _, a := range addresses {
		allArgs = append(allArgs, "--operator", a)
	}
	if addresses != nil {
		allArgs = append(allArgs, "--token", writeFile(t, "token", token+"\n"))
	}
	var stdout, stderr bytes.Buffer
	status := tool.Run(context.Background(), tool.Config{Args: allArgs, Stdin: strings.NewReader(baseNote), Stdout: &stdout, Stderr: &stderr})
	require.NotContains(t, stdout.String()+stderr.String(), token)
	return status, stdout.String(), stderr.String()
}

const baseNote = `{"add":{"organisations":{"sola":{"rate":5,"burst":10}},"services":{"pregled":{"routes":[{"path":"/"}],"upstreams":{
 "p1":{"region":"west","datacentre":"w1","address":"127.0.0.1:81","slots":6},
 "p2":{"region":"east","datacentre":"e1","address":"127.0.0.1:82","slots":6}}}}}}`

// refusingAddress returns an address that refuses connections.
func refusingAddress() string {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	return server.Listener.Addr().String()
}

// Guards against a note that takes effect twice after a lost response, and against a failure while one instance can
// respond.
func TestLostResponseIsResolvedByNextInstance(t *testing.T) {
	f := newFakeFleet()
	addresses := []string{refusingAddress(), f.serve(t, true), f.serve(t, false)}
	status, stdout, stderr := runTool(t, addresses, "apply", "-", "--id", "first")
	require.Equal(t, 0, status, stderr)
	require.Equal(t, "Note first is accepted as epoch 1.\n", stdout)
	require.EqualValues(t, 1, f.snapshot().configuration.Epoch)

	lossyFleet := newFakeFleet()
	status, _, stderr = runTool(t, []string{lossyFleet.serve(t, true)}, "apply", "-", "--id", "first")
	require.Equal(t, 1, status)
	require.Contains(t, stderr, "whether note first was accepted is unknown; send the same file again with --id first")
	require.EqualValues(t, 1, lossyFleet.snapshot().configuration.Epoch, "the note was sent again with the same id")

	status, _, stderr = runTool(t, []string{refusingAddress()}, "apply", "-")
	require.Equal(t, 1, status)
	require.NotContains(t, stderr, "unknown", "a connection that was refused carried nothing")
}

// Guards against a secret that appears anywhere but in the output of "key issue".
func TestKeyIssueSendsOnlyTheDigest(t *testing.T) {
	f := newFakeFleet()
	addresses := []string{f.serve(t, false)}
	status, _, stderr := runTool(t, addresses, "apply", "-")
	require.Equal(t, 0, status, stderr)
	status, stdout, stderr := runTool(t, addresses, "key", "issue", "sola", "--name", "k1", "--json")
	require.Equal(t, 0, status, stderr)
	var issued struct{ Key, Secret string }
	require.NoError(t, json.Unmarshal([]byte(stdout), &issued))
	require.Equal(t, id.DigestOf([]byte(issued.Secret)), f.snapshot().configuration.Keys["k1"].Digest)
	require.NotContains(t, f.snapshot().requestBodies+stderr, issued.Secret)
	_, stdout, _ = runTool(t, addresses, "key", "issue", "sola", "--name", "k2")
	require.Contains(t, stdout, "bbh_")

	status, stdout, stderr = runTool(t, addresses, "key", "withdraw", "k1")
	require.Equal(t, 0, status, stderr)
	require.NotContains(t, stdout, "bbh_")
	require.Len(t, f.snapshot().configuration.Keys, 1)

	status, stdout, stderr = runTool(t, []string{f.serve(t, true)}, "key", "issue", "sola", "--name", "k3")
	require.Equal(t, 1, status)
	require.NotContains(t, stdout+stderr, "bbh_", "a secret whose key may not exist must not be shown")
	require.Contains(t, stderr, "withdraw the key k3")
}

// Guards against commands that make other changes than documented, and against unreadable output.
func TestCommands(t *testing.T) {
	f := newFakeFleet()
	addresses := []string{f.serve(t, false)}
	addShift := []string{"shift", "add", "winter", "--service", "pregled", "--from", "west", "--to", "east", "--rate", "4", "--percent"}
	for _, c := range []struct {
		args   []string
		status int
		want   string
	}{
		{[]string{"plan", "-"}, 0, `add   upstreams.pregled.p1`},
		{[]string{"apply", "-", "--json"}, 0, `"epoch": 1`},
		{append(addShift, "140"), 1, "add.shifts.winter.percent: is 140, allowed is 0 to 100"},
		{append(addShift, "20"), 0, "epoch 2"},
		{[]string{"shift", "add"}, 2, "Required flags"},
		{append(addShift, "20"), 1, "invalid (not run)\n  add.shifts.winter: is \"winter\", which exists"},
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
		{[]string{"check", "note", writeFile(t, "n", `{"id":"a","colour":1}`)}, 1, "the note is not valid\n  colour: is an unknown field"},
		{[]string{"check", "settings", writeFile(t, "s", `{"name":"a"}`)}, 1, "is not valid\n  caller: is missing"},
	} {
		status, stdout, stderr := runTool(t, addresses, c.args...)
		require.Equal(t, c.status, status, "%v: %s%s", c.args, stdout, stderr)
		require.Contains(t, stdout+stderr, c.want, c.args)
	}
	require.Equal(t, 1, f.snapshot().stopCalls)
	status, _, stderr := runTool(t, nil, "status")
	require.Equal(t, 2, status)
	require.Contains(t, stderr, "--operator is needed")
}
