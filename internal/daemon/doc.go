// Package daemon is the command line of bluebellholdd.
//
// It reads the settings, opens the platform's services and certificates, and runs one instance until a planned stop.
// SIGTERM and SIGINT begin a planned stop; a second signal ends the process at once.
package daemon
