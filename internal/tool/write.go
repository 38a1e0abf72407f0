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

// secretPrefix makes the secrets of keys easy to find in files that they should not be in.
const secretPrefix = "bbh_"

func idFlag() cli.Flag {
	return &cli.StringFlag{Name: "id", Usage: "`ID` of the note; give the id of an earlier try to resolve its lost answer"}
}

// randomID returns a fresh id with 130 random bits.
func randomID(prefix string) string {
	return prefix + strings.ToLower(rand.Text())
}

func noteID(cmd *cli.Command) id.Note {
	if given := cmd.String("id"); given != "" {
		return id.Note(given)
	}
	return id.Note(randomID("note-"))
}

func (t *tool) apply() *cli.Command {
	return t.leaf("apply", "FILE", "carry out the release note in FILE ('-' reads standard input)", "apply note.json",
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
		}, idFlag())
}

// readNote reads the note in the file of the first argument and gives it an id if it has none.
func (t *tool) readNote(cmd *cli.Command) (note.Note, error) {
	body, err := t.read(cmd.Args().First())
	if err != nil {
		return note.Note{}, err
	}
	if lacksID(body) {
		body = bytes.Replace(body, []byte("{"), []byte(`{"id":"`+string(noteID(cmd))+`",`), 1)
	}
	n, err := note.Parse(body)
	if err != nil {
		return note.Note{}, err
	}
	if given := cmd.String("id"); given != "" && given != string(n.ID) {
		return note.Note{}, &UsageError{Text: "--id " + given + " differs from the id " + string(n.ID) + " in the file"}
	}
	return n, nil
}

// lacksID reports whether body is an object that has fields, but no id.
func lacksID(body []byte) bool {
	var fields map[string]json.RawMessage
	return json.Unmarshal(body, &fields) == nil && len(fields) > 0 && fields["id"] == nil
}

func (t *tool) read(file string) ([]byte, error) {
	if file == "-" {
		body, err := io.ReadAll(t.Input)
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

// propose sends n and says what to do if it remains unknown whether it was accepted.
func (t *tool) propose(ctx context.Context, cmd *cli.Command, n note.Note, advice string) (operator.Acceptance, error) {
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
	answer, err := c.call(ctx, http.MethodPost, "/notes", nil, body)
	if err != nil && unknown(err) {
		return accepted, &UnknownError{Note: n.ID, Advice: advice, Cause: err}
	}
	if err != nil {
		return accepted, err
	}
	return accepted, json.Unmarshal(answer, &accepted)
}

// send proposes the note that a command made from its arguments.
func (t *tool) send(ctx context.Context, cmd *cli.Command, n note.Note) error {
	n.ID = noteID(cmd)
	accepted, err := t.propose(ctx, cmd, n, "repeat the command with --id "+string(n.ID))
	if err != nil {
		return err
	}
	return t.printAccepted(cmd, n.ID, accepted)
}

func (t *tool) key() *cli.Command {
	return t.parent("key", "issue and withdraw keys", "key issue velika-delavnica",
		t.leaf("issue", "ORGANISATION", "make a key and show its secret once; only its digest is sent", "key issue velika-delavnica",
			t.issueKey, &cli.StringFlag{Name: "name", Usage: "`NAME` of the key; default: the organisation and random letters"}),
		t.leaf("withdraw", "KEY", "withdraw a key; it stops working within seconds", "key withdraw velika-delavnica-k3jq6c",
			func(ctx context.Context, cmd *cli.Command) error {
				return t.send(ctx, cmd, note.Note{Withdraw: note.Withdrawals{Keys: []id.Key{id.Key(cmd.Args().First())}}})
			}, idFlag()))
}

// issueKey has no --id: a second run has another secret, so it cannot resolve the lost answer of the first one.
func (t *tool) issueKey(ctx context.Context, cmd *cli.Command) error {
	organisation := cmd.Args().First()
	secret := secretPrefix + rand.Text()
	name := cmd.String("name")
	if name == "" {
		name = organisation + "-" + randomID("")[:8]
	}
	n := note.Note{ID: id.Note(randomID("note-"))}
	n.Add.Keys = map[id.Key]note.Key{id.Key(name): {
		Organisation: id.Organisation(organisation),
		Digest:       id.DigestOf([]byte(secret)),
	}}
	accepted, err := t.propose(ctx, cmd, n, "withdraw the key "+name+" (a refusal means that it was not accepted) and issue another")
	if err != nil {
		return err
	}
	return t.printKey(cmd, name, secret, n.ID, accepted)
}

func (t *tool) shift() *cli.Command {
	return t.parent("shift", "add and remove traffic shifts", "shift remove winter",
		t.leaf("add", "NAME", "move a share of a service's requests to another region, never above a cap",
			"shift add winter --service pregled --from osrednja --to primorska --percent 20 --rate 40 --burst 20",
			func(ctx context.Context, cmd *cli.Command) error {
				return t.send(ctx, cmd, note.Note{Add: note.Entries{Shifts: map[id.Shift]note.Shift{
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
			idFlag(),
			&cli.StringFlag{Name: "service", Usage: "`SERVICE` whose requests are moved", Required: true},
			&cli.StringFlag{Name: "from", Usage: "`REGION` that gives", Required: true},
			&cli.StringFlag{Name: "to", Usage: "`REGION` that receives", Required: true},
			&cli.IntFlag{Name: "percent", Usage: "`SHARE` of the requests, 0 to 100", Required: true},
			&cli.FloatFlag{Name: "rate", Usage: "cap in requests per second", Required: true},
			&cli.FloatFlag{Name: "burst", Usage: "requests above the rate for a moment, at least 1", Value: 1}),
		t.leaf("remove", "NAME", "end a traffic shift", "shift remove winter",
			func(ctx context.Context, cmd *cli.Command) error {
				return t.send(ctx, cmd, note.Note{Withdraw: note.Withdrawals{Shifts: []id.Shift{id.Shift(cmd.Args().First())}}})
			}, idFlag()))
}

func (t *tool) drain() *cli.Command {
	return t.parent("drain", "add and remove drains of upstreams", "drain remove pregled-osrednja-1",
		t.leaf("add", "UPSTREAM", "take an upstream out of service; running work is finished",
			"drain add pregled-osrednja-1 --service pregled",
			func(ctx context.Context, cmd *cli.Command) error {
				return t.send(ctx, cmd, note.Note{Add: note.Entries{Drains: map[id.Upstream]note.Drain{
					id.Upstream(cmd.Args().First()): {Service: id.Service(cmd.String("service"))},
				}}})
			},
			idFlag(),
			&cli.StringFlag{Name: "service", Usage: "`SERVICE` of the upstream", Required: true}),
		t.leaf("remove", "UPSTREAM", "put an upstream back into service", "drain remove pregled-osrednja-1",
			func(ctx context.Context, cmd *cli.Command) error {
				return t.send(ctx, cmd, note.Note{Withdraw: note.Withdrawals{Drains: []id.Upstream{id.Upstream(cmd.Args().First())}}})
			}, idFlag()))
}

// stop asks exactly one instance and only once, since a second try could stop another instance or its successor.
func (t *tool) stop() *cli.Command {
	return t.leaf("stop", "", "start a planned stop of the instance at --operator", "stop --operator 10.1.2.3:8003 --token token",
		func(ctx context.Context, cmd *cli.Command) error {
			c, err := newClient(cmd)
			if err != nil {
				return err
			}
			if len(c.addresses) != 1 {
				return &UsageError{Text: "stop needs exactly one --operator: the instance to stop"}
			}
			if _, err := c.once(ctx, c.addresses[0], http.MethodPost, "/stop", nil, nil); err != nil {
				return err
			}
			return t.printDone(cmd, "The instance at "+c.addresses[0]+" stops after its requests have ended.")
		})
}
