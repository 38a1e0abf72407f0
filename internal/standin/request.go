package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"bluebellhold/id"
)

// outcomeHeader tells the caller whether a failed request ran.
const outcomeHeader = "Outcome"

// Echo is the response body of an upstream: the request that it received and the number of the run among all runs with
// the same idempotency key. Digest and Size are those of the request body.
type Echo struct {
	Service   id.Service  `json:"service"`
	Upstream  id.Upstream `json:"upstream"`
	Region    id.Region   `json:"region"`
	Method    string      `json:"method"`
	Path      string      `json:"path"`
	Digest    string      `json:"digest"`
	Size      int64       `json:"size"`
	RunNumber int64       `json:"run"`
	Headers   http.Header `json:"headers"`
}

func (u *upstream) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/health" {
		writeJSON(w, http.StatusOK, struct{}{})
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == "/load" {
		u.serveLoad(w)
		return
	}
	options, err := parseTestOptions(r.Header)
	if err != nil {
		writeError(w, http.StatusBadRequest, "not run", err.Error())
		return
	}
	if !u.acquireSlot(r) {
		writeError(w, http.StatusServiceUnavailable, "not run", "all slots are busy")
		return
	}
	counter := &u.counts.Cancelled
	defer func() { u.releaseSlot(counter) }()
	echo, completed := u.runRequest(w, r, options)
	if !completed {
		return
	}
	counter = &u.counts.Completed
	u.respond(w, r, options, echo)
}

// runRequest simulates the work of a request. It returns false if the work was not completed; the error response is
// then written.
func (u *upstream) runRequest(w http.ResponseWriter, r *http.Request, options testOptions) (Echo, bool) {
	ctx := r.Context()
	if options.hasTimeout {
		timeoutCtx, cancel := context.WithTimeout(ctx, options.timeout)
		defer cancel()
		ctx = timeoutCtx
	}
	digest := sha256.New()
	size, err := io.Copy(digest, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil {
		writeError(w, http.StatusGatewayTimeout, "not run", "the deadline has passed")
		return Echo{}, false
	}
	runNumber, serviceTime := u.startRun(r.Header.Get("Idempotency-Key"))
	if options.crash {
		if sleep(ctx, options.extraTime) == nil {
			u.crash()
		}
		panic(http.ErrAbortHandler)
	}
	err = sleep(ctx, serviceTime+options.extraTime)
	if errors.Is(err, context.DeadlineExceeded) {
		writeError(w, http.StatusGatewayTimeout, "unknown", "the work was stopped at the deadline")
		return Echo{}, false
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return Echo{Digest: hex.EncodeToString(digest.Sum(nil)), Size: size, RunNumber: runNumber}, true
}

// sleep waits for the duration or until ctx is done, and then returns the error of ctx.
func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (u *upstream) respond(w http.ResponseWriter, r *http.Request, options testOptions, echo Echo) {
	echo.Service, echo.Upstream, echo.Region = u.config.Service, u.config.Name, u.config.Region
	echo.Method, echo.Path, echo.Headers = r.Method, r.URL.RequestURI(), r.Header
	body, err := json.Marshal(echo)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if options.responseSize >= 0 {
		// A body that repeats the digest of the request makes the response to another request detectable.
		w.Header().Set("Content-Type", "application/octet-stream")
		body = []byte(echo.Digest)
	} else {
		options.responseSize = len(body)
	}
	if options.breakAfter < 0 {
		w.Header().Set("Content-Length", strconv.Itoa(options.responseSize))
		writeRepeated(w, body, options.responseSize)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(max(options.responseSize, options.breakAfter+1)))
	writeRepeated(w, body, options.breakAfter)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// writeRepeated writes size bytes by repeating body.
func writeRepeated(w io.Writer, body []byte, size int) {
	const chunk = 32 << 10
	block := bytes.Repeat(body, 1+chunk/len(body))
	for size > 0 {
		n, err := w.Write(block[:min(size, len(block))])
		if err != nil {
			return
		}
		size -= n
	}
}

func writeError(w http.ResponseWriter, status int, outcome, reason string) {
	w.Header().Set(outcomeHeader, outcome)
	writeJSON(w, status, struct {
		Error string `json:"error"`
	}{reason})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
