package ingress

import (
	"encoding/json"
	"net/http"
	"time"

	"bluebellhold/id"
)

// lookupTTL is how long callers may keep an answer of a look-up. It is short, since an instance that dies stays in
// kept answers, and the operator's bound may shorten it further.
const maxLookupTTL = 2 * time.Second

// IsReady reports whether the instance can serve callers.
func (i *Instance) IsReady() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state.IsReady()
}

// Lookup returns the addresses that a caller in the region and data centre should use, and how long it may keep them.
func (i *Instance) Lookup(region id.Region, dataCentre id.DataCentre) ([]string, time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	ttl := maxLookupTTL
	if maxTTL := i.config.Bounds.LookupTTL; maxTTL > 0 {
		ttl = min(ttl, maxTTL)
	}
	return i.state.Lookup(region, dataCentre), ttl
}

// serveDump shows the instance's state.
func (i *Instance) serveDump(w http.ResponseWriter, _ *http.Request) {
	i.mu.Lock()
	dump := i.state.Dump(time.Now())
	i.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(dump); err != nil {
		i.log.Debug("dump: not delivered", "error", err)
	}
}
