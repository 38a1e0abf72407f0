// Package loopback picks addresses for processes that are started for a test.
package loopback
