package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Binding is retried, because while an endpoint is stopped another connection can get its port as the local port.
const (
	bindAttempts   = 100
	bindRetryDelay = 20 * time.Millisecond
)

// endpoint is an HTTP server that can be stopped, which drops its connections without responses, and restarted on the
// same address.
type endpoint struct {
	handler http.Handler

	mu           sync.Mutex
	address      string
	server       *http.Server
	cancel       context.CancelFunc
	outages      uint64 // number of outages with a restart so far
	restartTimer *time.Timer
	closed       bool
}

// start starts the server unless it is running, and cancels a pending restart.
func (e *endpoint) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelRestart()
	if e.server != nil || e.closed {
		return nil
	}
	if e.address == "" {
		e.address = "127.0.0.1:0"
	}
	listener, err := bind(e.address)
	if err != nil {
		return &ListenError{Address: e.address, Cause: err}
	}
	e.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{
		Handler:           e.handler,
		ReadHeaderTimeout: time.Minute,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	e.server, e.cancel = server, cancel
	go func() { _ = server.Serve(listener) }()
	return nil
}

func bind(address string) (net.Listener, error) {
	for attempt := 1; ; attempt++ {
		listener, err := net.Listen("tcp", address)
		if err == nil || attempt == bindAttempts {
			return listener, err
		}
		time.Sleep(bindRetryDelay)
	}
}

// stop drops all connections and cancels the contexts of their requests.
func (e *endpoint) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelRestart()
	e.stopServer()
}

// stopFor stops the server, calls restart after the outage and reports whether the server was running.
func (e *endpoint) stopFor(outage time.Duration, restart func()) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return false
	}
	e.stopServer()
	// The function may run before AfterFunc returns, so it cannot identify its outage by the timer.
	e.outages++
	outageNumber := e.outages
	e.restartTimer = time.AfterFunc(outage, func() {
		if e.isPending(outageNumber) {
			restart()
		}
	})
	return true
}

// isPending reports whether the restart after an outage is still due; a later change replaces or cancels it.
func (e *endpoint) isPending(outageNumber uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.restartTimer != nil && e.outages == outageNumber
}

// close stops the server permanently.
func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.cancelRestart()
	e.stopServer()
}

func (e *endpoint) stopServer() {
	if e.server == nil {
		return
	}
	_ = e.server.Close()
	e.cancel()
	e.server = nil
}

func (e *endpoint) cancelRestart() {
	if e.restartTimer != nil {
		e.restartTimer.Stop()
		e.restartTimer = nil
	}
}

func (e *endpoint) currentAddress() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// ListenError reports an address that could not be bound.
type ListenError struct {
	Address string
	Cause   error
}

// Error includes the address and the cause.
func (e *ListenError) Error() string {
	return "standin: cannot listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.Cause
}
