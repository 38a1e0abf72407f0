package drain_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
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

// shortFields returns fields of a few bytes each, without the end of the head.
func shortFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
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

// Guards against heads of legal size whose many fields take far more memory once they are parsed, also while they have not
// arrived whole.
func TestHeadsOfManyFieldsCount(t *testing.T) {
	s := newCountedServer(t, 8<<20, answer)
	const fields = 8000
	alone := s.dial()
	alone.send(t, "GET / HTTP/1.1\r\nHost: example\r\n"+shortFields(fields)+"\r\n")
	require.NoError(t, alone.answer(), "one request is served")
	head := "GET / HTTP/1.1\r\nHost: example\r\n" + shortFields(fields)
	var clients []*client
	var sending sync.WaitGroup
	for range mostCallers - 2 {
		clients = append(clients, s.dial())
	}
	for _, c := range clients {
		sending.Go(func() {
			// The server may close the connection before it has read all.
			_, _ = io.WriteString(c, head)
		})
	}
	sending.Wait()
	refused := 0
	for _, c := range clients {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			continue
		}
		refused++
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Equal(t, "1", response.Header.Get("Retry-After"))
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, refusal, string(text))
	}
	require.Positive(t, refused)
}

// Guards against heads that are read together with an earlier request and so are not counted before they are parsed.
func TestHeadsSentAheadCount(t *testing.T) {
	s := newCountedServer(t, 200<<10, answer)
	c := s.dial()
	c.send(t, "POST / HTTP/1.1\r\nHost: example\r\nContent-Length: 10\r\n\r\nbody")
	require.Eventually(t, func() bool { return s.CloseQuiet().Active == 1 }, 5*time.Second, time.Millisecond)
	c.send(t, "bodies"+"GET / HTTP/1.1\r\nHost: example\r\n"+shortFields(600)+"\r\n")
	require.NoError(t, c.answer())
	status, retryAfter := c.status(t)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "1", retryAfter)
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

// Guards against trailers, which nobody uses, that stay in memory as long as their request runs.
func TestTrailersAreDropped(t *testing.T) {
	trailers := make(chan int, 1)
	s := newCountedServer(t, 8<<20, func(w http.ResponseWriter, r *http.Request) {
		answer(w, r)
		trailers <- len(r.Trailer)
	})
	c := s.dial()
	c.send(t, "POST / HTTP/1.1\r\nHost: example\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n"+shortFields(300)+"\r\n")
	require.NoError(t, c.answer())
	require.Zero(t, <-trailers)
}

// Guards against a body that a handler does not need and that never arrives whole: the server would wait for it for ever.
func TestRestOfABodyIsNotAwaited(t *testing.T) {
	s := newCountedServer(t, 8<<20, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	for _, framing := range []string{"Content-Length: 10", "Transfer-Encoding: chunked"} {
		s.dial().send(t, "POST / HTTP/1.1\r\nHost: example\r\n"+framing+"\r\n\r\n3\r\nbod\r\n")
	}
	require.Eventually(t, func() bool { return s.handled.Load() == 0 && s.CloseQuiet().Total() == 0 }, 10*time.Second, time.Millisecond)
}

// Guards against a caller with a slow connection that counts as one that does not read, although it has taken its last response.
func TestReadResponseMakesNoRoom(t *testing.T) {
	const size = 4 << 20
	s := newCountedServer(t, 64<<20, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size))
	})
	var late, unread []*client
	for range mostCallers - 2 {
		late = append(late, s.dial())
	}
	unread = append(unread, s.dial())
	for _, c := range append(late, unread...) {
		c.send(t, "GET / HTTP/1.1\r\nHost: example\r\n\r\n")
	}
	time.Sleep(50 * time.Millisecond)
	for _, c := range late {
		status, _ := c.status(t)
		require.Equal(t, http.StatusOK, status)
	}
	for range 2 {
		s.dial()
	}
	// The last one is closed in the middle of its response.
	_, err := io.ReadAll(unread[0])
	require.Error(t, err)
	for _, c := range late {
		c.send(t, "GET / HTTP/1.1\r\nHost: example\r\n\r\n")
		status, _ := c.status(t)
		require.Equal(t, http.StatusOK, status)
	}
}
