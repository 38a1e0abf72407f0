// Package lookup maps a client address to a site and ranks the instances that a client should send requests to.
//
// A Table is immutable. Build and Apply return new tables, so that readers need no locks and a writer replaces a
// pointer.
package lookup
