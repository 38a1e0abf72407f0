//go:build cgo

package hangup

// #include <signal.h>
import "C"
