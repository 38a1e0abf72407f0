package ingress_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"bluebellhold/id"
	"bluebellhold/internal/ingress"
	"bluebellhold/internal/wire"
	"bluebellhold/platform"
)

// paddedDocument returns a document with a version and a key that is larger than a number of bytes by resources of an unknown
// kind, whose content can't be compressed well.
func paddedDocument(version int, key string, size int) []byte {
	random := rand.New(rand.NewPCG(uint64(version), 2))
	head, tail, _ := strings.Cut(string(documentVersion(version, key)), `"resources":[`)
	var b bytes.Buffer
	b.WriteString(head + `"resources":[`)
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, `{"resourceKind":"notes","metadata":{"name":"note-%d"},"spec":{"text":"%x%x%x%x"}},`,
			n, random.Uint64(), random.Uint64(), random.Uint64(), random.Uint64())
	}
	b.WriteString(tail)
	return b.Bytes()
}

// Guards against members that keep an old document because the new one is too large for a message: on kpalc-harvest-grown,
// routes that a document of more than 1 MB had added were answered 404 for seconds by all members that could not read it from
// the store in time.
func TestLargeDocumentsReachTheMembers(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	time.Sleep(4 * time.Second) // until the coordinator vouches for the member
	g.memberFeed.isCut.Store(true)
	version := 7
	// The race detector compresses and decodes much larger ones too slowly for the bound.
	for _, size := range []int{900 << 10, 1100 << 10} {
		g.feed.put(platform.OperatorTable, "config", paddedDocument(version+2, "another-key", size))
		g.member.requireStatusWithin(2500*time.Millisecond, http.StatusUnauthorized, fmt.Sprint(size, " bytes: the key has been withdrawn"))
		g.feed.put(platform.OperatorTable, "config", paddedDocument(version+4, "secret-key", size))
		g.member.requireStatusWithin(2500*time.Millisecond, http.StatusOK, fmt.Sprint(size, " bytes: the key has been added"))
		version += 4
	}
	require.NotContains(t, g.member.log.String(), "level=error")
}

// Guards against a large update that is sent in messages too large for a session, or that is put together from parts of several.
func TestLargeUpdatesAreSplit(t *testing.T) {
	feed := &memoryFeed{}
	feed.put("op", "config", []byte("first"))
	relay, err := ingress.NewRelay(feed, "op")
	require.NoError(t, err)
	after := feed.changesSince("op", 0).Version
	value := paddedDocument(9, "secret-key", 3<<20)
	feed.put("op", "config", value)
	require.NoError(t, relay.Read())
	updates := relay.UpdatesFor("member", after)
	require.Len(t, updates, 1)
	split := func() []*wire.RowsPart {
		var parts []*wire.RowsPart
		for _, m := range ingress.SplitUpdate(proto.Clone(updates[0]).(*wire.RowsUpdate)) {
			require.Less(t, proto.Size(m), 80<<10)
			parts = append(parts, m.GetRowsPart())
		}
		return parts
	}
	parts := split()
	require.Greater(t, len(parts), 10)
	var p ingress.PartialUpdate
	for n, part := range parts {
		u, ok := p.Add("osrednja-1", part)
		require.True(t, ok)
		require.Equal(t, n == len(parts)-1, u != nil)
		if u != nil {
			require.True(t, proto.Equal(updates[0], u))
		}
	}
	random := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		var lossy ingress.PartialUpdate
		lost := random.IntN(len(parts))
		for n, part := range split() {
			from := "osrednja-1"
			if random.IntN(50) == 0 {
				from = "osrednja-2"
			}
			if n == lost {
				continue
			}
			u, _ := lossy.Add(id.Instance(from), part)
			require.Nil(t, u, "whole without part %d", lost)
		}
	}
}
