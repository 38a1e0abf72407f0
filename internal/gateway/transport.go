package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// newTransport returns the client side towards upstreams; connections are reused because a new one costs 1 ms.
func newTransport() *http.Transport {
	dialer := net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: conn}, nil
		},
		MaxIdleConnsPerHost:    connectionsPerUpstream,
		MaxConnsPerHost:        connectionsPerUpstream,
		IdleConnTimeout:        idleConnectionTimeout,
		MaxResponseHeaderBytes: int64(DefaultMaxHeader),
		DisableCompression:     true,
	}
}

// sendGuard decides at each write whether the bytes of one attempt may still go out, and records that some did.
type sendGuard struct {
	by   time.Time
	sent atomic.Bool
}

// guardedConn refuses the first write of an attempt after its dispatch deadline.
//
// The check sits at the write because a process that was paused between an earlier check and the write would
// otherwise send a request whose claim or share has passed to another instance.
type guardedConn struct {
	net.Conn
	guard atomic.Pointer[sendGuard]
}

// Write sends b unless the dispatch deadline has passed before anything was sent.
func (c *guardedConn) Write(b []byte) (int, error) {
	guard := c.guard.Load()
	if guard == nil || guard.sent.Load() {
		return c.Conn.Write(b)
	}
	if time.Now().After(guard.by) {
		return 0, &LateError{}
	}
	guard.sent.Store(true)
	return c.Conn.Write(b)
}

// withGuard makes the connection that is chosen for a request obey the guard.
func withGuard(ctx context.Context, guard *sendGuard) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*guardedConn); ok {
				conn.guard.Store(guard)
			}
		},
	})
}

// LateError reports that an attempt's dispatch deadline passed before its first byte was sent.
type LateError struct{}

// Error describes the failure.
func (e *LateError) Error() string {
	return "gateway: the dispatch deadline passed before the first byte was sent"
}
