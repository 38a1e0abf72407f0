// Package occupancy counts what the clients of a process occupy of its memory and its descriptors, at all addresses that it
// listens on. When there is no room for a client, it evicts the one that makes the least progress.
//
// What a process opens for itself is not counted: clients get a part of the descriptors and of the memory, and the rest stays
// free for the store, for other instances and for upstreams.
package occupancy
