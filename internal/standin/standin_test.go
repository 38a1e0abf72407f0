package standin_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/standin"
	"bluebellhold/store"
)

// awaitTimeout is far above the time that any awaited change takes; it only ends a test that would hang.
const awaitTimeout = 20 * time.Second

func start(t *testing.T, slots id.Slots) (*standin.Server, string) {
	t.Helper()
	server, err := standin.Start(standin.Config{Services: map[id.Service][]standin.Upstream{
		"draws": {{Name: "draws-1", Region: "osrednja", Slots: slots, Outage: 50}},
	}})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, server.Close()) })
	return server, server.Upstreams()[0].Address
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, awaitTimeout, 5*time.Millisecond)
}

func send(ctx context.Context, address string, headers ...string) (int, http.Header, string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/draws/7?x=1", strings.NewReader("names"))
	if err != nil {
		return 0, nil, "", err
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(body), err
}

// sendOK sends a request, requires status 200 and returns the response body.
func sendOK(t *testing.T, address string, headers ...string) string {
	t.Helper()
	status, _, body, err := send(context.Background(), address, headers...)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	return body
}

// startLongRequest sends a request that runs until it is cancelled; result receives its error.
func startLongRequest(t *testing.T, server *standin.Server, address string) (stop func(), result chan error) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	result = make(chan error, 1)
	running := server.UpstreamCounts("draws-1").Running
	go func() {
		_, _, _, err := send(ctx, address, "Test-Slow", "3600000")
		result <- err
	}()
	eventually(t, func() bool { return server.UpstreamCounts("draws-1").Running > running })
	return cancel, result
}

// Guards against a shed request that counts as run, and against work that continues after its caller disconnected.
func TestShedAndCancel(t *testing.T) {
	server, address := start(t, 1)
	cancel, result := startLongRequest(t, server, address)
	status, header, _, err := send(context.Background(), address, "Idempotency-Key", "k")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "not run", header.Get("Outcome"))
	require.Zero(t, server.Runs("k"))

	cancel()
	require.Error(t, <-result)
	eventually(t, func() bool { return server.UpstreamCounts("draws-1").Running == 0 })
	sendOK(t, address)
	require.Equal(t, standin.UpstreamCounts{Runs: 2, Completed: 1, Cancelled: 1, Shed: 1, Peak: 1}, server.UpstreamCounts("draws-1"))
	require.Equal(t, 1, server.PeakConcurrency("osrednja/draws"))
}

// Guards against a simulated crash that lets requests in flight continue, responds to them or affects another upstream.
func TestCrash(t *testing.T) {
	server, address := start(t, 4)
	require.NoError(t, server.Change(standin.Change{Action: standin.ActionStart, Upstream: &standin.Upstream{
		Name: "draws-2", Service: "draws", Region: "osrednja", Slots: 1,
	}}))
	_, otherResult := startLongRequest(t, server, address)
	_, _, _, err := send(context.Background(), address, "Test-Crash", "yes")
	require.Error(t, err)
	require.Error(t, <-otherResult)
	sendOK(t, server.Upstreams()[1].Address)
	eventually(t, func() bool {
		_, _, _, err := send(context.Background(), address)
		return err == nil
	})
	require.Equal(t, int64(1), server.UpstreamCounts("draws-1").Crashes)

	require.NoError(t, server.Kill("draws-1"))
	_, _, _, err = send(context.Background(), address)
	require.Error(t, err)
	require.NoError(t, server.Change(standin.Change{Region: "osrednja", Action: standin.ActionRevive}))
	sendOK(t, address)
}

// Guards against request headers without the effect that scenarios rely on.
func TestRequestOptions(t *testing.T) {
	server, address := start(t, 4)
	ctx := context.Background()
	var echo standin.Echo
	require.NoError(t, json.Unmarshal([]byte(sendOK(t, address, "Idempotency-Key", "k", "Authorization", "Bearer x")), &echo))
	require.Equal(t, id.DigestOf([]byte("names")).String(), echo.Digest)
	require.Equal(t, "/draws/7?x=1", echo.Path)
	require.Equal(t, "Bearer x", echo.Headers.Get("Authorization"))
	require.Equal(t, int64(1), server.Runs("k"))
	require.Equal(t, int64(1), server.UpstreamCounts("draws-1").WithAuthorization)

	require.Equal(t, strings.Repeat(echo.Digest, 100000)[:100000], sendOK(t, address, "Test-Size", "100000"))
	_, _, body, err := send(ctx, address, "Test-Break", "70000", "Test-Size", "100000")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Len(t, body, 70000)

	status, header, _, err := send(ctx, address, "Request-Timeout", "20", "Test-Slow", "3600000")
	require.NoError(t, err)
	require.Equal(t, http.StatusGatewayTimeout, status)
	require.Equal(t, "unknown", header.Get("Outcome"))

	require.NoError(t, server.Change(standin.Change{Service: "draws", Action: standin.ActionDrain}))
	require.Zero(t, server.UpstreamCounts("draws-1").RunsAfterDrain)
	sendOK(t, address)
	require.Equal(t, int64(1), server.UpstreamCounts("draws-1").RunsAfterDrain)
}

// Guards against an upstream that is as fast with a cold cache as with a warm one, or that stays cold after requests.
func TestColdStart(t *testing.T) {
	server, err := standin.Start(standin.Config{Services: map[id.Service][]standin.Upstream{
		"draws": {{Name: "draws-1", Region: "osrednja", Slots: 1, ServiceTime: 1, ColdPeriod: 3600000, ColdFactor: 3600000, WarmupRequests: 1}},
	}})
	require.NoError(t, err)
	defer func() { require.NoError(t, server.Close()) }()
	address := server.Upstreams()[0].Address
	for _, want := range []int{http.StatusGatewayTimeout, http.StatusOK} {
		status, _, _, err := send(context.Background(), address, "Request-Timeout", "2000")
		require.NoError(t, err)
		require.Equal(t, want, status)
	}
}

// Guards against load reports that cannot be delayed, overridden or made to fail, without which no scenario would show
// a load balancer that relies on them.
func TestLoadReports(t *testing.T) {
	server, address := start(t, 4)
	getLoad := func() string {
		response, err := http.Get("http://" + address + "/load")
		require.NoError(t, err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		return response.Status + strings.TrimSpace(string(body))
	}
	startLongRequest(t, server, address)
	require.Equal(t, `200 OK{"running":1,"slots":4}`, getLoad())
	require.NoError(t, server.DelayLoadReports("draws-1", 3600000))
	startLongRequest(t, server, address)
	require.Equal(t, `200 OK{"running":1,"slots":4}`, getLoad())
	require.NoError(t, server.OverrideLoadReports("draws-1", 99))
	require.Equal(t, `200 OK{"running":99,"slots":4}`, getLoad())
	require.NoError(t, server.FailLoadReports("draws-1", true))
	require.Equal(t, `503 Service Unavailable`, getLoad())
}

// Guards against faults that affect the wrong instance, undo the write or cannot be cleared.
func TestPlatformFaults(t *testing.T) {
	server, _ := start(t, 1)
	ctx := context.Background()
	client := func(name id.Instance) *store.Client {
		return store.NewClient(store.ClientConfig{Address: server.PlatformAddress(), Instance: name, Timeout: awaitTimeout})
	}
	first, second := client("osrednja-1"), client("osrednja-2")
	insert := func(name string) store.Transaction {
		return store.Transaction{Conditions: []store.Condition{{Name: name}}, Writes: []store.Write{{Name: name}}}
	}
	var unavailable *store.UnavailableError

	require.NoError(t, server.Partition("osrednja-1"))
	require.NoError(t, server.SetDelay(1))
	_, err := first.Transact(ctx, insert("a"))
	require.ErrorAs(t, err, &unavailable)
	rows, err := second.Read(ctx, []string{"a"})
	require.NoError(t, err)
	require.Zero(t, rows[0].Version)

	require.NoError(t, server.Partition())
	require.NoError(t, server.LoseResponses(1))
	_, err = first.Transact(ctx, insert("a"))
	require.ErrorAs(t, err, &unavailable)
	result, err := first.Transact(ctx, insert("a"))
	require.NoError(t, err)
	require.False(t, result.Committed)
	require.NotZero(t, result.Rows[0].Version)
	_, err = first.Transact(ctx, insert("c"))
	require.NoError(t, err)

	for _, mode := range []standin.DownMode{standin.DownModeStatus503, standin.DownModeRefuse} {
		require.NoError(t, server.SetDown(mode))
		_, err = first.Read(ctx, nil)
		require.ErrorAs(t, err, &unavailable)
	}
	require.NoError(t, server.ClearFaults())
	_, err = first.Transact(ctx, insert("b"))
	require.NoError(t, err)
	require.Equal(t, standin.PlatformCounts{Transactions: 4, Committed: 3, LostResponses: 1, RowsWritten: 3, Reads: 1, RowsRead: 1}, server.Counts().Platform)
}

// Guards against a directory that shows changes before the lag or lists members whose port is closed.
func TestDirectory(t *testing.T) {
	server, _ := start(t, 1)
	client := store.NewClient(store.ClientConfig{Address: server.PlatformAddress()})
	memberCount := func() int {
		list, err := client.List(context.Background())
		require.NoError(t, err)
		return len(list)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	member := store.Member{Instance: "osrednja-1", Peer: listener.Addr().String()}
	require.NoError(t, server.SetMembers(standin.Members{List: []store.Member{member}, Probe: true}))
	eventually(t, func() bool { return memberCount() == 1 })
	require.NoError(t, listener.Close())
	eventually(t, func() bool { return memberCount() == 0 })
	require.NoError(t, server.SetMembers(standin.Members{List: []store.Member{member}, Lag: 3600000}))
	require.Zero(t, memberCount())
}

// Guards against settings that are accepted although a part of them is unknown or invalid.
func TestParseRejectsInvalidSettings(t *testing.T) {
	for _, body := range []string{
		`{"unknown":1}`, `{} {}`, `{"control":"192.0.2.1:80"}`, `{"platform":"nowhere"}`, `{"members":{"lag":-1}}`,
		`{"members":{"list":[{"instance":"a"},{"instance":"a"}]}}`, `{"members":{"list":[{"instance":"a"}],"probe":true}}`,
		`{"services":{"draws":[{"name":"a","region":"r","slots":0}]}}`, `{"services":{"draws":[{"name":"a","slots":1}]}}`,
		`{"services":{"draws":[{"name":"a","region":"r","slots":1}],"gifts":[{"name":"a","region":"r","slots":1}]}}`,
	} {
		_, err := standin.Parse([]byte(body))
		var invalid *standin.ConfigError
		require.ErrorAs(t, err, &invalid, body)
	}
	_, err := standin.Parse([]byte(`{"services":{"draws":[{"name":"a","region":"r","slots":1,"address":"127.0.0.1:0"}]}}`))
	require.NoError(t, err)
}
