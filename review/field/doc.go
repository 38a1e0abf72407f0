// Command field runs the scripted cases of the second review: it starts instances as separate processes, with a store,
// servers and clients of its own, and checks one rule.
package main
