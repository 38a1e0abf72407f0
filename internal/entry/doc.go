// Package entry is the reducer of an instance that follows a store: the operator's document, the upstreams and the
// other instances all come from there, and no instance sends another one a message.
//
// State.Reduce takes every event and returns effects as data. It owns all decisions: which route and organisation a
// request belongs to, whether it is admitted, where it runs, what happens after a failed attempt. The package does no
// I/O, reads no clock and starts no goroutine; package ingress is its shell.
package entry
