// Package bluebellhold runs one entry instance of a global traffic steering system.
//
// An instance receives the requests of callers, selects an upstream for each of them and, together with the other
// instances of its fleet, enforces the limits of organisations, regions, links and traffic shifts. The daemon
// bluebellholdd is a thin main around this package; other programs can embed an instance in the same way.
//
// The coordination logic is in separate packages: allotment, balance, claim, fleet, lookup, note, queue and retry
// decide without any I/O. Package store defines the access to the table, the object store and the list of instances,
// and platform translates the platform's own formats.
package bluebellhold
