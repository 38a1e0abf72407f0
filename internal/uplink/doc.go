// Package uplink tells whether an instance reaches its upstreams at all.
//
// A failed attempt says little by itself: the upstream may have crashed. The package looks at all upstreams together. It
// does no I/O.
package uplink
