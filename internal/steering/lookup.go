package steering

import (
	"net/netip"
	"slices"
	"time"

	"bluebellhold/fleet"
	"bluebellhold/id"
	"bluebellhold/platform"
)

// LookupInstance is an instance that a caller may use.
type LookupInstance struct {
	Instance id.Instance `json:"instance"`
	Address  string      `json:"address"`
}

// LookupAnswer lists the instances that a caller should use, the best first, and until when it may keep the list.
type LookupAnswer struct {
	Instances []LookupInstance `json:"instances"`
	Expires   time.Time        `json:"expires"`
}

// Lookup answers which instances a caller should use.
func (s *State) Lookup(now time.Time, q Query) (LookupAnswer, *Refusal) {
	if _, ok := s.epochs.current.Services[q.Service]; !ok {
		return LookupAnswer{}, &Refusal{Code: CodeNoRoute, Outcome: NotRun}
	}
	var organisation id.Organisation
	if q.HasKey {
		// An unknown key gets an answer as well; the instances refuse it when it is used.
		_, organisation, _ = s.epochs.current.Owner(q.Secret)
	}
	return s.LookupFor(now, q.Service, organisation, q.Client), nil
}

// LookupFor answers a look-up for an organisation; the empty organisation stands for a caller without a key.
//
// The organisation's home instances come first, because its tokens are there, those of the client's region before
// others. Leaving and silent instances are left out.
func (s *State) LookupFor(now time.Time, _ id.Service, organisation id.Organisation, _ netip.Addr) LookupAnswer {
	var homes []id.Instance
	if o := s.organisations[organisation]; o != nil && o.limit != "" {
		homes = s.ledger.Homes(o.limit)
	}
	candidates := s.candidates()
	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b platform.Member) int {
		return s.rank(b, homes) - s.rank(a, homes)
	})
	answer := LookupAnswer{Expires: now.Add(lookupLife)}
	for _, m := range candidates {
		answer.Instances = append(answer.Instances, LookupInstance{Instance: m.Instance, Address: m.Caller})
	}
	return answer
}

func (s *State) candidates() []platform.Member {
	var out []platform.Member
	for _, m := range s.view.Members() {
		if m.Status == fleet.Live && m.Caller != "" {
			out = append(out, m.Member)
		}
	}
	return out
}

// rank is higher for instances of the region, and among these for home instances.
func (s *State) rank(m platform.Member, homes []id.Instance) int {
	rank := 0
	if m.Region == s.self.Region {
		rank += 2
	}
	if slices.Contains(homes, m.Instance) {
		rank++
	}
	return rank
}
