package allotment_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/allotment"
	"bluebellhold/id"
)

// away returns a process that is no home instance of the limit.
func (w *simulation) nonHomeProcess(limit allotment.Limit) *process {
	homes := w.processes[0].Homes(limit.ID)
	i := slices.IndexFunc(w.processes, func(p *process) bool { return !slices.Contains(homes, p.member.Instance) })
	return w.processes[i]
}

// without returns the members with one of them no longer live.
func (w *simulation) membersWithout(gone id.Instance) allotment.MembersChanged {
	members := w.members()
	for i := range members {
		members[i].Live = members[i].Instance != gone
	}
	return allotment.MembersChanged{Members: members}
}

// Guards against a borrower that counts a loan from the receipt of the reply, which may be long after its sending.
func TestPausedBorrowerDiscardsExpiredLoan(t *testing.T) {
	w := startSevenInstances(t, 10, allotment.Config{}, smallRate)
	p := w.nonHomeProcess(smallRate)
	require.False(t, w.take(p, smallRate, 1))
	w.pause(p, 5*time.Second)
	w.run(6 * time.Second)
}

// Guards against lent tokens that come on top of the burst of the next holder.
func TestPartsBackingLoansAreNotReleased(t *testing.T) {
	w := startSevenInstances(t, 11, allotment.Config{}, smallRate)
	home := w.homeProcess(smallRate)
	change := w.membersWithout(home.member.Instance)
	require.False(t, w.take(w.nonHomeProcess(smallRate), smallRate, 6))
	w.run(130 * time.Millisecond)
	w.post(home, change)
	w.run(250 * time.Millisecond)
	for _, p := range w.processes {
		w.post(p, change)
	}
	w.run(3 * time.Second)
	w.requireFullyHeld(smallRate)
	require.Zero(t, w.shareRows[smallRate.ID][home.member.Instance])
}

// Guards against a promise that a reclaim under way would break.
func TestWitnessRefusesPromiseDuringReclaim(t *testing.T) {
	w := startSevenInstances(t, 12, allotment.Config{}, largeRate)
	holder := w.processes[0]
	witness := w.firstProcess(holder.Dump().Witness)
	var reclaim *allotment.Transact
	var promise *allotment.Promise
	w.intercept = func(p *process, e allotment.Effect) bool {
		switch e := e.(type) {
		case allotment.Transact:
			if p == witness && len(e.Transaction.Conditions) > 1 && reclaim == nil {
				reclaim = &e
			}
			return p == holder || p == witness && reclaim != nil
		case allotment.Send:
			if answer, ok := e.Message.(allotment.Promise); ok && p == witness {
				promise = &answer
			}
		}
		return p == holder
	}
	w.run(9 * time.Second)
	require.NotNil(t, reclaim)
	request := allotment.PromiseRequest{ID: 1, Incarnation: holder.incarnation}
	w.post(witness, allotment.MessageReceived{From: holder.member.Instance, Message: request})
	require.Equal(t, &allotment.Promise{ID: 1}, promise)
}

// Guards against relying on the old witness after a renewal with a new witness took effect but its answer was lost.
func TestLeaseExtensionNeedsPromisesOfAllPossibleWitnesses(t *testing.T) {
	w := startSevenInstances(t, 13, allotment.Config{}, largeRate)
	holder := w.processes[0]
	old, sent := holder.Dump().Witness, false
	w.intercept = func(p *process, e allotment.Effect) bool {
		switch e := e.(type) {
		case allotment.Transact:
			if p == holder && !sent {
				sent = true
				_, err := w.table.Transact(t.Context(), e.Transaction)
				require.NoError(t, err)
			}
			return p == holder
		case allotment.Send:
			return p == holder && e.To != old
		}
		return false
	}
	w.post(holder, w.membersWithout(old))
	require.True(t, sent)
	w.run(15 * time.Second)
	require.Zero(t, w.leaseIncarnations[holder.member.Instance])
}

// Guards against a late read that shows parts from before they were handed back.
func TestLateReadDoesNotRestoreParts(t *testing.T) {
	w := startSevenInstances(t, 14, allotment.Config{}, smallRate)
	home := w.homeProcess(smallRate)
	change := w.membersWithout(home.member.Instance)
	var handBack *allotment.Transact
	w.intercept = func(p *process, e allotment.Effect) bool {
		if transact, ok := e.(allotment.Transact); ok && p == home && len(transact.Transaction.Writes) > 1 {
			handBack = &transact
		}
		return handBack != nil && p == home
	}
	w.post(home, change)
	w.run(300 * time.Millisecond)
	require.NotNil(t, handBack)

	var late *allotment.ReadRows
	w.intercept = func(p *process, e allotment.Effect) bool {
		read, ok := e.(allotment.ReadRows)
		if ok && p == home {
			late = &read
		}
		return ok && p == home
	}
	w.post(home, w.membersWithout(w.processes[0].member.Instance))
	require.NotNil(t, late)
	rows, err := w.table.Read(t.Context(), late.Names)
	require.NoError(t, err)
	w.transact(home, *handBack)
	w.run(200 * time.Millisecond)
	w.post(home, allotment.RowsRead{ID: late.ID, Rows: rows})
	w.checkInvariants()
}
