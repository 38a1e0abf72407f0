package scenario_test

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// startBound and stopBound only end scripts that would hang; a planned stop waits for cached look-ups to expire.
const (
	startBound = 20 * time.Second
	stopBound  = 60 * time.Second
	pollPause  = 20 * time.Millisecond
)

var ready = regexp.MustCompile(`\bready\b`)

// process is a program in the background; err is its exit and is set once done is closed.
type process struct {
	command *exec.Cmd
	done    chan struct{}
	err     error
}

// log returns what the process has written so far, or the reason why it cannot be read.
func (w *world) log(name string) string {
	text, err := os.ReadFile(filepath.Join(w.directory, name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text)
}

func (w *world) start(name, program string, args []string) error {
	if old := w.processes[name]; old != nil && !old.ended() {
		return fatal(name + " is running already")
	}
	log, err := os.Create(filepath.Join(w.directory, name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	if !filepath.IsAbs(program) {
		program = filepath.Join(programs, program)
	}
	command := exec.Command(program, args...)
	command.Dir, command.Stdout, command.Stderr = w.directory, log, log
	// The kernel ends the program if the test itself is killed and cannot do so.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fatal(err.Error())
	}
	p := &process{command: command, done: make(chan struct{})}
	w.processes[name] = p
	go func() {
		p.err = command.Wait()
		close(p.done)
	}()
	return w.awaitReady(name, p)
}

func (w *world) awaitReady(name string, p *process) error {
	if !poll(startBound, func() bool { return p.ended() || ready.MatchString(w.log(name)) }) {
		return fmt.Errorf("%s was not ready within %v\n%s", name, startBound, w.log(name))
	}
	if !ready.MatchString(w.log(name)) {
		return fmt.Errorf("%s ended before it was ready: %w\n%s", name, p.err, w.log(name))
	}
	return nil
}

func poll(bound time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(bound); time.Now().Before(deadline); time.Sleep(pollPause) {
		if condition() {
			return true
		}
	}
	return false
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stopped reads the state of each thread, which is the letter after the name in parentheses.
func (p *process) stopped() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid))
	for _, thread := range threads {
		text, err := os.ReadFile(thread)
		if err != nil || !strings.HasPrefix(string(text[bytes.LastIndexByte(text, ')')+1:]), " T") {
			return false
		}
	}
	return err == nil && len(threads) > 0
}

func (p *process) signalled() bool { return true }

// send waits until the signal has had its effect, which is later than it is sent.
func (w *world) send(name string, signal syscall.Signal, effect func(*process) bool) error {
	p := w.processes[name]
	if p == nil || p.ended() {
		return fatal(name + " is not running")
	}
	if err := p.command.Process.Signal(signal); err != nil {
		return fatal(err.Error())
	}
	if !poll(stopBound, func() bool { return effect(p) }) {
		return fatal(fmt.Sprintf("no effect of %v on %s within %v\n%s", signal, name, stopBound, w.log(name)))
	}
	return nil
}

// terminate fails if the exit status is not zero.
func (w *world) terminate(name string) error {
	if err := w.send(name, syscall.SIGTERM, (*process).ended); err != nil {
		return err
	}
	if err := w.processes[name].err; err != nil {
		return fmt.Errorf("%s: %w\n%s", name, err, w.log(name))
	}
	return nil
}

// endAll kills what the script left running.
func (w *world) endAll() {
	for _, p := range w.processes {
		_ = p.command.Process.Kill()
		<-p.done
	}
}
