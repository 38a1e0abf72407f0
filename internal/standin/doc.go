// Package standin simulates the platform and the upstreams for tests, with faults that tests switch on and off.
//
// A Server listens on loopback addresses only. Tests steer it through its methods or, from another process, through
// its control address. All control bodies are JSON; unknown fields are refused with status 400.
//
// POST /control/faults replaces the faults of the platform, so {} ends all of them:
//
//	{"down": "refuse"}             connections are dropped and refused; "503" answers with that status
//	{"slow": 800}                  delay in ms before each request takes effect
//	{"lost": 3}                    answers of the next 3 committed transactions are lost; -1: of all
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
//	{"name": "pregled-1", "lag": 2000}            load reports are 2 s late
//	{"name": "pregled-1", "lie": 0}               load reports say 0 running requests; -1 ends the lie
//	{"name": "pregled-1", "mute": true}           load reports fail with status 503
//	{"action": "start", "upstream": {"name": "pregled-99", "service": "pregled", "region": "osrednja", "slots": 6}}
//
// GET /control/upstreams returns the platform's address and the upstreams with their addresses. GET /control/counts
// returns Counts: what the platform and each upstream did, runs by idempotency key, and the requests that run at the
// same time by region and by region/service.
//
// An upstream answers GET /health and GET /load; any other request takes a slot for the service time and is answered
// with an Echo. It is shed with status 503 and "Outcome: not run" if all slots are busy, and stopped when its caller
// goes or its Request-Timeout (ms) has passed. These headers mark a request:
//
//	Test-Crash: yes      the upstream drops all connections without answers and is down for its outage
//	Test-Slow: 500       the work takes 500 ms longer; with Test-Crash, the crash comes after them
//	Test-Size: 100000    the body of the answer is the digest of the request, repeated up to this many bytes
//	Test-Break: 10       the connection breaks after this many bytes of a body that is declared longer
package standin
