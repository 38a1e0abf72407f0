package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"bluebellhold"
	_ "bluebellhold/internal/hangup" // the platform may send SIGHUP at any time
	"bluebellhold/internal/settings"
	"bluebellhold/logwriter"
	"bluebellhold/note"
	"bluebellhold/store"
)

// The exit statuses of the daemon.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// lastLinesTimeout is how long the end of a process without a grace period waits for the output to take the last lines.
const lastLinesTimeout = time.Second

// startConfig is what the command line says.
type startConfig struct {
	settings string
	// checkOnly is set if the settings are only to be checked.
	checkOnly bool
	// descriptors is the number of descriptors that the process may open; zero means that it is not given.
	descriptors int64
	to          outputs
}

// outputs are where the daemon writes to: messages are what the command line prints, such as the error that ends it.
type outputs struct{ messages, log io.Writer }

// Main runs the daemon with the arguments and returns its exit status. Errors and the log go to w; with --entry the log
// goes to standard output.
func Main(arguments []string, w io.Writer) int {
	// Otherwise a write to standard output or standard error ends the process once nobody can read it.
	signal.Ignore(syscall.SIGPIPE)
	to := outputs{messages: w, log: w}
	if w == io.Writer(os.Stderr) {
		to.log = unblockStandardError()
	}
	command := &cli.Command{
		Name:  "bluebellholdd",
		Usage: "run one entry instance",
		Description: "Exit status: 0 after a planned stop, 1 for a failure, 2 for wrong usage or settings.\n" +
			"Example: bluebellholdd --settings osrednja-1.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE`", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings, in which every field must be known, and exit"},
			&cli.BoolFlag{Name: "entry", Usage: "follow the platform's store instead of release notes"},
			&cli.Int64Flag{Name: "descriptors", Usage: "open at most `N` descriptors, unless the settings say how many"},
		},
		Writer:         w,
		ErrWriter:      w,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error {
			return &UsageError{Text: err.Error()}
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return &UsageError{Text: "unknown argument " + c.Args().First()}
			}
			start := startConfig{
				settings: c.String("settings"), checkOnly: c.Bool("check"), descriptors: c.Int64("descriptors"), to: to,
			}
			if start.descriptors < 0 {
				return &UsageError{Text: "--descriptors is below zero"}
			}
			if c.Bool("entry") {
				start.to.log = os.Stdout
				return runEntry(ctx, start)
			}
			return run(ctx, start)
		},
	}
	err := command.Run(context.Background(), arguments)
	return exitStatus(err, w)
}

func exitStatus(err error, w io.Writer) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(w, err)
	var runErr *RunError
	if errors.As(err, &runErr) {
		return ExitFailure
	}
	return ExitUsage
}

// run checks the settings and, unless they are only to be checked, serves until a planned stop is complete.
func run(ctx context.Context, start startConfig) error {
	path, to := start.settings, start.to
	if start.checkOnly {
		if err := settings.Check(path); err != nil {
			return err
		}
	}
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	var logs *logwriter.Writer
	config, err := instanceConfig(s, func(err error) {
		logs.Logger().Warn("fleet: odd entry in the list of instances", "error", err)
	})
	if err != nil {
		return err
	}
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	if start.checkOnly {
		_, err := fmt.Fprintln(to.messages, "settings are valid")
		return err
	}
	config.MaxDescriptors = descriptorLimit(s.Limits.Descriptors, start.descriptors)
	logs = logwriter.New(logwriter.Config{
		Output:  to.log,
		Options: log.Options{Level: level, ReportTimestamp: true, TimeFormat: time.RFC3339Nano},
	})
	defer func() { logs.Close(time.Now().Add(lastLinesTimeout)) }()
	config.Log = logs
	logPassedOver(logs.Logger(), s.PassedOver)
	discardStandardLog()
	// Callers can connect once the instance has been created.
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	instance, err := bluebellhold.New(config)
	if err != nil {
		return &RunError{Cause: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go handleSignals(signals, instance.Shutdown, func() {
		logs.Logger().Warn("instance: interrupted again, exiting immediately")
		cancel()
	})
	if err := instance.Run(ctx); err != nil {
		return &RunError{Cause: err}
	}
	return nil
}

// handleSignals calls shutdown on the first signal, and abort when an interactive user interrupts the process after it. Further
// SIGTERMs change nothing: whoever sends them, such as a process manager beside an operator, wants the same stop.
func handleSignals(signals <-chan os.Signal, shutdown, abort func()) {
	isStopping := false
	for s := range signals {
		switch {
		case !isStopping:
			isStopping = true
			shutdown()
		case s == syscall.SIGINT:
			abort()
			return
		}
	}
}

// logPassedOver reports what the settings contain for another release.
func logPassedOver(logger *log.Logger, fields []*note.FieldError) {
	for _, f := range fields {
		logger.Warn("settings: passed over, not known to this release", "field", f.Path, "found", f.Value, "allowed", f.Allowed)
	}
}

// discardStandardLog discards the lines of package log: net/http logs unsolicited bytes from an upstream or the store,
// which may be part of a response to an organisation or of a secret.
func discardStandardLog() { stdlog.SetOutput(io.Discard) }

// instanceConfig returns the configuration of an instance; onOddEntry is called for odd entries of the list of instances.
func instanceConfig(s settings.Settings, onOddEntry func(error)) (bluebellhold.Config, error) {
	client := store.NewClient(store.ClientConfig{Address: s.PlatformURL, Instance: s.Name, OnOddEntry: onOddEntry})
	config := bluebellhold.Config{
		Self: store.Member{
			Instance: s.Name, Region: s.Region, DataCentre: s.DataCentre, Caller: s.CallerAddress, Peer: s.PeerAddress,
		},
		Operator:       s.OperatorAddress,
		Secret:         s.PeerSecret.Bytes(),
		Token:          s.OperatorToken.Bytes(),
		Table:          client,
		Objects:        client,
		Directory:      client,
		FaultInjection: s.Testing,

		MaxClaimedBody:  s.Limits.MaxClaimedBody,
		MaxMemory:       s.Limits.MaxMemory,
		MaxHeader:       s.Limits.MaxHeader,
		QueueClassLimit: s.Limits.QueueClassLimit,
	}
	return config, configureTLS(&config, s.TLS)
}

// UsageError reports invalid arguments.
type UsageError struct {
	Text string
}

// Error describes the invalid argument.
func (e *UsageError) Error() string {
	return "bluebellholdd: " + e.Text + "; run bluebellholdd --help for the arguments"
}

// RunError reports a failure after the settings were accepted.
type RunError struct {
	Cause error
}

// Error names the cause.
func (e *RunError) Error() string {
	return "bluebellholdd: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *RunError) Unwrap() error {
	return e.Cause
}
