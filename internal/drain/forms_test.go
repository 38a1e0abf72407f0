package drain_test

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/drain"
)

// Guards against requests that are handled and whose responses are lost: callers send them pipelined, in parts, chunked, with
// Expect: 100-continue, with HEAD and as HTTP/1.0, while the quiet connections are closed all the time.
func TestHandledRequestsOfAllFormsAreAnswered(t *testing.T) {
	for _, isTLS := range []bool{false, true} {
		t.Run(fmt.Sprint("TLS ", isTLS), func(t *testing.T) { requireHandledRequestsAnswered(t, isTLS) })
	}
}

func requireHandledRequestsAnswered(t *testing.T, isTLS bool) {
	var mu sync.Mutex
	handled, answered := make(map[string]int), make(map[string]int)
	connections := drain.New(drain.Config{HeadTimeout: 5 * time.Second, IdleTimeout: 5 * time.Second})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	rounds, maxPause := 300, 200
	var settings *tls.Config
	if isTLS {
		// Handshakes take milliseconds.
		rounds, maxPause = 40, 300000
		certificates := httptest.NewUnstartedServer(nil)
		certificates.StartTLS()
		defer certificates.Close()
		settings = certificates.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
		settings.ServerName = "example.com"
		l = tls.NewListener(l, certificates.TLS)
	}
	server := &http.Server{
		ConnState: connections.Track, IdleTimeout: 5 * time.Second,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			mu.Lock()
			handled[r.URL.Path]++
			mu.Unlock()
			w.Header().Set("Id", r.URL.Path)
			time.Sleep(time.Duration(rand.IntN(300)) * time.Microsecond)
			_, _ = io.WriteString(w, "answer")
		}),
	}
	go func() { _ = server.Serve(connections.Listen(l)) }()
	defer server.Close()
	done := make(chan struct{})
	var closer sync.WaitGroup
	closer.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				connections.CloseQuiet()
				time.Sleep(time.Duration(rand.IntN(maxPause)) * time.Microsecond)
			}
		}
	})
	form := func(path string) (string, string) {
		switch rand.IntN(6) {
		case 0:
			return "GET", "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"
		case 1:
			return "HEAD", "HEAD " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"
		case 2:
			return "POST", "POST " + path + " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
		case 3:
			return "POST", "POST " + path + " HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody"
		case 4:
			return "GET", "GET " + path + " HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n"
		}
		return "POST", "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
	}
	var callers sync.WaitGroup
	for worker := range 16 {
		callers.Go(func() {
			for round := range rounds {
				var conn net.Conn
				var err error
				if isTLS {
					conn, err = tls.Dial("tcp", address, settings)
				} else {
					conn, err = net.Dial("tcp", address)
				}
				if err != nil {
					continue
				}
				_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
				var methods []string
				text, size := "", 1+rand.IntN(3)
				for n := range size {
					method, request := form(fmt.Sprintf("/%d-%d-%d", worker, round, n))
					methods, text = append(methods, method), text+request
				}
				if rand.IntN(3) == 0 {
					time.Sleep(time.Duration(rand.IntN(400)) * time.Microsecond)
				}
				go func() {
					for len(text) > 0 {
						n := min(len(text), 1+rand.IntN(80))
						if _, err := io.WriteString(conn, text[:n]); err != nil {
							return
						}
						if text = text[n:]; rand.IntN(2) == 0 {
							time.Sleep(time.Duration(rand.IntN(100)) * time.Microsecond)
						}
					}
				}()
				reader := bufio.NewReader(conn)
				for _, method := range methods {
					response, err := http.ReadResponse(reader, &http.Request{Method: method})
					for err == nil && response.StatusCode == http.StatusContinue {
						response, err = http.ReadResponse(reader, &http.Request{Method: method})
					}
					if err != nil {
						break
					}
					if _, err := io.ReadAll(response.Body); err != nil {
						break
					}
					mu.Lock()
					answered[response.Header.Get("Id")]++
					mu.Unlock()
				}
				conn.Close()
			}
		})
	}
	callers.Wait()
	close(done)
	closer.Wait()
	lost := 0
	for path := range handled {
		if answered[path] == 0 {
			lost++
		}
	}
	t.Log("handled", len(handled), "answered", len(answered))
	require.Zero(t, lost)
	require.Eventually(t, func() bool { return connections.CloseQuiet() == drain.Counts{} }, 10*time.Second, time.Millisecond)
}
