package ingress

import (
	"context"
	"errors"
	"net"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/internal/peer"
)

// probeUpstream connects to an upstream and keeps the connection for later requests.
func (i *Instance) probeUpstream(p entry.Probe) {
	conn, err := dialUpstream(context.Background(), p.Address)
	if err == nil {
		i.pool.put(entry.Dispatch{Upstream: p.Upstream, Incarnation: p.Incarnation, Address: p.Address},
			newUpstreamConnection(conn))
	}
	i.Post(entry.ProbeEnded{Upstream: p.Upstream, IsReached: err == nil})
}

// handleUplinkChange logs the change and closes the idle connections to upstreams, which may be dead.
func (i *Instance) handleUplinkChange(e entry.UplinkChanged) {
	if e.IsSevered {
		i.log.Warn("uplink: no upstream is reached; requests go through other instances", "unreached", e.Evidence.Unreached,
			"silent", e.Evidence.Silent, "connected", e.Evidence.ConnectedAge, "answered", e.Evidence.AnsweredAge)
		i.pool.dropDirect()
		return
	}
	i.log.Info("uplink: upstreams are reached again", "after", time.Since(e.Since))
}

// connectTunnel connects to an upstream for another instance that does not reach it.
func (i *Instance) connectTunnel(ctx context.Context, _ id.Instance, target peer.TunnelTarget) (net.Conn, error) {
	i.mu.Lock()
	lendsLinks := i.state.LendsLinks()
	address, isUsable := i.state.TunnelAddress(target.Upstream, target.Incarnation)
	i.mu.Unlock()
	if !lendsLinks || !isUsable {
		return nil, &peer.TunnelRefusedError{Peer: i.config.Instance, IsUnreached: lendsLinks}
	}
	conn, err := dialUpstream(ctx, address)
	i.Post(entry.ProbeEnded{Upstream: target.Upstream, IsReached: err == nil})
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// isUnreached reports whether another instance has tried to connect to the upstream and failed.
func isUnreached(err error) bool {
	var refused *peer.TunnelRefusedError
	return errors.As(err, &refused) && refused.IsUnreached
}
