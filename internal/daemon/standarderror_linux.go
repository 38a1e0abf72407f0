package daemon

import (
	"os"
	"syscall"
)

// unblockStandardError makes writes to standard error fail, instead of block, while it is a pipe that is full. The Go
// runtime reports fatal errors there after it has stopped all goroutines, and the daemon the error that ends it, so that a
// process whose output nobody reads would neither serve nor end. It returns a file whose writes wait for the pipe.
func unblockStandardError() *os.File {
	var stat syscall.Stat_t
	if err := syscall.Fstat(syscall.Stderr, &stat); err != nil || stat.Mode&syscall.S_IFMT != syscall.S_IFIFO {
		return os.Stderr
	}
	// Other processes may share the open file description of standard error, and with it a change of its flags.
	descriptor, err := syscall.Open("/proc/self/fd/2", syscall.O_WRONLY|syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
	if err != nil {
		return os.Stderr
	}
	defer func() { _ = syscall.Close(descriptor) }()
	blocking, err := syscall.Dup(syscall.Stderr)
	if err != nil {
		return os.Stderr
	}
	if err := syscall.Dup3(descriptor, syscall.Stderr, 0); err != nil {
		_ = syscall.Close(blocking)
		return os.Stderr
	}
	return os.NewFile(uintptr(blocking), os.Stderr.Name())
}
