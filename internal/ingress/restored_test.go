package ingress_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"bluebellhold/internal/ingress"
	"bluebellhold/internal/wire"
	"bluebellhold/platform"
	"bluebellhold/store"
)

// countedUpstream is an upstream that counts its requests.
type countedUpstream struct {
	requests atomic.Int64
	address  string
}

func (u *countedUpstream) serve(conn net.Conn) {
	serveWith(func(r *http.Request) string {
		u.requests.Add(1)
		return responseTo(r, "ok")
	})(conn)
}

// newPair starts an instance with an upstream u0 and a counted one u1.
func newPair(t *testing.T) (*harness, *countedUpstream) {
	u := &countedUpstream{}
	h := newHarness(t, serveWith(func(r *http.Request) string { return responseTo(r, "ok") }), u.serve)
	h.requireUsed(u, true, "before")
	u.address = h.rowAddress("u1")
	return h, u
}

// rowAddress returns the address in the row of an upstream.
func (h *harness) rowAddress(name string) (address string) {
	for _, row := range h.feed.changesSince("servers", 0).Rows {
		if row.Name == name {
			_, err := fmt.Sscanf(string(row.Value), `{"address":%q`, &address)
			require.NoError(h, err)
		}
	}
	return address
}

// uses reports whether an upstream gets one of a number of requests for different objects.
func (h *harness) uses(u *countedUpstream) bool {
	before := u.requests.Load()
	for i := range 20 {
		r := h.request("GET", fmt.Sprint("/look/", i), "")
		r.Header.Set("Cookie", fmt.Sprint("X-Bluebellhold-Affinity-Key=", i))
		response, err := h.client.Do(r)
		require.NoError(h, err)
		response.Body.Close()
	}
	return u.requests.Load() > before
}

// requireUsed waits until an upstream is used or not.
func (h *harness) requireUsed(u *countedUpstream, isUsed bool, message string) {
	h.Helper()
	require.Eventually(h, func() bool { return h.uses(u) == isUsed }, 5*time.Second, 10*time.Millisecond, message)
}

// requireStays checks for a while that an upstream stays used or unused.
func (h *harness) requireStays(u *countedUpstream, isUsed bool, duration time.Duration, message string) {
	h.Helper()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		require.Equal(h, isUsed, h.uses(u), message)
	}
}

// Guards against an upstream that had left, or that drains, and gets requests again because the store has returned from a
// copy in which it was ready.
func TestUpstreamThatLeftStaysAwayWhenTheStoreIsRestored(t *testing.T) {
	for _, hasLeft := range []bool{true, false} {
		t.Run(fmt.Sprint("has left ", hasLeft), func(t *testing.T) {
			t.Parallel()
			h, u := newPair(t)
			restore := h.feed.copy()
			h.writeUpstream("u1", u.address, 5, "draining", 5)
			h.requireUsed(u, false, "draining")
			if hasLeft {
				h.feed.remove("servers", "u1")
				h.requireStays(u, false, 1500*time.Millisecond, "has left")
			}
			restore()
			h.requireStays(u, false, 1500*time.Millisecond, "ready in the copy")
			if hasLeft {
				h.writeUpstream("u1", u.address, 6, "ready", 1)
			} else {
				h.writeUpstream("u1", u.address, 5, "ready", 6)
			}
			h.requireUsed(u, true, "ready in a row that is new")
		})
	}
}

// Guards against upstreams that get no requests for a while because the store has returned from a copy in which they were
// missing, and against missing ones that are used for ever.
func TestUpstreamsMissingInARestoredStoreHaveTimeToReturn(t *testing.T) {
	h, u := newPair(t)
	h.feed.remove("servers", "u1")
	h.requireUsed(u, false, "removed")
	restore := h.feed.copy()
	h.writeUpstream("u1", u.address, 5, "ready", 2)
	h.requireUsed(u, true, "back")
	restore()
	h.requireStays(u, true, 1500*time.Millisecond, "missing in the copy")
	h.requireUsed(u, false, "missing for too long")
}

// Guards against an evacuation that ends because the store has returned from a copy in which it had not begun.
func TestEvacuationLastsWhenTheStoreIsRestored(t *testing.T) {
	for _, isRepeated := range []bool{true, false} {
		t.Run(fmt.Sprint("written again ", isRepeated), func(t *testing.T) {
			t.Parallel()
			h, u := newPair(t)
			restore := h.feed.copy()
			h.feed.put("op", "evacuate/osrednja-a", []byte("{}"))
			h.requireUsed(u, false, "evacuated")
			restore()
			h.requireStays(u, false, time.Second, "evacuated before")
			if isRepeated {
				h.feed.put("op", "evacuate/osrednja-a", []byte("{}"))
				h.requireStays(u, false, 3*time.Second, "evacuated again")
				h.feed.remove("op", "evacuate/osrednja-a")
			}
			h.requireUsed(u, true, "not evacuated any more")
		})
	}
}

// Guards against an instance that others forget because the store has returned from a copy in which its heartbeat is
// missing: they would divide the limits without it.
func TestInstancesMissingInARestoredStoreWriteTheirHeartbeatsAgain(t *testing.T) {
	h := newHarness(t, serveWith(func(r *http.Request) string { return responseTo(r, "ok") }))
	restore := h.feed.copy()
	other := &harness{T: t, feed: h.feed, address: freeAddress(t), log: &lockedBuffer{}, client: h.client}
	other.start("osrednja-2", h.feed, other.address, other.log, time.Second)
	h.requireVouched("osrednja-2")
	restore()
	require.Eventually(t, func() bool {
		for _, row := range h.feed.changesSince("members", 0).Rows {
			if row.Name == "osrednja-2" {
				return true
			}
		}
		return false
	}, 8*time.Second, 10*time.Millisecond)
	h.requireVouched("osrednja-2")
}

// requireVouched waits until the heartbeat of the first instance vouches for another one.
func (h *harness) requireVouched(name string) {
	h.Helper()
	require.Eventually(h, func() bool {
		for _, row := range h.feed.changesSince("members", 0).Rows {
			if row.Name == "osrednja-1" && strings.Contains(string(row.Value), `"vouched":["`+name+`"]`) {
				return true
			}
		}
		return false
	}, 8*time.Second, 10*time.Millisecond)
}

// Guards against new instances that can't talk to the others because the store has returned from a copy without the
// fleet's secret, or with one that another instance has created.
func TestSecretIsWrittenAgainWhenTheStoreIsRestored(t *testing.T) {
	h := &harness{T: t, feed: &memoryFeed{}, address: freeAddress(t), log: &lockedBuffer{}, client: &http.Client{}}
	h.serveUpstream("u0", serveWith(func(r *http.Request) string { return responseTo(r, "ok") }))
	h.feed.put(platform.OperatorTable, "config", []byte(document))
	restore := h.feed.copy()
	h.stop, h.stopped = h.start("osrednja-1", h.feed, h.address, h.log, time.Second)
	secret := func() string {
		for _, row := range h.feed.changesSince("secrets", 0).Rows {
			return string(row.Value)
		}
		return ""
	}
	require.Eventually(t, func() bool { return secret() != "" }, 5*time.Second, 10*time.Millisecond)
	created := secret()
	restore()
	require.Eventually(t, func() bool { return secret() == created }, 8*time.Second, 10*time.Millisecond)
	restore = h.feed.copy()
	restore()
	h.feed.put("secrets", "sessions", []byte("another secret of 32 bytes......"))
	require.Eventually(t, func() bool { return secret() == created }, 8*time.Second, 10*time.Millisecond)
}

// Guards against a removal that a member defers because it is the first relayed change since the store has returned from
// an older copy, long ago.
func TestRemovalLongAfterTheStoreWasRestoredCountsAtOnce(t *testing.T) {
	const drainBound = 2500 * time.Millisecond
	g := newGroupWithDrainDelay(t, drainBound)
	g.member.requireStatusWithin(5*time.Second, http.StatusOK, "before")
	g.feed.copy()()
	time.Sleep(4 * time.Second)
	g.member.requireStatusWithin(time.Second, http.StatusOK, "nothing has changed")
	g.feed.remove("servers", "u0")
	g.member.requireStatusWithin(drainBound, http.StatusServiceUnavailable, "the upstream has left")
}

// Guards against members that miss changes during a rolling change, because they and their coordinator disagree on what
// a version is: one of them knows the eras of the store.
func TestMembersOfAnotherVersionReadTheStoreThemselves(t *testing.T) {
	feed := &memoryFeed{}
	feed.put("op", "config", []byte(document))
	feed.copy()()
	relay, err := ingress.NewRelay(feed, "op")
	require.NoError(t, err)
	former := protowire.AppendVarint(protowire.AppendTag(nil, 2, protowire.VarintType), 118)
	var request wire.RowsRequest
	require.NoError(t, proto.Unmarshal(former, &request))
	updates := relay.UpdatesFor("osrednja-2", request.GetAfter())
	require.Len(t, updates, 1)
	require.True(t, updates[0].GetReload())
	current, err := proto.Marshal(&wire.RowsRequest{After: store.VersionInEra(1, 118)})
	require.NoError(t, err)
	number, _, _ := protowire.ConsumeTag(current)
	require.NotEqual(t, protowire.Number(2), number, "a former coordinator would take it for a version that it has passed")
}

// Guards against an instance that never joins while processes without eras run beside it: what they have read looks older
// than its heartbeat.
func TestInstanceJoinsBesideProcessesWithoutEras(t *testing.T) {
	h := &harness{T: t, feed: &memoryFeed{}, address: freeAddress(t), log: &lockedBuffer{}, client: &http.Client{}}
	h.feed.put(platform.OperatorTable, "config", []byte(document))
	h.feed.copy()()
	h.serveUpstream("u0", serveWith(func(r *http.Request) string { return responseTo(r, "ok") }))
	ctx, cancel := context.WithCancel(context.Background())
	var former sync.WaitGroup
	former.Go(func() {
		for ctx.Err() == nil {
			h.feed.put("members", "koper-1", fmt.Appendf(nil, `{"address":"10.0.0.1:80","region":"koper","seen":%d,"started":1}`,
				store.NumberOf(h.feed.changesSince("members", 0).Version)))
			time.Sleep(500 * time.Millisecond)
		}
	})
	defer former.Wait()
	defer cancel()
	h.start("osrednja-1", h.feed, h.address, h.log, time.Second)
}
