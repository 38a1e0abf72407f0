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

// DownMode selects how an unavailable platform fails.
type DownMode string

// The modes of an outage of the platform. DownModeRefuse drops all connections and refuses new ones; DownModeStatus503
// responds to each request with status 503.
const (
	DownModeNone      DownMode = ""
	DownModeRefuse    DownMode = "refuse"
	DownModeStatus503 DownMode = "503"
)

// AllResponses as the number of lost responses drops all of them.
const AllResponses = -1

// Faults are the faults of the platform; the zero value is a healthy platform.
//
// Delay postpones the effect of each request; a request takes effect even if its caller has disconnected by then.
// LostResponses is the number of further committed transactions whose responses are dropped. Requests of the instances
// in Partitioned are dropped before they take effect.
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

// PlatformCounts counts the calls to the table, the object store and the directory, the rows written by committed
// transactions and the rows read or scanned.
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

// platform is the simulated platform: a store.Memory with faults and counts.
type platform struct {
	store.Memory
	directory *directory
	handler   http.Handler

	mu     sync.Mutex
	faults Faults
	counts PlatformCounts
}

func newPlatform(members *directory) *platform {
	p := &platform{directory: members}
	p.handler = store.NewHandler(store.HandlerConfig{Table: p, Objects: p, Directory: p})
	return p
}

// ServeHTTP applies the faults and passes the request on.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if slices.Contains(faults.Partitioned, id.Instance(r.Header.Get(store.InstanceHeader))) {
		panic(http.ErrAbortHandler)
	}
	if faults.Down != DownModeNone {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if faults.Delay > 0 {
		// The body is read before the delay, so that a write takes effect although its caller disconnects meanwhile.
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(store.DefaultMaxBodySize)))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		time.Sleep(faults.Delay.Duration())
	}
	p.handler.ServeHTTP(w, r)
}

// updateFaults changes the faults and returns them, or returns an error if the result is invalid.
func (p *platform) updateFaults(change func(*Faults)) (Faults, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	faults := p.faults
	change(&faults)
	if err := faults.check(); err != nil {
		return Faults{}, err
	}
	faults.Partitioned = slices.Clone(faults.Partitioned)
	p.faults = faults
	return faults, nil
}

func (p *platform) addCounts(delta PlatformCounts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.Transactions += delta.Transactions
	p.counts.Committed += delta.Committed
	p.counts.RowsWritten += delta.RowsWritten
	p.counts.Reads += delta.Reads
	p.counts.Scans += delta.Scans
	p.counts.RowsRead += delta.RowsRead
	p.counts.ObjectCalls += delta.ObjectCalls
	p.counts.DirectoryCalls += delta.DirectoryCalls
}

func (p *platform) snapshot() PlatformCounts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// takeResponseLoss reports whether to drop the response of a committed transaction and counts the loss.
func (p *platform) takeResponseLoss() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LostResponses == 0 {
		return false
	}
	if p.faults.LostResponses > 0 {
		p.faults.LostResponses--
	}
	p.counts.LostResponses++
	return true
}

// Transact applies t and, if it is committed and its response is to be lost, drops the connection.
func (p *platform) Transact(ctx context.Context, t store.Transaction) (store.Result, error) {
	result, err := p.Memory.Transact(ctx, t)
	if !result.Committed {
		p.addCounts(PlatformCounts{Transactions: 1})
		return result, err
	}
	p.addCounts(PlatformCounts{Transactions: 1, Committed: 1, RowsWritten: int64(len(t.Writes))})
	if p.takeResponseLoss() {
		panic(http.ErrAbortHandler)
	}
	return result, err
}

// Read counts the call and reads the rows.
func (p *platform) Read(ctx context.Context, names []string) ([]store.Row, error) {
	p.addCounts(PlatformCounts{Reads: 1, RowsRead: int64(len(names))})
	return p.Memory.Read(ctx, names)
}

// Scan counts the call and scans the rows.
func (p *platform) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	rows, err := p.Memory.Scan(ctx, prefix, after, limit)
	p.addCounts(PlatformCounts{Scans: 1, RowsRead: int64(len(rows))})
	return rows, err
}

// Put counts the call and stores the object.
func (p *platform) Put(ctx context.Context, name string, body []byte) error {
	p.addCounts(PlatformCounts{ObjectCalls: 1})
	return p.Memory.Put(ctx, name, body)
}

// Get counts the call and reads the object.
func (p *platform) Get(ctx context.Context, name string) ([]byte, error) {
	p.addCounts(PlatformCounts{ObjectCalls: 1})
	return p.Memory.Get(ctx, name)
}

// Delete counts the call and removes the object.
func (p *platform) Delete(ctx context.Context, name string) error {
	p.addCounts(PlatformCounts{ObjectCalls: 1})
	return p.Memory.Delete(ctx, name)
}

// List counts the call and returns the members that are visible after the lag.
func (p *platform) List(context.Context) ([]store.Member, error) {
	p.addCounts(PlatformCounts{DirectoryCalls: 1})
	return p.directory.visibleAt(time.Now()), nil
}
