package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/gateway"
	"bluebellhold/internal/peer"
	"bluebellhold/internal/steering"
	"bluebellhold/internal/tcp"
	"bluebellhold/internal/uplink"
)

// startTunnels starts two sessions' ends and returns a function that opens tunnels from the one to upstreams at the address
// through the other.
func startTunnels(t *testing.T, address string) func(context.Context, uplink.Helper, id.Upstream) (tcp.Conn, error) {
	start := func(name id.Instance) *peer.Transport {
		transport, err := peer.New(peer.Config{
			Self: name, Incarnation: 1, Listen: "127.0.0.1:0", Secret: []byte("a secret of enough bytes"),
			OnTunnel: func(ctx context.Context, _ id.Instance, target peer.TunnelTarget) (net.Conn, error) {
				if target.Upstream != "pregled-1" {
					return nil, &peer.TunnelRefusedError{Peer: name}
				}
				return new(net.Dialer).DialContext(ctx, "tcp", address)
			},
		})
		require.NoError(t, err)
		t.Cleanup(transport.Close)
		return transport
	}
	own, helper := start("osrednja-1"), start("koper-1")
	return func(ctx context.Context, via uplink.Helper, upstream id.Upstream) (tcp.Conn, error) {
		return own.OpenTunnel(ctx, via.Instance, helper.Address(), peer.TunnelTarget{Upstream: upstream})
	}
}

// Guards against requests that are changed, or whose connections are not reused, on the way through another instance.
func TestRequestsGoThroughAnotherInstance(t *testing.T) {
	accepted := make(chan struct{}, 16)
	upstream := serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		accepted <- struct{}{}
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(request.Body)
			response := http.Response{
				StatusCode: 200, ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(body)),
				Body: io.NopCloser(bytes.NewReader(body)),
			}
			if response.Write(c) != nil {
				return
			}
		}
	})
	e := &engine{upstream: upstream, via: uplink.Helper{Instance: "koper-1", Region: "koper"}}
	address := e.start(t, gateway.Config{OpenTunnel: startTunnels(t, upstream)})
	for range 3 {
		response, err := http.Post("http://"+address+"/service/pregled/draws", "text/plain", strings.NewReader("a body"))
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, "a body", string(body))
		require.IsType(t, steering.Answered{}, e.nextOutcome(t))
	}
	require.Len(t, accepted, 1)
}

// Guards against a request that reached no upstream and is not reported as one, and against an instance that does not help
// being taken for an upstream that has failed.
func TestLostHelperMeansThatNothingWasSent(t *testing.T) {
	e := &engine{upstream: "127.0.0.1:1", via: uplink.Helper{Instance: "koper-1", Region: "koper"}}
	open := func(context.Context, uplink.Helper, id.Upstream) (tcp.Conn, error) {
		return nil, &peer.ConnectionError{Step: "dialling", Cause: io.EOF}
	}
	address := e.start(t, gateway.Config{OpenTunnel: open})
	response, err := http.Get("http://" + address + "/service/pregled/draws")
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, steering.NothingSent{IsHelperFailed: true}, e.nextOutcome(t))
}

// Guards against a response that looks complete although the instance in between was lost.
func TestResponseThroughALostInstanceIsIncomplete(t *testing.T) {
	upstream := serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of it")
		time.Sleep(50 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	e := &engine{upstream: upstream, via: uplink.Helper{Instance: "koper-1", Region: "koper"}}
	address := e.start(t, gateway.Config{OpenTunnel: startTunnels(t, upstream)})
	response, err := http.Get("http://" + address + "/service/pregled/draws")
	require.NoError(t, err)
	response.Body.Close()
	require.NotEqual(t, http.StatusOK, response.StatusCode)
	require.IsType(t, steering.Broken{}, e.nextOutcome(t))
}
