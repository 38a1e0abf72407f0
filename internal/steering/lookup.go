package steering

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhold/fleet"
	"bluebellhold/id"
	"bluebellhold/lookup"
)

// maxLookupInstances is the maximum number of instances in a result; a caller that reaches none of them repeats the
// look-up.
const maxLookupInstances = 8

// LookupInstance is an instance that a caller may use.
type LookupInstance struct {
	Instance id.Instance `json:"instance"`
	Address  string      `json:"address"`
}

// LookupResult lists the instances that a caller should use, the best first, and until when it may cache the list.
type LookupResult struct {
	Instances []LookupInstance `json:"instances"`
	Expires   time.Time        `json:"expires"`
}

// Lookup returns the instances that a caller should use, or a refusal if there is no such service.
func (s *State) Lookup(now time.Time, q LookupQuery) (LookupResult, *Refusal) {
	if _, ok := s.epochs.current.Services[q.Service]; !ok {
		return LookupResult{}, &Refusal{Code: CodeNoRoute, Outcome: NotRun}
	}
	var organisation id.Organisation
	if q.HasKey {
		// An unknown key gets a result as well; it is refused when it is used for a request.
		_, organisation, _ = s.epochs.current.LookupKey(q.KeyDigest)
	}
	return s.LookupFor(now, organisation, q.Client), nil
}

// LookupFor returns the instances that a client of an organisation should use; the empty organisation stands for a
// client without a key.
//
// The organisation's home instances in the client's region come first, because its tokens are there. A client whose
// address block is unknown counts as a client of the instance's own region. Only live instances are returned.
func (s *State) LookupFor(now time.Time, organisation id.Organisation, client netip.Addr) LookupResult {
	region, ok := s.epochs.current.ClientRegion(client)
	if !ok {
		region = s.self.Region
	}
	var homes []id.Instance
	if o := s.organisations[organisation]; o != nil && o.limit != "" {
		homes = s.ledger.Homes(o.limit)
	}
	// The address is the seed, so that a client keeps its instances and its connections.
	address := client.As16()
	ranked := lookup.Rank(s.candidates, lookup.Client{
		Region: region, HomeInstances: homes, Seed: xxhash.Sum64(address[:]), Limit: maxLookupInstances,
	})
	result := LookupResult{Expires: now.Add(lookupTTL)}
	for _, name := range ranked {
		result.Instances = append(result.Instances, LookupInstance{Instance: name, Address: s.addresses[name]})
	}
	return result
}

func (s *State) isMemberSevered(name id.Instance) bool {
	return s.isPeerSevered(name) || name == s.self.Instance && s.uplink.IsSevered()
}

// updateCandidates rebuilds the index of the instances that look-ups may return; it runs when the membership changes.
func (s *State) updateCandidates() {
	var members []lookup.Member
	s.addresses = make(map[id.Instance]string)
	connected := make(map[id.Region]bool)
	for _, m := range s.view.Members() {
		if m.Status == fleet.Live && m.Caller != "" && !s.isMemberSevered(m.Instance) {
			connected[m.Region] = true
		}
	}
	for _, m := range s.view.Members() {
		// An instance that reaches no upstream serves callers through others, which is the second choice.
		isUsable := m.Status == fleet.Live && m.Caller != "" && (!connected[m.Region] || !s.isMemberSevered(m.Instance))
		members = append(members, lookup.Member{Instance: m.Instance, Region: m.Region, Live: isUsable})
		s.addresses[m.Instance] = m.Caller
	}
	s.candidates = lookup.NewCandidates(members)
}
