package gateway

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/gorilla/mux"

	"bluebellhold/id"
	"bluebellhold/internal/steering"
)

// lookup responds with the instances that the caller should use and the time in milliseconds for which it may
// cache the response.
func (g *Gateway) lookup(w http.ResponseWriter, r *http.Request) {
	query := steering.LookupQuery{Service: id.Service(mux.Vars(r)["service"]), Client: clientAddress(r)}
	if secret := bearerSecret(r.Header); secret != "" {
		query.HasKey = true
		query.KeyDigest = secretDigest(secret)
	}
	now := time.Now()
	result, refusal := g.engine.Lookup(query)
	if refusal != nil {
		writeRefusal(w, *refusal, now)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Instances []steering.LookupInstance `json:"instances"`
		Expires   int64                     `json:"expires"`
	}{result.Instances, result.Expires.Sub(now).Milliseconds()})
}

// clientAddress returns the address that the look-up is for: the query parameter "client", else the caller's address.
func clientAddress(r *http.Request) netip.Addr {
	if address, err := netip.ParseAddr(r.URL.Query().Get("client")); err == nil {
		return address.Unmap()
	}
	endpoint, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return endpoint.Addr().Unmap()
}
