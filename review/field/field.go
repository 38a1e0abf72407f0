package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"bluebellhold/internal/loopback"
)

// regions are the regions of the zones.
var regions = map[string]string{
	"ljubljana-a": "osrednja", "ljubljana-b": "osrednja", "maribor-a": "stajerska", "maribor-b": "stajerska", "koper-a": "primorska",
}

// machine is a machine of the deployment. The one with the fastest link coordinates those of its region.
type machine struct {
	name, zone string
	linkMbps   int
}

var machines = []machine{
	{"front-ljubljana-b-1", "ljubljana-b", 2000},
	{"front-ljubljana-a-1", "ljubljana-a", 1000},
	{"front-ljubljana-a-2", "ljubljana-a", 1000},
	{"front-maribor-a-1", "maribor-a", 2000},
	{"front-maribor-b-1", "maribor-b", 1000},
	{"front-koper-a-1", "koper-a", 1000},
}

const (
	// startTimeout is how long the instances may take to become ready.
	startTimeout = 20 * time.Second
	// heartbeat is the interval at which servers write their rows.
	heartbeat = 1500 * time.Millisecond
	// coldStart is how long a server is cold after its start during traffic.
	coldStart = 3 * time.Second
)

// field is a small deployment: a store, servers and instances.
type field struct {
	daemon     []string
	hasTrouble bool
	startedAt  time.Time
	dir        string
	store      *store
	servers    []*server
	instances  []*instance
	done       chan struct{}

	mu       sync.Mutex
	record   *bufio.Writer
	file     *os.File
	isClosed bool
}

// instance is an instance's process.
type instance struct {
	machine
	callers, ready, peers string
	// storeLink leads from the instance to the store, and peerLink from other instances to it.
	storeLink, peerLink *link
	command             *exec.Cmd
}

func newField(daemon []string, record string, hasTrouble bool) (*field, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "field")
	if err != nil {
		return nil, err
	}
	f := &field{
		daemon: daemon, hasTrouble: hasTrouble, startedAt: time.Now(), dir: dir, done: make(chan struct{}),
		record: bufio.NewWriter(file), file: file,
	}
	f.store, err = newStore()
	f.note("trouble: %v", hasTrouble)
	return f, err
}

// note writes a line to the record, and to the standard output.
func (f *field) note(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	f.log(format, args...)
}

// log writes a line to the record, with the seconds since the start.
func (f *field) log(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isClosed {
		fmt.Fprintf(f.record, "%8.3f "+format+"\n", append([]any{time.Since(f.startedAt).Seconds()}, args...)...)
	}
}

// close ends all processes and servers.
func (f *field) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isClosed {
		return
	}
	f.isClosed = true
	close(f.done)
	for _, i := range f.instances {
		if i.command != nil && i.command.Process != nil {
			_ = i.command.Process.Kill()
			_ = i.command.Wait()
		}
	}
	for _, s := range f.servers {
		_ = s.http.Close()
	}
	for _, i := range f.instances {
		for _, l := range []*link{i.storeLink, i.peerLink} {
			l.heal()
			_ = l.listener.Close()
		}
	}
	_ = f.store.http.Close()
	_ = f.record.Flush()
	_ = f.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// addServer starts a server of a service in a zone and lets it write its row.
func (f *field) addServer(service, zone string, slots int, work time.Duration) error {
	s := &server{
		field: f, id: fmt.Sprintf("i-%s-%d", zone, len(f.servers)), service: service, zone: zone, work: work,
		slots: slots, free: make(chan struct{}, slots),
	}
	if err := s.start(); err != nil {
		return err
	}
	f.servers = append(f.servers, s)
	go s.beat()
	return nil
}

// startInstances starts an instance in each zone and waits until all are ready.
func (f *field) startInstances() error {
	f.store.setRewrite(f.rewritePeer)
	for _, m := range machines {
		if err := f.startInstance(m); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for _, i := range f.instances {
		for !i.isReady() {
			if time.Now().After(deadline) {
				return errors.New("an instance is not ready in time: " + i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.note("instances ready")
	return nil
}

// rewritePeer replaces the address for sessions in the row of an instance by that of the link to it.
func (f *field) rewritePeer(r row) row {
	var value map[string]any
	if r.Table != "members" || json.Unmarshal(r.Value, &value) != nil {
		return r
	}
	for _, i := range f.instances {
		if i.name == r.Key {
			value["peer"] = i.peerLink.address()
		}
	}
	r.Value, _ = json.Marshal(value)
	return r
}

func (f *field) startInstance(m machine) error {
	i := &instance{machine: m}
	addresses := make([]string, 5)
	for n := range addresses {
		address, err := loopback.FreeAddress()
		if err != nil {
			return err
		}
		addresses[n] = address
	}
	i.callers, i.ready, i.peers = addresses[0], addresses[1], addresses[4]
	var err error
	if i.storeLink, err = newLink(f.store.address, 600*time.Millisecond); err != nil {
		return err
	}
	if i.peerLink, err = newLink(i.peers, 300*time.Millisecond); err != nil {
		return err
	}
	settings, err := json.Marshal(map[string]any{
		"name": m.name, "region": regions[m.zone], "datacentre": m.zone, "regions": regions,
		"callers": i.callers, "ready": i.ready, "lookup": addresses[2], "metrics": addresses[3], "peers": addresses[4],
		"store": i.storeLink.address(), "link": m.linkMbps, "memory": 284,
		"bounds": map[string]any{
			"retries": map[string]any{"ratio": 0.2, "extra": 56, "window": "10s"},
			"rates":   map[string]any{"window": "5s", "excess": quotaExcess, "slack": quotaSlack},
			"cold":    map[string]any{"excess": 1.5, "slack": 5},
			"drain":   "2500ms", "grace": "6s", "ttl": "5s",
		},
		"terms": []string{"base", "drain", "config", "cost", "retry", "recover", "places", "tenants", "quota", "platform"},
		"log":   "info",
	})
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, m.name+".json")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(f.dir, m.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	f.instances = append(f.instances, i)
	i.command = exec.Command(f.daemon[0], append(append([]string{}, f.daemon[1:]...), path)...)
	i.command.Env = append(os.Environ(), "BLUEBELLHOLD_CONFIG="+path)
	i.command.Stdout, i.command.Stderr = output, output
	// The processes end with this one, also if it is killed.
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.command.Start(); err != nil {
		return err
	}
	return nil
}

func (i *instance) isReady() bool {
	response, err := http.Get("http://" + i.ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// route is a route of a configuration.
type route struct {
	name, prefix, kind, service string
	timeout, latency            string
}

// tenant is a tenant of a configuration; a rate of 0 is no limit.
type tenant struct {
	name, key   string
	rate, burst float64
}

// host is the host of all routes.
const host = "jepu9.example"

// configure writes a configuration and returns the time of its acknowledgement.
func (f *field) configure(version int, services []string, routes []route, tenants []tenant) time.Time {
	var resources []any
	add := func(kind, name string, spec map[string]any) {
		resources = append(resources, map[string]any{
			"resourceKind": kind, "metadata": map[string]any{"name": name}, "spec": spec,
		})
	}
	for _, r := range routes {
		add("routes", r.name, map[string]any{
			"host": host, "prefix": r.prefix, "type": r.kind, "timeout": r.timeout, "targetLatency": r.latency, "priority": 1,
			"service": r.service, "maxAttempts": 2, "public": false, "sticky": false, "allowedRegions": []string{},
		})
	}
	for _, s := range services {
		add("services", s, map[string]any{"maxConns": 330, "coldPerS": 9.6, "coldStart": "3s", "healthPath": "/healthz"})
	}
	for _, t := range tenants {
		spec := map[string]any{"apiKeys": []string{t.key}, "priority": 1, "allowedRegions": []string{}}
		if t.rate > 0 {
			spec["ratePerS"], spec["burst"] = t.rate, t.burst
		}
		add("tenants", t.name, spec)
	}
	add("limits", "", map[string]any{
		"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms",
	})
	at := f.store.put("op", "config", map[string]any{"version": version, "resources": resources})
	f.note("configuration %d acknowledged", version)
	return at
}
