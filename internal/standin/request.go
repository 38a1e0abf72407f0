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

// outcomeHeader tells the caller whether a request ran.
const outcomeHeader = "Outcome"

// Echo is the answer of an upstream: what it received, and how often it has run the idempotency key.
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
		reply(w, http.StatusOK, struct{}{})
		return
	}
	if r.Method == http.MethodGet && r.URL.Path == "/load" {
		u.load(w)
		return
	}
	m, err := readMarks(r.Header)
	if err != nil {
		refuse(w, http.StatusBadRequest, "not run", err.Error())
		return
	}
	if !u.acquire(r) {
		refuse(w, http.StatusServiceUnavailable, "not run", "all slots are busy")
		return
	}
	outcome := &u.counts.Cancelled
	defer func() { u.release(outcome) }()
	echo, finished := u.run(w, r, m)
	if !finished {
		return
	}
	outcome = &u.counts.Completed
	u.answer(w, r, m, echo)
}

// run does the work of a request and reports whether it was finished; if not, it has answered.
func (u *upstream) run(w http.ResponseWriter, r *http.Request, m marks) (Echo, bool) {
	ctx := r.Context()
	if m.timed {
		timed, cancel := context.WithTimeout(ctx, m.timeout)
		defer cancel()
		ctx = timed
	}
	digest := sha256.New()
	size, err := io.Copy(digest, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if ctx.Err() != nil {
		refuse(w, http.StatusGatewayTimeout, "not run", "the deadline has passed")
		return Echo{}, false
	}
	run, took := u.begin(r.Header.Get("Idempotency-Key"))
	if m.crash {
		if pause(ctx, m.slow) == nil {
			u.crash()
		}
		panic(http.ErrAbortHandler)
	}
	err = pause(ctx, took+m.slow)
	if errors.Is(err, context.DeadlineExceeded) {
		refuse(w, http.StatusGatewayTimeout, "unknown", "the work was stopped at the deadline")
		return Echo{}, false
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return Echo{Digest: hex.EncodeToString(digest.Sum(nil)), Size: size, RunNumber: run}, true
}

// pause waits until the work is done or the caller has gone.
func pause(ctx context.Context, work time.Duration) error {
	timer := time.NewTimer(work)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (u *upstream) answer(w http.ResponseWriter, r *http.Request, m marks, echo Echo) {
	echo.Service, echo.Upstream, echo.Region = u.config.Service, u.config.Name, u.config.Region
	echo.Method, echo.Path, echo.Headers = r.Method, r.URL.RequestURI(), r.Header
	body, err := json.Marshal(echo)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if m.size >= 0 {
		// The digest of the request fills the answer, so that an answer to another request is noticed.
		w.Header().Set("Content-Type", "application/octet-stream")
		body = []byte(echo.Digest)
	} else {
		m.size = len(body)
	}
	if m.breakAt < 0 {
		w.Header().Set("Content-Length", strconv.Itoa(m.size))
		fill(w, body, m.size)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(max(m.size, m.breakAt+1)))
	fill(w, body, m.breakAt)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// fill writes size bytes by repeating body.
func fill(w io.Writer, body []byte, size int) {
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

func refuse(w http.ResponseWriter, status int, outcome, reason string) {
	w.Header().Set(outcomeHeader, outcome)
	reply(w, status, struct {
		Error string `json:"error"`
	}{reason})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
