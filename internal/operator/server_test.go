package operator_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/operator"
	"bluebellhold/internal/settings"
	"bluebellhold/note"
	"bluebellhold/store"
)

// stubBackend records every call, runs onCall and returns err.
type stubBackend struct {
	err    error
	onCall func()
	calls  []string
}

func (b *stubBackend) call(name string) error {
	b.calls = append(b.calls, name)
	if b.onCall != nil {
		b.onCall()
	}
	return b.err
}

func (b *stubBackend) Propose(_ context.Context, n note.Note) (operator.Acceptance, error) {
	return operator.Acceptance{Epoch: 7}, b.call("propose " + string(n.ID))
}

func (b *stubBackend) Plan(_ context.Context, n note.Note) (note.Changes, error) {
	return nil, b.call("plan " + string(n.ID))
}

func (b *stubBackend) History(context.Context) ([]operator.Release, error) {
	return []operator.Release{{Epoch: 7, Note: "n1"}}, b.call("history")
}

func (b *stubBackend) Status(context.Context) (operator.Status, error) {
	return operator.Status{Instance: "a-1", Instances: []operator.Instance{{Status: operator.Live}}}, b.call("status")
}

func (b *stubBackend) Dump(context.Context) (json.RawMessage, error) {
	return json.RawMessage(`{"state":1}`), b.call("dump")
}

func (b *stubBackend) Configuration(context.Context) (note.Configuration, error) {
	return note.Configuration{
		Epoch:         7,
		Organisations: map[id.Organisation]note.Organisation{"sola": {}},
		Keys:          map[id.Key]note.Key{"k1": {Organisation: "sola", Digest: id.DigestOf([]byte("x"))}},
		Services:      map[id.Service]note.Service{"pregled": {}},
	}, b.call("configuration")
}

func (b *stubBackend) Lookup(_ context.Context, s id.Service, o id.Organisation, a netip.Addr) (any, error) {
	return []string{string(s), string(o), a.String()}, b.call("lookup")
}

func (b *stubBackend) Stop(context.Context) error {
	return b.call("stop")
}

const token = "the-operators-token"

func send(t *testing.T, b operator.Backend, method, path, auth, body string) (*httptest.ResponseRecorder, operator.Refusal) {
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests", registry).Inc(3)
	h := operator.New(operator.Config{Backend: b, Token: settings.NewSecret([]byte(token)), Registry: registry, MaxBody: 4096})
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", auth)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	require.Equal(t, "application/json", w.Header().Get("Content-Type"))
	var refusal operator.Refusal
	if w.Code != http.StatusOK {
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &refusal), w.Body.String())
		require.NotEmpty(t, refusal.Code)
		require.NotEmpty(t, refusal.Outcome)
	}
	return w, refusal
}

// Guards against paths that call the wrong method of the backend or that are served without a valid token.
func TestPathsCallTheirBackendMethod(t *testing.T) {
	for _, c := range []struct{ method, path, call, wantBody string }{
		{"POST", "/notes", "propose n1", `{"epoch":7}`},
		{"POST", "/plan", "plan n1", `[]`},
		{"GET", "/history", "history", `"note":"n1"`},
		{"GET", "/status", "status", `"status":"live"`},
		{"GET", "/dump", "dump", `{"state":1}`},
		{"GET", "/configuration", "configuration", `"keys":{"k1":{"organisation":"sola"}}`},
		{"GET", "/lookup?service=pregled&organisation=sola&address=10.0.0.1", "configuration lookup", `["pregled","sola","10.0.0.1"]`},
		{"GET", "/lookup?service=pregled&address=::1", "configuration lookup", `["pregled","","::1"]`},
		{"GET", "/metrics", "", `{"requests":{"count":3}}`},
		{"POST", "/stop", "stop", `{}`},
	} {
		b := &stubBackend{}
		w, _ := send(t, b, c.method, c.path, "Bearer "+token, `{"id":"n1"}`)
		require.Equal(t, http.StatusOK, w.Code, c.path)
		require.Contains(t, w.Body.String(), c.wantBody)
		require.Equal(t, c.call, strings.Join(b.calls, " "))
		for _, auth := range []string{"", "Bearer", "Bearer ", "Bearer wrong", "Basic " + token, token, "Bearer " + token + " x"} {
			unauthorisedBackend := &stubBackend{}
			w, refusal := send(t, unauthorisedBackend, c.method, c.path, auth, `{"id":"n1"}`)
			require.Equal(t, http.StatusUnauthorized, w.Code, "%s with %q", c.path, auth)
			require.Equal(t, "unauthorised", refusal.Code)
			require.Empty(t, unauthorisedBackend.calls)
		}
	}
}

// Guards against refusals with a wrong status, code, outcome, retry delay or path, or without the epoch of a conflict.
func TestErrorsMapToRefusals(t *testing.T) {
	field := &note.FieldError{Path: "add.shifts.winter.percent", Value: "140", Allowed: "0 to 100"}
	for _, c := range []struct {
		err     error
		status  int
		code    string
		outcome operator.Outcome
		after   int64
		path    string
	}{
		{&note.InvalidError{Fields: []*note.FieldError{field}}, 400, "invalid", operator.OutcomeNotRun, 0, field.Path},
		{field, 400, "invalid", operator.OutcomeNotRun, 0, field.Path},
		{&note.InfeasibleError{Fields: []*note.FieldError{field}}, 422, "infeasible", operator.OutcomeNotRun, 0, field.Path},
		{&operator.ConflictError{Epoch: 9}, 409, "conflict", operator.OutcomeNotRun, 0, ""},
		{&operator.UnavailableError{Outcome: operator.OutcomeNotRun, RetryAfter: time.Second}, 503, "unavailable", operator.OutcomeNotRun, 1000, ""},
		{&operator.UnavailableError{}, 503, "unavailable", operator.OutcomeUnknown, 0, ""},
		{&store.UnavailableError{Operation: "transact"}, 503, "unavailable", operator.OutcomeUnknown, 500, ""},
		{&operator.NotFoundError{Kind: "service", Name: "x"}, 404, "absent", operator.OutcomeNotRun, 0, ""},
		{context.DeadlineExceeded, 504, "late", operator.OutcomeUnknown, 500, ""},
		{merry.Wrap(&operator.ConflictError{Epoch: 9}, merry.PrependMessage("instance")), 409, "conflict", operator.OutcomeNotRun, 0, ""},
		{errors.New("other"), 500, "internal", operator.OutcomeUnknown, 0, ""},
	} {
		w, refusal := send(t, &stubBackend{err: c.err}, "POST", "/notes", "Bearer "+token, `{"id":"n1"}`)
		require.Equal(t, c.status, w.Code, "%v", c.err)
		require.Equal(t, c.code, refusal.Code)
		require.Equal(t, c.outcome, refusal.Outcome)
		require.Equal(t, c.after, refusal.RetryAfterMillis)
		require.Equal(t, c.path, refusal.Path)
		require.Equal(t, c.code == "conflict", refusal.Epoch != nil)
	}
}

// Guards against bad requests that reach the backend, and against a panic that ends the process, truncates the response
// or discloses its details.
func TestBadRequestsAreRefused(t *testing.T) {
	for _, c := range []struct {
		method, path, body string
		status             int
		code               string
	}{
		{"POST", "/notes", `{"id":"n1","colour":1}`, 400, "invalid"},
		{"POST", "/plan", strings.Repeat(" ", 5000), 413, "large"},
		{"GET", "/lookup?service=pregled&address=x", "", 400, "invalid"},
		{"GET", "/lookup?service=&address=::1", "", 400, "invalid"},
		{"GET", "/notes", "", 405, "method"},
		{"GET", "/none", "", 404, "absent"},
	} {
		b := &stubBackend{}
		w, refusal := send(t, b, c.method, c.path, "Bearer "+token, c.body)
		require.Equal(t, c.status, w.Code, c.path)
		require.Equal(t, c.code, refusal.Code)
		require.Empty(t, b.calls)
	}
	for _, query := range []string{"service=pregld", "service=pregled&organisation=sol"} {
		b := &stubBackend{}
		w, refusal := send(t, b, "GET", "/lookup?address=::1&"+query, "Bearer "+token, "")
		require.Equal(t, http.StatusNotFound, w.Code, query)
		require.Equal(t, "absent", refusal.Code)
		require.NotContains(t, b.calls, "lookup", "a misspelt name must not be looked up")
	}
	w, refusal := send(t, &stubBackend{onCall: func() { panic("detail of the fault") }}, "GET", "/status", "Bearer "+token, "")
	require.Equal(t, 500, w.Code)
	require.Equal(t, operator.OutcomeUnknown, refusal.Outcome)
	require.NotContains(t, w.Body.String(), "detail")
}
