package ingress

import (
	"encoding/json"
	"net/http"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
)

// maxLookupTTL is how long callers may cache the result of a look-up, unless the operator's bound is shorter. It is
// short, since an instance that dies remains in cached results.
const maxLookupTTL = 2 * time.Second

// IsReady reports whether the instance can serve callers.
func (i *Instance) IsReady() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state.IsReady()
}

// Lookup returns the addresses that a caller in the region and data centre should use, and how long it may cache them.
func (i *Instance) Lookup(region id.Region, dataCentre id.DataCentre) ([]string, time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	ttl := maxLookupTTL
	if maxTTL := i.config.Bounds.LookupTTL; maxTTL > 0 {
		ttl = min(ttl, maxTTL)
	}
	return i.state.Lookup(region, dataCentre), ttl
}

// instanceDump is the JSON of an instance's state.
type instanceDump struct {
	entry.Dump
	// Rejected is the operator's newest document while it can't be read.
	Rejected *documentDump `json:"rejected,omitempty"`
	// IsFallback is set while a document that was kept in the store is in force.
	IsFallback bool `json:"fallback,omitempty"`
}

// serveDump responds with the instance's state as JSON.
func (i *Instance) serveDump(w http.ResponseWriter, _ *http.Request) {
	i.mu.Lock()
	dump := instanceDump{Dump: i.state.Dump(time.Now())}
	i.mu.Unlock()
	dump.Rejected, dump.IsFallback = i.documents.dump()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(dump); err != nil {
		i.log.Debug("dump: writing the response failed", "error", err)
	}
}
