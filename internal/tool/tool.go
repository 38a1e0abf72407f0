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
	exitOK = iota
	exitFailure
	exitUsage
)

// defaultTimeout limits a request to one instance; accepting a note takes a few table calls.
const defaultTimeout = 10 * time.Second

// Config contains the arguments and the standard streams of the process; the first of Args is the program name.
type Config struct {
	Args   []string
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
}

// Run runs one command and returns the exit status of the process.
func Run(ctx context.Context, c Config) int {
	t := &tool{Config: c}
	err := t.rootCommand().Run(ctx, c.Args)
	if err == nil {
		return exitOK
	}
	_, _ = io.WriteString(c.Stderr, "bluebellhold: "+errorText(err)+"\n")
	var commandErr *CommandError
	if errors.As(err, &commandErr) {
		return exitFailure
	}
	_, _ = io.WriteString(c.Stderr, "Run bluebellhold --help for the commands and their arguments.\n")
	return exitUsage
}

type tool struct {
	Config
}

func (t *tool) rootCommand() *cli.Command {
	return &cli.Command{
		Name:  "bluebellhold",
		Usage: "create, inspect and change the configuration of a fleet",
		Description: "Exit status: 0 on success, 1 if the command failed or was refused, 2 if it was used wrongly.\n\n" +
			"Example:\n  bluebellhold status --operator 10.1.2.3:8003 --operator 10.2.2.3:8003 --token token",
		Writer:         t.Stdout,
		ErrWriter:      t.Stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usageError,
		Action:         requireSubcommand,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "operator", Usage: "operators' `ADDRESS` of an instance; may be given several times, the next is tried when one does not answer", Sources: cli.EnvVars("BLUEBELLHOLD_OPERATOR")},
			&cli.StringFlag{Name: "token", Usage: "`FILE` with the operators' token", Sources: cli.EnvVars("BLUEBELLHOLD_TOKEN")},
			&cli.StringFlag{Name: "ca", Usage: "use TLS and trust the certificates in `FILE`", Sources: cli.EnvVars("BLUEBELLHOLD_CA")},
			&cli.BoolFlag{Name: "json", Usage: "print JSON instead of a table"},
			&cli.DurationFlag{Name: "timeout", Usage: "how long one instance may take", Value: defaultTimeout},
		},
		Commands: []*cli.Command{
			t.applyCommand(), t.planCommand(), t.historyCommand(), t.statusCommand(), t.dumpCommand(), t.lookupCommand(),
			t.keyCommand(), t.shiftCommand(), t.drainCommand(), t.stopCommand(), t.checkCommand(),
		},
	}
}

// newCommand returns a command that takes exactly the arguments named in argsUsage.
func (t *tool) newCommand(name, argsUsage, usageText, example string, run func(context.Context, *cli.Command) error, flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name:         name,
		Usage:        usageText,
		ArgsUsage:    argsUsage,
		Description:  "Example:\n  bluebellhold " + example,
		Flags:        flags,
		OnUsageError: usageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != len(strings.Fields(argsUsage)) {
				return &UsageError{Text: "wrong number of arguments; usage: " + strings.TrimSpace(cmd.FullName()+" "+argsUsage)}
			}
			err := run(ctx, cmd)
			var usageErr *UsageError
			if err == nil || errors.As(err, &usageErr) {
				return err
			}
			return &CommandError{Cause: err}
		},
	}
}

func (t *tool) newGroup(name, usageText, example string, commands ...*cli.Command) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usageText, Description: "Example:\n  bluebellhold " + example,
		Commands: commands, OnUsageError: usageError, Action: requireSubcommand,
	}
}

// requireSubcommand reports a missing or unknown subcommand; it is the action of a command that only has subcommands.
func requireSubcommand(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return &UsageError{Text: "unknown command " + cmd.FullName() + " " + cmd.Args().First()}
	}
	return &UsageError{Text: "a command is needed after " + cmd.FullName()}
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &UsageError{Text: err.Error()}
}
