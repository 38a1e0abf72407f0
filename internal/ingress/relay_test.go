package ingress_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"bluebellhold/id"
	"bluebellhold/internal/ingress"
	"bluebellhold/internal/wire"
)

// largeDocument returns a configuration of 190 organisations with two random keys each, about 60 kB.
func largeDocument(version int) []byte {
	random := rand.New(rand.NewPCG(uint64(version), 1))
	key := func() string {
		const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
		var b strings.Builder
		for range 20 {
			b.WriteByte(digits[random.IntN(len(digits))])
		}
		return b.String()
	}
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"resources":[`, version)
	for i := range 190 {
		fmt.Fprintf(&b, `{"resourceKind":"tenants","metadata":{"name":"organisation-%d"},"spec":{"apiKeys":[%q,%q],`+
			`"priority":1,"ratePerS":%d,"burst":%d,"allowedRegions":[]}},`, i, key(), key(), 1+i, 1+i)
	}
	for i := range 40 {
		fmt.Fprintf(&b, `{"resourceKind":"routes","metadata":{"name":"route-%d"},"spec":{"host":"host-%d.example","prefix":"/p%d/",`+
			`"type":"safe","timeout":"5000ms","targetLatency":"1036ms","priority":2,"service":"pregled","maxAttempts":2,`+
			`"public":false,"sticky":true,"allowedRegions":["osrednja","stajerska","primorska"],"note":%q}},`, i, i, i, strings.Repeat(key(), 10))
	}
	return []byte(b.String())
}

// Guards against a change of the configuration that fills a coordinator's link: sent as it is to 39 members over 20
// Mbit/s, it held up the grants of tokens for a second, and 4,451 requests of the first 4 s of a large day were refused.
func TestRelayedConfigurationIsCompressed(t *testing.T) {
	feed := &memoryFeed{}
	feed.put("op", "config", largeDocument(1))
	relay, err := ingress.NewRelay(feed, "op")
	require.NoError(t, err)
	after := feed.changesSince("op", 0).Version
	document := largeDocument(2)
	feed.put("op", "config", document)
	require.NoError(t, relay.Read())
	sent := 0
	for i := range 39 {
		for _, u := range relay.UpdatesFor(id.Instance(fmt.Sprint("member-", i)), after) {
			sent += proto.Size(u)
		}
	}
	// What a link of 20 Mbit/s carries in the 150 ms after which members repeat their requests for tokens.
	const bound = 20_000_000 / 8 * 150 / 1000
	t.Logf("%d of %d bytes", sent, 39*len(document))
	require.Less(t, sent, bound)
	_, messages := relay.Held()
	require.Equal(t, 1, messages, "compressed once for all members")
}

// Guards against a coordinator that holds every version of a row that it has read: 4,000 changes a day of a
// configuration of 60 kB are 240 MB.
func TestRelayHoldsTheLatestVersionOfEachRow(t *testing.T) {
	feed := &memoryFeed{}
	feed.put("op", "config", []byte("first"))
	relay, err := ingress.NewRelay(feed, "op")
	require.NoError(t, err)
	after := feed.changesSince("op", 0).Version
	for i := range 100 {
		feed.put("op", "config", fmt.Appendf(nil, "version %d", i))
		feed.put("op", "evacuate/osrednja-a", []byte("{}"))
		require.NoError(t, relay.Read())
		feed.remove("op", "evacuate/osrednja-a")
		require.NoError(t, relay.Read())
	}
	changes, _ := relay.Held()
	require.Equal(t, 2, changes)
	rows := relay.UpdatesFor("member", after)[0].GetRows()
	require.Len(t, rows, 2)
	require.Equal(t, "version 99", string(rows[0].GetValue()))
	require.True(t, rows[1].GetDeleted())
}

// Guards against a change that never reaches the members, since the coordinator read it together with a write that failed: the
// heartbeat of an instance that has left, or has a new address.
func TestRelayKeepsTheChangesOfAFailedRead(t *testing.T) {
	feed := &memoryFeed{}
	feed.put("members", "osrednja-1", []byte("first"))
	relay, err := ingress.NewRelay(feed, "members")
	require.NoError(t, err)
	after := feed.changesSince("members", 0).Version
	feed.put("members", "osrednja-2", []byte("second"))
	require.NoError(t, relay.ReadAndFail())
	require.True(t, relay.UpdatesFor("member", after)[0].GetReload())
	feed.put("members", "osrednja-3", []byte("third"))
	require.NoError(t, relay.Read())
	require.Len(t, relay.UpdatesFor("member", after)[0].GetRows(), 2)
}

// Guards against a member whose requests for rows make the coordinator keep a message for each version that it names.
func TestRelayBoundsCachedMessages(t *testing.T) {
	feed := &memoryFeed{}
	feed.put("op", "config", largeDocument(1))
	relay, err := ingress.NewRelay(feed, "op")
	require.NoError(t, err)
	after := feed.changesSince("op", 0).Version
	for i := range 300 {
		feed.put("op", fmt.Sprint("row-", i), largeDocument(3)[:1100])
	}
	require.NoError(t, relay.Read())
	for i := range uint64(300) {
		relay.UpdatesFor("member", after+i)
	}
	_, messages := relay.Held()
	require.Less(t, messages, 100)
}

// Guards against a message that is small on the wire and fills the memory when it is decompressed.
func TestDecompressedMessagesAreBounded(t *testing.T) {
	packed, err := ingress.CompressMessage(&wire.RowsUpdate{Rows: []*wire.Row{{Value: make([]byte, 64<<20)}}})
	require.NoError(t, err)
	require.Less(t, len(packed), 128<<10)
	var sizeError *ingress.SizeError
	require.ErrorAs(t, ingress.DecompressMessage(packed, &wire.RowsUpdate{}), &sizeError)
	require.Error(t, ingress.DecompressMessage([]byte("no compressed message"), &wire.RowsUpdate{}))
}
