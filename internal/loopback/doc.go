// Package loopback picks free loopback addresses for the processes that a test starts.
package loopback
