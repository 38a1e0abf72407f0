#include <signal.h>

// Runs before the Go runtime starts.
__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
