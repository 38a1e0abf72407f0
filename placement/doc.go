// Package placement chooses the upstream for a request that concerns an object.
//
// An upstream that has handled an object lately needs a fraction of the work, so each object has a home in each
// region: the upstream that rendezvous hashing ranks first. All instances agree on it without a message, and a change
// of members moves only the objects of the members that changed. A Chooser estimates when each allowed upstream would
// finish the request, from the path to it, its load and the work it needs warm or cold, and takes the earliest.
//
// The package does no I/O and reads no clock. A Chooser is not safe for concurrent use.
package placement
