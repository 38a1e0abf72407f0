package tool

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"bluebellhold/internal/operator"
	"bluebellhold/internal/settings"
	"bluebellhold/note"
)

// get sends a GET request and returns the body of the response.
func (t *tool) get(ctx context.Context, cmd *cli.Command, path string, query url.Values) ([]byte, error) {
	c, err := newClient(cmd)
	if err != nil {
		return nil, err
	}
	return c.call(ctx, http.MethodGet, path, query, nil)
}

func (t *tool) planCommand() *cli.Command {
	return t.newCommand("plan", "FILE", "list what the release note in FILE would change and whether the fleet can carry it", "plan note.json",
		func(ctx context.Context, cmd *cli.Command) error {
			n, err := t.readNote(cmd)
			if err != nil {
				return err
			}
			body, err := json.Marshal(n)
			if err != nil {
				return err
			}
			c, err := newClient(cmd)
			if err != nil {
				return err
			}
			responseBody, err := c.call(ctx, http.MethodPost, "/plan", nil, body)
			if err != nil {
				return err
			}
			var changes note.Changes
			return t.printResponse(cmd, responseBody, &changes, func() error { return t.printChanges(changes) })
		})
}

func (t *tool) historyCommand() *cli.Command {
	return t.newCommand("history", "", "list the accepted release notes", "history",
		func(ctx context.Context, cmd *cli.Command) error {
			responseBody, err := t.get(ctx, cmd, "/history", nil)
			if err != nil {
				return err
			}
			var releases []operator.Release
			return t.printResponse(cmd, responseBody, &releases, func() error { return t.printHistory(releases) })
		})
}

func (t *tool) statusCommand() *cli.Command {
	return t.newCommand("status", "", "show the fleet at a glance", "status",
		func(ctx context.Context, cmd *cli.Command) error {
			responseBody, err := t.get(ctx, cmd, "/status", nil)
			if err != nil {
				return err
			}
			var s operator.Status
			return t.printResponse(cmd, responseBody, &s, func() error { return t.printStatus(s) })
		})
}

func (t *tool) dumpCommand() *cli.Command {
	return t.newCommand("dump", "", "print the state of one instance as JSON, without secrets", "dump --operator 10.1.2.3:8003",
		func(ctx context.Context, cmd *cli.Command) error {
			responseBody, err := t.get(ctx, cmd, "/dump", nil)
			if err != nil {
				return err
			}
			return t.printJSON(responseBody)
		})
}

func (t *tool) lookupCommand() *cli.Command {
	return t.newCommand("lookup", "SERVICE ADDRESS", "show the look-up response for a caller at an IP number",
		"lookup pregled 10.1.0.9 --organisation velika-delavnica",
		func(ctx context.Context, cmd *cli.Command) error {
			query := url.Values{"service": {cmd.Args().Get(0)}, "address": {cmd.Args().Get(1)}}
			if organisation := cmd.String("organisation"); organisation != "" {
				query.Set("organisation", organisation)
			}
			responseBody, err := t.get(ctx, cmd, "/lookup", query)
			if err != nil {
				return err
			}
			return t.printJSON(responseBody)
		},
		&cli.StringFlag{Name: "organisation", Usage: "`ORGANISATION` of the caller; default: a caller without a key"})
}

func (t *tool) checkCommand() *cli.Command {
	return t.newGroup("check", "check files without sending them", "check note note.json",
		t.newCommand("note", "FILE", "check a release note, apart from its references to the configuration", "check note note.json",
			func(_ context.Context, cmd *cli.Command) error {
				if _, err := t.readNote(cmd); err != nil {
					return err
				}
				return t.printMessage(cmd, cmd.Args().First()+" is valid.")
			}),
		t.newCommand("settings", "FILE", "check the daemon's settings and the files that they name", "check settings settings.json",
			func(_ context.Context, cmd *cli.Command) error {
				if err := settings.Check(cmd.Args().First()); err != nil {
					return err
				}
				return t.printMessage(cmd, cmd.Args().First()+" is valid.")
			}))
}
