package bluebellhold_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"bluebellhold"
	"bluebellhold/id"
	"bluebellhold/internal/loopback"
	"bluebellhold/store"
)

const (
	peerSecret    = "peers-secret-of-the-tests"
	operatorToken = "operators-token-of-the-tests"
	benchmarkKey  = "key-of-the-benchmark"
)

// BenchmarkForward compares one instance with a bare forwarder, which makes no decisions, over the same upstream.
//
// The targets for the instance are at most 1.3 times the p50 latency and at least 0.8 times the throughput of the
// forwarder, at 1 and at 256 connections.
func BenchmarkForward(b *testing.B) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 512))
	}))
	defer upstream.Close()
	bare := httptest.NewServer(bareForwarder(upstream.URL))
	defer bare.Close()
	instance := startInstance(b, upstream.Listener.Addr().String())
	targets := []struct{ name, url string }{
		{"bare", bare.URL + "/service/pregled/draws/7"},
		{"instance", "http://" + instance + "/service/pregled/draws/7"},
	}
	for _, connections := range []int{1, 256} {
		for _, target := range targets {
			b.Run(fmt.Sprintf("connections=%d/%s", connections, target.name), func(b *testing.B) {
				runLoad(b, target.url, connections)
			})
		}
	}
}

// bareForwarder copies requests and responses between net/http's server and transport.
func bareForwarder(upstream string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 512, DisableCompression: true}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := http.NewRequestWithContext(r.Context(), r.Method, upstream+r.URL.Path, r.Body)
		if err != nil {
			panic(err)
		}
		request.ContentLength = r.ContentLength
		response, err := transport.RoundTrip(request)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer response.Body.Close()
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	})
}

func runLoad(b *testing.B, url string, connections int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections}}
	defer client.CloseIdleConnections()
	work := make(chan struct{}, connections)
	latency := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var workers sync.WaitGroup
	b.ResetTimer()
	for range connections {
		workers.Go(func() {
			workerLatency := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			for range work {
				start := time.Now()
				get(b, client, url)
				_ = workerLatency.RecordValue(time.Since(start).Microseconds())
			}
			mu.Lock()
			defer mu.Unlock()
			latency.Merge(workerLatency)
		})
	}
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	workers.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(latency.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(latency.ValueAtQuantile(99)), "p99-us")
}

func get(b *testing.B, client *http.Client, url string) {
	request, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(b, err)
	request.Header.Set("Authorization", "Bearer "+benchmarkKey)
	response, err := client.Do(request)
	require.NoError(b, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(b, err)
	require.Equal(b, http.StatusOK, response.StatusCode)
}

func freeAddress(t testing.TB) string {
	address, err := loopback.FreeAddress()
	require.NoError(t, err)
	return address
}

// startInstance runs one instance with an in-memory platform and a service with one upstream, and returns the address
// for callers.
func startInstance(t testing.TB, upstream string) string {
	var memory store.Memory
	self := store.Member{
		Instance: "osrednja-1", Region: "osrednja", DataCentre: "osrednja-1", Caller: freeAddress(t), Peer: freeAddress(t),
	}
	memory.SetMembers([]store.Member{self})
	operatorAddress := freeAddress(t)
	instance, err := bluebellhold.New(bluebellhold.Config{
		Self: self, Operator: operatorAddress, Secret: []byte(peerSecret), Token: []byte(operatorToken),
		Table: &memory, Objects: &memory, Directory: &memory,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- instance.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
	})
	applyNote(t, operatorAddress, initialNote(upstream))
	waitUntilReady(t, "http://"+self.Caller+"/service/pregled/draws/7")
	return self.Caller
}

func initialNote(upstream string) string {
	return fmt.Sprintf(`{"id":"first","add":{
		"organisations":{"school":{"rate":1000000,"burst":1000000}},
		"keys":{"school-1":{"organisation":"school","digest":%q}},
		"services":{"pregled":{
			"routes":[{"path":"/draws","repeat":true}],
			"upstreams":{"pregled-1":{"region":"osrednja","datacentre":"osrednja-1","address":%q,"slots":512}}}}}}`,
		id.DigestOf([]byte(benchmarkKey)).String(), upstream)
}

func applyNote(t testing.TB, operatorAddress, body string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+operatorAddress+"/notes", strings.NewReader(body))
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, string(content))
}

// waitUntilReady sends requests until the instance has its first shares and responds to one with status 200.
func waitUntilReady(t testing.TB, url string) {
	for range 500 {
		request, err := http.NewRequest(http.MethodGet, url, nil)
		require.NoError(t, err)
		request.Header.Set("Authorization", "Bearer "+benchmarkKey)
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.FailNow(t, "the instance did not become ready")
}
