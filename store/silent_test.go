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
