package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit statuses of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// runLimit bounds a case.
const runLimit = 110 * time.Second

// errUsage reports wrong arguments.
var errUsage = errors.New("usage: lab CASE ROOT FOLDER")

// run plays a case and returns whether the rule was broken.
func run(name, root, folder string) (isBroken bool, err error) {
	play, ok := cases[name]
	if !ok {
		return false, errUsage
	}
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return false, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	d := &deployment{root: root, dir: dir, table: newTable(), record: newRecord()}
	defer d.end()
	isBroken, err = play(ctx, d, os.Getenv("TROUBLE") != "0")
	if writeErr := d.record.write(filepath.Join(folder, "record.txt")); err == nil {
		err = writeErr
	}
	return isBroken, err
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, errUsage)
		os.Exit(notRun)
	}
	isBroken, err := run(os.Args[1], os.Args[2], os.Args[3])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		os.Exit(notRun)
	case isBroken:
		os.Exit(ruleBroken)
	}
	os.Exit(ruleHeld)
}
