package standin

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"bluebellhold/store"
)

// The platform checks its members twice a second; a connection on loopback that takes longer than the timeout counts
// as refused.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
)

// members is the lagging list of instances.
type members struct {
	m       sync.Mutex
	config  Members
	shown   []store.Member
	latest  []store.Member
	pending []change
}

// change is a list that becomes visible at a time.
type change struct {
	at   time.Time
	list []store.Member
}

// set takes the list over; without a probe it becomes visible after the lag.
func (l *members) set(now time.Time, config Members) {
	l.m.Lock()
	defer l.m.Unlock()
	config.List = slices.Clone(config.List)
	l.config = config
	if !config.Probe {
		l.note(now, config.List)
	}
}

// note queues a list that differs from the latest one; the mutex is held.
func (l *members) note(now time.Time, list []store.Member) {
	if slices.Equal(list, l.latest) {
		return
	}
	l.latest = list
	l.pending = append(l.pending, change{at: now.Add(l.config.Lag.Duration()), list: list})
}

// visible returns the list as of now.
func (l *members) visible(now time.Time) []store.Member {
	l.m.Lock()
	defer l.m.Unlock()
	for len(l.pending) > 0 && !l.pending[0].at.After(now) {
		l.shown = l.pending[0].list
		l.pending = l.pending[1:]
	}
	return slices.Clone(l.shown)
}

// watch probes the members until ctx is done.
func (l *members) watch(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		l.probe(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *members) probe(ctx context.Context) {
	l.m.Lock()
	config := l.config
	l.m.Unlock()
	if !config.Probe {
		return
	}
	live := make([]bool, len(config.List))
	var group sync.WaitGroup
	for i, member := range config.List {
		group.Go(func() { live[i] = accepts(ctx, member.Peer) })
	}
	group.Wait()
	var list []store.Member
	for i, member := range config.List {
		if live[i] {
			list = append(list, member)
		}
	}
	l.m.Lock()
	defer l.m.Unlock()
	// A list that was set during the probe is newer than the probe's result.
	if l.config.Probe && slices.Equal(l.config.List, config.List) {
		l.note(time.Now(), list)
	}
}

func accepts(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}
