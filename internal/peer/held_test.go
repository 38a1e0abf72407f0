package peer_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/loopback"
	"bluebellhold/internal/peer"
	"bluebellhold/internal/tcp"
)

// Guards against a request that an upstream receives through another instance after it was given up, whether it waits to be
// sent to the upstream or to be read from the first instance.
func TestRequestThroughATunnelIsNotDeliveredAfterItWasGivenUp(t *testing.T) {
	for name, held := range map[string]struct{ size, sendBuffer int }{
		"waits to be sent": {size: 900_000, sendBuffer: 4 << 20}, "waits to be read": {size: 100_000, sendBuffer: 4 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			holder, err := loopback.Hold()
			require.NoError(t, err)
			t.Cleanup(func() { holder.Release() })
			a := startInstance(t, "osrednja-1", nil)
			b := startInstance(t, "koper-1", func(c *peer.Config) {
				c.OnTunnel = func(ctx context.Context, _ id.Instance, _ peer.TunnelTarget) (net.Conn, error) {
					upstream, err := new(net.Dialer).DialContext(ctx, "tcp", holder.Address())
					if err != nil {
						return nil, err
					}
					return upstream, upstream.(*net.TCPConn).SetWriteBuffer(held.sendBuffer)
				}
			})
			conn, err := a.OpenTunnel(context.Background(), "koper-1", b.Address(), tunnelTarget)
			require.NoError(t, err)
			r, err := http.NewRequest("POST", "http://pregled/", strings.NewReader(strings.Repeat("x", held.size)))
			require.NoError(t, err)
			require.NoError(t, conn.SetWriteDeadline(time.Now().Add(time.Second)))
			require.NoError(t, r.Write(conn))
			time.Sleep(300 * time.Millisecond)
			tcp.Abort(conn)
			// Longer than the other instance takes to notice.
			time.Sleep(300 * time.Millisecond)
			require.Zero(t, holder.Release())
		})
	}
}
