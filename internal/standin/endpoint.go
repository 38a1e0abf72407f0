package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// A port that was free for a moment can be taken as the local port of some other connection, so rebinding waits.
const (
	bindAttempts = 100
	bindPause    = 20 * time.Millisecond
)

// endpoint is an HTTP server that can be taken down, which drops its connections without answers, and started again
// on the same address.
type endpoint struct {
	handler http.Handler

	m       sync.Mutex
	address string
	server  *http.Server
	cancel  context.CancelFunc
	revival *time.Timer
	closed  bool
}

// up starts the server unless it runs already.
func (e *endpoint) up() error {
	e.m.Lock()
	defer e.m.Unlock()
	e.stopRevival()
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
		time.Sleep(bindPause)
	}
}

// down drops all connections and cancels the work of their requests.
func (e *endpoint) down() {
	e.m.Lock()
	defer e.m.Unlock()
	e.stopRevival()
	e.stopServer()
}

// downFor takes the server down, calls revive after the outage and reports whether the server was up.
func (e *endpoint) downFor(outage time.Duration, revive func()) bool {
	e.m.Lock()
	defer e.m.Unlock()
	if e.server == nil {
		return false
	}
	e.stopServer()
	var timer *time.Timer
	timer = time.AfterFunc(outage, func() {
		if e.awaits(timer) {
			revive()
		}
	})
	e.revival = timer
	return true
}

// awaits reports whether the timer has not been replaced by a later change.
func (e *endpoint) awaits(timer *time.Timer) bool {
	e.m.Lock()
	defer e.m.Unlock()
	return e.revival == timer
}

// close takes the server down for good.
func (e *endpoint) close() {
	e.m.Lock()
	defer e.m.Unlock()
	e.closed = true
	e.stopRevival()
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

func (e *endpoint) stopRevival() {
	if e.revival != nil {
		e.revival.Stop()
		e.revival = nil
	}
}

func (e *endpoint) where() string {
	e.m.Lock()
	defer e.m.Unlock()
	return e.address
}

// ListenError reports an address that could not be bound.
type ListenError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *ListenError) Error() string {
	return "standin: cannot listen on " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.Cause
}
