package store_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/store"
)

// countingConn counts the bytes that are read and written.
type countingConn struct {
	net.Conn
	count *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.Add(int64(n))
	return n, err
}

// BenchmarkCall measures the duration of a call to the platform, client and handler together, and its bytes in both
// directions, with HTTP headers but without TCP and IP headers.
func BenchmarkCall(b *testing.B) {
	const lease = `{"incarnation":1796371200000000000,"address":"10.0.0.1:1000","deadline":"2030-01-01T00:00:00Z",` +
		`"witness":"instance-0001","serial":1000000}`
	var wireBytes atomic.Int64
	memory := &store.Memory{}
	var members []store.Member
	for i := range 42 {
		name := strconv.Itoa(1000 + i)
		members = append(members, store.Member{
			Instance: id.Instance("instance-" + name), Region: "region-07", DataCentre: "region-07-3",
			Caller: "10.0.0.1:" + name, Peer: "10.0.1.1:" + name,
		})
	}
	memory.SetMembers(members)
	server := httptest.NewServer(store.NewHandler(store.HandlerConfig{Table: memory, Objects: memory, Directory: memory}))
	defer server.Close()
	client := store.NewClient(store.ClientConfig{Address: server.URL, HTTPClient: &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			return countingConn{conn, &wireBytes}, err
		},
	}}})
	ctx := context.Background()
	var version uint64
	renew := func() {
		result, err := client.Transact(ctx, store.Transaction{
			Conditions: []store.Condition{{Name: "lease/instance-1000", Version: version}},
			Writes:     []store.Write{{Name: "lease/instance-1000", Value: []byte(lease)}},
		})
		require.NoError(b, err)
		version = result.Rows[0].Version
	}
	renew()
	for _, operation := range []struct {
		name string
		run  func()
	}{
		{"renew", renew},
		{"read=1", func() { _, err := client.Read(ctx, []string{"lease/instance-1000"}); require.NoError(b, err) }},
		{"read=41", func() {
			_, err := client.Read(ctx, slices.Repeat([]string{"lease/instance-1000"}, 41))
			require.NoError(b, err)
		}},
		{"list=42", func() { _, err := client.List(ctx); require.NoError(b, err) }},
	} {
		b.Run(operation.name, func(b *testing.B) {
			before, calls := wireBytes.Load(), 0
			for b.Loop() {
				operation.run()
				calls++
			}
			b.ReportMetric(float64(wireBytes.Load()-before)/float64(calls), "wire-B/op")
		})
	}
}
