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
	"bluebellhold/store"
)

// The exit statuses of the daemon.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// Main runs the daemon with the arguments and returns its exit status. Errors and the log go to w; with --entry the log
// goes to standard output.
func Main(arguments []string, w io.Writer) int {
	command := &cli.Command{
		Name:  "bluebellholdd",
		Usage: "run one entry instance",
		Description: "Exit status: 0 after a planned stop, 1 for a failure, 2 for wrong usage or settings.\n" +
			"Example: bluebellholdd --settings osrednja-1.json",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read the settings from `FILE`", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.BoolFlag{Name: "entry", Usage: "follow the platform's store instead of release notes"},
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
			if c.Bool("entry") {
				return runEntry(ctx, c.String("settings"), c.Bool("check"), w)
			}
			return run(ctx, c.String("settings"), c.Bool("check"), w)
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

// run checks the settings and, unless checkOnly is set, serves until a planned stop is complete.
func run(ctx context.Context, path string, checkOnly bool, w io.Writer) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	config, err := instanceConfig(s, w)
	if err != nil {
		return err
	}
	if checkOnly {
		_, err := fmt.Fprintln(w, "settings are valid")
		return err
	}
	instance, err := bluebellhold.New(config)
	if err != nil {
		return &RunError{Cause: err}
	}
	// net/http logs unsolicited bytes from an upstream, which may be part of a response to an organisation.
	stdlog.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go shutdownOnSignal(cancel, instance, config.Log)
	if err := instance.Run(ctx); err != nil {
		return &RunError{Cause: err}
	}
	return nil
}

func shutdownOnSignal(cancel context.CancelFunc, instance *bluebellhold.Instance, logger *log.Logger) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	instance.Shutdown()
	<-signals
	logger.Warn("instance: second signal, exiting immediately")
	cancel()
}

func instanceConfig(s settings.Settings, w io.Writer) (bluebellhold.Config, error) {
	level, err := log.ParseLevel(s.LogLevel)
	if err != nil {
		return bluebellhold.Config{}, err
	}
	logger := log.NewWithOptions(w, log.Options{Level: level, ReportTimestamp: true, TimeFormat: time.RFC3339Nano})
	client := store.NewClient(store.ClientConfig{
		Address: s.PlatformURL, Instance: s.Name,
		OnOddEntry: func(err error) { logger.Warn("fleet: odd entry in the list of instances", "error", err) },
	})
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
		Log:            logger,
		FaultInjection: s.Testing,

		MaxClaimedBody:  s.Limits.MaxClaimedBody,
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
