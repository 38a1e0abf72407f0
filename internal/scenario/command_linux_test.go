package scenario_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bluebellhold/internal/outputpipe"
)

// The timeouts end scripts that would hang.
const (
	defaultAwaitTimeout   = "20s"
	defaultRequestTimeout = "10s"
)

type command = func(ts *testscript.TestScript, neg bool, args []string)

func commands() map[string]command {
	all := map[string]command{
		"start":     checkResult(func(e *scriptEnv, args []string) error { return e.start(args[0], args[1], args[2:]) }, 2),
		"terminate": checkResult(func(e *scriptEnv, args []string) error { return e.terminate(args[0]) }, 1),
		"crash":     signalCommand(syscall.SIGKILL, (*process).exited),
		"freeze":    signalCommand(syscall.SIGSTOP, (*process).stopped),
		"thaw":      signalCommand(syscall.SIGCONT, (*process).anyState),
		"unread":    outputCommand((*outputpipe.Pipe).Stall),
		"shut":      outputCommand((*outputpipe.Pipe).CloseReader),
		"await":     await,
		"fleet":     startFleet,
		"load":      startLoad,
		"endload":   endLoad,
		"once":      checkRunOnce,
		"crashes":   checkCrashes,
	}
	for name, q := range queries {
		all[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			checkResult(func(e *scriptEnv, args []string) error {
				text, err := q.run(e, args)
				_, _ = io.WriteString(ts.Stdout(), text)
				return err
			}, q.minArgs)(ts, neg, args)
		}
	}
	return all
}

func signalCommand(s syscall.Signal, effect func(*process) bool) command {
	return checkResult(func(e *scriptEnv, args []string) error { return e.sendSignal(args[0], s, effect) }, 1)
}

func outputCommand(change func(*outputpipe.Pipe) error) command {
	return checkResult(func(e *scriptEnv, args []string) error { return e.changeOutput(args[0], change) }, 1)
}

func scriptEnvOf(ts *testscript.TestScript) *scriptEnv {
	return ts.Value(scriptEnvKey{}).(*scriptEnv)
}

// fatalError is an error that fails the script even after "!", because the command was not started or not completed.
type fatalError string

func (f fatalError) Error() string { return string(f) }

// checkResult makes a command that fails the script if run fails or, after "!", if run succeeds.
func checkResult(run func(e *scriptEnv, args []string) error, minArgs int) command {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if len(args) < minArgs {
			ts.Fatalf("the command needs at least %d arguments", minArgs)
		}
		err := run(scriptEnvOf(ts), args)
		if err != nil {
			_, _ = fmt.Fprintln(ts.Stderr(), err)
		}
		if errors.As(err, new(fatalError)) || neg != (err != nil) {
			ts.Fatalf("unexpected result: %v", err)
		}
	}
}

// queries are the commands with output, which await can repeat, with their minimum number of arguments.
var queries = map[string]struct {
	run     func(e *scriptEnv, args []string) (string, error)
	minArgs int
}{
	"log":     {printLog, 1},
	"control": {control, 2},
	"counts":  {counts, 0},
	"request": {request, 3},
}

func await(ts *testscript.TestScript, neg bool, args []string) {
	timeout := defaultAwaitTimeout
	if len(args) > 0 && strings.HasPrefix(args[0], "-within=") {
		timeout, args = strings.TrimPrefix(args[0], "-within="), args[1:]
	}
	within, err := time.ParseDuration(timeout)
	ts.Check(err)
	if len(args) < 2 || queries[args[1]].run == nil || len(args)-2 < queries[args[1]].minArgs {
		ts.Fatalf("usage: await [-within=DURATION] REGEXP log|control|counts|request [ARG...]")
	}
	pattern, err := regexp.Compile("(?m)" + args[0])
	ts.Check(err)
	var text string
	matched := poll(within, func() bool {
		text, err = queries[args[1]].run(scriptEnvOf(ts), args[2:])
		if errors.As(err, new(fatalError)) {
			ts.Fatalf("%v", err)
		}
		if err != nil {
			text += "\nerror: " + err.Error()
		}
		return pattern.MatchString(text)
	})
	_, _ = io.WriteString(ts.Stdout(), text)
	if matched == neg {
		ts.Fatalf("%q: match %t within %v", args[0], matched, within)
	}
}

func printLog(e *scriptEnv, args []string) (string, error) {
	if e.processes[args[0]] == nil {
		return "", fatalError(args[0] + " was not started")
	}
	return e.readLog(args[0]), nil
}

func control(e *scriptEnv, args []string) (string, error) {
	return expectOK(request(e, []string{"control", http.MethodPost, args[0], "body=" + args[1]}))
}

func counts(e *scriptEnv, _ []string) (string, error) {
	return expectOK(request(e, []string{"control", http.MethodGet, "/control/counts"}))
}

func expectOK(text string, err error) (string, error) {
	if err == nil && !strings.HasPrefix(text, "status 200\n") {
		return text, fmt.Errorf("the stand-in rejected the control request")
	}
	return text, err
}

// client opens a connection for each request, so that a script never reuses a connection to an exited process.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func request(e *scriptEnv, args []string) (string, error) {
	options := make(http.Header)
	for _, arg := range args[3:] {
		name, value, _ := strings.Cut(arg, "=")
		options.Add(name, value)
	}
	timeout, err := time.ParseDuration(cmp.Or(options.Get("within"), defaultRequestTimeout))
	if err != nil {
		return "", fatalError(err.Error())
	}
	address := e.addresses[args[0]]
	if address == "" {
		return "", fatalError("unknown target " + args[0])
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	body := strings.NewReader(options.Get("body"))
	httpRequest, err := http.NewRequestWithContext(ctx, args[1], "http://"+address+args[2], body)
	if err != nil {
		return "", err
	}
	options.Del("within")
	options.Del("body")
	httpRequest.Header = options
	response, err := client.Do(httpRequest)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	text := fmt.Sprintf("status %d\n", response.StatusCode)
	if outcome := response.Header.Get("Outcome"); outcome != "" {
		text += "outcome " + outcome + "\n"
	}
	return text + string(responseBody) + "\n", err
}
