package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// deployment holds the paths and what all instances of a case share.
type deployment struct {
	// root is the repository, and dir a temporary folder.
	root, dir string
	// regions are the regions of the zones.
	regions   map[string]string
	table     *table
	record    *record
	instances []*instance
}

// instance is a process of the daemon.
type instance struct {
	*deployment
	name, zone, region string
	linkMbps           float64
	ports              map[string]string
	store              *storeEndpoint
	peerLink           *link
	command            *exec.Cmd
	exited             chan struct{}
	// isKilled is set once the case has sent SIGKILL or SIGTERM to the process.
	isKilled bool
}

// freeAddress returns a free loopback address. Its port is not one that the kernel gives to outgoing connections, so that it
// stays free while a process is down.
func freeAddress() (string, error) {
	const lowest, count, tries = 12_000, 18_000, 100
	for range tries {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(count)))
		if err == nil {
			defer listener.Close()
			return listener.Addr().String(), nil
		}
	}
	return "", errors.New("no free port")
}

func (d *deployment) newInstance(name, zone string, linkMbps float64) (*instance, error) {
	i := &instance{deployment: d, name: name, zone: zone, region: d.regions[zone], linkMbps: linkMbps, ports: make(map[string]string)}
	for _, port := range []string{"front", "readiness", "directory", "metrics", "peers"} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		i.ports[port] = address
	}
	var err error
	if i.store, err = newStoreEndpoint(d.table, name); err != nil {
		return nil, err
	}
	if i.peerLink, err = newLink(i.ports["peers"]); err != nil {
		return nil, err
	}
	d.table.mu.Lock()
	d.table.peers[name] = i.peerLink.address()
	d.table.mu.Unlock()
	d.instances = append(d.instances, i)
	return i, nil
}

// bounds are those of the small site zadruga-zreb.
var bounds = map[string]any{
	"retryBudgetRatio": 0.2, "budgetExtra": 56, "budgetWindow": "10s", "quotaWindow": "5s", "quotaExcess": 0.1,
	"quotaSlack": 20, "coldExcess": 1.5, "coldSlack": 5, "drain": "2500ms", "grace": "6s", "ttl_max": "5s",
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z_.0-9]+)(\|json)?\}\}`)

// writeSettings fills in the template of the deploy file.
func (i *instance) writeSettings(path string) error {
	template, err := os.ReadFile(filepath.Join(i.root, "deploy", "settings.json"))
	if err != nil {
		return err
	}
	host, metricsPort, _ := strings.Cut(i.ports["metrics"], ":")
	_, peerPort, _ := strings.Cut(i.ports["peers"], ":")
	values := map[string]any{
		"nodeName": i.name, "region": i.region, "zone": i.zone, "zones": i.regions,
		"listen.front": i.ports["front"], "listen.readiness": i.ports["readiness"], "listen.directory": i.ports["directory"],
		"ip": host, "portRange.0": metricsPort, "portRange.1": peerPort, "provider.address": i.store.address,
		"limits.linkMbps": i.linkMbps, "limits.memoryMb": 284,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "places", "tenants", "quota", "platform"},
	}
	for name, value := range bounds {
		values["bounds."+name] = value
	}
	var missing error
	filled := placeholder.ReplaceAllStringFunc(string(template), func(text string) string {
		parts := placeholder.FindStringSubmatch(text)
		value, ok := values[parts[1]]
		if !ok {
			missing = errors.New("the template names " + parts[1])
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		body, err := json.Marshal(value)
		if err != nil {
			missing = err
		}
		return string(body)
	})
	if missing != nil {
		return missing
	}
	return os.WriteFile(path, []byte(filled), 0o600)
}

// start starts the process with the command of the deploy file.
func (i *instance) start() error {
	path := filepath.Join(i.dir, i.name+".json")
	if err := i.writeSettings(path); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(i.dir, i.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	i.command = exec.Command(filepath.Join(i.root, "target", "bluebellholdd"), "--entry", "--settings", path)
	i.command.Stdout, i.command.Stderr = output, output
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.command.Start(); err != nil {
		return err
	}
	i.exited, i.isKilled = make(chan struct{}), false
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		_ = output.Close()
		close(exited)
	}(i.command, i.exited)
	i.record.note("%s starts", i.name)
	return nil
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) {
	i.record.note("%s gets %s", i.name, s)
	i.isKilled = s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = i.command.Process.Signal(s)
}

// cutOff cuts the links of the instance to the store and to other instances. Clients and servers still reach it.
func (i *instance) cutOff() {
	i.record.note("%s is cut off from the store and the other instances", i.name)
	i.store.link.cut()
	i.peerLink.cut()
}

// reconnect heals the links of the instance.
func (i *instance) reconnect() {
	i.record.note("%s is connected again", i.name)
	i.store.link.heal()
	i.peerLink.heal()
}

// isRunning reports whether the process runs.
func (i *instance) isRunning() bool {
	if i.command == nil {
		return false
	}
	select {
	case <-i.exited:
		return false
	default:
		return true
	}
}

// checkRunning returns an error if a process has ended that the case has not killed.
func (d *deployment) checkRunning() error {
	for _, i := range d.instances {
		if i.command != nil && !i.isRunning() && !i.isKilled {
			return errors.New(i.name + " has ended by itself")
		}
	}
	return nil
}

// isReady reports whether the instance says that it is ready.
func (i *instance) isReady() bool {
	h := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := h.Get("http://" + i.ports["readiness"] + "/api/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until all instances are ready.
func (d *deployment) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, i := range d.instances {
			ready = ready && (i.command == nil || i.isReady())
		}
		if ready {
			return nil
		}
	}
	return errors.New("the instances did not become ready")
}

// end kills the processes that are left.
func (d *deployment) end() {
	for _, i := range d.instances {
		if i.isRunning() {
			_ = i.command.Process.Signal(syscall.SIGCONT)
			_ = i.command.Process.Kill()
			<-i.exited
		}
	}
}
