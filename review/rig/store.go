package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time in which the store answers a call.
const storeDelay = 4 * time.Millisecond

// row is a row of the store on the wire.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"schemaVersion,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowID struct{ table, part, key string }

// Store stands in for the platform's metadata store. It loses nothing and answers in order.
type Store struct {
	Address string

	server    *http.Server
	startedAt time.Time
	mu        sync.Mutex
	version   uint64
	rows      map[rowID]row
	changed   chan struct{}
}

func newStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		Address: listener.Addr().String(), startedAt: time.Now(), rows: make(map[rowID]row), changed: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *Store) close() { _ = s.server.Close() }

// Put writes a row as the operator or a server does, and returns when the store accepted it. A nil value removes the row.
func (s *Store) Put(table, key string, value any) time.Time {
	var body []byte
	if value != nil {
		var err error
		if body, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: body, Deleted: value == nil}})
	return time.Now()
}

// apply applies the rows of one transaction. The caller holds mu.
func (s *Store) apply(rows []row) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		s.rows[rowID{r.Table, r.Part, r.Key}] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers a call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	switch r.URL.Path {
	case "/api/rows-tx":
		s.serveTransaction(w, r)
	case "/api/rows-get":
		s.serveRows(w, r)
	case "/api/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["now"] = strconv.FormatInt(time.Since(s.startedAt).Milliseconds(), 10) + "ms"
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var call struct{ Precondition, Puts, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	isMet := true
	for _, p := range call.Precondition {
		known := s.rows[rowID{p.Table, p.Part, p.Key}]
		if known.Deleted {
			known.Version = 0
		}
		isMet = isMet && known.Version == p.Version
		if known.Version > 0 {
			current = append(current, known)
		}
	}
	if !isMet {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"rows": current, "schemaVersion": s.version})
		return
	}
	for i := range call.Remove {
		call.Remove[i].Deleted, call.Remove[i].Value = true, nil
	}
	writes := append(call.Puts, call.Remove...)
	for _, p := range writes {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.apply(writes)
	s.reply(w, http.StatusOK, map[string]any{"schemaVersion": s.version})
}

// select returns the rows of a table after a version, in the order of their keys or of their versions. The caller holds mu.
func (s *Store) selectRows(table, part string, after uint64, withDeleted bool) []row {
	rows := []row{}
	for _, r := range s.rows {
		if r.Table == table && (part == "*" || r.Part == part) && r.Version > after && (withDeleted || !r.Deleted) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int {
		if withDeleted && a.Version != b.Version {
			return int(int64(a.Version) - int64(b.Version))
		}
		return strings.Compare(a.Key, b.Key)
	})
	return rows
}

// maxRows is the most rows of one response.
const maxRows = 500

func (s *Store) serveRows(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > maxRows {
		limit = maxRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := s.selectRows(query.Get("table"), query.Get("part"), 0, false)
	rows = slices.DeleteFunc(rows, func(r row) bool {
		return r.Key < query.Get("rangeStart") || query.Get("target") != "" && r.Key >= query.Get("target")
	})
	hasMore := len(rows) > limit
	s.reply(w, http.StatusOK, map[string]any{
		"rows": rows[:min(len(rows), limit)], "hasMore": hasMore, "schemaVersion": s.version,
	})
}

func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows, version, changed := s.selectRows(query.Get("table"), "*", after, true), s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "schemaVersion": version})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.reply(w, http.StatusOK, map[string]any{"rows": rows, "schemaVersion": version})
			return
		case <-r.Context().Done():
			return
		}
	}
}
