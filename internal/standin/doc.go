// Package standin simulates the platform and the upstreams for tests, with faults that tests switch on and off.
//
// A Server listens on loopback addresses only. Tests steer it through its methods or, from another process, through
// its control address: POST /control/faults, /control/members and /control/upstreams, GET /control/counts and
// /control/upstreams.
package standin
