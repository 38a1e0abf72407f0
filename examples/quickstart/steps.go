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

// demo sends requests to the fleet as an operator and as a caller.
type demo struct {
	server    *standin.Server
	instances []instance
}

// result is the response of an HTTP request.
type result struct {
	status int
	body   string
}

// statusError reports a response with an unexpected status.
type statusError struct {
	step string
	want int
	got  result
}

func (e *statusError) Error() string {
	return fmt.Sprintf("quickstart: %s: got status %d instead of %d: %s", e.step, e.got.status, e.want, e.got.body)
}

// runSteps runs the steps in order until one fails.
func runSteps(d *demo) error {
	for _, step := range []func() error{d.apply, d.lookup, d.request, d.draw, d.drain, d.withdraw} {
		if err := step(); err != nil {
			return err
		}
	}
	fmt.Println("done")
	return nil
}

func (d *demo) apply() error {
	body, err := json.Marshal(d.initialNote())
	if err != nil {
		return err
	}
	return d.applyNote("apply the release note", body)
}

// initialNote adds an organisation with its key, and two services whose upstreams the stand-in runs.
func (d *demo) initialNote() any {
	upstreams := make(map[id.Service]map[id.Upstream]any)
	for _, u := range d.server.Upstreams() {
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

func (d *demo) lookup() error {
	return d.expect("look up instances for pregled", http.StatusOK, func() (result, error) {
		return d.sendAsCaller(0, http.MethodGet, "/lookup/pregled", "")
	})
}

func (d *demo) request() error {
	return d.expect("check a draw", http.StatusOK, func() (result, error) {
		return d.sendAsCaller(0, http.MethodGet, "/service/pregled/draws/7", "")
	})
}

// draw sends a non-idempotent request with the same idempotency key to two instances; the upstreams must run it only
// once.
func (d *demo) draw() error {
	for i := range 2 {
		err := d.expect(fmt.Sprintf("run a draw, try %d", i+1), http.StatusOK, func() (result, error) {
			return d.sendAsCaller(i, http.MethodPost, "/service/zrebalnik/draws", "draw-2026")
		})
		if err != nil {
			return err
		}
	}
	fmt.Printf("  the upstreams ran it %d time(s)\n", d.server.Counts().RunsByKey["draw-2026"])
	return nil
}

func (d *demo) drain() error {
	err := d.applyNote("drain pregled-osrednja", []byte(
		`{"id":"drain","add":{"drains":{"pregled-osrednja":{"service":"pregled"}}}}`))
	if err != nil {
		return err
	}
	return d.expect("check a draw during the drain", http.StatusOK, func() (result, error) {
		return d.sendAsCaller(0, http.MethodGet, "/service/pregled/draws/7", "")
	})
}

func (d *demo) withdraw() error {
	if err := d.applyNote("withdraw the key", []byte(`{"id":"withdraw","withdraw":{"keys":["school-1"]}}`)); err != nil {
		return err
	}
	for i := range d.instances {
		err := d.expect("use the withdrawn key at "+string(d.instances[i].Instance), http.StatusUnauthorized,
			func() (result, error) { return d.sendAsCaller(i, http.MethodGet, "/service/pregled/draws/7", "") })
		if err != nil {
			return err
		}
	}
	return nil
}

// applyNote sends a release note to the first instance as an operator.
func (d *demo) applyNote(step string, body []byte) error {
	return d.expect(step, http.StatusOK, func() (result, error) {
		return send(http.MethodPost, "http://"+d.instances[0].operatorAddress+"/notes", body, "Bearer "+operatorToken, "")
	})
}

func (d *demo) sendAsCaller(i int, method, path, idempotencyKey string) (result, error) {
	return send(method, "http://"+d.instances[i].Caller+path, nil, "Bearer "+callerKey, idempotencyKey)
}

// expect repeats a call until its response has the wanted status, and prints the response.
func (d *demo) expect(step string, wantStatus int, call func() (result, error)) error {
	var got result
	err := retry(func() error {
		var err error
		got, err = call()
		if err == nil && got.status != wantStatus {
			err = &statusError{step: step, want: wantStatus, got: got}
		}
		return err
	})
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d %s\n", step, got.status, truncate(got.body))
	return nil
}

func truncate(body string) string {
	const maxLength = 110
	body = strings.TrimSpace(body)
	if len(body) > maxLength {
		return body[:maxLength] + "..."
	}
	return body
}

func send(method, url string, body []byte, authorization, idempotencyKey string) (result, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return result{}, err
	}
	request.Header.Set("Authorization", authorization)
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, body: string(text)}, err
}
