// Package allotment enforces fleet-wide limits across instances that fail, pause and lose messages.
//
// A Ledger is the state of one instance. Each limit is divided into shares, which its home instances hold; rendezvous
// hashing selects them among the live members. A share is measured in parts, of which a whole limit has id.WholeLimit.
// Shares are stored in rows of a replicated table and only change by compare-and-set. One lease row per instance guards
// all its shares: once the lease row is removed, other instances may claim the shares, so a holder stops spending before
// its lease row can be removed. An instance that is short of tokens or slots borrows from a home instance of the limit
// without a table write.
//
// Each lease row names a witness, another instance that may reclaim (remove) the row once it has not changed for one
// lease term; all others wait for the longer maximum lease term. In a table outage, promises of the witness not to
// reclaim keep the lease valid without renewals, up to the maximum lease term.
//
// TokenBucket and SlidingWindow are limits of one instance, for fleets that divide a limit by other means.
//
// The package does no I/O. Reduce takes events and returns effects; the instance executes the effects and posts the
// results as further events, late, out of order or not at all. A Ledger is not safe for concurrent use.
//
// Every transaction of a ledger is conditional on its own lease row and rewrites that row. So at most one of the
// transactions that were sent against one version of the lease row takes effect, the serial number in the row tells
// the outcome after a lost result, and a process whose lease was removed cannot write any share.
package allotment
