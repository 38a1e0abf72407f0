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
	_, err := io.WriteString(t.Output, text)
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

// show prints the answer as JSON if asked to, and otherwise decodes it into target and prints a table.
func (t *tool) show(cmd *cli.Command, answer []byte, target any, table func() error) error {
	if cmd.Bool("json") {
		return t.printJSON(answer)
	}
	if err := json.Unmarshal(answer, target); err != nil {
		return err
	}
	return table()
}

// table prints rows below their headings, or "(none)" if there are no rows.
func (t *tool) table(headings string, rows [][]any) error {
	if len(rows) == 0 {
		return t.print(strings.ReplaceAll(headings, "\t", "  ") + "\n(none)\n")
	}
	w := tabwriter.NewWriter(t.Output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, headings)
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

// printDone confirms a command that has no other result.
func (t *tool) printDone(cmd *cli.Command, text string) error {
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

// printKey is the only place that prints a secret.
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
	err := t.table("KEY\tSECRET\tEPOCH", [][]any{{key, secret, a.Epoch}})
	if err != nil {
		return err
	}
	return t.print("The secret is not kept anywhere and is not shown again.\n")
}

func (t *tool) printChanges(changes note.Changes) error {
	rows := make([][]any, 0, len(changes))
	for _, c := range changes {
		rows = append(rows, []any{c.Verb, c.Path, dash(c.Before), dash(c.After), c.Caution})
	}
	return t.table("VERB\tPATH\tBEFORE\tAFTER\tCAUTION", rows)
}

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func (t *tool) printHistory(releases []operator.Release) error {
	rows := make([][]any, 0, len(releases))
	for _, r := range releases {
		rows = append(rows, []any{r.Epoch, r.Note, at(r.Time), r.Digest})
	}
	return t.table("EPOCH\tNOTE\tTIME\tDIGEST", rows)
}

func at(moment time.Time) string {
	if moment.IsZero() {
		return "-"
	}
	return moment.UTC().Format(time.RFC3339)
}

func word(yes bool, positive, negative string) string {
	if yes {
		return positive
	}
	return negative
}

func (t *tool) printStatus(s operator.Status) error {
	err := t.table("INSTANCE\tREGION\tDATA CENTRE\tEPOCH\tCONFIGURATION\tSTORE", [][]any{{
		s.Instance, s.Region, s.DataCentre, s.Epoch,
		word(s.Freshness.Fresh, "fresh", "stale"), word(s.Store.Reachable, "reachable", "unreachable"),
	}})
	if err != nil {
		return err
	}
	var instances, regions, drains, shifts, organisations [][]any
	for _, i := range s.Instances {
		instances = append(instances, []any{i.Instance, i.Region, i.DataCentre, i.Status, i.Epoch})
	}
	for _, r := range s.Regions {
		regions = append(regions, []any{r.Region, r.Service, r.Slots, r.Running, r.Headroom, word(r.Known, "yes", "no")})
	}
	for _, d := range s.Drains {
		drains = append(drains, []any{d.Upstream, d.Service, d.Running})
	}
	for _, x := range s.Shifts {
		shifts = append(shifts, []any{x.Shift, x.Service, x.From, x.To, x.Percent, x.Cap})
	}
	for _, o := range s.Organisations {
		organisations = append(organisations, []any{o.Organisation, o.Rate, o.Refused})
	}
	for _, section := range []struct {
		headings string
		rows     [][]any
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
		if err := t.table(section.headings, section.rows); err != nil {
			return err
		}
	}
	return nil
}
