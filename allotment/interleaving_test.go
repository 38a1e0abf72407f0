package allotment_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/allotment"
	"bluebellhold/id"
)

// nonHomeProcess returns the first process that is no home instance of the limit.
func (sim *simulation) nonHomeProcess(limit allotment.Limit) *process {
	homes := sim.processes[0].Homes(limit.ID)
	i := slices.IndexFunc(sim.processes, func(p *process) bool { return !slices.Contains(homes, p.member.Instance) })
	return sim.processes[i]
}

// membersWithout returns a membership change in which the given instance alone is not live.
func (sim *simulation) membersWithout(instance id.Instance) allotment.MembersChanged {
	members := sim.members()
	for i := range members {
		members[i].Live = members[i].Instance != instance
	}
	return allotment.MembersChanged{Members: members}
}

// Guards against a borrower that counts the term of a loan from the receipt of the reply, which may be long after its
// sending.
func TestPausedBorrowerDiscardsExpiredLoan(t *testing.T) {
	sim := startSevenInstances(t, 10, allotment.Config{}, smallRate)
	borrower := sim.nonHomeProcess(smallRate)
	require.False(t, sim.take(borrower, smallRate, 1))
	sim.pause(borrower, 5*time.Second)
	sim.run(6 * time.Second)
}

// Guards against lent tokens that are spent in addition to the burst of the next holder.
func TestPartsBackingLoansAreNotReleased(t *testing.T) {
	sim := startSevenInstances(t, 11, allotment.Config{}, smallRate)
	home := sim.homeProcess(smallRate)
	change := sim.membersWithout(home.member.Instance)
	require.False(t, sim.take(sim.nonHomeProcess(smallRate), smallRate, 6))
	sim.run(130 * time.Millisecond)
	sim.post(home, change)
	sim.run(250 * time.Millisecond)
	for _, p := range sim.processes {
		sim.post(p, change)
	}
	sim.run(3 * time.Second)
	sim.requireFullyHeld(smallRate)
	require.Zero(t, sim.shareRows[smallRate.ID][home.member.Instance])
}

// Guards against a promise that a reclaim in flight would break.
func TestWitnessRefusesPromiseDuringReclaim(t *testing.T) {
	sim := startSevenInstances(t, 12, allotment.Config{}, largeRate)
	holder := sim.processes[0]
	witness := sim.firstProcess(holder.Dump().Witness)
	var reclaim *allotment.Transact
	var promise *allotment.Promise
	sim.intercept = func(p *process, e allotment.Effect) bool {
		switch e := e.(type) {
		case allotment.Transact:
			if p == witness && len(e.Transaction.Conditions) > 1 && reclaim == nil {
				reclaim = &e
			}
			return p == holder || p == witness && reclaim != nil
		case allotment.Send:
			if reply, ok := e.Message.(allotment.Promise); ok && p == witness {
				promise = &reply
			}
		}
		return p == holder
	}
	sim.run(9 * time.Second)
	require.NotNil(t, reclaim)
	request := allotment.PromiseRequest{ID: 1, Incarnation: holder.incarnation}
	sim.post(witness, allotment.MessageReceived{From: holder.member.Instance, Message: request})
	require.Equal(t, &allotment.Promise{ID: 1}, promise)
}

// Guards against relying on promises of the old witness after a renewal with a new witness was committed but its result
// was lost.
func TestLeaseExtensionNeedsPromisesOfAllPossibleWitnesses(t *testing.T) {
	sim := startSevenInstances(t, 13, allotment.Config{}, largeRate)
	holder := sim.processes[0]
	oldWitness, sent := holder.Dump().Witness, false
	sim.intercept = func(p *process, e allotment.Effect) bool {
		switch e := e.(type) {
		case allotment.Transact:
			if p == holder && !sent {
				sent = true
				_, err := sim.table.Transact(t.Context(), e.Transaction)
				require.NoError(t, err)
			}
			return p == holder
		case allotment.Send:
			return p == holder && e.To != oldWitness
		}
		return false
	}
	sim.post(holder, sim.membersWithout(oldWitness))
	require.True(t, sent)
	sim.run(15 * time.Second)
	require.Zero(t, sim.leaseIncarnations[holder.member.Instance])
}

// Guards against a late read that returns parts from before they were released.
func TestLateReadDoesNotRestoreParts(t *testing.T) {
	sim := startSevenInstances(t, 14, allotment.Config{}, smallRate)
	home := sim.homeProcess(smallRate)
	change := sim.membersWithout(home.member.Instance)
	var release *allotment.Transact
	sim.intercept = func(p *process, e allotment.Effect) bool {
		if transaction, ok := e.(allotment.Transact); ok && p == home && len(transaction.Transaction.Writes) > 1 {
			release = &transaction
		}
		return release != nil && p == home
	}
	sim.post(home, change)
	sim.run(300 * time.Millisecond)
	require.NotNil(t, release)

	var late *allotment.ReadRows
	sim.intercept = func(p *process, e allotment.Effect) bool {
		read, ok := e.(allotment.ReadRows)
		if ok && p == home {
			late = &read
		}
		return ok && p == home
	}
	sim.post(home, sim.membersWithout(sim.processes[0].member.Instance))
	require.NotNil(t, late)
	rows, err := sim.table.Read(t.Context(), late.Names)
	require.NoError(t, err)
	sim.transact(home, *release)
	sim.run(200 * time.Millisecond)
	sim.post(home, allotment.RowsRead{ID: late.ID, Rows: rows})
	sim.checkInvariants()
}
