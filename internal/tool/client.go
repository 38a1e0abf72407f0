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
	// rounds is how often the list of instances is tried, since a lost answer is resolved by asking again.
	rounds = 2
	// pause between rounds is the interval at which instances poll the head of the configuration.
	pause = 500 * time.Millisecond
	// maxAnswer bounds what is read from an instance; a configuration with 310,000 IPv4 blocks has 7.5 MB.
	maxAnswer = 64 << 20
)

// client calls the operators' API of the first instance that answers.
type client struct {
	addresses []string
	scheme    string
	token     string
	http      *http.Client
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
		if transport.TLSClientConfig, err = tlsConfig(file); err != nil {
			return nil, err
		}
	}
	c.http = &http.Client{
		Transport: transport,
		Timeout:   cmd.Duration("timeout"),
		// The token must not follow a redirect to another host.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return c, nil
}

func tlsConfig(file string) (*tls.Config, error) {
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(body) {
		return nil, &FileError{File: file}
	}
	return &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12}, nil
}

// call sends a request that may be repeated to one instance after the other until one gives a final answer.
//
// An instance that is unavailable or does not answer in time is passed over. Once an instance may have carried the
// request out, only success or a conflict settles the outcome: another refusal, such as that of an instance with
// another token, says nothing about the first instance.
func (c *client) call(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	var failure error
	for round := range rounds {
		if round > 0 && !wait(ctx, pause) {
			return nil, failure
		}
		for _, address := range c.addresses {
			answer, err := c.once(ctx, address, method, path, query, body)
			if err == nil {
				return answer, nil
			}
			if settles(err) || (final(err) && !unknown(failure)) {
				return nil, err
			}
			if !unknown(failure) {
				failure = err
			}
		}
	}
	return nil, failure
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// final reports whether another instance would not answer differently.
func final(err error) bool {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Status < http.StatusInternalServerError
	}
	var answer *ResponseError
	return !errors.As(err, &answer)
}

// settles reports whether the error proves that the request did not take effect at any instance.
func settles(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Code == "conflict"
}

// unknown reports whether the request may have taken effect.
func unknown(err error) bool {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Outcome != operator.NotRun
	}
	var answer *ResponseError
	return errors.As(err, &answer) && answer.Sent
}

func (c *client) once(ctx context.Context, address, method, path string, query url.Values, body []byte) ([]byte, error) {
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }})
	target := url.URL{Scheme: c.scheme, Host: address, Path: path, RawQuery: query.Encode()}
	r, err := http.NewRequestWithContext(ctx, method, target.String(), bytes.NewReader(body))
	if err != nil {
		return nil, &UsageError{Text: "--operator " + address + " is not an address such as 10.1.2.3:8003"}
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(r)
	if err != nil {
		return nil, &ResponseError{Address: address, Sent: sent.Load(), Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, &ResponseError{Address: address, Sent: sent.Load(), Cause: err}
	}
	if response.StatusCode == http.StatusOK && json.Valid(answer) {
		return answer, nil
	}
	refused := &RefusedError{Address: address, Status: response.StatusCode}
	if json.Unmarshal(answer, &refused.Refusal) != nil || refused.Code == "" {
		return nil, &ResponseError{Address: address, Sent: true}
	}
	return nil, refused
}
