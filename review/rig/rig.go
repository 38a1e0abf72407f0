package rig

import (
	"bufio"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	StatusHeld   = 0
	StatusBroken = 1
	StatusNotRun = 2
)

// Rig is one run of a case.
type Rig struct {
	// HasTrouble is false if the run leaves out the disruption.
	HasTrouble bool
	Store      *Store

	repository, dir string
	startedAt       time.Time
	mu              sync.Mutex
	record          *bufio.Writer
	file            *os.File
	machines        []*Machine
	servers         []*Server
}

// Main runs a case and exits with its status. The case returns an error if the run says nothing about the rule.
func Main(run func(*Rig) (isBroken bool, err error)) {
	repository := flag.String("repository", ".", "root of the repository")
	record := flag.String("record", "record.txt", "file that records what was sent, answered and run")
	flag.Parse()
	os.Exit(runCase(*repository, *record, run))
}

func runCase(repository, record string, run func(*Rig) (bool, error)) int {
	r, err := newRig(repository, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return StatusNotRun
	}
	defer r.close()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupts
		r.close()
		os.Exit(StatusNotRun)
	}()
	isBroken, err := run(r)
	switch {
	case err != nil:
		r.Record("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return StatusNotRun
	case isBroken:
		r.Record("verdict: the rule was broken")
		return StatusBroken
	}
	r.Record("verdict: the rule held")
	return StatusHeld
}

func newRig(repository, record string) (*Rig, error) {
	root, err := filepath.Abs(repository)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &Rig{
		HasTrouble: os.Getenv("TROUBLE") != "0", repository: root, dir: dir, startedAt: time.Now(),
		record: bufio.NewWriter(file), file: file,
	}
	r.Store, err = newStore()
	return r, err
}

func (r *Rig) close() {
	for _, m := range r.machines {
		m.Kill()
	}
	for _, s := range r.servers {
		s.Close()
	}
	r.Store.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Flush()
	_ = r.file.Close()
	_ = os.RemoveAll(r.dir)
}

// Record writes a line to the record, with the time since the start of the run.
func (r *Rig) Record(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f ", time.Since(r.startedAt).Seconds())
	fmt.Fprintf(r.record, format+"\n", arguments...)
}

// Say records a line and prints it.
func (r *Rig) Say(format string, arguments ...any) {
	r.Record(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// The bounds and limits of the small deployments.
const (
	MemoryMb    = 284
	ConfigApply = 2500 * time.Millisecond
	Drain       = 2500 * time.Millisecond
	Contact     = 4 * time.Second
	ColdPerS    = 9.6
	ColdExcess  = 1.5
	ColdSlack   = 5.0
	Heartbeat   = 1500 * time.Millisecond
)

// Machine is a machine with one process of the daemon.
type Machine struct {
	Name, Zone                    string
	Client, Ready, Lookup, metric string
	// ExitedAt is when the process ended; zero while it runs.
	rig      *Rig
	settings string
	log      *logSink
	link     link

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// logSink is the reader of a process's standard output.
type logSink struct {
	pipe *os.File
	file *os.File

	mu        sync.Mutex
	isStalled bool
	wake      chan struct{}
}

// regions are the zones of the deployment with their regions.
var regions = map[string]string{
	"ljubljana-a": "osrednja", "maribor-a": "stajerska", "koper-a": "primorska",
	"ljubljana-b": "osrednja", "maribor-b": "stajerska", "koper-b": "primorska",
}

// AddMachine starts a machine in a zone.
func (r *Rig) AddMachine(name, zone string) (*Machine, error) {
	m := &Machine{Name: name, Zone: zone, rig: r, settings: filepath.Join(r.dir, name+".yaml")}
	var peers string
	for _, address := range []*string{&m.Client, &m.Ready, &m.Lookup, &m.metric, &peers} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		*address = listener.Addr().String()
		defer listener.Close()
	}
	body, err := json.Marshal(map[string]any{
		"name": name, "region": regions[zone], "datacentre": zone, "regions": regions,
		"callers": m.Client, "ready": m.Ready, "lookup": m.Lookup, "metrics": m.metric, "peers": peers,
		"store": r.Store.Address, "link": 1000.0, "memory": MemoryMb,
		"bounds": map[string]any{
			"retries": map[string]any{"ratio": 0.2, "extra": 56, "window": "10s"},
			"rates":   map[string]any{"window": "5s", "excess": 0.1, "slack": 20},
			"cold":    map[string]any{"excess": ColdExcess, "slack": ColdSlack},
			"drain":   Drain.String(), "grace": "6s", "ttl": "5s",
		},
		"terms": []string{"base", "drain", "config", "cost", "retry", "recover", "places", "tenants", "quota", "platform"},
		"log":   "info",
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(m.settings, body, 0o600); err != nil {
		return nil, err
	}
	r.machines = append(r.machines, m)
	return m, nil
}

// Start starts the process.
func (m *Machine) Start() error {
	if m.log == nil {
		file, err := os.Create(filepath.Join(m.rig.dir, m.Name+".log"))
		if err != nil {
			return err
		}
		m.log = &logSink{file: file, wake: make(chan struct{})}
	}
	read, write, err := os.Pipe()
	if err != nil {
		return err
	}
	defer write.Close()
	command := exec.Command(filepath.Join(m.rig.repository, "target", "bluebellholdd"), "--entry", "--settings", m.settings)
	command.Dir = m.rig.repository
	command.Env = append(os.Environ(), "BLUEBELLHOLD_CONFIG="+m.settings)
	command.Stdout, command.Stderr = write, write
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		read.Close()
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.command, m.exited = command, exited
	m.mu.Unlock()
	go m.log.copy(read)
	go func() {
		err := command.Wait()
		m.rig.Record("machine %s: the process ended: %v", m.Name, err)
		close(exited)
	}()
	m.rig.Record("machine %s: process %d started", m.Name, command.Process.Pid)
	return nil
}

// copy reads the output of a process until it ends, and stops reading while the sink is stalled.
func (l *logSink) copy(pipe *os.File) {
	defer pipe.Close()
	buffer := make([]byte, 16<<10)
	for {
		l.mu.Lock()
		isStalled, wake := l.isStalled, l.wake
		l.mu.Unlock()
		if isStalled {
			<-wake
			continue
		}
		n, err := pipe.Read(buffer)
		_, _ = l.file.Write(buffer[:n])
		if err != nil {
			return
		}
	}
}

// StallLog stops reading the process's output, or reads on.
func (m *Machine) StallLog(isStalled bool) {
	m.log.mu.Lock()
	defer m.log.mu.Unlock()
	m.log.isStalled = isStalled
	close(m.log.wake)
	m.log.wake = make(chan struct{})
}

// LogFile returns the path of the process's output.
func (m *Machine) LogFile() string { return m.log.file.Name() }

// Signal sends a signal to the process.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		// An error means that the process has ended.
		_ = m.command.Process.Signal(s)
	}
}

// Exited returns a channel that is closed once the current process has ended.
func (m *Machine) Exited() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exited
}

// Pid returns the id of the current process.
func (m *Machine) Pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.command.Process.Pid
}

// Kill kills the process and waits for its end.
func (m *Machine) Kill() {
	if m.log != nil {
		m.StallLog(false)
	}
	m.mu.Lock()
	exited := m.exited
	m.mu.Unlock()
	if exited == nil {
		return
	}
	m.Signal(syscall.SIGKILL)
	<-exited
}

// WaitReady waits until all machines say that they are ready.
func (r *Rig) WaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, m := range r.machines {
		for !m.IsReady() {
			if time.Now().After(deadline) {
				return errors.New("machine " + m.Name + " does not become ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
		r.Record("machine %s: ready", m.Name)
	}
	return nil
}

// IsReady asks the machine whether it is ready.
func (m *Machine) IsReady() bool {
	status, _, err := get(m.Ready, "/api/readyz", time.Second)
	return err == nil && status == 200
}
