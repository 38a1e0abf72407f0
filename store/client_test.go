package store_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/store"
)

// lostResponses are the ways in which the response is lost after the write took effect.
var lostResponses = map[string]func(w http.ResponseWriter, r *http.Request, recorded *httptest.ResponseRecorder){
	"connection aborted": func(http.ResponseWriter, *http.Request, *httptest.ResponseRecorder) {
		panic(http.ErrAbortHandler)
	},
	"body cut": func(w http.ResponseWriter, _ *http.Request, recorded *httptest.ResponseRecorder) {
		w.Header().Set("Content-Length", strconv.Itoa(recorded.Body.Len()))
		_, _ = w.Write(recorded.Body.Bytes()[:recorded.Body.Len()/2])
	},
	"status 503": func(w http.ResponseWriter, _ *http.Request, _ *httptest.ResponseRecorder) {
		w.WriteHeader(http.StatusServiceUnavailable)
	},
	"too late": func(_ http.ResponseWriter, r *http.Request, _ *httptest.ResponseRecorder) {
		<-r.Context().Done()
	},
	"too large": func(w http.ResponseWriter, _ *http.Request, recorded *httptest.ResponseRecorder) {
		_, _ = w.Write(recorded.Body.Bytes())
		_, _ = w.Write(make([]byte, 4096))
	},
	"no rows": func(w http.ResponseWriter, _ *http.Request, _ *httptest.ResponseRecorder) {
		_, _ = w.Write([]byte(`{"committed":true,"rows":[]}`))
	},
}

// Guards against a lost response that is reported as a definite failure or as a success, and against a hidden retry.
func TestResponseLostAfterWrite(t *testing.T) {
	for name, lose := range lostResponses {
		t.Run(name, func(t *testing.T) {
			ctx := context.Background()
			var memory store.Memory
			var calls atomic.Int64
			handler := store.NewHandler(store.HandlerConfig{Table: &memory})
			client := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/table/transact" {
					handler.ServeHTTP(w, r)
					return
				}
				calls.Add(1)
				recorded := httptest.NewRecorder()
				handler.ServeHTTP(recorded, r)
				lose(w, r, recorded)
			}), store.ClientConfig{Timeout: 300 * time.Millisecond, MaxBodySize: 2048})
			_, err := client.Read(ctx, []string{"warm"})
			require.NoError(t, err)
			_, err = client.Transact(ctx, store.Transaction{Writes: []store.Write{{Name: "a", Value: []byte("mine")}}})
			var unavailable *store.UnavailableError
			require.ErrorAs(t, err, &unavailable)
			require.True(t, unavailable.OutcomeUnknown)
			require.ErrorContains(t, err, "effect unknown")
			require.Equal(t, int64(1), calls.Load())
			rows, err := client.Read(ctx, []string{"a"})
			require.NoError(t, err)
			require.Equal(t, "mine", string(rows[0].Value))
		})
	}
}

// Guards against errors of another type, which callers would not treat as an outage.
func TestAllCallsReturnUnavailableError(t *testing.T) {
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closedListener.Close())
	garbled := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"rows":[`)) })
	clients := map[string]*store.Client{
		"refused": store.NewClient(store.ClientConfig{Address: closedListener.Addr().String()}),
		"garbled": serve(t, garbled, store.ClientConfig{}),
		"address": store.NewClient(store.ClientConfig{Address: "http://bad host"}),
	}
	for name, client := range clients {
		ctx := context.Background()
		_, transactErr := client.Transact(ctx, store.Transaction{})
		_, readErr := client.Read(ctx, []string{"a"})
		_, scanErr := client.Scan(ctx, "", "", 1)
		_, listErr := client.List(ctx)
		errs := []error{transactErr, readErr, scanErr, listErr}
		if name != "garbled" { // Objects are opaque bytes, so any body is a valid response.
			_, getErr := client.Get(ctx, "a")
			errs = append(errs, getErr, client.Put(ctx, "a", nil), client.Delete(ctx, "a"))
		}
		for _, err := range errs {
			var unavailable *store.UnavailableError
			require.ErrorAs(t, err, &unavailable, name)
		}
	}
}

// Guards against an object that is truncated at the size limit and returned as if it were complete.
func TestObjectAboveLimit(t *testing.T) {
	client := serve(t, store.NewHandler(store.HandlerConfig{}), store.ClientConfig{MaxBodySize: 64})
	ctx := context.Background()
	var tooLarge *store.ResponseTooLargeError
	for size, name := range map[int]string{64: "fits", 65: "large"} {
		require.NoError(t, client.Put(ctx, name, make([]byte, size)))
	}
	body, err := client.Get(ctx, "fits")
	require.NoError(t, err)
	require.Len(t, body, 64)
	_, err = client.Get(ctx, "large")
	require.ErrorAs(t, err, &tooLarge)
}

// Guards against a call that outlives its context although the client's own timeout is longer.
func TestContextDeadline(t *testing.T) {
	client := serve(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
	}), store.ClientConfig{Timeout: time.Hour})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := client.List(ctx)
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against a new connection per call, each of which costs a round trip.
func TestConnectionReuse(t *testing.T) {
	var newConnections atomic.Int64
	server := httptest.NewUnstartedServer(store.NewHandler(store.HandlerConfig{}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			newConnections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := store.NewClient(store.ClientConfig{Address: server.URL})
	defer client.Close()
	ctx := context.Background()
	for range 10 {
		_, err := client.Read(ctx, []string{"a"})
		require.NoError(t, err)
		_, err = client.Get(ctx, "missing")
		require.Error(t, err)
		require.NoError(t, client.Put(ctx, "b", []byte("x")))
	}
	require.Equal(t, int64(1), newConnections.Load())
}
