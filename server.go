package bluebellhold

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/drain"
	"bluebellhold/internal/gateway"
	"bluebellhold/internal/occupancy"
	"bluebellhold/internal/tcp"
)

// server is an HTTP server with its listener.
type server struct {
	listener    net.Listener
	httpServer  *http.Server
	connections *drain.Connections
	isClosing   atomic.Bool
}

// closeQuietInterval is how often a server that is shut down closes the connections on which nothing has arrived.
const closeQuietInterval = 20 * time.Millisecond

// serverConfig configures a server.
type serverConfig struct {
	address   string
	handler   http.Handler
	tls       *tls.Config
	maxHeader id.Bytes
	// clients counts the connections; nil counts nothing. door is the kind of the address.
	clients *occupancy.Clients
	door    occupancy.Door
	// timeout bounds the time of a request, from its first byte to the end of its response; zero means that the handler bounds it.
	timeout time.Duration
}

func newServer(c serverConfig) (*server, error) {
	config := net.ListenConfig{
		Control: func(_, _ string, raw syscall.RawConn) error { return tcp.LimitBuffers(raw, drain.BufferBytes) },
	}
	listener, err := config.Listen(context.Background(), "tcp", c.address)
	if err != nil {
		return nil, &ListenError{Address: c.address, Cause: err}
	}
	s := &server{httpServer: &http.Server{
		IdleTimeout: idleTimeout, MaxHeaderBytes: int(c.maxHeader), ReadTimeout: c.timeout, WriteTimeout: c.timeout,
	}, connections: drain.New(drain.Config{
		HeadTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, TLS: c.tls, Clients: c.clients, Door: c.door,
		HoldsWrites: c.door == occupancy.Control, Refusal: gateway.Refusal(), RefusalHeader: gateway.RefusalHeader(),
	})}
	s.listener = s.connections.Listen(listener)
	s.httpServer.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isClosing.Load() {
			w.Header().Set("Connection", "close")
		}
		c.handler.ServeHTTP(w, r)
	})
	s.connections.Attach(s.httpServer)
	return s, nil
}

func (s *server) start(goroutines *sync.WaitGroup) {
	goroutines.Go(func() {
		err := s.httpServer.Serve(s.listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			panic("bluebellhold: the HTTP server failed: " + err.Error())
		}
	})
}

// shutdown stops accepting connections and waits for the requests in flight until ctx is done; then it closes the
// remaining connections. It does nothing on a nil server.
func (s *server) shutdown(ctx context.Context) {
	if s == nil {
		return
	}
	// http.Server.SetKeepAlivesEnabled would close connections by the states of net/http; see package drain.
	s.isClosing.Store(true)
	_ = s.listener.Close()
	for ctx.Err() == nil && s.connections.CloseQuiet().Total() > 0 {
		select {
		case <-time.After(closeQuietInterval):
		case <-ctx.Done():
		}
	}
	_ = s.httpServer.Close()
}

func (s *server) address() string { return s.listener.Addr().String() }

// ListenError reports that the instance cannot listen on an address.
type ListenError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *ListenError) Error() string {
	return "bluebellhold: cannot listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.Cause
}
