package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/gateway"
	"bluebellhold/internal/loopback"
	"bluebellhold/internal/steering"
	"bluebellhold/internal/uplink"
)

// heldBody is larger than the receive buffer of a loopback.Holder, and fits into the send buffer of a connection.
const heldBody = 900_000

// heldCase is a way to an upstream that gets nothing for a while, and how its request is handled.
type heldCase struct {
	isClaimed, isTunnelled bool
}

var heldCases = map[string]heldCase{
	"streamed": {}, "buffered": {isClaimed: true}, "through another instance": {isTunnelled: true},
}

// start starts a gateway whose only upstream gets nothing until the holder is released.
func (c heldCase) start(t *testing.T, e *engine) (address string, holder *loopback.Holder) {
	holder, err := loopback.Hold()
	require.NoError(t, err)
	t.Cleanup(func() { holder.Release() })
	e.upstream, e.claimed = holder.Address(), c.isClaimed
	config := gateway.Config{MaxClaimedBody: 2 * heldBody}
	if c.isTunnelled {
		e.via = uplink.Helper{Instance: "koper-1", Region: "koper"}
		config.OpenTunnel = startTunnels(t, holder.Address())
	}
	return e.start(t, config), holder
}

// Guards against a request that an upstream receives and runs after its attempt has timed out.
func TestTimedOutRequestIsNotDeliveredLater(t *testing.T) {
	for name, c := range heldCases {
		t.Run(name, func(t *testing.T) {
			e := &engine{attemptTimeout: 400 * time.Millisecond}
			address, holder := c.start(t, e)
			response, err := http.Post("http://"+address+"/service/pregled/draws", "text/plain", strings.NewReader(strings.Repeat("x", heldBody)))
			require.NoError(t, err)
			response.Body.Close()
			require.IsType(t, steering.TimedOut{}, e.nextOutcome(t))
			require.NotEmpty(t, holder.Accepted())
			time.Sleep(tunnelDelay)
			require.Zero(t, holder.Release())
		})
	}
}

// tunnelDelay is longer than another instance takes to notice that a request through it has been given up.
const tunnelDelay = 300 * time.Millisecond

// Guards against a request that an upstream receives and runs after its caller has left.
func TestCancelledRequestIsNotDeliveredLater(t *testing.T) {
	for name, c := range heldCases {
		if c.isClaimed {
			// A claimed request goes on without its caller.
			continue
		}
		t.Run(name, func(t *testing.T) {
			e := new(engine)
			address, holder := c.start(t, e)
			ctx, cancel := context.WithCancel(context.Background())
			body := strings.NewReader(strings.Repeat("x", heldBody))
			r, err := http.NewRequestWithContext(ctx, "POST", "http://"+address+"/service/pregled/draws", body)
			require.NoError(t, err)
			go func() {
				<-holder.Accepted()
				time.Sleep(tunnelDelay)
				cancel()
			}()
			_, err = http.DefaultClient.Do(r)
			require.Error(t, err)
			require.IsType(t, steering.Cancelled{}, e.nextOutcome(t))
			time.Sleep(tunnelDelay)
			require.Zero(t, holder.Release())
		})
	}
}
