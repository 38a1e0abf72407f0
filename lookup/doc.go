// Package lookup finds the site of a client and the order of the instances that the client should ask.
//
// A Table is immutable. Build and Apply return new tables, so that readers share a table without locks and a writer
// swaps a pointer.
package lookup
