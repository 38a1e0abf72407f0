package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schemaVersion,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store stands in for the platform's store.
type store struct {
	http    *http.Server
	address string

	mu      sync.Mutex
	version uint64
	rows    map[string]row
	changed chan struct{}
	start   time.Time
	rewrite func(row) row
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), rows: make(map[string]row), changed: make(chan struct{}), start: time.Now(),
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// put writes a row and returns the time at which it was accepted.
func (s *store) put(table, key string, value any) time.Time {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(row{Table: table, Key: key, Value: body})
	return time.Now()
}

// remove removes a row if there is one.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.rows[table+"//"+key]; ok && !r.Deleted {
		s.write(row{Table: table, Key: key, Deleted: true})
	}
}

// write adds one version. The caller holds mu.
func (s *store) write(rows ...row) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		s.rows[r.Table+"/"+r.Part+"/"+r.Key] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// after returns the rows of a table that changed after a version, in order.
func (s *store) after(table string, version uint64, withDeleted bool) (rows []row, newest uint64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows = []row{}
	for _, r := range s.rows {
		if r.Table == table && r.Version > version && (withDeleted || !r.Deleted) {
			if s.rewrite != nil {
				r = s.rewrite(r)
			}
			rows = append(rows, r)
		}
	}
	return rows, s.version, s.changed
}

// setRewrite sets a function that is applied to the rows that are read.
func (s *store) setRewrite(rewrite func(row) row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rewrite = rewrite
}

// ServeHTTP serves the calls of the instances.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, body := s.serve(r)
	body["now"] = strconv.FormatInt(time.Since(s.start).Milliseconds(), 10) + "ms"
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serve(r *http.Request) (int, map[string]any) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/api/rows-tx":
		return s.transact(r)
	case "/api/rows-get":
		rows, version, _ := s.after(query.Get("table"), 0, false)
		sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
		return http.StatusOK, map[string]any{"rows": rows, "hasMore": false, "schemaVersion": version}
	case "/api/rows-feed":
		after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("waitMs"))
		return s.feed(r, query.Get("table"), after, time.Duration(wait)*time.Millisecond)
	}
	return http.StatusNotFound, map[string]any{}
}

func (s *store) transact(r *http.Request) (int, map[string]any) {
	var call struct{ Precondition, Puts, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range call.Precondition {
		current := s.rows[p.Table+"/"+p.Part+"/"+p.Key]
		if version := current.Version; current.Deleted && p.Version != 0 || !current.Deleted && version != p.Version {
			return http.StatusPreconditionFailed, map[string]any{"rows": []row{current}, "schemaVersion": s.version}
		}
	}
	changes := call.Puts
	for _, removed := range call.Remove {
		removed.Deleted = true
		changes = append(changes, removed)
	}
	for _, c := range changes {
		if c.Table == "op" || c.Table == "servers" {
			return http.StatusForbidden, map[string]any{}
		}
	}
	s.write(changes...)
	return http.StatusOK, map[string]any{"schemaVersion": s.version}
}

func (s *store) feed(r *http.Request, table string, after uint64, wait time.Duration) (int, map[string]any) {
	timeout := time.After(wait)
	for {
		rows, version, changed := s.after(table, after, true)
		sort.Slice(rows, func(i, j int) bool { return rows[i].Version < rows[j].Version })
		if len(rows) > 0 {
			return http.StatusOK, map[string]any{"rows": rows, "schemaVersion": version}
		}
		select {
		case <-changed:
		case <-timeout:
			return http.StatusOK, map[string]any{"rows": rows, "schemaVersion": version}
		case <-r.Context().Done():
			return http.StatusOK, map[string]any{"rows": rows, "schemaVersion": version}
		}
	}
}
