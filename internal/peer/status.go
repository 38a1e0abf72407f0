package peer

import (
	"cmp"
	"slices"

	"bluebellhold/id"
)

// Status is the state of one peer in a dump.
type Status struct {
	Peer        id.Instance    `json:"peer"`
	Address     string         `json:"address,omitempty"`
	Connected   bool           `json:"connected"`
	Incarnation id.Incarnation `json:"incarnation,omitempty"`
	Dialled     bool           `json:"dialled,omitempty"`
	Queued      int            `json:"queued,omitempty"`
}

// Status returns the peers that are dialled or have a session, sorted by name.
func (t *Transport) Status() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	statuses := make([]Status, 0, len(t.peers))
	for _, p := range t.peers {
		status := Status{Peer: p.instance, Address: p.address}
		if s := p.session; s != nil {
			status.Connected, status.Incarnation, status.Dialled = true, s.incarnation, s.dialled
			status.Queued = s.messages.length()
		}
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(a, b Status) int { return cmp.Compare(a.Peer, b.Peer) })
	return statuses
}
