// Package hangup ignores SIGHUP from the start of a process that imports it.
//
// SIGHUP ends a process that has not asked for it. Go code can ask for it only once the runtime and the imported packages have
// started, which takes some milliseconds and more on a busy machine, while settings may change at any time. A process that
// wants the signal calls signal.Notify as usual. Without cgo the package does nothing.
package hangup
