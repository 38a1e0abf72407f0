package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"bluebellhold/id"
	"bluebellhold/internal/peer"
	"bluebellhold/internal/steering"
	"bluebellhold/internal/tcp"
	"bluebellhold/internal/uplink"
)

// transports holds the HTTP transports to upstreams.
type transports struct {
	openTunnel func(ctx context.Context, via uplink.Helper, upstream id.Upstream) (tcp.Conn, error)
	mu         sync.Mutex
	byKind     map[transportKind]*http.Transport
}

// transportKind is the kind of a transport's connections: through which instance they lead, empty for direct ones, and
// whether each carries one request only.
type transportKind struct {
	via         id.Instance
	isSingleUse bool
}

// transportFor returns the transport for a request. A request that may not be repeated gets a connection of its own, since
// upstreams' responses don't name the request: on a connection that has carried others, one may belong to these.
func (g *Gateway) transportFor(d steering.Dispatch) *http.Transport {
	kind := transportKind{via: d.Via.Instance, isSingleUse: d.StoreResponse}
	t := &g.transports
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byKind[kind] == nil {
		t.byKind[kind] = t.newTransport(d.Via, kind.isSingleUse)
	}
	return t.byKind[kind]
}

func (t *transports) newTransport(via uplink.Helper, isSingleUse bool) *http.Transport {
	dial := dialDirect
	if via.Instance != "" {
		dial = func(ctx context.Context, upstream id.Upstream, _ string) (tcp.Conn, error) {
			conn, err := t.openTunnel(ctx, via, upstream)
			var refused *peer.TunnelRefusedError
			if err != nil && !(errors.As(err, &refused) && refused.IsUnreached) {
				return nil, &TunnelError{Instance: via.Instance, Cause: err}
			}
			return conn, err
		}
	}
	transport := newTransport(dial)
	transport.DisableKeepAlives = isSingleUse
	return transport
}

func (t *transports) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, transport := range t.byKind {
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
