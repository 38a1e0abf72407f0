package peer

import (
	"cmp"
	"slices"

	"bluebellhold/id"
)

// Status describes what a node knows about one peer, for dumps.
type Status struct {
	Peer        id.Instance    `json:"peer"`
	Address     string         `json:"address,omitempty"`
	Connected   bool           `json:"connected"`
	Incarnation id.Incarnation `json:"incarnation,omitempty"`
	Dialled     bool           `json:"dialled,omitempty"`
	Queued      int            `json:"queued,omitempty"`
}

// Status returns the peers that the node dials or has a session with, by name.
func (n *Transport) Status() []Status {
	n.m.Lock()
	defer n.m.Unlock()
	all := make([]Status, 0, len(n.links))
	for _, l := range n.links {
		status := Status{Peer: l.peer, Address: l.address}
		if s := l.session; s != nil {
			status.Connected, status.Incarnation, status.Dialled = true, s.incarnation, s.dialled
			status.Queued = s.messages.length()
		}
		all = append(all, status)
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Peer, b.Peer) })
	return all
}
