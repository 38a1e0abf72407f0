package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the cases by name; each returns whether the rule held.
var cases = map[string]func(*field) (bool, error){
	"cut":   runCut,
	"leave": runLeave,
}

func main() {
	name := flag.String("case", "", "the case to run")
	daemon := flag.String("daemon", "target/bluebellholdd --entry --settings", "the command that starts an instance; the settings file is added")
	record := flag.String("record", "record.txt", "the file to write the record to")
	flag.Parse()
	os.Exit(run(*name, strings.Fields(*daemon), *record))
}

// run runs a case and returns the exit code.
func run(name string, daemon []string, record string) int {
	body, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case:", name)
		return exitFailed
	}
	f, err := newField(daemon, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer f.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		f.close()
		os.Exit(exitFailed)
	}()
	held, err := body(f)
	switch {
	case err != nil:
		f.note("not run: %v", err)
		return exitFailed
	case !held:
		f.note("broken")
		return exitBroken
	}
	f.note("held")
	return exitHeld
}
