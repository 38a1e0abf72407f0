// Package standin simulates the platform and the upstreams for tests and injects faults into them.
//
// A Server listens on loopback addresses only. Tests control it through its methods or, from another process, through
// the HTTP interface at its control address. All control bodies are JSON; unknown fields are rejected with status 400.
//
// POST /control/faults replaces the faults of the platform, so {} clears all of them:
//
//	{"down": "refuse"}             connections are dropped and refused; "503": each response has that status
//	{"slow": 800}                  delay in ms before each request takes effect
//	{"lost": 3}                    responses of the next 3 committed transactions are lost; -1: of all
//	{"cut": ["osrednja-1"]}        requests with this Instance header are dropped without effect
//
// POST /control/members replaces the list of instances; a change is visible after the lag in ms. With probe, a member
// is listed while its peer address accepts connections, checked every 500 ms:
//
//	{"probe": true, "lag": 1000, "list": [{"instance": "osrednja-1", "peer": "127.0.0.1:20001", "leaving": true}]}
//
// POST /control/upstreams changes all upstreams that match each given one of name, service, region and datacentre:
//
//	{"name": "pregled-1", "action": "kill"}       drop all connections until "revive", which starts it cold
//	{"region": "stajerska", "action": "drain"}    set the drain mark and reset "late"; "undrain" removes the mark
//	{"service": "pregled", "slots": 2, "time": 50, "outage": 3000}
//	{"name": "pregled-1", "lag": 2000}            load reports are delayed by 2 s
//	{"name": "pregled-1", "lie": 0}               load reports give 0 running requests; -1: the true number again
//	{"name": "pregled-1", "mute": true}           load reports fail with status 503
//	{"action": "start", "upstream": {"name": "pregled-99", "service": "pregled", "region": "osrednja", "slots": 6}}
//
// GET /control/upstreams returns the platform's address and the upstreams with their addresses. GET /control/counts
// returns Counts: the counters of the platform and of each upstream, the runs by idempotency key, and the concurrent
// requests by region and by region/service.
//
// An upstream serves GET /health and GET /load; any other request takes a slot for the service time, and the response
// is an Echo. The request is shed with status 503 and "Outcome: not run" if all slots are busy, and cancelled when its
// caller disconnects or its Request-Timeout (ms) has passed. A test controls a single request by these headers:
//
//	Test-Crash: yes      the upstream drops all connections without responses and is down for its outage
//	Test-Slow: 500       the request takes 500 ms longer; with Test-Crash, the upstream crashes after this time
//	Test-Size: 100000    the response body is the digest of the request body, repeated up to this many bytes
//	Test-Break: 10       the connection breaks after this many bytes of a body whose Content-Length is larger
package standin
