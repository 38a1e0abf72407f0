// Package bluebellhold runs one entry instance of a global traffic steering system.
//
// An instance takes the requests of callers, decides which upstream answers each of them, and keeps, together with the
// other instances of its fleet, the limits of organisations, regions, links and traffic shifts. The daemon
// bluebellholdd is a thin main around this package; other programs can embed an instance in the same way.
//
// The coordination parts are packages of their own: allotment, balance, claim, fleet, lookup, note, queue and retry
// decide without any I/O, and platform reaches the table, the object store and the list of instances.
package bluebellhold
