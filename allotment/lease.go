package allotment

import (
	"slices"
	"time"

	"bluebellhold/id"
	"bluebellhold/store"
)

// ownLease is this instance's lease and its row as last observed.
type ownLease struct {
	rowKnown       bool
	held           bool
	everHeld       bool
	version        uint64
	observedAtCall uint64
	row            leaseRow
	firstSeenAt    time.Time
	// renewedAt is the send time of the last renewal that is known to be committed.
	renewedAt time.Time
	witness   id.Instance
	// witnessReady is set once a promise has shown that the witness has read the current lease row.
	witnessReady bool
}

// peerLease is the lease row of another instance; firstSeenAt is when this version was first observed.
type peerLease struct {
	version        uint64
	observedAtCall uint64
	row            leaseRow
	firstSeenAt    time.Time
}

// promiseRequest is a request for a promise that has no reply yet. A probe is sent before a renewal is overdue and
// only finds out whether the witness has read the lease row.
type promiseRequest struct {
	id      uint64
	to      id.Instance
	sentAt  time.Time
	isProbe bool
}

// maxPendingPromiseRequests bounds the requests without a reply that are kept; one is sent about every second.
const maxPendingPromiseRequests = 16

// chooseWitness prefers an instance of another region, so that the failure of one region does not affect both.
func chooseWitness(self Member, members []Member) id.Instance {
	var sameRegion, otherRegions []id.Instance
	for _, m := range members {
		if !m.Live || m.Instance == self.Instance {
			continue
		}
		if m.Region == self.Region {
			sameRegion = append(sameRegion, m.Instance)
		} else {
			otherRegions = append(otherRegions, m.Instance)
		}
	}
	ranked := append(
		rendezvousRank(leaseRowName(self.Instance), otherRegions),
		rendezvousRank(leaseRowName(self.Instance), sameRegion)...,
	)
	if len(ranked) == 0 {
		return ""
	}
	return ranked[0]
}

// updateLeaseExpiry recomputes the time until which this instance may spend.
func (l *Ledger) updateLeaseExpiry() {
	isReleasing := slices.ContainsFunc(l.pendingTransactions, func(t *pendingTransaction) bool { return t.releasesLease })
	if !l.lease.held || isReleasing {
		l.leaseExpiry = time.Time{}
		return
	}
	maxExpiry := l.lease.renewedAt.Add(l.config.shortenByDrift(l.config.MaxLeaseTerm))
	promisedExpiry := maxExpiry
	for _, witness := range l.possibleWitnesses() {
		// Without a witness no instance reclaims before the maximum lease term, so no promise is needed.
		if witness != "" {
			promisedExpiry = earlier(promisedExpiry, l.promisesReceived[witness])
		}
	}
	l.leaseExpiry = later(l.lease.renewedAt.Add(l.config.shortenByDrift(l.config.LeaseTerm)), promisedExpiry)
}

// possibleWitnesses returns the witness of the lease row and those of pending transactions that may have replaced it.
// Any of them could reclaim, so promises extend the lease only if all of them give one.
func (l *Ledger) possibleWitnesses() []id.Instance {
	witnesses := []id.Instance{l.lease.witness}
	for _, t := range l.pendingTransactions {
		if !slices.Contains(witnesses, t.witness) {
			witnesses = append(witnesses, t.witness)
		}
	}
	return witnesses
}

// requestPromises requests promises while a renewal is overdue, which never happens in steady state, and sends probes
// until the witness has read the lease row. Without probes, a witness could not promise anything in a table outage that
// begins before its next poll of the rows.
func (l *Ledger) requestPromises(now time.Time) []Effect {
	isProbe := now.Before(l.lease.renewedAt.Add(l.config.RenewInterval * 3 / 2))
	if isProbe && l.lease.witnessReady {
		return nil
	}
	if now.Before(l.nextPromiseRequestAt) || !now.Before(l.leaseExpiry) {
		// A promise does not extend an expired lease, because a reclaim may be in flight.
		return nil
	}
	l.nextPromiseRequestAt = now.Add(l.config.RenewInterval / 2)
	var effects []Effect
	for _, witness := range l.possibleWitnesses() {
		if witness == "" {
			continue
		}
		request := promiseRequest{id: l.newID(), to: witness, sentAt: now, isProbe: isProbe}
		l.promiseRequests = append(l.promiseRequests, request)
		effects = append(effects, Send{To: witness, Message: PromiseRequest{
			ID: request.id, Incarnation: l.config.Incarnation,
		}})
	}
	if excess := len(l.promiseRequests) - maxPendingPromiseRequests; excess > 0 {
		l.promiseRequests = slices.Delete(l.promiseRequests, 0, excess)
	}
	return effects
}

// handlePromiseRequest replies to a holder whose witness may be this instance.
func (l *Ledger) handlePromiseRequest(now time.Time, from id.Instance, m PromiseRequest) []Effect {
	reply := Promise{ID: m.ID}
	if l.canPromise(now, from, m.Incarnation) {
		reply.Term = l.config.LeaseTerm
		l.promisesGiven[from] = now.Add(reply.Term)
	} else if peer, ok := l.peerLeases[from]; !ok || peer.row.Incarnation != m.Incarnation {
		l.nextPollAt = now
	}
	return []Effect{Send{To: from, Message: reply}}
}

// canPromise returns false if the own lease has expired, because a successor of this process may already act as the
// witness; if the holder's lease row was not read under the own lease, because a predecessor may have reclaimed it;
// and while a reclaim may still take effect.
func (l *Ledger) canPromise(now time.Time, from id.Instance, incarnation id.Incarnation) bool {
	peer, ok := l.peerLeases[from]
	if !ok || peer.version == 0 || peer.row.Incarnation != incarnation || !now.Before(l.leaseExpiry) {
		return false
	}
	return !slices.ContainsFunc(l.pendingTransactions, func(t *pendingTransaction) bool {
		return slices.ContainsFunc(t.reclaims, func(r reclaim) bool { return r.instance == from })
	})
}

func (l *Ledger) handlePromise(from id.Instance, m Promise) {
	i := slices.IndexFunc(l.promiseRequests, func(r promiseRequest) bool { return r.id == m.ID && r.to == from })
	if i < 0 {
		return
	}
	request := l.promiseRequests[i]
	expiry := request.sentAt.Add(l.config.shortenByDrift(m.Term))
	l.promiseRequests = slices.Delete(l.promiseRequests, i, i+1)
	if m.Term > 0 && from == l.lease.witness {
		l.lease.witnessReady = true
	}
	if m.Term > 0 && l.lease.held && !request.isProbe {
		l.promisesReceived[from] = later(l.promisesReceived[from], expiry)
		l.updateLeaseExpiry()
	}
}

// reclaimableLeases returns the lease rows of other instances that this instance may remove at now.
//
// Rows observed before this instance held its own lease do not count. So a successor waits at least one lease term, in
// which the promises of its predecessor end.
func (l *Ledger) reclaimableLeases(now time.Time) []reclaim {
	var reclaims []reclaim
	for _, instance := range l.watchedInstances {
		peer, ok := l.peerLeases[instance]
		if !ok || peer.version == 0 || instance == l.config.Self.Instance || now.Before(l.promisesGiven[instance]) {
			continue
		}
		term := l.config.MaxLeaseTerm
		if peer.row.Witness == l.config.Self.Instance {
			term = l.config.LeaseTerm
		}
		if !now.Before(peer.firstSeenAt.Add(term)) && len(reclaims) < maxReclaimsPerTransaction {
			reclaims = append(reclaims, reclaim{instance: instance, version: peer.version})
		}
	}
	return reclaims
}

// canAcquireLease reports whether this process may write the own lease row at now.
func (l *Ledger) canAcquireLease(now time.Time) bool {
	own := &l.lease
	switch {
	case !own.rowKnown || len(l.members) == 0:
		// Without members there is no witness, and after a crash the shares would be locked for the maximum lease term.
		return false
	case own.version == 0:
		return true
	case !own.everHeld && own.row.Address == l.config.Self.Address:
		// This process has bound the address, so the predecessor has ended. This does not hold for a process that has
		// held the lease before, because it may itself be the predecessor.
		return true
	default:
		return !now.Before(own.firstSeenAt.Add(l.config.MaxLeaseTerm))
	}
}

// onLeaseAcquired resets the state at the start of a lease. Share rows and peer leases observed before are discarded.
func (l *Ledger) onLeaseAcquired(now time.Time, hadPredecessor bool) {
	l.lease.held, l.lease.everHeld, l.lease.witnessReady = true, true, false
	if hadPredecessor {
		// The predecessor's loans may last until one loan term after the start of this process.
		wait := l.config.LoanTerm + l.config.LoanTerm*time.Duration(l.config.MaxClockDriftPercent)/100
		l.refillFrom = l.startedAt.Add(wait)
	}
	clear(l.peerLeases)
	l.pendingRead, l.nextPollAt = nil, now
	for _, a := range l.sortedAccounts {
		a.clearLeaseState()
		a.refilledAt = later(now, l.refillFrom)
		l.enqueueReconcile(now, a)
	}
}

// onLeaseEnded clears all shares after the lease row was removed or another process has replaced it.
func (l *Ledger) onLeaseEnded(now time.Time) {
	l.lease.held, l.lease.renewedAt, l.lease.witness = false, time.Time{}, ""
	l.pendingTransactions, l.promiseRequests = nil, nil
	clear(l.promisesReceived)
	l.updateLeaseExpiry()
	l.nextPollAt = now
	for _, a := range l.sortedAccounts {
		a.clearLeaseState()
	}
}

// observeOwnLease applies the own lease row as a call returned it.
func (l *Ledger) observeOwnLease(now time.Time, row store.Row, call uint64) {
	own := &l.lease
	if call <= own.observedAtCall {
		return
	}
	own.observedAtCall = l.lastCall
	if own.rowKnown && row.Version == own.version {
		return
	}
	// A row of an unexpected format is treated as that of another process.
	lease, _ := parseLease(row.Name, row.Value)
	if row.Version != 0 && lease.Incarnation == l.config.Incarnation {
		l.resolveLostResult(now, row.Version, lease)
		return
	}
	if own.held {
		l.onLeaseEnded(now)
	}
	own.rowKnown, own.version, own.row, own.firstSeenAt = true, row.Version, lease, now
}

// resolveLostResult commits the pending transaction that wrote the observed version of the own lease row.
func (l *Ledger) resolveLostResult(now time.Time, version uint64, lease leaseRow) {
	i := slices.IndexFunc(l.pendingTransactions, func(t *pendingTransaction) bool { return t.serial == lease.Serial })
	if i >= 0 {
		l.commit(now, l.pendingTransactions[i], version, nil)
		return
	}
	// The transaction was dropped from the pending ones, so it renews nothing and the shares must be read again.
	l.commit(now, &pendingTransaction{baseVersion: l.lease.version, witness: lease.Witness}, version, nil)
	for _, a := range l.sortedAccounts {
		l.enqueueReconcile(now, a)
	}
}

// observePeerLease applies the lease row of another instance as a call returned it.
func (l *Ledger) observePeerLease(now time.Time, instance id.Instance, row store.Row, call uint64) {
	peer, ok := l.peerLeases[instance]
	if !ok {
		peer = &peerLease{}
		l.peerLeases[instance] = peer
	}
	if call <= peer.observedAtCall {
		return
	}
	peer.observedAtCall = l.lastCall
	if ok && peer.version == row.Version {
		return
	}
	// A row of an unexpected format names no witness, so it is reclaimed after the maximum lease term.
	lease, _ := parseLease(row.Name, row.Value)
	peer.version, peer.row, peer.firstSeenAt = row.Version, lease, now
	if row.Version == 0 {
		l.reconcileSharesOf(now, instance)
	}
}

// reconcileSharesOf enqueues the share rows in which an instance without a lease holds parts.
func (l *Ledger) reconcileSharesOf(now time.Time, instance id.Instance) {
	for _, a := range l.sortedAccounts {
		if _, held := a.row[instance]; held {
			l.enqueueReconcile(now, a)
		}
	}
}

func (l *Ledger) watchMembers() {
	for _, m := range l.members {
		l.watch(m.Instance)
	}
}

func (l *Ledger) watch(instance id.Instance) {
	if instance == l.config.Self.Instance {
		return
	}
	if i, found := slices.BinarySearch(l.watchedInstances, instance); !found {
		l.watchedInstances = slices.Insert(l.watchedInstances, i, instance)
	}
}

// unwatch stops polling the lease rows of instances that are no members, have no lease and hold no known parts.
func (l *Ledger) unwatch() {
	referenced := make(map[id.Instance]bool)
	for _, m := range l.members {
		referenced[m.Instance] = true
	}
	for _, a := range l.sortedAccounts {
		for holder := range a.row {
			referenced[holder] = true
		}
	}
	l.watchedInstances = slices.DeleteFunc(l.watchedInstances, func(instance id.Instance) bool {
		peer, ok := l.peerLeases[instance]
		unreferenced := ok && peer.version == 0 && !referenced[instance]
		if unreferenced {
			delete(l.peerLeases, instance)
			delete(l.promisesGiven, instance)
		}
		return unreferenced
	})
}
