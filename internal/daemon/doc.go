// Package daemon implements the command line of bluebellholdd.
//
// It reads the settings, connects to the platform, loads the certificates and runs one instance until a planned stop.
// SIGTERM and SIGINT start a planned stop; SIGINT during the stop ends the process immediately.
package daemon
