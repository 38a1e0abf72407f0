package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schemaVersion,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// table stands in for the platform's store, with one endpoint for each instance.
type table struct {
	mu      sync.Mutex
	version uint64
	rows    map[string]row
	changed chan struct{}
	started time.Time
	// peers replaces the addresses for other instances in the heartbeats of some instances.
	peers map[string]string
	// onRead is called after a read of a table by an instance.
	onRead func(instance, table string)
}

func newTable() *table {
	return &table{rows: make(map[string]row), peers: make(map[string]string), changed: make(chan struct{}), started: time.Now()}
}

// put writes a row of the platform, or removes it if the value is nil, and returns the time of the acknowledgement.
func (t *table) put(tableName, key string, value any) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := row{Table: tableName, Key: key, Deleted: value == nil}
	if value != nil {
		body, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		r.Value = body
	}
	t.version++
	t.apply(r)
	return time.Now()
}

// apply stores a row under the current version. The caller holds mu.
func (t *table) apply(r row) {
	r.Version = t.version
	t.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
	close(t.changed)
	t.changed = make(chan struct{})
}

// list returns the rows of a table that changed after a version, by version, and the channel that the next write closes.
func (t *table) list(tableName string, after uint64, withDeleted bool) ([]row, uint64, chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := []row{}
	for _, r := range t.rows {
		if r.Table == tableName && r.Version > after && (withDeleted || !r.Deleted) {
			rows = append(rows, t.redirect(r))
		}
	}
	return rows, t.version, t.changed
}

// redirect returns a row with the address of a link in place of that of an instance. The caller holds mu.
func (t *table) redirect(r row) row {
	address, ok := t.peers[r.Key]
	// The other fields stay as they are, also large numbers.
	var value map[string]json.RawMessage
	if !ok || r.Table != "members" || json.Unmarshal(r.Value, &value) != nil {
		return r
	}
	value["peer"] = json.RawMessage(strconv.Quote(address))
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	r.Value = body
	return r
}

// storeEndpoint is the store as one instance reaches it.
type storeEndpoint struct {
	*table
	instance string
	server   *http.Server
	address  string
	// link can cut the instance off.
	link *link
}

func newStoreEndpoint(t *table, instance string) (*storeEndpoint, error) {
	e := &storeEndpoint{table: t, instance: instance}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	if e.link, err = newLink(listener.Addr().String()); err != nil {
		return nil, err
	}
	e.address = e.link.address()
	return e, nil
}

// ServeHTTP serves a call of the store.
func (e *storeEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(2 * time.Millisecond)
	status, body := e.respond(r.Context(), r)
	body["now"] = strconv.FormatInt(time.Since(e.started).Milliseconds(), 10) + "ms"
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (e *storeEndpoint) respond(ctx context.Context, r *http.Request) (int, map[string]any) {
	query := r.URL.Query()
	name := query.Get("table")
	switch r.URL.Path {
	case "/api/rows-tx":
		return e.transact(r)
	case "/api/rows-get":
		rows, version, _ := e.list(name, 0, false)
		slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
		rows = slices.DeleteFunc(rows, func(r row) bool {
			return r.Part != query.Get("part") || r.Key < query.Get("rangeStart")
		})
		e.noteRead(name)
		return http.StatusOK, map[string]any{"rows": rows, "hasMore": false, "schemaVersion": version}
	case "/api/rows-feed":
		return e.feed(ctx, name, query.Get("after"), query.Get("waitMs"))
	}
	return http.StatusNotFound, map[string]any{}
}

func (e *storeEndpoint) noteRead(name string) {
	e.mu.Lock()
	onRead := e.onRead
	e.mu.Unlock()
	if onRead != nil {
		onRead(e.instance, name)
	}
}

func (e *storeEndpoint) feed(ctx context.Context, name, afterText, waitText string) (int, map[string]any) {
	after, _ := strconv.ParseUint(afterText, 10, 64)
	wait, _ := strconv.Atoi(waitText)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		rows, version, changed := e.list(name, after, true)
		if len(rows) > 0 || wait == 0 {
			slices.SortFunc(rows, func(a, b row) int { return int(int64(a.Version) - int64(b.Version)) })
			e.noteRead(name)
			return http.StatusOK, map[string]any{"rows": rows, "hasMore": false, "schemaVersion": version}
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-ctx.Done():
			return http.StatusServiceUnavailable, map[string]any{}
		}
	}
}

func (e *storeEndpoint) transact(r *http.Request) (int, map[string]any) {
	var call struct{ Precondition, Puts, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var current []row
	holds := true
	for _, p := range call.Precondition {
		known := e.rows[p.Table+"\x00"+p.Part+"\x00"+p.Key]
		version := known.Version
		if known.Deleted {
			version = 0
		}
		holds = holds && version == p.Version
		if version != 0 {
			current = append(current, known)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"rows": current, "schemaVersion": e.version}
	}
	for _, put := range append(slices.Clone(call.Puts), call.Remove...) {
		if put.Table == "op" || put.Table == "servers" {
			return http.StatusForbidden, map[string]any{}
		}
	}
	e.version++
	for _, put := range call.Puts {
		e.apply(put)
	}
	for _, removed := range call.Remove {
		removed.Deleted = true
		e.apply(removed)
	}
	return http.StatusOK, map[string]any{"schemaVersion": e.version}
}
