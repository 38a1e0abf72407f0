//go:build linux

package scenario_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	awaitBound   = 20 * time.Second
	requestBound = 10 * time.Second
)

type command = func(ts *testscript.TestScript, neg bool, args []string)

func commands() map[string]command {
	all := map[string]command{"start": start, "terminate": terminate, "await": await}
	all["crash"], all["freeze"], all["thaw"] = one((*world).crash), one((*world).freeze), one((*world).thaw)
	for name, run := range queries {
		all[name] = func(ts *testscript.TestScript, neg bool, args []string) { query(ts, neg, run, args) }
	}
	return all
}

func worldOf(ts *testscript.TestScript) *world {
	return ts.Value(worldKey{}).(*world)
}

func one(run func(w *world, process string) error) command {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg || len(args) != 1 {
			ts.Fatalf("usage: command NAME")
		}
		ts.Check(run(worldOf(ts), args[0]))
	}
}

func start(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: start NAME PROGRAM [ARG...]")
	}
	err := worldOf(ts).start(args[0], args[1], args[2:])
	if neg != (err != nil) {
		ts.Fatalf("start %s: %v", args[0], err)
	}
}

func terminate(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: terminate NAME")
	}
	status, err := worldOf(ts).terminate(args[0])
	ts.Check(err)
	if neg != (status != 0) {
		ts.Fatalf("%s ended with status %d\n%s", args[0], status, worldOf(ts).log(args[0]))
	}
}

// queries are the commands that print something and that await can repeat.
var queries = map[string]func(w *world, args []string) (string, error){
	"log":     printLog,
	"control": control,
	"counts":  counts,
	"request": request,
}

func query(ts *testscript.TestScript, neg bool, run func(*world, []string) (string, error), args []string) {
	text, err := run(worldOf(ts), args)
	_, _ = io.WriteString(ts.Stdout(), text)
	if err != nil {
		_, _ = fmt.Fprintln(ts.Stderr(), err)
	}
	if neg != (err != nil) {
		ts.Fatalf("unexpected result: %v\n%s", err, text)
	}
}

func await(ts *testscript.TestScript, neg bool, args []string) {
	bound := awaitBound
	if len(args) > 0 && strings.HasPrefix(args[0], "-within=") {
		within, err := time.ParseDuration(strings.TrimPrefix(args[0], "-within="))
		ts.Check(err)
		bound, args = within, args[1:]
	}
	if len(args) < 2 || queries[args[1]] == nil {
		ts.Fatalf("usage: await [-within=DURATION] REGEXP log|control|counts|request [ARG...]")
	}
	pattern, err := regexp.Compile("(?m)" + args[0])
	ts.Check(err)
	var last string
	for deadline := time.Now().Add(bound); time.Now().Before(deadline); time.Sleep(pollPause) {
		text, err := queries[args[1]](worldOf(ts), args[2:])
		if err != nil {
			text += "\nerror: " + err.Error()
		}
		if pattern.MatchString(text) {
			_, _ = io.WriteString(ts.Stdout(), text)
			if neg {
				ts.Fatalf("unexpected match of %q", args[0])
			}
			return
		}
		last = text
	}
	if !neg {
		ts.Fatalf("no match of %q within %v; last output:\n%s", args[0], bound, last)
	}
}

func printLog(w *world, args []string) (string, error) {
	if len(args) != 1 || w.processes[args[0]] == nil {
		return "", fmt.Errorf("usage: log NAME of a started process, not %q", args)
	}
	return w.log(args[0]), nil
}

func control(w *world, args []string) (string, error) {
	if len(args) != 2 {
		return "", fmt.Errorf("usage: control PATH JSON")
	}
	return expectOK(request(w, []string{"control", http.MethodPost, args[0], "body=" + args[1]}))
}

func counts(w *world, args []string) (string, error) {
	if len(args) != 0 {
		return "", fmt.Errorf("usage: counts")
	}
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
	if len(args) < 3 {
		return "", fmt.Errorf("usage: request TARGET METHOD PATH [HEADER=VALUE...]")
	}
	address := w.addresses[args[0]]
	if address == "" {
		return "", fmt.Errorf("unknown target %q", args[0])
	}
	var body string
	bound := requestBound
	header := make(http.Header)
	for _, arg := range args[3:] {
		name, value, _ := strings.Cut(arg, "=")
		switch name {
		case "body":
			body = value
		case "within":
			within, err := time.ParseDuration(value)
			if err != nil {
				return "", err
			}
			bound = within
		default:
			header.Add(name, value)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	call, err := http.NewRequestWithContext(ctx, args[1], "http://"+address+args[2], strings.NewReader(body))
	if err != nil {
		return "", err
	}
	call.Header = header
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
