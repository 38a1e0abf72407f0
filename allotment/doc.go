// Package allotment enforces fleet-wide limits across instances that fail, pause and lose messages.
//
// A Ledger records what one instance holds. Shares of limits are stored in table rows and only change by
// compare-and-set. One lease row per instance guards all its shares: whoever removes the lease row may hand the
// shares to others, so a holder stops spending before its lease row can be removed. An instance that is short of
// tokens or slots borrows from a home instance of the limit without a table write.
//
// The package does no I/O. Reduce takes events and returns effects; the caller executes the effects and posts the
// results as further events, late, out of order or not at all. A Ledger is not safe for concurrent use.
//
// Every transaction of a ledger is conditional on its own lease row and rewrites that row. So at most one of the
// transactions that were sent against one version of the lease row takes effect, a lost answer is resolved by the
// serial number in the row, and a process whose lease was removed cannot write any share.
package allotment
