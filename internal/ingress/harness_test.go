package ingress_test

import (
	"bufio"
	"cmp"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"bluebellhold/features"
	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/internal/ingress"
	"bluebellhold/internal/loopback"
	"bluebellhold/logwriter"
	"bluebellhold/platform"
	"bluebellhold/store"
)

// memoryFeed is an in-memory store.ChangeFeed that can be made unavailable.
type memoryFeed struct {
	mu      sync.Mutex
	isDown  bool
	era     uint64
	version uint64
	rows    map[string]map[string]store.Change
}

// copy returns a function that makes the store return from what it holds now, in a new era.
func (f *memoryFeed) copy() (restore func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	copied, version := make(map[string]map[string]store.Change), f.version
	for table, rows := range f.rows {
		copied[table] = maps.Clone(rows)
	}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.era++
		f.rows, f.version = copied, store.VersionInEra(f.era, store.NumberOf(version))
		for _, rows := range f.rows {
			for name, row := range rows {
				row.Version = store.VersionInEra(f.era, store.NumberOf(row.Version))
				rows[name] = row
			}
		}
	}
}

func (f *memoryFeed) Put(_ context.Context, table, name string, value []byte, expectedVersion uint64) error {
	f.mu.Lock()
	isDown, hasOtherVersion := f.isDown, f.rows[table][name].Version != expectedVersion
	f.mu.Unlock()
	switch {
	case isDown:
		return &store.UnavailableError{Operation: table}
	case hasOtherVersion:
		return &store.ConflictError{Table: table, Name: name, ExpectedVersion: expectedVersion}
	}
	f.put(table, name, value)
	return nil
}

// put writes a row regardless of its version.
func (f *memoryFeed) put(table, name string, value []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	if f.rows == nil {
		f.rows = make(map[string]map[string]store.Change)
	}
	if f.rows[table] == nil {
		f.rows[table] = make(map[string]store.Change)
	}
	f.rows[table][name] = store.Change{Name: name, Version: f.version, Value: value}
}

func (f *memoryFeed) Snapshot(_ context.Context, table string) (store.ChangeSet, error) {
	return f.changesSince(table, 0), nil
}

func (f *memoryFeed) Changes(
	ctx context.Context, table string, afterVersion uint64, maxWait time.Duration,
) (store.ChangeSet, error) {
	deadline := time.Now().Add(maxWait)
	for {
		if f.unavailable() {
			return store.ChangeSet{}, &store.UnavailableError{Operation: table}
		}
		changes := f.changesSince(table, afterVersion)
		if store.EraOf(changes.Version) != store.EraOf(afterVersion) {
			return store.ChangeSet{}, &store.HistoryTruncatedError{After: afterVersion}
		}
		if len(changes.Rows) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return changes, ctx.Err()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// setDown makes the calls of instances fail, or succeed again.
func (f *memoryFeed) setDown(isDown bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isDown = isDown
}

func (f *memoryFeed) unavailable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isDown
}

// remove deletes a row.
func (f *memoryFeed) remove(table, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.rows[table][name] = store.Change{Name: name, Version: f.version, Deleted: true}
}

func (f *memoryFeed) changesSince(table string, afterVersion uint64) store.ChangeSet {
	f.mu.Lock()
	defer f.mu.Unlock()
	changes := store.ChangeSet{Version: f.version}
	for _, row := range f.rows[table] {
		if row.Version > afterVersion {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes
}

const document = `{"version":7,"resources":[
 {"resourceKind":"routes","metadata":{"name":"look"},"spec":{"host":"example","prefix":"/look/","type":"safe","timeout":"1500ms","targetLatency":"400ms","service":"pregled","maxAttempts":2,"sticky":true}},
 {"resourceKind":"routes","metadata":{"name":"draw"},"spec":{"host":"example","prefix":"/draw/","type":"unsafe","timeout":"1500ms","targetLatency":"400ms","service":"pregled","maxAttempts":2}},
 {"resourceKind":"services","metadata":{"name":"pregled"},"spec":{"maxConns":330,"coldPerS":9.6}},
 {"resourceKind":"tenants","metadata":{"name":"school"},"spec":{"apiKeys":["secret-key"],"ratePerS":0}},
 {"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]}`

// harness runs one instance with an in-memory store and scripted upstreams.
type harness struct {
	*testing.T
	feed    *memoryFeed
	address string
	stop    context.CancelFunc
	stopped chan struct{}
	client  *http.Client
	log     *lockedBuffer
	// features are those of the instances that are started later.
	features features.Set
	registry metrics.Registry
	// memoryLimit is that of the instances that are started later; zero means 256 MiB.
	memoryLimit id.Bytes
}

// lockedBuffer collects the log of the instance; it is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func freeAddress(t *testing.T) string {
	address, err := loopback.FreeAddress()
	require.NoError(t, err)
	return address
}

// newHarness starts an instance; each of upstreams handles the raw connections to one upstream.
func newHarness(t *testing.T, upstreams ...func(net.Conn)) *harness {
	return newHarnessWithDrainDelay(t, time.Second, upstreams...)
}

// newHarnessWithDrainDelay starts an instance that must notice a draining upstream within maxDrainDelay.
func newHarnessWithDrainDelay(t *testing.T, maxDrainDelay time.Duration, upstreams ...func(net.Conn)) *harness {
	h := &harness{T: t, feed: &memoryFeed{}, address: freeAddress(t)}
	h.log = &lockedBuffer{}
	h.client = &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	h.feed.put(platform.OperatorTable, "config", []byte(document))
	for i, handle := range upstreams {
		h.serveUpstream(fmt.Sprint("u", i), handle)
	}
	h.stop, h.stopped = h.start("osrednja-1", h.feed, h.address, h.log, maxDrainDelay)
	return h
}

// serveUpstream starts an upstream, writes its row and returns its address; handle serves each connection.
func (h *harness) serveUpstream(name string, handle func(net.Conn)) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(h, err)
	h.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
	h.writeUpstream(name, l.Addr().String(), 5, "ready", 1)
	return l.Addr().String()
}

// writeUpstream writes the row of an upstream.
func (h *harness) writeUpstream(name, address string, startedAt int, state string, sequence int) {
	h.feed.put(platform.ServersTable, name, fmt.Appendf(nil,
		`{"address":%q,"born":%d,"info":{"service":"pregled","zone":"osrednja-a","slots":4},"status":{"state":%q,"sequence":%d,"coldLeft":"0ms"}}`,
		address, startedAt, state, sequence))
}

// start starts an instance and waits until it is ready. It returns a function that stops it, and a channel that is closed
// once it has stopped.
func (h *harness) start(
	name id.Instance, feed store.ChangeFeed, address string, output io.Writer, maxDrainDelay time.Duration,
) (context.CancelFunc, chan struct{}) {
	return h.startIn("osrednja", name, feed, address, output, maxDrainDelay)
}

// startIn starts an instance like start, in the given region.
func (h *harness) startIn(
	region id.Region, name id.Instance, feed store.ChangeFeed, address string, output io.Writer, maxDrainDelay time.Duration,
) (context.CancelFunc, chan struct{}) {
	isReady, stop, stopped := h.run(region, name, feed, address, output, maxDrainDelay, func(*ingress.Config) {})
	require.Eventually(h, isReady, 10*time.Second, 5*time.Millisecond)
	return stop, stopped
}

// startUnready starts the harness's instance and returns whether it is ready.
func (h *harness) startUnready(name id.Instance) (isReady func() bool) {
	isReady, h.stop, h.stopped = h.run("osrednja", name, h.feed, h.address, h.log, time.Second, func(*ingress.Config) {})
	return isReady
}

// startWith starts the harness's instance with a changed configuration and waits until it is ready.
func (h *harness) startWith(name id.Instance, change func(*ingress.Config)) {
	var isReady func() bool
	isReady, h.stop, h.stopped = h.run("osrednja", name, h.feed, h.address, h.log, time.Second, change)
	require.Eventually(h, isReady, 10*time.Second, 5*time.Millisecond)
}

// run starts an instance. It returns whether it is ready, a function that stops it, and a channel that is closed once it
// has stopped.
func (h *harness) run(
	region id.Region, name id.Instance, feed store.ChangeFeed, address string, output io.Writer, maxDrainDelay time.Duration,
	change func(*ingress.Config),
) (func() bool, context.CancelFunc, chan struct{}) {
	config := ingress.Config{
		Instance: name, Region: region, DataCentre: id.DataCentre(region) + "-a",
		CallerAddress: address, ReadinessAddress: freeAddress(h.T), LookupAddress: freeAddress(h.T),
		MetricsAddress: freeAddress(h.T), PeerAddress: freeAddress(h.T),
		Bounds: entry.Bounds{
			RetryRatio: 0.2, RetryExtra: 56, RetryWindow: 10 * time.Second, RateWindow: 5 * time.Second,
			MaxDrainDelay: maxDrainDelay, GracePeriod: 2 * time.Second, LookupTTL: 5 * time.Second,
		},
		MemoryLimit: cmp.Or(h.memoryLimit, 256<<20), Feed: feed, Features: h.features, Registry: h.registry,
		Tables: ingress.Tables{
			Operator: platform.OperatorTable, Upstreams: platform.ServersTable, Members: "members",
			Groups: "groups", Secrets: "secrets", Documents: "documents",
		},
		HeaderCodec: platform.HeaderCodec{}, RegisterControlHandlers: platform.RegisterControlHandlers,
		RowDecoder: platform.RowDecoder{RegionByDataCentre: map[id.DataCentre]id.Region{"osrednja-a": "osrednja"}},
		Log:        logwriter.New(logwriter.Config{Output: output, Options: log.Options{Formatter: log.LogfmtFormatter}}),
	}
	change(&config)
	instance, err := ingress.New(config)
	require.NoError(h, err)
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = instance.Run(ctx)
		config.Log.Close(time.Now().Add(time.Second))
	}()
	h.Cleanup(func() {
		stop()
		<-stopped
	})
	return instance.IsReady, stop, stopped
}

// request returns a caller's request with all headers set.
func (h *harness) request(method, path, body string) *http.Request {
	r, err := http.NewRequest(method, "http://"+h.address+path, strings.NewReader(body))
	require.NoError(h, err)
	r.Host = "example"
	r.Header.Set("X-Bluebellhold-Attempt-Id", "attempt-"+base64.RawURLEncoding.EncodeToString([]byte(path)))
	r.Header.Set("X-Bluebellhold-Deadline-Ms", "2500")
	r.Header.Set("Authorization", "Bearer secret-key")
	r.Header.Set("Cookie", "X-Bluebellhold-Affinity-Key=7")
	return r
}

// do sends a request without a body and returns the status and the body of the response.
func (h *harness) do(method, path string) (int, string) {
	h.Helper()
	response, err := h.client.Do(h.request(method, path, ""))
	require.NoError(h, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(h, err)
	return response.StatusCode, string(body)
}

// serveWith writes what respond returns for each request on a connection; an empty string closes the connection.
func serveWith(respond func(r *http.Request) string) func(net.Conn) {
	return func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			r.Body = io.NopCloser(strings.NewReader(string(body)))
			response := respond(r)
			if response == "" {
				return
			}
			if _, err := io.WriteString(conn, response); err != nil {
				return
			}
		}
	}
}

// responseTo returns a valid response to a request.
func responseTo(r *http.Request, body string) string {
	return responseWithAttemptID(r.Header.Get("X-Bluebellhold-Attempt-Id"), body)
}

func responseWithAttemptID(attemptID, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Bluebellhold-Attempt-Id: %s\r\nX-Bluebellhold-Response-Seal: seal\r\nContent-Length: %d\r\n\r\n%s",
		attemptID, len(body), body)
}
