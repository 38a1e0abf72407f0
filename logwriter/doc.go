// Package logwriter writes log lines without blocking the goroutines that log them.
//
// Lines wait in a bounded queue, from which one goroutine writes them to the output. If the output stalls, the queue
// keeps the lines that it holds and further ones are dropped; if a write fails, its lines are dropped. Dropped lines are
// counted, and a line reports their number once the output takes lines again.
package logwriter
