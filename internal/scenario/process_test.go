//go:build linux

package scenario_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
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

// process is a program in the background; err is its exit and is set once done is closed.
type process struct {
	command *exec.Cmd
	done    chan struct{}
	err     error
}

func (w *world) logFile(name string) string {
	return filepath.Join(w.directory, name+".log")
}

// log returns what the process has written so far, or the reason why it cannot be read.
func (w *world) log(name string) string {
	text, err := os.ReadFile(w.logFile(name))
	if err != nil {
		return err.Error()
	}
	return string(text)
}

func (w *world) start(name, program string, args []string) error {
	if old := w.processes[name]; old != nil && !old.ended() {
		return fmt.Errorf("%s is running already", name)
	}
	log, err := os.Create(w.logFile(name))
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
		return err
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
	for deadline := time.Now().Add(startBound); time.Now().Before(deadline); time.Sleep(pollPause) {
		if strings.Contains(w.log(name), "ready") {
			return nil
		}
		if p.ended() {
			return fmt.Errorf("%s ended before it was ready: %v\n%s", name, p.err, w.log(name))
		}
	}
	return fmt.Errorf("%s was not ready within %v\n%s", name, startBound, w.log(name))
}

func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

func (w *world) signal(name string, signal syscall.Signal) error {
	p := w.processes[name]
	if p == nil || p.ended() {
		return fmt.Errorf("%s is not running", name)
	}
	return p.command.Process.Signal(signal)
}

func (w *world) crash(name string) error {
	if err := w.signal(name, syscall.SIGKILL); err != nil {
		return err
	}
	<-w.processes[name].done
	return nil
}

// freeze waits until all threads of the process have stopped, because the signal takes effect later than it is sent.
func (w *world) freeze(name string) error {
	if err := w.signal(name, syscall.SIGSTOP); err != nil {
		return err
	}
	for deadline := time.Now().Add(startBound); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if stopped(w.processes[name].command.Process.Pid) {
			return nil
		}
	}
	return fmt.Errorf("%s did not freeze within %v", name, startBound)
}

// stopped reads the state of each thread, which is the letter after the name in parentheses.
func stopped(pid int) bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", pid))
	if err != nil {
		return false
	}
	for _, thread := range threads {
		text, err := os.ReadFile(thread)
		if err != nil || !strings.HasPrefix(string(text[strings.LastIndexByte(string(text), ')')+1:]), " T") {
			return false
		}
	}
	return len(threads) > 0
}

func (w *world) thaw(name string) error {
	return w.signal(name, syscall.SIGCONT)
}

// terminate returns the exit status of the process; a process that does not end is an error.
func (w *world) terminate(name string) (int, error) {
	if err := w.signal(name, syscall.SIGTERM); err != nil {
		return 0, err
	}
	p := w.processes[name]
	select {
	case <-p.done:
		return p.command.ProcessState.ExitCode(), nil
	case <-time.After(stopBound):
		return 0, fmt.Errorf("%s did not stop within %v\n%s", name, stopBound, w.log(name))
	}
}

// endAll kills what the script left running.
func (w *world) endAll() {
	for _, p := range w.processes {
		_ = p.command.Process.Kill()
		<-p.done
	}
}
