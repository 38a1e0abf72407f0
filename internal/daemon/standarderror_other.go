//go:build !linux

package daemon

import "os"

// unblockStandardError returns standard error unchanged.
func unblockStandardError() *os.File { return os.Stderr }
