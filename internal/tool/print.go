package tool

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"bluebellhold/id"
	"bluebellhold/internal/operator"
	"bluebellhold/note"
)

func (t *tool) print(text string) error {
	_, err := io.WriteString(t.Stdout, text)
	return err
}

func (t *tool) printJSON(body []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, body, "", "  "); err != nil {
		return err
	}
	out.WriteByte('\n')
	return t.print(out.String())
}

// printResponse prints the response as JSON if --json is set; otherwise it decodes it into target and calls
// printDecoded.
func (t *tool) printResponse(cmd *cli.Command, responseBody []byte, target any, printDecoded func() error) error {
	if cmd.Bool("json") {
		return t.printJSON(responseBody)
	}
	if err := json.Unmarshal(responseBody, target); err != nil {
		return err
	}
	return printDecoded()
}

// printTable prints rows below the header, or "(none)" if there are no rows.
func (t *tool) printTable(header string, rows [][]any) error {
	if len(rows) == 0 {
		return t.print(strings.ReplaceAll(header, "\t", "  ") + "\n(none)\n")
	}
	w := tabwriter.NewWriter(t.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, header)
	for _, row := range rows {
		cells := make([]string, 0, len(row))
		for _, cell := range row {
			cells = append(cells, fmt.Sprint(cell))
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
	return w.Flush()
}

func (t *tool) printAccepted(cmd *cli.Command, n id.Note, a operator.Acceptance) error {
	if cmd.Bool("json") {
		body, err := json.Marshal(struct {
			Note  id.Note  `json:"note"`
			Epoch id.Epoch `json:"epoch"`
		}{n, a.Epoch})
		if err != nil {
			return err
		}
		return t.printJSON(body)
	}
	return t.print(fmt.Sprintf("Note %s is accepted as epoch %d.\n", n, a.Epoch))
}

// printMessage prints the confirmation of a command that has no other result.
func (t *tool) printMessage(cmd *cli.Command, text string) error {
	if !cmd.Bool("json") {
		return t.print(text + "\n")
	}
	body, err := json.Marshal(struct {
		Message string `json:"message"`
	}{text})
	if err != nil {
		return err
	}
	return t.printJSON(body)
}

// printKey is the only function that prints a secret.
func (t *tool) printKey(cmd *cli.Command, key, secret string, n id.Note, a operator.Acceptance) error {
	if cmd.Bool("json") {
		body, err := json.Marshal(struct {
			Key    string   `json:"key"`
			Secret string   `json:"secret"`
			Note   id.Note  `json:"note"`
			Epoch  id.Epoch `json:"epoch"`
		}{key, secret, n, a.Epoch})
		if err != nil {
			return err
		}
		return t.printJSON(body)
	}
	err := t.printTable("KEY\tSECRET\tEPOCH", [][]any{{key, secret, a.Epoch}})
	if err != nil {
		return err
	}
	return t.print("The secret is not kept anywhere and is not shown again.\n")
}

func (t *tool) printChanges(changes note.Changes) error {
	rows := make([][]any, 0, len(changes))
	for _, c := range changes {
		rows = append(rows, []any{c.Verb, c.Path, textOrDash(c.Before), textOrDash(c.After), c.Caution})
	}
	return t.printTable("VERB\tPATH\tBEFORE\tAFTER\tCAUTION", rows)
}

func textOrDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func (t *tool) printHistory(releases []operator.Release) error {
	rows := make([][]any, 0, len(releases))
	for _, r := range releases {
		rows = append(rows, []any{r.Epoch, r.Note, formatTime(r.Time), r.Digest})
	}
	return t.printTable("EPOCH\tNOTE\tTIME\tDIGEST", rows)
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

func textFor(condition bool, ifTrue, ifFalse string) string {
	if condition {
		return ifTrue
	}
	return ifFalse
}

func (t *tool) printStatus(s operator.Status) error {
	err := t.printTable("INSTANCE\tREGION\tDATA CENTRE\tEPOCH\tCONFIGURATION\tSTORE", [][]any{{
		s.Instance, s.Region, s.DataCentre, s.Epoch,
		textFor(s.Freshness.Fresh, "fresh", "stale"), textFor(s.Store.Reachable, "reachable", "unreachable"),
	}})
	if err != nil {
		return err
	}
	var instances, regions, drains, shifts, organisations [][]any
	for _, i := range s.Instances {
		instances = append(instances, []any{i.Instance, i.Region, i.DataCentre, i.Status, i.Epoch})
	}
	for _, r := range s.Regions {
		regions = append(regions, []any{r.Region, r.Service, r.Slots, r.Running, r.Headroom, textFor(r.Known, "yes", "no")})
	}
	for _, d := range s.Drains {
		drains = append(drains, []any{d.Upstream, d.Service, d.Running})
	}
	for _, shift := range s.Shifts {
		shifts = append(shifts, []any{shift.Shift, shift.Service, shift.From, shift.To, shift.Percent, shift.Cap})
	}
	for _, o := range s.Organisations {
		organisations = append(organisations, []any{o.Organisation, o.Rate, o.Refused})
	}
	for _, section := range []struct {
		header string
		rows   [][]any
	}{
		{"FLEET\tREGION\tDATA CENTRE\tSTATUS\tEPOCH", instances},
		{"REGION\tSERVICE\tSLOTS\tRUNNING\tHEADROOM\tMEASURED", regions},
		{"DRAINED UPSTREAM\tSERVICE\tRUNNING", drains},
		{"SHIFT\tSERVICE\tFROM\tTO\tPERCENT\tCAP", shifts},
		{"ORGANISATION ABOVE ITS RATE\tRATE\tREFUSED", organisations},
	} {
		if err := t.print("\n"); err != nil {
			return err
		}
		if err := t.printTable(section.header, section.rows); err != nil {
			return err
		}
	}
	return nil
}
