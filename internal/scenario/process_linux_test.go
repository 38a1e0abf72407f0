package scenario_test

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"bluebellhold/internal/outputpipe"
)

// startTimeout and signalTimeout only end scripts that would hang; a planned stop waits until cached look-ups expire.
const (
	startTimeout  = 20 * time.Second
	signalTimeout = 60 * time.Second
	pollInterval  = 20 * time.Millisecond
)

var readyPattern = regexp.MustCompile(`\bready\b`)

// process is a program in the background; err is the result of its exit and is set before done is closed.
type process struct {
	command *exec.Cmd
	output  *outputpipe.Pipe
	done    chan struct{}
	err     error
}

// readLog returns the output of the process so far, or the error of reading it.
func (e *scriptEnv) readLog(name string) string {
	text, err := os.ReadFile(filepath.Join(e.workDir, name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text)
}

func (e *scriptEnv) start(name, program string, args []string) error {
	if previous := e.processes[name]; previous != nil && !previous.exited() {
		return fatalError(name + " is already running")
	}
	log, err := os.Create(filepath.Join(e.workDir, name+".log"))
	if err != nil {
		return err
	}
	output, err := outputpipe.New(log)
	if err != nil {
		return err
	}
	if !filepath.IsAbs(program) {
		program = filepath.Join(programDir, program)
	}
	command := exec.Command(program, args...)
	command.Dir, command.Stdout, command.Stderr = e.workDir, output.Writer(), output.Writer()
	// The kernel kills the program if the test itself is killed and cannot clean up.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fatalError(errors.Join(err, output.Release(), log.Close()).Error())
	}
	p := &process{command: command, output: output, done: make(chan struct{})}
	e.processes[name] = p
	go func() {
		p.err = errors.Join(command.Wait(), output.Release(), log.Close())
		close(p.done)
	}()
	return e.awaitReady(name, p)
}

func (e *scriptEnv) awaitReady(name string, p *process) error {
	if !poll(startTimeout, func() bool { return p.exited() || readyPattern.MatchString(e.readLog(name)) }) {
		return fmt.Errorf("%s was not ready within %v\n%s", name, startTimeout, e.readLog(name))
	}
	if !readyPattern.MatchString(e.readLog(name)) {
		return fmt.Errorf("%s exited before it was ready: %w\n%s", name, p.err, e.readLog(name))
	}
	return nil
}

func poll(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return false
}

func (p *process) exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stopped reports whether SIGSTOP has stopped each thread; a thread's state is the letter after its name in
// parentheses.
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

// anyState is the effect of a signal that needs no wait.
func (p *process) anyState() bool { return true }

// sendSignal sends a signal and waits for its effect, which is asynchronous.
func (e *scriptEnv) sendSignal(name string, signal syscall.Signal, effect func(*process) bool) error {
	p := e.processes[name]
	if p == nil || p.exited() {
		return fatalError(name + " is not running")
	}
	if err := p.command.Process.Signal(signal); err != nil {
		return fatalError(err.Error())
	}
	if !poll(signalTimeout, func() bool { return effect(p) }) {
		return fatalError(fmt.Sprintf("%v had no effect on %s within %v\n%s", signal, name, signalTimeout, e.readLog(name)))
	}
	return nil
}

// terminate sends SIGTERM, waits for the exit and returns an error unless the exit status is 0.
func (e *scriptEnv) terminate(name string) error {
	if err := e.sendSignal(name, syscall.SIGTERM, (*process).exited); err != nil {
		return err
	}
	if err := e.processes[name].err; err != nil {
		return fmt.Errorf("%s: %w\n%s", name, err, e.readLog(name))
	}
	return nil
}

// changeOutput applies change to the output of a running process.
func (e *scriptEnv) changeOutput(name string, change func(*outputpipe.Pipe) error) error {
	p := e.processes[name]
	if p == nil || p.exited() {
		return fatalError(name + " is not running")
	}
	if err := change(p.output); err != nil {
		return fatalError(err.Error())
	}
	return nil
}

// killAll kills the processes that the script left running.
func (e *scriptEnv) killAll() {
	for _, p := range e.processes {
		_ = p.command.Process.Kill()
		<-p.done
	}
}
