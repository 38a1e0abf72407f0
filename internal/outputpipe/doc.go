// Package outputpipe carries the output of a process that a test starts through a pipe, whose reader the test can stall or
// close.
package outputpipe
