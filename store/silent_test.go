package store_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/store"
)

// Guards against an object that is never read over a slow link: the read was given up though the store kept sending.
func TestSlowObjectIsRead(t *testing.T) {
	const timeout, parts = 200 * time.Millisecond, 10
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range parts {
			_, _ = io.WriteString(w, "part")
			w.(http.Flusher).Flush()
			time.Sleep(2 * timeout / parts)
		}
	}))
	t.Cleanup(server.Close)
	client := store.NewClient(store.ClientConfig{Address: server.URL, Timeout: timeout})
	object, err := client.Get(context.Background(), "epoch-7")
	require.NoError(t, err)
	require.Len(t, object, parts*len("part"))
}

// Guards against a call that waits for ever on a store that falls silent after the first bytes of its response.
func TestObjectThatFallsSilentIsGivenUp(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "part")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	client := store.NewClient(store.ClientConfig{Address: server.URL, Timeout: 100 * time.Millisecond})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, err := client.Get(ctx, "epoch-7")
	require.Error(t, err)
	require.NoError(t, ctx.Err(), "not given up for its silence")
}

// connectionKey is the key of a connection's number in the context of its requests.
type connectionKey struct{}

// Guards against calls that fail one after the other on connections from before a silent outage.
func TestCallAfterASilentConnectionUsesANewOne(t *testing.T) {
	const connections = 4
	var accepted, silentUpTo atomic.Int64
	var primed sync.WaitGroup
	primed.Add(connections)
	var memory store.Memory
	handler := store.NewHandler(store.HandlerConfig{Table: &memory})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch silentUpTo := silentUpTo.Load(); {
		case silentUpTo == 0:
			primed.Done()
			primed.Wait()
		case r.Context().Value(connectionKey{}).(int64) <= silentUpTo:
			// The server notices that a connection has closed once the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		handler.ServeHTTP(w, r)
	}))
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, accepted.Add(1))
	}
	server.Start()
	t.Cleanup(server.Close)
	client := store.NewClient(store.ClientConfig{Address: server.URL, Timeout: 300 * time.Millisecond})
	read := func() error {
		_, err := client.Read(context.Background(), []string{"head"})
		return err
	}
	var calls sync.WaitGroup
	for range connections {
		calls.Go(func() { _ = read() })
	}
	calls.Wait()
	silentUpTo.Store(accepted.Load())
	require.Error(t, read())
	require.NoError(t, read())
}
