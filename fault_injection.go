package bluebellhold

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"bluebellhold/id"
)

// blockedPeers is the set of peers that a test has partitioned from this instance.
type blockedPeers struct {
	mu    sync.Mutex
	peers map[id.Instance]bool
}

func (b *blockedPeers) isBlocked(peer id.Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peers[peer]
}

func (b *blockedPeers) set(peers []id.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers = make(map[id.Instance]bool, len(peers))
	for _, name := range peers {
		b.peers[name] = true
	}
}

// withFaultInjection adds "POST /faults", which sets the blocked peers, to the operators' API if the configuration
// enables it.
func (i *Instance) withFaultInjection(api http.Handler) http.Handler {
	if !i.config.FaultInjection {
		return api
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.URL.Path != "/faults" {
			api.ServeHTTP(w, r)
			return
		}
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(token), i.config.Token) != 1 {
			http.Error(w, "the operators' token is missing or wrong", http.StatusUnauthorized)
			return
		}
		var faults struct {
			Blocked []id.Instance `json:"cut"`
		}
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		i.blockedPeers.set(faults.Blocked)
	})
}
