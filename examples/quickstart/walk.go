package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"bluebellhold/id"
	"bluebellhold/internal/standin"
)

// walker acts as the operator and as a caller.
type walker struct {
	server  *standin.Server
	members []instance
}

// answer is what an HTTP call returned.
type answer struct {
	status int
	body   string
}

// statusError reports an answer with another status than the wanted one.
type statusError struct {
	step   string
	wanted int
	got    answer
}

func (e *statusError) Error() string {
	return fmt.Sprintf("quickstart: %s: got status %d instead of %d: %s", e.step, e.got.status, e.wanted, e.got.body)
}

// walk shows the main job step by step.
func walk(w *walker) error {
	for _, step := range []func() error{w.apply, w.lookup, w.request, w.draw, w.drain, w.withdraw} {
		if err := step(); err != nil {
			return err
		}
	}
	fmt.Println("done")
	return nil
}

func (w *walker) apply() error {
	body, err := json.Marshal(w.firstNote())
	if err != nil {
		return err
	}
	return w.note("apply the release note", body)
}

// firstNote adds an organisation with its key, and two services whose upstreams the stand-in runs.
func (w *walker) firstNote() any {
	upstreams := make(map[id.Service]map[id.Upstream]any)
	for _, u := range w.server.Upstreams() {
		if upstreams[u.Service] == nil {
			upstreams[u.Service] = make(map[id.Upstream]any)
		}
		upstreams[u.Service][u.Name] = map[string]any{
			"region": u.Region, "datacentre": u.DataCentre, "address": u.Address, "slots": u.Slots,
		}
	}
	return map[string]any{"id": "first", "add": map[string]any{
		"organisations": map[string]any{"school": map[string]any{"rate": 50, "burst": 20}},
		"keys": map[string]any{
			"school-1": map[string]any{"organisation": "school", "digest": id.DigestOf([]byte(callerKey)).String()},
		},
		"services": map[string]any{
			"pregled": map[string]any{
				"routes":    []any{map[string]any{"path": "/draws", "repeat": true}},
				"upstreams": upstreams["pregled"],
			},
			"zrebalnik": map[string]any{
				"routes":    []any{map[string]any{"path": "/draws", "methods": []string{"POST"}}},
				"upstreams": upstreams["zrebalnik"],
			},
		},
	}}
}

func (w *walker) lookup() error {
	return w.expect("look up instances for pregled", http.StatusOK, func() (answer, error) {
		return w.asCaller(0, http.MethodGet, "/lookup/pregled", "")
	})
}

func (w *walker) request() error {
	return w.expect("check a draw", http.StatusOK, func() (answer, error) {
		return w.asCaller(0, http.MethodGet, "/service/pregled/draws/7", "")
	})
}

// draw runs a draw twice with the same idempotency key at two instances; the upstream must see it once.
func (w *walker) draw() error {
	for i := range 2 {
		err := w.expect(fmt.Sprintf("run a draw, try %d", i+1), http.StatusOK, func() (answer, error) {
			return w.asCaller(i, http.MethodPost, "/service/zrebalnik/draws", "draw-2026")
		})
		if err != nil {
			return err
		}
	}
	fmt.Printf("  the upstreams ran it %d time(s)\n", w.server.Counts().RunsByKey["draw-2026"])
	return nil
}

func (w *walker) drain() error {
	err := w.note("drain pregled-osrednja", []byte(
		`{"id":"drain","add":{"drains":{"pregled-osrednja":{"service":"pregled"}}}}`))
	if err != nil {
		return err
	}
	return w.expect("check a draw during the drain", http.StatusOK, func() (answer, error) {
		return w.asCaller(0, http.MethodGet, "/service/pregled/draws/7", "")
	})
}

func (w *walker) withdraw() error {
	if err := w.note("withdraw the key", []byte(`{"id":"withdraw","withdraw":{"keys":["school-1"]}}`)); err != nil {
		return err
	}
	for i := range w.members {
		err := w.expect("use the withdrawn key at "+string(w.members[i].Instance), http.StatusUnauthorized,
			func() (answer, error) { return w.asCaller(i, http.MethodGet, "/service/pregled/draws/7", "") })
		if err != nil {
			return err
		}
	}
	return nil
}

// note sends a release note to the first instance as an operator.
func (w *walker) note(step string, body []byte) error {
	return w.expect(step, http.StatusOK, func() (answer, error) {
		return call(http.MethodPost, "http://"+w.members[0].operator+"/notes", body, "Bearer "+token, "")
	})
}

func (w *walker) asCaller(i int, method, path, idempotency string) (answer, error) {
	return call(method, "http://"+w.members[i].Caller+path, nil, "Bearer "+callerKey, idempotency)
}

// expect repeats a call until it gives the status, and prints what came back.
func (w *walker) expect(step string, status int, do func() (answer, error)) error {
	var got answer
	err := waitFor(func() error {
		var err error
		got, err = do()
		if err == nil && got.status != status {
			err = &statusError{step: step, wanted: status, got: got}
		}
		return err
	})
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d %s\n", step, got.status, shorten(got.body))
	return nil
}

func shorten(body string) string {
	const most = 110
	body = strings.TrimSpace(body)
	if len(body) > most {
		return body[:most] + "..."
	}
	return body
}

func call(method, url string, body []byte, authorization, idempotency string) (answer, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Authorization", authorization)
	if idempotency != "" {
		request.Header.Set("Idempotency-Key", idempotency)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(text)}, err
}
