package peer

import "time"

// blockCheckInterval is the interval between calls of IsBlocked for each open session and each peer to dial.
const blockCheckInterval = 50 * time.Millisecond

// blockCheckLoop closes the sessions with blocked peers.
func (t *Transport) blockCheckLoop() {
	if !t.config.faultInjection {
		return
	}
	ticker := time.NewTicker(blockCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-ticker.C:
		}
		for _, s := range t.blockedSessions() {
			s.close(&BlockedError{Peer: s.peer})
		}
	}
}

func (t *Transport) blockedSessions() []*session {
	t.mu.Lock()
	defer t.mu.Unlock()
	var blocked []*session
	for _, p := range t.peers {
		if p.session != nil && t.config.IsBlocked(p.instance) {
			blocked = append(blocked, p.session)
		}
	}
	return blocked
}
