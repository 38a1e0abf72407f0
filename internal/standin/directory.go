package standin

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"bluebellhold/store"
)

// The platform probes its members twice a second; a loopback connection that takes longer than the timeout counts as
// refused.
const (
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
)

// directory is the simulated directory of instances, whose changes become visible after a lag.
type directory struct {
	mu          sync.Mutex
	config      Members
	visibleList []store.Member
	latestList  []store.Member
	pending     []delayedList
}

// delayedList is a list that becomes visible at visibleFrom.
type delayedList struct {
	visibleFrom time.Time
	list        []store.Member
}

// set replaces the configuration; without Probe, the new list becomes visible after the lag.
func (d *directory) set(now time.Time, config Members) {
	d.mu.Lock()
	defer d.mu.Unlock()
	config.List = slices.Clone(config.List)
	d.config = config
	if !config.Probe {
		d.enqueue(now, config.List)
	}
}

// enqueue queues a list if it differs from the latest one; the caller holds the mutex.
func (d *directory) enqueue(now time.Time, list []store.Member) {
	if slices.Equal(list, d.latestList) {
		return
	}
	d.latestList = list
	d.pending = append(d.pending, delayedList{visibleFrom: now.Add(d.config.Lag.Duration()), list: list})
}

// visibleAt returns the list that is visible at now.
func (d *directory) visibleAt(now time.Time) []store.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(d.pending) > 0 && !d.pending[0].visibleFrom.After(now) {
		d.visibleList = d.pending[0].list
		d.pending = d.pending[1:]
	}
	return slices.Clone(d.visibleList)
}

// runProbes probes the members every probeInterval until ctx is done.
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
	// The result is discarded if the list was replaced during the probe.
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
