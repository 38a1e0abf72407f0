package tool

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"bluebellhold/id"
	"bluebellhold/internal/operator"
	"bluebellhold/note"
)

// secretPrefix makes leaked secrets of keys easy to find in files.
const secretPrefix = "bbh_"

func noteIDFlag() cli.Flag {
	return &cli.StringFlag{Name: "id", Usage: "`ID` of the note; give the id of an earlier try to resolve its lost answer"}
}

// randomID returns prefix followed by 130 random bits as letters and digits.
func randomID(prefix string) string {
	return prefix + strings.ToLower(rand.Text())
}

func noteID(cmd *cli.Command) id.Note {
	if flagValue := cmd.String("id"); flagValue != "" {
		return id.Note(flagValue)
	}
	return id.Note(randomID("note-"))
}

func (t *tool) applyCommand() *cli.Command {
	return t.newCommand("apply", "FILE", "carry out the release note in FILE ('-' reads standard input)", "apply note.json",
		func(ctx context.Context, cmd *cli.Command) error {
			n, err := t.readNote(cmd)
			if err != nil {
				return err
			}
			accepted, err := t.propose(ctx, cmd, n, "send the same file again with --id "+string(n.ID))
			if err != nil {
				return err
			}
			return t.printAccepted(cmd, n.ID, accepted)
		}, noteIDFlag())
}

// readNote reads the note in the file that the first argument names, and adds an id if it has none.
func (t *tool) readNote(cmd *cli.Command) (note.Note, error) {
	body, err := t.readFile(cmd.Args().First())
	if err != nil {
		return note.Note{}, err
	}
	if isMissingID(body) {
		body = bytes.Replace(body, []byte("{"), []byte(`{"id":"`+string(noteID(cmd))+`",`), 1)
	}
	n, err := note.Parse(body)
	if err != nil {
		return note.Note{}, err
	}
	if flagValue := cmd.String("id"); flagValue != "" && flagValue != string(n.ID) {
		return note.Note{}, &UsageError{Text: "--id " + flagValue + " differs from the id " + string(n.ID) + " in the file"}
	}
	return n, nil
}

// isMissingID reports whether body is an object with fields but without an id.
func isMissingID(body []byte) bool {
	var fields map[string]json.RawMessage
	return json.Unmarshal(body, &fields) == nil && len(fields) > 0 && fields["id"] == nil
}

func (t *tool) readFile(file string) ([]byte, error) {
	if file == "-" {
		body, err := io.ReadAll(t.Stdin)
		if err != nil {
			return nil, &FileError{File: "standard input", Cause: err}
		}
		return body, nil
	}
	body, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	return body, nil
}

// propose sends n; hint tells the operator what to do if it remains unknown whether n was accepted.
func (t *tool) propose(ctx context.Context, cmd *cli.Command, n note.Note, hint string) (operator.Acceptance, error) {
	var accepted operator.Acceptance
	body, err := json.Marshal(n)
	if err != nil {
		return accepted, err
	}
	if _, err := note.Parse(body); err != nil {
		return accepted, err
	}
	c, err := newClient(cmd)
	if err != nil {
		return accepted, err
	}
	responseBody, err := c.call(ctx, http.MethodPost, "/notes", nil, body)
	if err != nil && isOutcomeUnknown(err) {
		return accepted, &OutcomeUnknownError{Note: n.ID, Hint: hint, Cause: err}
	}
	if err != nil {
		return accepted, err
	}
	return accepted, json.Unmarshal(responseBody, &accepted)
}

// proposeAndPrint proposes the note that a command built from its arguments, and prints the epoch.
func (t *tool) proposeAndPrint(ctx context.Context, cmd *cli.Command, n note.Note) error {
	n.ID = noteID(cmd)
	accepted, err := t.propose(ctx, cmd, n, "repeat the command with --id "+string(n.ID))
	if err != nil {
		return err
	}
	return t.printAccepted(cmd, n.ID, accepted)
}

func (t *tool) keyCommand() *cli.Command {
	return t.newGroup("key", "issue and withdraw keys", "key issue velika-delavnica",
		t.newCommand("issue", "ORGANISATION", "make a key and show its secret once; only its digest is sent", "key issue velika-delavnica",
			t.issueKey, &cli.StringFlag{Name: "name", Usage: "`NAME` of the key; default: the organisation and random letters"}),
		t.newCommand("withdraw", "KEY", "withdraw a key; it stops working within seconds", "key withdraw velika-delavnica-k3jq6c",
			func(ctx context.Context, cmd *cli.Command) error {
				return t.proposeAndPrint(ctx, cmd, note.Note{Withdraw: note.Withdrawals{Keys: []id.Key{id.Key(cmd.Args().First())}}})
			}, noteIDFlag()))
}

// issueKey has no --id flag: a second run generates another secret, so it cannot resolve a lost response of the first.
func (t *tool) issueKey(ctx context.Context, cmd *cli.Command) error {
	organisation := cmd.Args().First()
	secret := secretPrefix + rand.Text()
	keyName := cmd.String("name")
	if keyName == "" {
		keyName = organisation + "-" + randomID("")[:8]
	}
	n := note.Note{ID: id.Note(randomID("note-"))}
	n.Add.Keys = map[id.Key]note.Key{id.Key(keyName): {
		Organisation: id.Organisation(organisation),
		Digest:       id.DigestOf([]byte(secret)),
	}}
	accepted, err := t.propose(ctx, cmd, n, "withdraw the key "+keyName+" (a refusal means that it was not accepted) and issue another")
	if err != nil {
		return err
	}
	return t.printKey(cmd, keyName, secret, n.ID, accepted)
}

func (t *tool) shiftCommand() *cli.Command {
	return t.newGroup("shift", "add and remove traffic shifts", "shift remove winter",
		t.newCommand("add", "NAME", "move a share of a service's requests to another region, never above a cap",
			"shift add winter --service pregled --from osrednja --to primorska --percent 20 --rate 40 --burst 20",
			func(ctx context.Context, cmd *cli.Command) error {
				return t.proposeAndPrint(ctx, cmd, note.Note{Add: note.Entries{Shifts: map[id.Shift]note.Shift{
					id.Shift(cmd.Args().First()): {
						Service: id.Service(cmd.String("service")),
						From:    id.Region(cmd.String("from")),
						To:      id.Region(cmd.String("to")),
						Percent: cmd.Int("percent"),
						Rate:    id.TokensPerSecond(cmd.Float("rate")),
						Burst:   id.Tokens(cmd.Float("burst")),
					},
				}}})
			},
			noteIDFlag(),
			&cli.StringFlag{Name: "service", Usage: "`SERVICE` whose requests are moved", Required: true},
			&cli.StringFlag{Name: "from", Usage: "`REGION` that gives", Required: true},
			&cli.StringFlag{Name: "to", Usage: "`REGION` that receives", Required: true},
			&cli.IntFlag{Name: "percent", Usage: "`SHARE` of the requests, 0 to 100", Required: true},
			&cli.FloatFlag{Name: "rate", Usage: "cap in requests per second", Required: true},
			&cli.FloatFlag{Name: "burst", Usage: "requests above the rate for a moment, at least 1", Value: 1}),
		t.newCommand("remove", "NAME", "end a traffic shift", "shift remove winter",
			func(ctx context.Context, cmd *cli.Command) error {
				return t.proposeAndPrint(ctx, cmd, note.Note{Withdraw: note.Withdrawals{Shifts: []id.Shift{id.Shift(cmd.Args().First())}}})
			}, noteIDFlag()))
}

func (t *tool) drainCommand() *cli.Command {
	return t.newGroup("drain", "add and remove drains of upstreams", "drain remove pregled-osrednja-1",
		t.newCommand("add", "UPSTREAM", "take an upstream out of service; running work is finished",
			"drain add pregled-osrednja-1 --service pregled",
			func(ctx context.Context, cmd *cli.Command) error {
				return t.proposeAndPrint(ctx, cmd, note.Note{Add: note.Entries{Drains: map[id.Upstream]note.Drain{
					id.Upstream(cmd.Args().First()): {Service: id.Service(cmd.String("service"))},
				}}})
			},
			noteIDFlag(),
			&cli.StringFlag{Name: "service", Usage: "`SERVICE` of the upstream", Required: true}),
		t.newCommand("remove", "UPSTREAM", "put an upstream back into service", "drain remove pregled-osrednja-1",
			func(ctx context.Context, cmd *cli.Command) error {
				return t.proposeAndPrint(ctx, cmd, note.Note{Withdraw: note.Withdrawals{Drains: []id.Upstream{id.Upstream(cmd.Args().First())}}})
			}, noteIDFlag()))
}

// stopCommand sends the request to exactly one instance and only once, since a retry could stop another instance or the
// successor of the stopped one.
func (t *tool) stopCommand() *cli.Command {
	return t.newCommand("stop", "", "start a planned stop of the instance at --operator", "stop --operator 10.1.2.3:8003 --token token",
		func(ctx context.Context, cmd *cli.Command) error {
			c, err := newClient(cmd)
			if err != nil {
				return err
			}
			if len(c.addresses) != 1 {
				return &UsageError{Text: "stop needs exactly one --operator: the instance to stop"}
			}
			if _, err := c.callInstance(ctx, c.addresses[0], http.MethodPost, "/stop", nil, nil); err != nil {
				return err
			}
			return t.printMessage(cmd, "The instance at "+c.addresses[0]+" stops after its requests have ended.")
		})
}
