// Command lab runs the cases 6 to 10 of the review: it starts instances of the daemon as separate processes with stand-ins of
// the platform's store, of servers and of clients, brings a disruption about, and checks one rule.
package main
