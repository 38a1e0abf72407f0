package bluebellhold

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a shutdown that waits for a caller which sends its next request at once, up to the end of its time, and then
// cuts one off.
func TestShutdownEndsBusyConnections(t *testing.T) {
	s, err := newServer(serverConfig{
		address: "127.0.0.1:0", maxHeader: 1 << 16,
		handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(30 * time.Millisecond)
			_, _ = io.WriteString(w, "answer")
		}),
	})
	require.NoError(t, err)
	var goroutines sync.WaitGroup
	s.start(&goroutines)
	var callers sync.WaitGroup
	errs := make(chan error, 64)
	started := make(chan struct{})
	callers.Go(func() {
		client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
		for n := 0; ; n++ {
			response, err := client.Get("http://" + s.address())
			if err != nil {
				errs <- err
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if n == 2 {
				close(started)
			}
		}
	})
	<-started
	// A request is in flight.
	time.Sleep(10 * time.Millisecond)
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	s.shutdown(ctx)
	took := time.Since(start)
	callers.Wait()
	goroutines.Wait()
	t.Log(took, <-errs)
	require.Less(t, took, time.Second)
}
