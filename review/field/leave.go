package main

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// leaverCount is the number of clients that leave, each leaveInterval after the one before, and leaverBody the size of
	// their requests' bodies.
	leaverCount   = 40
	leaveInterval = 50 * time.Millisecond
	leaverBody    = 4_000_000
	// earlyLeave and lateLeave are how long after the last byte of its request a client leaves.
	earlyLeave = time.Millisecond
	lateLeave  = 20 * time.Millisecond
	// workTime is how long a server works on a request, and workAfterLeave how long it may after the client has left.
	workTime       = 2 * time.Second
	workAfterLeave = 500 * time.Millisecond
	// maxLeftParts is the number of parts of all such requests of which one may be worked on for longer.
	maxLeftParts = 4
)

// runLeave lets clients leave after they have sent a large request that may be repeated, and checks GONE.
func runLeave(f *field) (bool, error) {
	services := []string{"pregled"}
	routes := []route{{"r-1", "/pregled/", "safe", "pregled", "6000ms", "1500ms"}}
	for zone := range regions {
		for range 4 {
			if err := f.addServer("pregled", zone, 6, workTime); err != nil {
				return false, err
			}
		}
	}
	f.configure(3, services, routes, []tenant{{name: "sola", key: "key-of-sola"}})
	if err := f.startInstances(); err != nil {
		return false, err
	}
	pause := lateLeave
	if f.hasTrouble {
		pause = earlyLeave
	}
	var mu sync.Mutex
	var clients sync.WaitGroup
	leftAt := make(map[string]time.Time)
	for n := range leaverCount {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * leaveInterval)
			id := fmt.Sprint("leaver-", n)
			at, err := sendAndLeave(f.instances[n%len(f.instances)], id, pause)
			f.log("request %s sent and left, error %v", id, err)
			if err == nil {
				mu.Lock()
				defer mu.Unlock()
				leftAt[id] = at
			}
		})
	}
	clients.Wait()
	time.Sleep(workTime + workAfterLeave)
	ran, late := 0, 0
	runs := f.allRuns()
	for id, at := range leftAt {
		for _, r := range runs[id] {
			ran++
			if r.end.Sub(at) > workAfterLeave {
				late++
			}
		}
	}
	f.note("%d clients left, %d of their requests ran, servers worked on %d of them half a second later; allowed are %d",
		len(leftAt), ran, late, ran/maxLeftParts)
	return late*maxLeftParts <= ran, nil
}

// sendAndLeave sends one request, closes the connection after a pause, and returns when it did.
func sendAndLeave(to *instance, id string, pause time.Duration) (time.Time, error) {
	conn, err := net.Dial("tcp", to.callers)
	if err != nil {
		return time.Time{}, err
	}
	var request bytes.Buffer
	fmt.Fprintf(&request, "POST /pregled/%s HTTP/1.1\r\nHost: %s\r\nX-Bluebellhold-Attempt-Id: %s\r\n"+
		"X-Bluebellhold-Deadline-Ms: 6000\r\nAuthorization: Bearer key-of-sola\r\nContent-Length: %d\r\n\r\n",
		id, host, id, leaverBody)
	request.Write(make([]byte, leaverBody))
	if _, err := conn.Write(request.Bytes()); err != nil {
		return time.Time{}, err
	}
	time.Sleep(pause)
	return time.Now(), conn.Close()
}
