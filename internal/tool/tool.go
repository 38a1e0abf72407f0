package tool

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// The exit statuses of the tool.
const (
	statusOK = iota
	statusFailure
	statusUsage
)

// defaultTimeout is how long one instance may take; accepting a note takes a few table calls.
const defaultTimeout = 10 * time.Second

// Config is what the process gives to the tool; the first of Args is the name of the program.
type Config struct {
	Args   []string
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
}

// Run runs one command and returns the exit status of the process.
func Run(ctx context.Context, c Config) int {
	t := &tool{Config: c}
	err := t.root().Run(ctx, c.Args)
	if err == nil {
		return statusOK
	}
	_, _ = io.WriteString(c.Stderr, "bluebellhold: "+describe(err)+"\n")
	var failure *CommandError
	if errors.As(err, &failure) {
		return statusFailure
	}
	_, _ = io.WriteString(c.Stderr, "Run bluebellhold --help for the commands and their arguments.\n")
	return statusUsage
}

type tool struct {
	Config
}

func (t *tool) root() *cli.Command {
	return &cli.Command{
		Name:  "bluebellhold",
		Usage: "create, inspect and change the configuration of a fleet",
		Description: "Exit status: 0 on success, 1 if the command failed or was refused, 2 if it was used wrongly.\n\n" +
			"Example:\n  bluebellhold status --operator 10.1.2.3:8003 --operator 10.2.2.3:8003 --token token",
		Writer:         t.Stdout,
		ErrWriter:      t.Stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usage,
		Action:         group,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "operator", Usage: "operators' `ADDRESS` of an instance; may be given several times, the next is tried when one does not answer", Sources: cli.EnvVars("BLUEBELLHOLD_OPERATOR")},
			&cli.StringFlag{Name: "token", Usage: "`FILE` with the operators' token", Sources: cli.EnvVars("BLUEBELLHOLD_TOKEN")},
			&cli.StringFlag{Name: "ca", Usage: "use TLS and trust the certificates in `FILE`", Sources: cli.EnvVars("BLUEBELLHOLD_CA")},
			&cli.BoolFlag{Name: "json", Usage: "print JSON instead of a table"},
			&cli.DurationFlag{Name: "timeout", Usage: "how long one instance may take", Value: defaultTimeout},
		},
		Commands: []*cli.Command{
			t.apply(), t.plan(), t.history(), t.status(), t.dump(), t.lookup(),
			t.key(), t.shift(), t.drain(), t.stop(), t.check(),
		},
	}
}

// leaf builds a command that takes exactly the named arguments.
func (t *tool) leaf(name, arguments, usageText, example string, run func(context.Context, *cli.Command) error, flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name:         name,
		Usage:        usageText,
		ArgsUsage:    arguments,
		Description:  "Example:\n  bluebellhold " + example,
		Flags:        flags,
		OnUsageError: usage,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != len(strings.Fields(arguments)) {
				return &UsageError{Text: "wrong number of arguments; usage: " + strings.TrimSpace(cmd.FullName()+" "+arguments)}
			}
			err := run(ctx, cmd)
			var wrong *UsageError
			if err == nil || errors.As(err, &wrong) {
				return err
			}
			return &CommandError{Cause: err}
		},
	}
}

func (t *tool) parent(name, usageText, example string, commands ...*cli.Command) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usageText, Description: "Example:\n  bluebellhold " + example,
		Commands: commands, OnUsageError: usage, Action: group,
	}
}

// group is the action of a command that only has subcommands.
func group(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return &UsageError{Text: "unknown command " + cmd.FullName() + " " + cmd.Args().First()}
	}
	return &UsageError{Text: "a command is needed after " + cmd.FullName()}
}

func usage(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &UsageError{Text: err.Error()}
}
