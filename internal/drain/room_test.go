package drain_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/drain"
	"bluebellhold/internal/memory"
	"bluebellhold/internal/occupancy"
)

const (
	// roomDescriptors leave room for mostCallers connections.
	roomDescriptors = 32
	mostCallers     = 15
	refusal         = `{"code":"full"}`
)

// newCountedServer starts a server whose connections are counted, with memory of a size.
func newCountedServer(t *testing.T, limit id.Bytes, handler http.HandlerFunc) *server {
	clients := occupancy.New(occupancy.Config{
		Memory: memory.New(limit, metrics.NewRegistry()), Descriptors: roomDescriptors,
	})
	s := &server{T: t, Connections: drain.New(drain.Config{
		HeadTimeout: time.Minute, IdleTimeout: time.Minute, Clients: clients, Refusal: refusal,
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = l.Addr().String()
	server := &http.Server{Handler: handler, IdleTimeout: time.Minute}
	s.Attach(server)
	tracked := s.Listen(l)
	go func() { _ = server.Serve(tracked) }()
	t.Cleanup(func() { server.Close() })
	return s
}

func answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "answer")
}

func (c *client) send(t *testing.T, text string) {
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

// status returns the status of the next response and how it says to retry.
func (c *client) status(t *testing.T) (status int, retryAfter string) {
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, response.Header.Get("Retry-After")
}

// Guards against a caller that loses its connection without a word since it sends its body slowly, and against a handler that
// can't tell this from a caller that left.
func TestSlowBodyMakesRoomAndIsToldSo(t *testing.T) {
	s := newCountedServer(t, 8<<20, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		var evicted *drain.EvictedError
		if errors.As(err, &evicted) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	slow := s.dial()
	slow.send(t, "POST / HTTP/1.1\r\nHost: example\r\nContent-Length: 10\r\n\r\nbody")
	require.Eventually(t, func() bool { return s.CloseQuiet().Active == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	for range mostCallers {
		s.dial().send(t, "POST / HTTP/1.1\r\nHost: example\r\nContent-Length: 10\r\n\r\nbody")
	}
	status, _ := slow.status(t)
	require.Equal(t, http.StatusServiceUnavailable, status)
}
