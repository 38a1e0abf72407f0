package ingress_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/loopback"
)

// heldBody is larger than the receive buffer of a loopback.Holder, and fits into the send buffer of a connection.
const heldBody = 900_000

// newHoldingHarness starts an instance whose only upstream gets nothing until the holder is released.
func newHoldingHarness(t *testing.T) (*harness, *loopback.Holder) {
	holder, err := loopback.Hold()
	require.NoError(t, err)
	t.Cleanup(func() { holder.Release() })
	h := newHarness(t)
	h.writeUpstream("u0", holder.Address(), 5, "ready", 1)
	require.Eventually(t, func() bool { return strings.Contains(h.log.String(), "upstreams: changed") }, 5*time.Second, time.Millisecond)
	return h, holder
}

// Guards against a request that an upstream receives and runs after its caller was told that it timed out.
func TestTimedOutRequestIsNotDeliveredLater(t *testing.T) {
	h, holder := newHoldingHarness(t)
	r := h.request("POST", "/draw/1", strings.Repeat("x", heldBody))
	r.Header.Set("X-Bluebellhold-Deadline-Ms", "400")
	response, err := h.client.Do(r)
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	require.NotEmpty(t, holder.Accepted())
	require.Zero(t, holder.Release())
}

// Guards against a request that an upstream receives and runs after its caller has left.
func TestCancelledRequestIsNotDeliveredLater(t *testing.T) {
	h, holder := newHoldingHarness(t)
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		response, err := h.client.Do(h.request("POST", "/draw/1", strings.Repeat("x", heldBody)).WithContext(ctx))
		if err == nil {
			response.Body.Close()
		}
		failed <- err
	}()
	<-holder.Accepted()
	// The request is on its way by then, or never goes.
	time.Sleep(200 * time.Millisecond)
	cancel()
	require.Error(t, <-failed)
	h.stop()
	<-h.stopped
	require.Zero(t, holder.Release())
}
