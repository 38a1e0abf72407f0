package ingress_test

import (
	"bufio"
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/internal/ingress"
	"bluebellhold/internal/loopback"
	"bluebellhold/platform"
	"bluebellhold/store"
)

// memoryFeed is a store.ChangeFeed in memory.
type memoryFeed struct {
	m       sync.Mutex
	isDown  bool
	version uint64
	rows    map[string]map[string]store.Change
}

func (f *memoryFeed) Put(_ context.Context, table, name string, value []byte, version uint64) error {
	f.m.Lock()
	isDown, isOther := f.isDown, f.rows[table][name].Version != version
	f.m.Unlock()
	switch {
	case isDown:
		return &store.UnavailableError{Operation: table}
	case isOther:
		return &store.ConflictError{Table: table, Name: name, ExpectedVersion: version}
	}
	f.put(table, name, value)
	return nil
}

// put writes a row whatever its version.
func (f *memoryFeed) put(table, name string, value []byte) {
	f.m.Lock()
	defer f.m.Unlock()
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
	return f.since(table, 0), nil
}

func (f *memoryFeed) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (store.ChangeSet, error) {
	deadline := time.Now().Add(wait)
	for {
		if f.down() {
			return store.ChangeSet{}, &store.UnavailableError{Operation: table}
		}
		changes := f.since(table, after)
		if len(changes.Rows) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return changes, ctx.Err()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// set makes the feed fail for instances or answer again.
func (f *memoryFeed) set(isDown bool) {
	f.m.Lock()
	defer f.m.Unlock()
	f.isDown = isDown
}

func (f *memoryFeed) down() bool {
	f.m.Lock()
	defer f.m.Unlock()
	return f.isDown
}

// remove drops a row.
func (f *memoryFeed) remove(table, name string) {
	f.m.Lock()
	defer f.m.Unlock()
	f.version++
	f.rows[table][name] = store.Change{Name: name, Version: f.version, Deleted: true}
}

func (f *memoryFeed) since(table string, after uint64) store.ChangeSet {
	f.m.Lock()
	defer f.m.Unlock()
	changes := store.ChangeSet{Version: f.version}
	for _, row := range f.rows[table] {
		if row.Version > after {
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

// world is one instance, its store and scripted upstreams.
type world struct {
	*testing.T
	feed    *memoryFeed
	address string
	stop    context.CancelFunc
	stopped chan struct{}
	client  *http.Client
	log     *lockedBuffer
}

// lockedBuffer collects the log.
type lockedBuffer struct {
	m sync.Mutex
	b strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.m.Lock()
	defer b.m.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.m.Lock()
	defer b.m.Unlock()
	return b.b.String()
}

func freeAddress(t *testing.T) string {
	address, err := loopback.FreeAddress()
	require.NoError(t, err)
	return address
}

// newWorld starts an instance whose upstreams are the given handlers of raw connections.
func newWorld(t *testing.T, upstreams ...func(net.Conn)) *world {
	return newWorldWith(t, time.Second, upstreams...)
}

// newWorldWith starts an instance that must know of a leaving upstream within the drain time.
func newWorldWith(t *testing.T, drain time.Duration, upstreams ...func(net.Conn)) *world {
	w := &world{T: t, feed: &memoryFeed{}, address: freeAddress(t), stopped: make(chan struct{})}
	w.log = &lockedBuffer{}
	w.client = &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	ctx := context.Background()
	w.feed.put(platform.OperatorTable, "config", []byte(document))
	for i, handle := range upstreams {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { l.Close() })
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
		w.feed.put(platform.ServersTable, fmt.Sprint("u", i), fmt.Appendf(nil,
			`{"address":%q,"born":5,"info":{"service":"pregled","zone":"osrednja-a","slots":4},"status":{"state":"ready","sequence":1,"coldLeft":"0ms"}}`,
			l.Addr()))
	}
	instance, err := ingress.New(ingress.Config{
		Instance: "osrednja-1", Region: "osrednja", DataCentre: "osrednja-a",
		Callers: w.address, Readiness: freeAddress(t), Lookups: freeAddress(t), Metrics: freeAddress(t),
		Bounds: entry.Bounds{
			RetryRatio: 0.2, RetryExtra: 56, RetryWindow: 10 * time.Second, RateWindow: 5 * time.Second,
			Drain: drain, Grace: 2 * time.Second, LookupTTL: 5 * time.Second,
		},
		Memory: 256 << 20, Feed: w.feed,
		Tables:  ingress.Tables{Operator: platform.OperatorTable, Upstreams: platform.ServersTable, Members: "instances"},
		Headers: platform.Headers{}, Control: platform.Control,
		Decoder: platform.Rows{Regions: map[id.DataCentre]id.Region{"osrednja-a": "osrednja"}},
		Log:     log.NewWithOptions(w.log, log.Options{Formatter: log.LogfmtFormatter}),
	})
	require.NoError(t, err)
	ctx, w.stop = context.WithCancel(ctx)
	go func() {
		defer close(w.stopped)
		_ = instance.Run(ctx)
	}()
	t.Cleanup(func() {
		w.stop()
		<-w.stopped
	})
	require.Eventually(t, instance.IsReady, 5*time.Second, 5*time.Millisecond)
	return w
}

// request returns a request of a caller with all headers.
func (w *world) request(method, path, body string) *http.Request {
	r, err := http.NewRequest(method, "http://"+w.address+path, strings.NewReader(body))
	require.NoError(w, err)
	r.Host = "example"
	r.Header.Set("X-Bluebellhold-Attempt-Id", "attempt-"+base64.RawURLEncoding.EncodeToString([]byte(path)))
	r.Header.Set("X-Bluebellhold-Deadline-Ms", "2500")
	r.Header.Set("Authorization", "Bearer secret-key")
	r.Header.Set("Cookie", "X-Bluebellhold-Affinity-Key=7")
	return r
}

// get sends a request and returns the status and the body.
func (w *world) get(method, path string) (int, string) {
	w.Helper()
	response, err := w.client.Do(w.request(method, path, ""))
	require.NoError(w, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(w, err)
	return response.StatusCode, string(body)
}

// serve answers each request of a connection with what answer returns for it.
func serve(answer func(r *http.Request) string) func(net.Conn) {
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
			text := answer(r)
			if text == "" {
				return
			}
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	}
}

// good is a whole answer to a request.
func good(r *http.Request, body string) string {
	return signed(r.Header.Get("X-Bluebellhold-Attempt-Id"), body)
}

func signed(attempt, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Bluebellhold-Attempt-Id: %s\r\nX-Bluebellhold-Response-Seal: seal\r\nContent-Length: %d\r\n\r\n%s",
		attempt, len(body), body)
}
