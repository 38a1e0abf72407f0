package bluebellhold

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"bluebellhold/id"
)

// cuts are the peers that a test has cut this instance off from.
type cuts struct {
	m     sync.Mutex
	peers map[id.Instance]bool
}

func (c *cuts) isCut(peer id.Instance) bool {
	c.m.Lock()
	defer c.m.Unlock()
	return c.peers[peer]
}

func (c *cuts) set(peers []id.Instance) {
	c.m.Lock()
	defer c.m.Unlock()
	c.peers = make(map[id.Instance]bool, len(peers))
	for _, name := range peers {
		c.peers[name] = true
	}
}

// withFaultHooks adds "POST /faults" to the operators' API if the configuration allows it.
func (i *Instance) withFaultHooks(api http.Handler) http.Handler {
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
			Cut []id.Instance `json:"cut"`
		}
		if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		i.cuts.set(faults.Cut)
	})
}
