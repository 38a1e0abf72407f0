package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"bluebellhold/id"
	"bluebellhold/store"
)

// Down is the way in which the platform is down.
type DownMode string

// The ways of being down. With Refuse, connections are dropped and new ones refused; with Status, requests are
// answered with status 503.
const (
	DownModeNone      DownMode = ""
	DownModeRefuse    DownMode = "refuse"
	DownModeStatus503 DownMode = "503"
)

// All as the number of lost answers loses every answer.
const AllResponses = -1

// Faults are the faults of the platform; the zero value is a healthy platform.
//
// Slow delays each request before it takes effect, even if the caller has given up by then. Lost is the number of
// committed transactions whose answers are dropped from now on. Requests of the instances in Cut are dropped before
// they take effect.
type Faults struct {
	Down          DownMode      `json:"down,omitempty"`
	Delay         Milliseconds  `json:"slow,omitempty"`
	LostResponses int           `json:"lost,omitempty"`
	Partitioned   []id.Instance `json:"cut,omitempty"`
}

func (f Faults) check() error {
	if f.Down != DownModeNone && f.Down != DownModeRefuse && f.Down != DownModeStatus503 {
		return &ConfigError{Field: "down", Found: f.Down, Allowed: []DownMode{DownModeNone, DownModeRefuse, DownModeStatus503}}
	}
	if f.Delay < 0 || f.LostResponses < AllResponses {
		return &ConfigError{Field: "faults", Found: f, Allowed: "slow from 0, lost from -1"}
	}
	return nil
}

// StoreCounts counts what the platform did: calls to the table, rows written by committed transactions and rows read
// or scanned.
type PlatformCounts struct {
	Transactions   int64 `json:"transactions"`
	Committed      int64 `json:"committed"`
	LostResponses  int64 `json:"lost"`
	RowsWritten    int64 `json:"written"`
	Reads          int64 `json:"reads"`
	Scans          int64 `json:"scans"`
	RowsRead       int64 `json:"rows"`
	ObjectCalls    int64 `json:"objects"`
	DirectoryCalls int64 `json:"lists"`
}

// tableStore is the platform: a Memory with faults and counts.
type tableStore struct {
	store.Memory
	members *members
	handler http.Handler

	m      sync.Mutex
	faults Faults
	counts PlatformCounts
}

func newStore(list *members) *tableStore {
	s := &tableStore{members: list}
	s.handler = store.NewHandler(store.HandlerConfig{Table: s, Objects: s, Directory: s})
	return s
}

// ServeHTTP applies the faults and passes the request on.
func (s *tableStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.m.Lock()
	faults := s.faults
	s.m.Unlock()
	if slices.Contains(faults.Partitioned, id.Instance(r.Header.Get(store.InstanceHeader))) {
		panic(http.ErrAbortHandler)
	}
	if faults.Down != DownModeNone {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if faults.Delay > 0 {
		// The body is read first: a caller that gives up meanwhile does not keep the write from taking effect.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(store.DefaultMaxBodySize)))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		time.Sleep(faults.Delay.Duration())
	}
	s.handler.ServeHTTP(w, r)
}

// update changes the faults unless the result is not allowed, and returns them.
func (s *tableStore) update(change func(*Faults)) (Faults, error) {
	s.m.Lock()
	defer s.m.Unlock()
	faults := s.faults
	change(&faults)
	if err := faults.check(); err != nil {
		return Faults{}, err
	}
	faults.Partitioned = slices.Clone(faults.Partitioned)
	s.faults = faults
	return faults, nil
}

func (s *tableStore) count(add PlatformCounts) {
	s.m.Lock()
	defer s.m.Unlock()
	s.counts.Transactions += add.Transactions
	s.counts.Committed += add.Committed
	s.counts.RowsWritten += add.RowsWritten
	s.counts.Reads += add.Reads
	s.counts.Scans += add.Scans
	s.counts.RowsRead += add.RowsRead
	s.counts.ObjectCalls += add.ObjectCalls
	s.counts.DirectoryCalls += add.DirectoryCalls
}

func (s *tableStore) counted() PlatformCounts {
	s.m.Lock()
	defer s.m.Unlock()
	return s.counts
}

// loses reports whether the answer of a committed transaction is to be dropped.
func (s *tableStore) loses() bool {
	s.m.Lock()
	defer s.m.Unlock()
	if s.faults.LostResponses == 0 {
		return false
	}
	if s.faults.LostResponses > 0 {
		s.faults.LostResponses--
	}
	s.counts.LostResponses++
	return true
}

// Transact applies t and then drops the connection if the answer is to be lost.
func (s *tableStore) Transact(ctx context.Context, t store.Transaction) (store.Result, error) {
	result, err := s.Memory.Transact(ctx, t)
	if !result.Committed {
		s.count(PlatformCounts{Transactions: 1})
		return result, err
	}
	s.count(PlatformCounts{Transactions: 1, Committed: 1, RowsWritten: int64(len(t.Writes))})
	if s.loses() {
		panic(http.ErrAbortHandler)
	}
	return result, err
}

// Read counts and reads.
func (s *tableStore) Read(ctx context.Context, names []string) ([]store.Row, error) {
	s.count(PlatformCounts{Reads: 1, RowsRead: int64(len(names))})
	return s.Memory.Read(ctx, names)
}

// Scan counts and scans.
func (s *tableStore) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	rows, err := s.Memory.Scan(ctx, prefix, after, limit)
	s.count(PlatformCounts{Scans: 1, RowsRead: int64(len(rows))})
	return rows, err
}

// Put counts and stores.
func (s *tableStore) Put(ctx context.Context, name string, body []byte) error {
	s.count(PlatformCounts{ObjectCalls: 1})
	return s.Memory.Put(ctx, name, body)
}

// Get counts and reads.
func (s *tableStore) Get(ctx context.Context, name string) ([]byte, error) {
	s.count(PlatformCounts{ObjectCalls: 1})
	return s.Memory.Get(ctx, name)
}

// Delete counts and removes.
func (s *tableStore) Delete(ctx context.Context, name string) error {
	s.count(PlatformCounts{ObjectCalls: 1})
	return s.Memory.Delete(ctx, name)
}

// List counts and returns the members that are visible after the lag.
func (s *tableStore) List(context.Context) ([]store.Member, error) {
	s.count(PlatformCounts{DirectoryCalls: 1})
	return s.members.visible(time.Now()), nil
}
