package ingress_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/platform"
	"bluebellhold/store"
)

// ownFeed is one instance's way to the store: it counts the calls and can be cut.
type ownFeed struct {
	*memoryFeed
	calls atomic.Int64
	isCut atomic.Bool
}

func (f *ownFeed) call(table string) error {
	f.calls.Add(1)
	if f.isCut.Load() {
		return &store.UnavailableError{Operation: table}
	}
	return nil
}

func (f *ownFeed) Put(ctx context.Context, table, name string, value []byte, expectedVersion uint64) error {
	if err := f.call(table); err != nil {
		return err
	}
	return f.memoryFeed.Put(ctx, table, name, value, expectedVersion)
}

func (f *ownFeed) Snapshot(ctx context.Context, table string) (store.ChangeSet, error) {
	if err := f.call(table); err != nil {
		return store.ChangeSet{}, err
	}
	return f.memoryFeed.Snapshot(ctx, table)
}

func (f *ownFeed) Changes(
	ctx context.Context, table string, afterVersion uint64, maxWait time.Duration,
) (store.ChangeSet, error) {
	if err := f.call(table); err != nil {
		return store.ChangeSet{}, err
	}
	changes, err := f.memoryFeed.Changes(ctx, table, afterVersion, maxWait)
	if f.isCut.Load() {
		return store.ChangeSet{}, &store.UnavailableError{Operation: table}
	}
	return changes, err
}

// documentVersion returns the document with another version and key.
func documentVersion(version int, key string) []byte {
	body := strings.Replace(document, `"version":7`, fmt.Sprintf(`"version":%d`, version), 1)
	return []byte(strings.Replace(body, "secret-key", key, 1))
}

// group is a coordinator, the harness's instance, and a member.
type group struct {
	*harness
	member     *harness
	memberFeed *ownFeed
	// ownFeed is that of the coordinator.
	coordinatorFeed *ownFeed
}

// newGroup starts two instances of a region. The older one coordinates.
func newGroup(t *testing.T) *group { return newGroupWithDrainDelay(t, 2500*time.Millisecond) }

func newGroupWithDrainDelay(t *testing.T, maxDrainDelay time.Duration) *group {
	h := &harness{T: t, feed: &memoryFeed{}, address: freeAddress(t), log: &lockedBuffer{}, client: &http.Client{}}
	h.serveUpstream("u0", serveWith(func(r *http.Request) string { return responseTo(r, "ok") }))
	h.feed.put(platform.OperatorTable, "config", documentVersion(7, "secret-key"))
	g := &group{harness: h, coordinatorFeed: &ownFeed{memoryFeed: h.feed}, memberFeed: &ownFeed{memoryFeed: h.feed}}
	g.stop, g.stopped = h.start("osrednja-1", g.coordinatorFeed, h.address, h.log, maxDrainDelay)
	g.member = &harness{T: t, feed: h.feed, address: freeAddress(t), log: &lockedBuffer{}, client: h.client}
	g.member.stop, g.member.stopped = g.member.start("osrednja-2", g.memberFeed, g.member.address, g.member.log, maxDrainDelay)
	require.Eventually(t, func() bool {
		return strings.Contains(g.member.log.String(), "to=osrednja-1")
	}, 5*time.Second, 5*time.Millisecond)
	return g
}

// requireStatusWithin waits until the instance answers with the status.
func (h *harness) requireStatusWithin(bound time.Duration, status int, message string) {
	h.Helper()
	require.Eventually(h, func() bool {
		got, _ := h.do("GET", "/look/1")
		return got == status
	}, bound, 20*time.Millisecond, message)
}

// Guards against store calls that grow with the number of instances: 118 instances made 290 calls a second. A member
// gets the changes of the operator's and the upstreams' rows from its coordinator.
func TestMemberReadsThroughTheCoordinator(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	time.Sleep(4 * time.Second) // until the coordinator vouches for the member
	before := g.memberFeed.calls.Load()
	time.Sleep(4 * time.Second)
	require.LessOrEqual(t, g.memberFeed.calls.Load()-before, int64(1), "store calls of a member")
	g.feed.put(platform.OperatorTable, "config", documentVersion(9, "another-key"))
	g.member.requireStatusWithin(time.Second, http.StatusUnauthorized, "the key has been withdrawn")
	g.feed.put(platform.OperatorTable, "config", documentVersion(11, "secret-key"))
	g.member.requireStatusWithin(time.Second, http.StatusOK, "the key has been added")
	g.feed.remove(platform.ServersTable, "u0")
	g.member.requireStatusWithin(2500*time.Millisecond, http.StatusServiceUnavailable, "the upstream has left")
}

// Guards against a member that believes its coordinator for as long as their session lives: on zadruga-zreb trouble-1 a
// coordinator that was cut from the store left its member with a withdrawn key for six seconds.
func TestMemberReadsTheStoreWhileItsCoordinatorCannot(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	time.Sleep(3 * time.Second)
	g.coordinatorFeed.isCut.Store(true)
	g.feed.put(platform.OperatorTable, "config", documentVersion(9, "another-key"))
	g.member.requireStatusWithin(2500*time.Millisecond, http.StatusUnauthorized, "the bound for a change of the configuration")
	g.feed.remove(platform.ServersTable, "u0")
	g.feed.put(platform.OperatorTable, "config", documentVersion(11, "secret-key"))
	g.member.requireStatusWithin(2500*time.Millisecond, http.StatusServiceUnavailable, "the bound for a drain")
}

// Guards against an upstream that left during an outage of the store and is used until the next relayed change: on the
// large scale-2, instances that had been cut off sent to it 4.1 s after their return.
func TestUpstreamRemovedDuringOutageExpiresInTime(t *testing.T) {
	t.Parallel()
	g := newGroupWithDrainDelay(t, 5*time.Second)
	time.Sleep(time.Second)
	g.feed.setDown(true)
	g.feed.remove(platform.ServersTable, "u0")
	time.Sleep(8 * time.Second) // longer than outageThreshold
	g.feed.setDown(false)
	const bound = 2900 * time.Millisecond // a retry of the read, the time that a live upstream has, and a margin
	g.requireStatusWithin(bound, http.StatusServiceUnavailable, "the coordinator")
	g.member.requireStatusWithin(500*time.Millisecond, http.StatusServiceUnavailable, "the member")
}

// Guards against a member that waits for a coordinator which has stopped.
func TestMemberCoordinatesItselfAfterAStop(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.stop()
	<-g.stopped
	g.member.requireStatusWithin(100*time.Millisecond, http.StatusOK, "requests go on")
	g.feed.put(platform.OperatorTable, "config", documentVersion(9, "another-key"))
	g.member.requireStatusWithin(2500*time.Millisecond, http.StatusUnauthorized, "the key has been withdrawn")
}

// Guards against a stranger's bytes on the port for sessions that end the process or open a session.
func TestStrangersOnThePeerPortChangeNothing(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	address := ""
	for _, row := range g.feed.changesSince("members", 0).Rows {
		if row.Name == "osrednja-1" {
			_, rest, _ := strings.Cut(string(row.Value), `"peer":"`)
			address, _, _ = strings.Cut(rest, `"`)
		}
	}
	for _, bytes := range []string{
		"", "GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x05hello", "\xff\xff\xff\xff", strings.Repeat("\x00", 4096),
	} {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, err = conn.Write([]byte(bytes))
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	g.requireStatusWithin(100*time.Millisecond, http.StatusOK, "the coordinator serves")
	g.member.requireStatusWithin(100*time.Millisecond, http.StatusOK, "the member serves")
	require.NotContains(t, g.log.String(), "session closed")
}
