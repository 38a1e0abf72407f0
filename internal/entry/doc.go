// Package entry is the reducer of an instance whose configuration, upstreams and peers all come from a store; instances
// send each other no messages.
//
// State.Reduce applies every event and returns effects as data. It makes all decisions: which route and organisation a
// request belongs to, whether it is admitted, which upstream it is sent to, and whether a failed attempt is retried.
// The package does no I/O, reads no clock and starts no goroutine; package ingress posts the events and executes the
// effects.
package entry
