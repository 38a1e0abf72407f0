// Package rig runs the daemon as separate processes on loopback addresses, against small stand-ins of the platform's
// store, of servers and of clients that speak what the users' pages say.
package rig
