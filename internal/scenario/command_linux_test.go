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
)

// The bounds end scripts that would hang.
const (
	awaitBound   = "20s"
	requestBound = "10s"
)

type command = func(ts *testscript.TestScript, neg bool, args []string)

func commands() map[string]command {
	all := map[string]command{
		"start":     checked(func(w *world, args []string) error { return w.start(args[0], args[1], args[2:]) }, 2),
		"terminate": checked(func(w *world, args []string) error { return w.terminate(args[0]) }, 1),
		"crash":     signal(syscall.SIGKILL, (*process).ended),
		"freeze":    signal(syscall.SIGSTOP, (*process).stopped),
		"thaw":      signal(syscall.SIGCONT, (*process).signalled),
		"await":     await,
		"fleet":     startFleet,
		"load":      startLoad,
		"endload":   endLoad,
		"once":      ranOnce,
		"crashes":   crashes,
	}
	for name, q := range queries {
		all[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			checked(func(w *world, args []string) error {
				text, err := q.run(w, args)
				_, _ = io.WriteString(ts.Stdout(), text)
				return err
			}, q.args)(ts, neg, args)
		}
	}
	return all
}

func signal(s syscall.Signal, effect func(*process) bool) command {
	return checked(func(w *world, args []string) error { return w.send(args[0], s, effect) }, 1)
}

func worldOf(ts *testscript.TestScript) *world {
	return ts.Value(worldKey{}).(*world)
}

// fatal is an error that fails the script also after "!", because the command was not tried or not finished.
type fatal string

func (f fatal) Error() string { return string(f) }

// checked fails the script if the command fails, or with "!" if it succeeds.
func checked(run func(w *world, args []string) error, least int) command {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if len(args) < least {
			ts.Fatalf("the command needs %d arguments", least)
		}
		err := run(worldOf(ts), args)
		if err != nil {
			_, _ = fmt.Fprintln(ts.Stderr(), err)
		}
		if errors.As(err, new(fatal)) || neg != (err != nil) {
			ts.Fatalf("unexpected result: %v", err)
		}
	}
}

// queries are the commands that print something and that await can repeat, with the least number of arguments.
var queries = map[string]struct {
	run  func(w *world, args []string) (string, error)
	args int
}{
	"log":     {printLog, 1},
	"control": {control, 2},
	"counts":  {counts, 0},
	"request": {request, 3},
}

func await(ts *testscript.TestScript, neg bool, args []string) {
	bound := awaitBound
	if len(args) > 0 && strings.HasPrefix(args[0], "-within=") {
		bound, args = strings.TrimPrefix(args[0], "-within="), args[1:]
	}
	within, err := time.ParseDuration(bound)
	ts.Check(err)
	if len(args) < 2 || queries[args[1]].run == nil || len(args)-2 < queries[args[1]].args {
		ts.Fatalf("usage: await [-within=DURATION] REGEXP log|control|counts|request [ARG...]")
	}
	pattern, err := regexp.Compile("(?m)" + args[0])
	ts.Check(err)
	var text string
	matched := poll(within, func() bool {
		text, err = queries[args[1]].run(worldOf(ts), args[2:])
		if errors.As(err, new(fatal)) {
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

func printLog(w *world, args []string) (string, error) {
	if w.processes[args[0]] == nil {
		return "", fatal(args[0] + " was not started")
	}
	return w.log(args[0]), nil
}

func control(w *world, args []string) (string, error) {
	return expectOK(request(w, []string{"control", http.MethodPost, args[0], "body=" + args[1]}))
}

func counts(w *world, _ []string) (string, error) {
	return expectOK(request(w, []string{"control", http.MethodGet, "/control/counts"}))
}

func expectOK(text string, err error) (string, error) {
	if err == nil && !strings.HasPrefix(text, "status 200\n") {
		return text, fmt.Errorf("refused by the stand-in")
	}
	return text, err
}

// client opens a connection per request, so that a script never meets a connection of an ended process.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func request(w *world, args []string) (string, error) {
	options := make(http.Header)
	for _, arg := range args[3:] {
		name, value, _ := strings.Cut(arg, "=")
		options.Add(name, value)
	}
	within, err := time.ParseDuration(cmp.Or(options.Get("within"), requestBound))
	if err != nil {
		return "", fatal(err.Error())
	}
	address := w.addresses[args[0]]
	if address == "" {
		return "", fatal("unknown target " + args[0])
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	body := strings.NewReader(options.Get("body"))
	call, err := http.NewRequestWithContext(ctx, args[1], "http://"+address+args[2], body)
	if err != nil {
		return "", err
	}
	options.Del("within")
	options.Del("body")
	call.Header = options
	response, err := client.Do(call)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	text := fmt.Sprintf("status %d\n", response.StatusCode)
	if outcome := response.Header.Get("Outcome"); outcome != "" {
		text += "outcome " + outcome + "\n"
	}
	return text + string(answer) + "\n", err
}
