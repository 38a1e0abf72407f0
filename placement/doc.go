// Package placement chooses the upstream for a request that concerns an object.
//
// It answers a load of cold work above the capacity. An upstream that has handled an object needs a fraction of the
// work, so each object has a home in its callers' region: the upstream that rendezvous hashing ranks first. All instances
// of the region agree on it without a message, and a change of members moves only the objects of the members that
// changed. A Chooser estimates when each candidate would finish the request, from the way to it, its load, its slowness
// and the work it needs warm or cold, and takes the earliest.
//
// The package does no I/O and reads no clock. A Chooser is not safe for concurrent use.
package placement
