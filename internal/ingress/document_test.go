package ingress_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/ingress"
	"bluebellhold/platform"
	"bluebellhold/store"
)

// rejectedDocument is a document with a route of an unknown type.
func rejectedDocument(version int) []byte {
	return []byte(strings.Replace(string(documentVersion(version, "secret-key")), `"unsafe"`, `"odd"`, 1))
}

// serveOK is an upstream that answers each request.
var serveOK = serveWith(func(r *http.Request) string { return responseTo(r, "ok") })

// requireLogged waits until the log of an instance contains a text.
func (h *harness) requireLogged(text string) {
	h.Helper()
	require.Eventually(h, func() bool { return strings.Contains(h.log.String(), text) }, 8*time.Second, 5*time.Millisecond, text)
}

// newProcess returns a further instance beside the harness's own, which is not started.
func (h *harness) newProcess() *harness {
	return &harness{T: h.T, feed: h.feed, address: freeAddress(h.T), log: &lockedBuffer{}, client: h.client}
}

// stopProcess ends the process of an instance.
func (h *harness) stopProcess() {
	h.stop()
	<-h.stopped
}

// keptRows returns the rows of the last good document.
func (h *harness) keptRows() []store.Change { return h.feed.changesSince("documents", 0).Rows }

// Guards against processes that have no configuration because they start while the newest document can't be read, and
// against a rejected document that is not reported, or more than once.
func TestProcessStartsBesideARejectedDocument(t *testing.T) {
	t.Parallel()
	h := newHarness(t, serveOK)
	require.Empty(t, h.keptRows(), "kept without a rejected document")
	h.feed.put("op", "config", rejectedDocument(8))
	h.requireLogged(`msg="operator: document rejected" version=8 resource=routes/draw field=type value=odd ` +
		`allowed="safe, download, unsafe or upload" current=7`)
	h.requireLogged("last good document kept")
	h.feed.put("op", "config", rejectedDocument(8))
	time.Sleep(300 * time.Millisecond)
	require.Equal(t, 1, strings.Count(h.log.String(), "document rejected"))
	time.Sleep(2500 * time.Millisecond)
	require.Equal(t, 1, strings.Count(h.log.String(), "last good document kept"), "written again")
	h.stopProcess()
	next := h.newProcess()
	next.start("osrednja-2", h.feed, next.address, next.log, time.Second)
	next.requireLogged(`last good document in force" version=7 rejected=8`)
	next.requireStatusWithin(5*time.Second, http.StatusOK, "served by the kept document")

	h.feed.put("op", "config", documentVersion(9, "another-key"))
	next.requireStatusWithin(2*time.Second, http.StatusUnauthorized, "the key is withdrawn by a readable document")
	h.feed.put("op", "config", rejectedDocument(10))
	next.requireLogged("kept\" version=9")
	next.requireStatusWithin(2*time.Second, http.StatusUnauthorized, "a rejected document brings no key back")
}

// Guards against a process that takes a kept document although the operator's is readable, or is merely missing.
func TestKeptDocumentIsForRejectedOnesOnly(t *testing.T) {
	t.Parallel()
	h := newHarness(t, serveOK)
	h.feed.put("op", "config", rejectedDocument(8))
	h.requireLogged("last good document kept")
	h.stopProcess()
	h.feed.put("op", "config", documentVersion(9, "another-key"))
	next := h.newProcess()
	feed := &ownFeed{memoryFeed: h.feed}
	next.start("osrednja-2", feed, next.address, next.log, time.Second)
	next.requireStatusWithin(5*time.Second, http.StatusUnauthorized, "the key is not in the readable document")
	require.NotContains(t, next.log.String(), "last good document")

	h.feed.remove("op", "config")
	h.requireNeverReady("osrednja-3", "last good document")
}

// requireNeverReady starts an instance and checks that it gets no configuration, and does not log a text.
func (h *harness) requireNeverReady(name id.Instance, text string) *harness {
	h.Helper()
	p := h.newProcess()
	ready := p.startUnready(name)
	time.Sleep(2500 * time.Millisecond)
	require.False(h, ready())
	if text != "" {
		require.NotContains(h, p.log.String(), text)
	}
	return p
}

// Guards against a process that serves by nothing, or fails, because there is no document before the rejected one.
func TestRejectedDocumentWithoutAnEarlierOne(t *testing.T) {
	t.Parallel()
	h := &harness{T: t, feed: &memoryFeed{}, address: freeAddress(t), log: &lockedBuffer{}, client: &http.Client{}}
	h.serveUpstream("u0", serveOK)
	h.feed.put("op", "config", rejectedDocument(8))
	ready := h.startUnready("osrednja-1")
	h.requireLogged("current=none")
	time.Sleep(1500 * time.Millisecond)
	require.False(t, ready())
	require.Empty(t, h.keptRows())
	h.feed.put("op", "config", documentVersion(9, "secret-key"))
	require.Eventually(t, ready, 8*time.Second, 10*time.Millisecond)
}

// Guards against keys that were withdrawn between two rejected documents: the document kept for the first one still holds
// them.
func TestDocumentKeptForAnotherRejectionIsNotUsed(t *testing.T) {
	t.Parallel()
	h := newHarness(t, serveOK)
	h.feed.put("op", "config", rejectedDocument(8))
	h.requireLogged("last good document kept")
	h.stopProcess()
	h.feed.put("op", "config", documentVersion(9, "another-key"))
	h.feed.put("op", "config", rejectedDocument(10))
	p := h.requireNeverReady("osrednja-2", "in force")
	require.Contains(t, p.log.String(), "kept for another rejected document")
}

// Guards against a damaged, oversized or forged row that is used, that is logged again and again, or that stays.
func TestDamagedKeptRowsAreIgnored(t *testing.T) {
	for name, row := range map[string]func([]byte) []byte{
		"damaged":   func(value []byte) []byte { return value[:len(value)/2] },
		"oversized": func(value []byte) []byte { return append(value, make([]byte, 64<<10)...) },
		"forged": func([]byte) []byte {
			rows, err := ingress.SealLast([]byte("another secret"), "config", documentVersion(70, "forged-key"), 70, rejectedDocument(8))
			require.NoError(t, err)
			return rows[0].Value
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t, serveOK)
			h.feed.put("op", "config", rejectedDocument(8))
			h.requireLogged("last good document kept")
			kept := string(h.keptRows()[0].Value)
			h.stopProcess()
			h.feed.put("documents", "last", row([]byte(kept)))
			p := h.requireNeverReady("osrednja-2", "in force")
			require.Equal(t, 1, strings.Count(p.log.String(), "kept document ignored"))
			h.feed.put("documents", "last", []byte(kept))
			p.requireLogged("last good document in force")
		})
	}
}

// Guards against coordinators that replace the document of one with a newer one, or that stop each other.
func TestTwoCoordinatorsKeepTheNewerDocument(t *testing.T) {
	t.Parallel()
	h := newHarness(t, serveOK)
	other, feed := h.newProcess(), &ownFeed{memoryFeed: h.feed}
	other.startIn("koper", "koper-1", feed, other.address, other.log, time.Second)
	feed.isCut.Store(true)
	time.Sleep(100 * time.Millisecond)
	h.feed.put("op", "config", documentVersion(9, "another-key"))
	h.requireStatusWithin(2*time.Second, http.StatusUnauthorized, "the newer document")
	h.feed.put("op", "config", rejectedDocument(10))
	h.requireLogged(`last good document kept" version=9`)
	feed.isCut.Store(false)
	other.requireLogged("document rejected")
	other.requireLogged(`last good document in force" version=9 rejected=10`)
	require.NotContains(t, other.log.String(), `kept" version=7`)
	other.requireStatusWithin(2*time.Second, http.StatusUnauthorized, "no withdrawn key")
}

// Guards against a document that is not kept because the store is down when it has to be.
func TestDocumentIsKeptOnceTheStoreIsBack(t *testing.T) {
	t.Parallel()
	feed := &documentFeed{memoryFeed: &memoryFeed{}}
	h := &harness{T: t, feed: feed.memoryFeed, address: freeAddress(t), log: &lockedBuffer{}, client: &http.Client{}}
	h.serveUpstream("u0", serveOK)
	h.feed.put("op", "config", documentVersion(7, "secret-key"))
	h.start("osrednja-1", feed, h.address, h.log, time.Second)
	time.Sleep(1500 * time.Millisecond)
	require.Zero(t, feed.calls.Load(), "calls while the document is readable")
	feed.isCut.Store(true)
	h.feed.put("op", "config", rejectedDocument(8))
	h.requireLogged("can't be read or kept")
	h.requireStatusWithin(time.Second, http.StatusOK, "serves meanwhile")
	feed.isCut.Store(false)
	h.requireLogged("last good document kept")
}

// Guards against a configuration that goes back, and against a kept document that stays the older one, because the store
// has returned from a copy in which an earlier document was rejected.
func TestKeptDocumentOfARestoredStoreIsReplaced(t *testing.T) {
	t.Parallel()
	h := newHarness(t, serveOK)
	h.feed.put("op", "config", rejectedDocument(8))
	h.requireLogged(`last good document kept" version=7`)
	restore := h.feed.copy()
	h.feed.put("op", "config", documentVersion(9, "another-key"))
	h.requireStatusWithin(2*time.Second, http.StatusUnauthorized, "the newer document")
	restore()
	h.requireLogged(`last good document kept" version=9`)
	h.requireStatusWithin(time.Second, http.StatusUnauthorized, "still the newer document")
	next := h.newProcess()
	next.start("osrednja-2", h.feed, next.address, next.log, time.Second)
	next.requireLogged(`last good document in force" version=9 rejected=8`)
}

// documentFeed is a way to the store on which only the table of documents can't be reached.
type documentFeed struct {
	*memoryFeed
	isCut atomic.Bool
	calls atomic.Int64
}

func (f *documentFeed) Snapshot(ctx context.Context, table string) (store.ChangeSet, error) {
	if table != "documents" {
		return f.memoryFeed.Snapshot(ctx, table)
	}
	// The first call for a table is a snapshot.
	f.calls.Add(1)
	if f.isCut.Load() {
		return store.ChangeSet{}, &store.UnavailableError{Operation: table}
	}
	return f.memoryFeed.Snapshot(ctx, table)
}

// Guards against a large document that is cut off, and against parts of different documents that are joined.
func TestLargeDocumentsUseSeveralRows(t *testing.T) {
	var large strings.Builder
	for i := range 6000 {
		fmt.Fprintf(&large, "%x", id.DigestOf([]byte{byte(i), byte(i >> 8)}))
	}
	secret := []byte("secret")
	rows, err := ingress.EncodeLast(secret, 7, large.String())
	require.NoError(t, err)
	require.Greater(t, len(rows), 2)
	for _, row := range rows {
		require.LessOrEqual(t, len(row.Value), 64<<10)
	}
	version, value, err := ingress.DecodeLast(secret, rows)
	require.NoError(t, err)
	require.Equal(t, uint64(7), version)
	require.Equal(t, large.String(), value)
	others, err := ingress.EncodeLast(secret, 9, large.String())
	require.NoError(t, err)
	_, _, err = ingress.DecodeLast(secret, append(rows[:1:1], others[1:]...))
	require.Error(t, err, "parts of another document")
	_, _, err = ingress.DecodeLast(secret, rows[:2])
	require.Error(t, err, "a part is missing")
	larger := strings.Repeat(large.String(), 4)
	rows, err = ingress.EncodeLast(secret, 7, larger)
	require.NoError(t, err)
	_, value, err = ingress.DecodeLast(secret, rows)
	require.NoError(t, err)
	require.Equal(t, larger, value)
	_, err = ingress.EncodeLast(secret, 7, strings.Repeat(large.String(), 10))
	require.Error(t, err, "too many parts")
	_, err = ingress.EncodeLast(secret, 7, strings.Repeat("x", 16<<20))
	require.Error(t, err, "too large")
}

// Guards against operators who can't see from the outside which document was rejected.
func TestRejectedDocumentIsInDumpAndMetrics(t *testing.T) {
	t.Parallel()
	h := &harness{T: t, feed: &memoryFeed{}, address: freeAddress(t), log: &lockedBuffer{}, client: &http.Client{}}
	h.serveUpstream("u0", serveOK)
	h.feed.put(platform.OperatorTable, "config", []byte(document))
	registry, control := metrics.NewRegistry(), freeAddress(t)
	h.startWith("osrednja-1", func(c *ingress.Config) { c.Registry, c.MetricsAddress = registry, control })
	dump := func() (d struct {
		Version  uint64
		Rejected *struct {
			Version                         uint64
			Resource, Field, Value, Allowed string
		}
	},
	) {
		response, err := h.client.Get("http://" + control + "/dump")
		require.NoError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(body, &d))
		return d
	}
	require.Nil(t, dump().Rejected)
	h.feed.put("op", "config", rejectedDocument(8))
	require.Eventually(t, func() bool { return dump().Rejected != nil }, 2*time.Second, 5*time.Millisecond)
	d := dump()
	require.Equal(t, uint64(7), d.Version)
	require.Equal(t, uint64(8), d.Rejected.Version)
	require.Equal(t, "routes/draw type odd", d.Rejected.Resource+" "+d.Rejected.Field+" "+d.Rejected.Value)
	require.Equal(t, int64(1), metrics.GetOrRegisterCounter("operator.rejected", registry).Count())
	h.feed.put("op", "config", documentVersion(9, "secret-key"))
	require.Eventually(t, func() bool { return dump().Rejected == nil }, 2*time.Second, 5*time.Millisecond)
}
