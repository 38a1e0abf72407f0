package tool

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/urfave/cli/v3"

	"bluebellhold/internal/operator"
)

const (
	// maxRounds is the number of times the list of instances is tried, since a retry resolves a lost response.
	maxRounds = 2
	// roundDelay is the delay between rounds: the interval at which instances poll the head of the configuration.
	roundDelay = 500 * time.Millisecond
	// maxResponseBytes limits a response body; a configuration with 310,000 IPv4 blocks has 7.5 MB.
	maxResponseBytes = 64 << 20
)

// client calls the operators' API of the first instance that responds.
type client struct {
	addresses  []string
	scheme     string
	token      string
	httpClient *http.Client
}

func newClient(cmd *cli.Command) (*client, error) {
	c := &client{addresses: cmd.StringSlice("operator"), scheme: "http"}
	if len(c.addresses) == 0 {
		return nil, &UsageError{Text: "--operator is needed: the operators' address of an instance, such as 10.1.2.3:8003"}
	}
	for _, address := range c.addresses {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, &UsageError{Text: "--operator " + address + " is not an IP number and a port, such as 10.1.2.3:8003"}
		}
	}
	if cmd.String("token") == "" {
		return nil, &UsageError{Text: "--token is needed: the file with the operators' token"}
	}
	token, err := os.ReadFile(cmd.String("token"))
	if err != nil {
		return nil, &FileError{File: cmd.String("token"), Cause: err}
	}
	c.token = strings.TrimSpace(string(token))
	transport := &http.Transport{ResponseHeaderTimeout: cmd.Duration("timeout")}
	if file := cmd.String("ca"); file != "" {
		c.scheme = "https"
		if transport.TLSClientConfig, err = newTLSConfig(file); err != nil {
			return nil, err
		}
	}
	c.httpClient = &http.Client{
		Transport: transport,
		Timeout:   cmd.Duration("timeout"),
		// A redirect would send the token to another host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

func newTLSConfig(file string) (*tls.Config, error) {
	pemData, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pemData) {
		return nil, &FileError{File: file}
	}
	return &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}, nil
}

// call sends an idempotent request to one instance after the other until one gives a final response.
//
// An instance that is unavailable or times out is skipped. Once an instance may have executed the request, only success
// or a conflict determines the outcome: another refusal, such as that of an instance with another token, does not tell
// whether the first instance executed it.
func (c *client) call(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	var callErr error
	for round := range maxRounds {
		if round > 0 && !sleep(ctx, roundDelay) {
			return nil, callErr
		}
		for _, address := range c.addresses {
			responseBody, err := c.callInstance(ctx, address, method, path, query, body)
			if err == nil {
				return responseBody, nil
			}
			if isConflict(err) || (isFinal(err) && !isOutcomeUnknown(callErr)) {
				return nil, err
			}
			if !isOutcomeUnknown(callErr) {
				callErr = err
			}
		}
	}
	return nil, callErr
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// isFinal reports whether another instance would return the same error.
func isFinal(err error) bool {
	var refusal *RefusedError
	if errors.As(err, &refusal) {
		return refusal.Status < http.StatusInternalServerError
	}
	var responseErr *ResponseError
	return !errors.As(err, &responseErr)
}

// isConflict reports whether err is a conflict, which proves that the request did not take effect at any instance.
func isConflict(err error) bool {
	var refusal *RefusedError
	return errors.As(err, &refusal) && refusal.Code == "conflict"
}

// isOutcomeUnknown reports whether the request may have taken effect.
func isOutcomeUnknown(err error) bool {
	var refusal *RefusedError
	if errors.As(err, &refusal) {
		return refusal.Outcome != operator.OutcomeNotRun
	}
	var responseErr *ResponseError
	return errors.As(err, &responseErr) && responseErr.Sent
}

func (c *client) callInstance(ctx context.Context, address, method, path string, query url.Values, body []byte) ([]byte, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	requestURL := url.URL{Scheme: c.scheme, Host: address, Path: path, RawQuery: query.Encode()}
	request, err := http.NewRequestWithContext(ctx, method, requestURL.String(), bytes.NewReader(body))
	if err != nil {
		return nil, &UsageError{Text: "--operator " + address + " is not an address such as 10.1.2.3:8003"}
	}
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, &ResponseError{Address: address, Sent: connected.Load(), Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, &ResponseError{Address: address, Sent: connected.Load(), Cause: err}
	}
	if response.StatusCode == http.StatusOK && json.Valid(responseBody) {
		return responseBody, nil
	}
	refusal := &RefusedError{Address: address, Status: response.StatusCode}
	if json.Unmarshal(responseBody, &refusal.Refusal) != nil || refusal.Code == "" {
		return nil, &ResponseError{Address: address, Sent: true}
	}
	return nil, refusal
}
