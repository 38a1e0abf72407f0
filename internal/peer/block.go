package peer

import "time"

// blockInterval is how often the fault hook is asked about open sessions and about peers to dial.
const blockInterval = 50 * time.Millisecond

// blockLoop ends the sessions with blocked peers.
func (n *Transport) blockLoop() {
	if !n.config.blocks {
		return
	}
	ticker := time.NewTicker(blockInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, s := range n.blockedSessions() {
			s.end(&BlockedError{Peer: s.peer})
		}
	}
}

func (n *Transport) blockedSessions() []*session {
	n.m.Lock()
	defer n.m.Unlock()
	var blocked []*session
	for _, l := range n.links {
		if l.session != nil && n.config.IsBlocked(l.peer) {
			blocked = append(blocked, l.session)
		}
	}
	return blocked
}
