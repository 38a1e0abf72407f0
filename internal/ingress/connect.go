package ingress

import (
	"context"
	"net"
	"os"
	"slices"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
)

// sweepInterval is the time between two checks of the connections to upstreams in other regions.
const sweepInterval = 400 * time.Millisecond

// connectionWaiter is a request that waits for a connection. Nil reports that none can be opened.
type connectionWaiter struct {
	ready chan *upstreamConnection
	err   error
}

// opensAhead reports whether connections to the upstream are opened ahead of their use.
func (x *exchange) opensAhead(d entry.Dispatch) bool {
	if d.Via.Instance != "" || d.Region == x.config.Region {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.state.Features().Plan
}

// startUse records the start of an attempt at an upstream in another region.
func (p *pool) startUse(d entry.Dispatch) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmer.recordUse(time.Now(), keyOf(d), farUse{expectedBusy: d.EstimatedLatency, coldUntil: d.ColdUntil})
}

// finishUse records the end of an attempt at an upstream in another region.
func (x *exchange) finishUse(d entry.Dispatch, outcome entry.AttemptOutcome) {
	key := keyOf(d)
	x.pool.mu.Lock()
	x.pool.warmer.recordEnd(key, x.keepAlive)
	x.pool.warmer.block(key, time.Now().Add(blockAfter(outcome)))
	x.pool.mu.Unlock()
	x.keepAlive = 0
	x.openAhead(key)
}

// blockAfter returns for how long no connection is opened ahead after an outcome.
func blockAfter(outcome entry.AttemptOutcome) time.Duration {
	switch o := outcome.(type) {
	case entry.Answered:
		return blockFor(o.Rest, o.IsLeaving)
	case entry.Shed:
		return blockFor(o.Rest, o.IsLeaving)
	case entry.Misdirected, entry.Broken, entry.TimedOut:
		return failureBlock
	case entry.NothingSent:
		if !o.IsStaleConnection {
			return failureBlock
		}
	}
	return 0
}

// blockFor returns for how long no connection is opened ahead to an upstream that rests or leaves. The reducer does not
// know yet that it leaves.
func blockFor(rest time.Duration, isLeaving bool) time.Duration {
	if isLeaving {
		return max(rest, failureBlock)
	}
	return rest
}

// acquireFar returns a connection to an upstream in another region: an idle one, one that another request returns, or a
// new one, whichever comes first. If the opening packet of the new one seems to be lost, a second one is opened; the
// connection that is not needed goes to the pool.
func (x *exchange) acquireFar(d entry.Dispatch) (*upstreamConnection, error) {
	p, key := x.pool, keyOf(d)
	p.mu.Lock()
	c := p.take(time.Now(), key)
	if c != nil {
		p.mu.Unlock()
		x.openAhead(key)
		return c, nil
	}
	w := &connectionWaiter{ready: make(chan *upstreamConnection, 1)}
	p.waiters[key] = append(p.waiters[key], w)
	needsDial := p.dials[key] < len(p.waiters[key])
	if needsDial {
		p.dials[key]++
	}
	raceDelay, isBlocked := p.warmer.raceDelay(d.Region), p.warmer.isBlocked(time.Now(), key)
	p.mu.Unlock()
	if needsDial {
		go x.dialFor(key, d.Region)
	}
	race, timeout := time.NewTimer(raceDelay), time.NewTimer(min(connectTimeout, time.Until(d.Deadline)))
	defer race.Stop()
	defer timeout.Stop()
	for {
		select {
		case c := <-w.ready:
			if c == nil {
				return nil, w.err
			}
			return c, nil
		case <-race.C:
			if !isBlocked && p.startDial(key) {
				go x.dialFor(key, d.Region)
			}
		case <-timeout.C:
			return p.abandon(key, w)
		}
	}
}

// startDial counts one more connection that is being opened, and reports whether it may be: there is at most one more
// than requests that wait for one.
func (p *pool) startDial(key poolKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dials[key] > len(p.waiters[key]) {
		return false
	}
	p.dials[key]++
	return true
}

// abandon ends the wait for a connection. It returns the connection that has come meanwhile, if any.
func (p *pool) abandon(key poolKey, w *connectionWaiter) (*upstreamConnection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeWaiter(key, w)
	select {
	case c := <-w.ready:
		if c != nil {
			return c, nil
		}
		return nil, w.err
	default:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
}

// popWaiter removes the first waiter and returns the channel that it waits on. The caller holds mu.
func (p *pool) popWaiter(key poolKey) chan *upstreamConnection {
	w := p.waiters[key][0]
	p.removeWaiter(key, w)
	return w.ready
}

// removeWaiter removes a waiter. The caller holds mu.
func (p *pool) removeWaiter(key poolKey, w *connectionWaiter) {
	remaining := slices.DeleteFunc(p.waiters[key], func(other *connectionWaiter) bool { return other == w })
	if len(remaining) == 0 {
		delete(p.waiters, key)
		return
	}
	p.waiters[key] = remaining
}

// dialFor opens a connection for the requests that wait for one.
func (i *Instance) dialFor(key poolKey, region id.Region) {
	startedAt := time.Now()
	conn, err := dialUpstream(context.Background(), key.address)
	p := i.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endDial(key)
	now := time.Now()
	if err != nil {
		p.warmer.block(key, now.Add(failureBlock))
		if p.dials[key] == 0 {
			p.failWaiters(key, err)
		}
		return
	}
	p.metrics.opened.Inc(1)
	c := newUpstreamConnection(conn)
	c.connectTime = now.Sub(startedAt)
	p.warmer.observeConnectTime(region, c.connectTime)
	p.add(now, key, c)
}

// endDial counts one connection less that is being opened. The caller holds mu.
func (p *pool) endDial(key poolKey) {
	if p.dials[key]--; p.dials[key] <= 0 {
		delete(p.dials, key)
	}
}

// failWaiters reports to the requests that wait for a connection that none can be opened. The caller holds mu.
func (p *pool) failWaiters(key poolKey, err error) {
	for _, w := range p.waiters[key] {
		w.err = err
		w.ready <- nil
	}
	delete(p.waiters, key)
}

// openAhead opens a connection in the background if the next request to the upstream would not find an idle one.
func (i *Instance) openAhead(key poolKey) {
	if !i.mayOpenAhead(key) {
		return
	}
	p, now := i.pool, time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isClosed || p.dials[key] > 0 || !p.warmer.claim(now, key, p.lasting(now, key)) {
		return
	}
	p.dials[key]++
	go i.dialAhead(key)
}

// mayOpenAhead reports whether the upstream's process may get requests of this instance.
func (i *Instance) mayOpenAhead(key poolKey) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	address, isUsable := i.state.TunnelAddress(key.upstream, key.incarnation)
	return i.state.Features().Plan && i.state.LendsLinks() && isUsable && address == key.address
}

// lasting returns the number of idle connections to an upstream that do not expire soon. The caller holds mu.
func (p *pool) lasting(now time.Time, key poolKey) int {
	n := 0
	for _, c := range p.idle[key] {
		if now.Add(renewLead).Before(c.expiresAt) {
			n++
		}
	}
	return n
}

// dialAhead opens a connection to an upstream ahead of its use.
func (i *Instance) dialAhead(key poolKey) {
	startedAt := time.Now()
	conn, err := dialUpstream(context.Background(), key.address)
	isUsable := i.mayOpenAhead(key)
	p := i.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endDial(key)
	now := time.Now()
	expiresAt := p.warmer.recordOpened(now, key, err == nil)
	if err != nil {
		i.log.Debug("connections: opening one ahead failed", "upstream", key.upstream, "error", err)
		if p.dials[key] == 0 {
			p.failWaiters(key, err)
		}
		return
	}
	p.metrics.opened.Inc(1)
	p.metrics.ahead.Inc(1)
	c := newUpstreamConnection(conn)
	c.connectTime, c.expiresAt, c.isUnused = now.Sub(startedAt), expiresAt, true
	p.warmer.kept++
	if !isUsable && len(p.waiters[key]) == 0 {
		p.discard(c)
		return
	}
	p.add(now, key, c)
}

// sweepConnections closes idle connections that have expired or that upstreams have closed, and renews those of upstreams
// in other regions that are in use, until ctx ends.
func (i *Instance) sweepConnections(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, key := range i.pool.sweep(time.Now()) {
			i.openAhead(key)
		}
	}
}

// sweep removes the dead connections to the upstreams whose use is remembered, and returns those upstreams.
func (p *pool) sweep(now time.Time) []poolKey {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.warmer.forgetUnused(now)
	keys := make([]poolKey, 0, len(p.warmer.targets))
	for key := range p.warmer.targets {
		keys = append(keys, key)
		p.removeExpired(now, key)
		p.removeClosed(now, key)
	}
	return keys
}

// removeClosed removes the idle connections that the upstream has closed. The caller holds mu.
func (p *pool) removeClosed(now time.Time, key poolKey) {
	open := p.idle[key][:0]
	for _, c := range p.idle[key] {
		if c.isQuiescent() {
			open = append(open, c)
			continue
		}
		if c.isUnused {
			p.warmer.block(key, now.Add(closeBlock))
		}
		p.discard(c)
	}
	if len(open) == 0 {
		delete(p.idle, key)
		return
	}
	p.idle[key] = open
}
