package bluebellhold

import (
	"context"
	"net"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/peer"
	"bluebellhold/internal/steering"
	"bluebellhold/internal/tcp"
	"bluebellhold/internal/uplink"
)

// testTimeout limits a connection to an upstream that is not made for a request of this instance.
const testTimeout = 600 * time.Millisecond

func (i *Instance) dialUpstream(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: testTimeout, Control: tcp.ControlRequests}
	return dialer.DialContext(ctx, "tcp", address)
}

// openTunnel connects to an upstream through another instance.
func (i *Instance) openTunnel(ctx context.Context, via uplink.Helper, upstream id.Upstream) (tcp.Conn, error) {
	return i.transport.OpenTunnel(ctx, via.Instance, via.Address, peer.TunnelTarget{Upstream: upstream})
}

// connectTunnel connects to an upstream for another instance that does not reach it.
func (i *Instance) connectTunnel(ctx context.Context, _ id.Instance, target peer.TunnelTarget) (net.Conn, error) {
	i.mu.Lock()
	lendsLinks := i.state.LendsLinks()
	address, isUsable := i.state.TunnelAddress(target.Upstream)
	i.mu.Unlock()
	if !lendsLinks || !isUsable {
		return nil, &peer.TunnelRefusedError{Peer: i.config.Self.Instance, IsUnreached: lendsLinks}
	}
	conn, err := i.dialUpstream(ctx, address)
	i.Post(steering.ConnectionTested{Upstream: target.Upstream, IsReached: err == nil})
	return conn, err
}
