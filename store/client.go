package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/silence"
	"bluebellhold/internal/tcp"
)

// Defaults for the fields of a ClientConfig.
//
// The timeout is less than half of the 6 s lease term, so that a failed renewal can be retried once within the term.
const (
	DefaultTimeout              = 2 * time.Second
	DefaultMaxBodySize id.Bytes = 16 << 20
	maxIdleConns                = 16
	// transferFactor is how many times the timeout the transfer of a large object may take: 16 MiB at 10 Mbit/s.
	transferFactor  = 8
	idleConnTimeout = 90 * time.Second
)

// InstanceHeader is the HTTP header that identifies the instance that calls the platform.
const InstanceHeader = "Instance"

// ClientConfig configures a Client.
//
// Address is the base URL of the platform; without a scheme it defaults to HTTP. Timeout bounds the time without progress in
// each call, in addition to the context's deadline; a call takes transferFactor times as long at most. MaxBodySize bounds the body of a response.
type ClientConfig struct {
	Address     string
	Instance    id.Instance
	Timeout     time.Duration
	MaxBodySize id.Bytes
	HTTPClient  *http.Client
	// OnOddEntry is called for each entry of the directory that can't be used; nil does nothing.
	OnOddEntry func(err error)
}

// Client implements Table, Objects and Directory over HTTP with JSON.
//
// It never retries a write. A call that timed out may still reach the platform later. A caller that reads the rows
// again and does not find its write must therefore use the versions that it read as conditions of its next
// transaction.
type Client struct {
	config ClientConfig
}

// NewClient returns a client that connects on its first call.
func NewClient(config ClientConfig) *Client {
	if !strings.Contains(config.Address, "://") {
		config.Address = "http://" + config.Address
	}
	config.Address = strings.TrimSuffix(config.Address, "/")
	if config.Timeout <= 0 {
		config.Timeout = DefaultTimeout
	}
	if config.MaxBodySize <= 0 {
		config.MaxBodySize = DefaultMaxBodySize
	}
	if config.OnOddEntry == nil {
		config.OnOddEntry = func(error) {}
	}
	if config.HTTPClient == nil {
		config.HTTPClient = newHTTPClient()
	}
	return &Client{config: config}
}

// newHTTPClient returns a client that uses no proxy and follows no redirects, so that requests only go to the
// configured address.
func newHTTPClient() *http.Client {
	dialer := net.Dialer{Control: tcp.ResetOnClose}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections; calls in flight continue.
func (c *Client) Close() {
	c.config.HTTPClient.CloseIdleConnections()
}

// Transact applies t atomically; after an UnavailableError it is unknown whether t was committed.
func (c *Client) Transact(ctx context.Context, t Transaction) (Result, error) {
	var result Result
	err := c.post(ctx, "/table/transact", t, &result)
	if err == nil {
		err = checkResult(t, result)
	}
	if err != nil {
		return Result{}, &UnavailableError{Operation: "transact", OutcomeUnknown: true, Cause: err}
	}
	return result, nil
}

// Read returns one row for each name, in order.
func (c *Client) Read(ctx context.Context, names []string) ([]Row, error) {
	var response struct {
		Rows []Row `json:"rows"`
	}
	err := c.post(ctx, "/table/read", struct {
		Names []string `json:"names"`
	}{names}, &response)
	if err == nil {
		err = checkRowNames(names, response.Rows)
	}
	if err != nil {
		return nil, &UnavailableError{Operation: "read", Cause: err}
	}
	return response.Rows, nil
}

// Scan returns up to limit rows whose names start with prefix and sort after the name after, ordered by name.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	var response struct {
		Rows []Row `json:"rows"`
	}
	err := c.post(ctx, "/table/scan", struct {
		Prefix string `json:"prefix"`
		After  string `json:"after"`
		Limit  int    `json:"limit"`
	}{prefix, after, limit}, &response)
	if err == nil {
		err = checkScan(prefix, after, limit, response.Rows)
	}
	if err != nil {
		return nil, &UnavailableError{Operation: "scan", Cause: err}
	}
	return response.Rows, nil
}

// Put stores body under name; after an UnavailableError it is unknown whether it was stored.
func (c *Client) Put(ctx context.Context, name string, body []byte) error {
	_, err := c.do(ctx, http.MethodPut, objectPath(name), body)
	if err != nil {
		return &UnavailableError{Operation: "put", OutcomeUnknown: true, Cause: err}
	}
	return nil
}

// Get returns the object or a NotFoundError.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	body, err := c.do(ctx, http.MethodGet, objectPath(name), nil)
	if err == nil {
		return body, nil
	}
	if isNotFound(err, name) {
		return nil, &NotFoundError{Name: name}
	}
	return nil, &UnavailableError{Operation: "get", Cause: err}
}

// Delete removes the object if it exists; after an UnavailableError it is unknown whether it was removed.
func (c *Client) Delete(ctx context.Context, name string) error {
	_, err := c.do(ctx, http.MethodDelete, objectPath(name), nil)
	if err != nil {
		return &UnavailableError{Operation: "delete", OutcomeUnknown: true, Cause: err}
	}
	return nil
}

// List returns the instances in the directory.
func (c *Client) List(ctx context.Context) ([]Member, error) {
	body, err := c.do(ctx, http.MethodGet, "/instances", nil)
	// Entries are decoded one by one, so that the others hold if one can't be read.
	var response struct {
		Instances []json.RawMessage `json:"instances"`
	}
	if err == nil {
		err = json.Unmarshal(body, &response)
	}
	if err != nil {
		return nil, &UnavailableError{Operation: "list", Cause: err}
	}
	members := make([]Member, 0, len(response.Instances))
	for _, entry := range response.Instances {
		m, err := decodeMember(entry)
		if err != nil {
			c.config.OnOddEntry(&EntryError{Instance: m.Instance, Cause: err})
			continue
		}
		members = append(members, m)
	}
	return members, nil
}

// objectPath escapes slashes as well, so that a name stays a single path segment.
func objectPath(name string) string {
	return "/objects/" + url.PathEscape(name)
}

// isNotFound reports whether err is a 404 for an absent object. A 404 for a path that the server does not serve has no
// body that names the object.
func isNotFound(err error, name string) bool {
	var statusErr *StatusError
	if !errors.As(err, &statusErr) || statusErr.Status != http.StatusNotFound {
		return false
	}
	var response struct {
		Missing string `json:"missing"`
	}
	return json.Unmarshal([]byte(statusErr.Body), &response) == nil && response.Missing == name
}

func (c *Client) post(ctx context.Context, path string, request, response any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	responseBody, err := c.do(ctx, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	return json.Unmarshal(responseBody, response)
}

// do sends one request and returns the body of a 200 response. It reads the body completely, because the connection is
// only reused then.
func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, transferFactor*c.config.Timeout)
	defer cancel()
	ctx, watch := silence.New(ctx, silence.Config{First: c.config.Timeout, Between: c.config.Timeout})
	defer watch.Stop()
	request, err := http.NewRequestWithContext(ctx, method, c.config.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if len(body) > 0 {
		// net/http calls GetBody to repeat a request that has found its idle connection closed.
		request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(watch.Reader(bytes.NewReader(body))), nil }
		request.Body, _ = request.GetBody()
	}
	if c.config.Instance != "" {
		request.Header.Set(InstanceHeader, string(c.config.Instance))
	}
	response, err := c.config.HTTPClient.Do(request)
	if err != nil {
		// Other connections may have fallen silent as well; the next call opens a new one.
		c.config.HTTPClient.CloseIdleConnections()
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(watch.Reader(response.Body), int64(c.config.MaxBodySize)+1))
	if err != nil {
		c.config.HTTPClient.CloseIdleConnections()
		return nil, err
	}
	if id.Bytes(len(responseBody)) > c.config.MaxBodySize {
		return nil, &ResponseTooLargeError{Limit: c.config.MaxBodySize}
	}
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{Status: response.StatusCode, Body: string(responseBody)}
	}
	return responseBody, nil
}
