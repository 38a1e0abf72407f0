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
type directory struct {
	mu          sync.Mutex
	config      Members
	visibleList []store.Member
	latestList  []store.Member
	pending     []delayedList
}

// change is a list that becomes visible at a time.
type delayedList struct {
	visibleFrom time.Time
	list        []store.Member
}

// set takes the list over; without a probe it becomes visible after the lag.
func (d *directory) set(now time.Time, config Members) {
	d.mu.Lock()
	defer d.mu.Unlock()
	config.List = slices.Clone(config.List)
	d.config = config
	if !config.Probe {
		d.enqueue(now, config.List)
	}
}

// note queues a list that differs from the latest one; the mutex is held.
func (d *directory) enqueue(now time.Time, list []store.Member) {
	if slices.Equal(list, d.latestList) {
		return
	}
	d.latestList = list
	d.pending = append(d.pending, delayedList{visibleFrom: now.Add(d.config.Lag.Duration()), list: list})
}

// visible returns the list as of now.
func (d *directory) visibleAt(now time.Time) []store.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.pending) > 0 && !d.pending[0].visibleFrom.After(now) {
		d.visibleList = d.pending[0].list
		d.pending = d.pending[1:]
	}
	return slices.Clone(d.visibleList)
}

// watch probes the members until ctx is done.
func (d *directory) runProbes(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		d.probe(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (d *directory) probe(ctx context.Context) {
	d.mu.Lock()
	config := d.config
	d.mu.Unlock()
	if !config.Probe {
		return
	}
	accepting := make([]bool, len(config.List))
	var group sync.WaitGroup
	for i, member := range config.List {
		group.Go(func() { accepting[i] = acceptsConnection(ctx, member.Peer) })
	}
	group.Wait()
	var list []store.Member
	for i, member := range config.List {
		if accepting[i] {
			list = append(list, member)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	// A list that was set during the probe is newer than the probe's result.
	if d.config.Probe && slices.Equal(d.config.List, config.List) {
		d.enqueue(time.Now(), list)
	}
}

func acceptsConnection(ctx context.Context, address string) bool {
	dialer := net.Dialer{Timeout: probeTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}
