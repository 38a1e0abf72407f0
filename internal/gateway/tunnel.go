package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"bluebellhold/id"
	"bluebellhold/internal/peer"
	"bluebellhold/internal/tcp"
	"bluebellhold/internal/uplink"
)

// tunnelTransports holds the HTTP transports that reach upstreams through other instances, one for each of them.
type tunnelTransports struct {
	open       func(ctx context.Context, via uplink.Helper, upstream id.Upstream) (tcp.Conn, error)
	mu         sync.Mutex
	byInstance map[id.Instance]*http.Transport
}

// transportVia returns the transport through an instance, or the direct one if it is empty.
func (g *Gateway) transportVia(via uplink.Helper) *http.Transport {
	if via.Instance == "" {
		return g.transport
	}
	t := &g.tunnels
	t.mu.Lock()
	defer t.mu.Unlock()
	transport := t.byInstance[via.Instance]
	if transport == nil {
		transport = newTransport(func(ctx context.Context, upstream id.Upstream, _ string) (tcp.Conn, error) {
			conn, err := t.open(ctx, via, upstream)
			var refused *peer.TunnelRefusedError
			if err != nil && !(errors.As(err, &refused) && refused.IsUnreached) {
				return nil, &TunnelError{Instance: via.Instance, Cause: err}
			}
			return conn, err
		})
		t.byInstance[via.Instance] = transport
	}
	return transport
}

func (t *tunnelTransports) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, transport := range t.byInstance {
		transport.CloseIdleConnections()
	}
}

// TunnelError reports that an instance through which an upstream was to be reached failed or refused.
type TunnelError struct {
	Instance id.Instance
	Cause    error
}

// Error returns the name of the instance and the cause.
func (e *TunnelError) Error() string {
	return "gateway: no way through " + string(e.Instance) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *TunnelError) Unwrap() error { return e.Cause }
