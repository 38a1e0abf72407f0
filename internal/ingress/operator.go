package ingress

import (
	"context"
	"errors"
	"time"

	"github.com/charmbracelet/log"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/store"
)

// operatorRows are the operator's rows as far as they have been read.
type operatorRows struct {
	// dataCentres are the evacuated data centres by the names of their rows.
	dataCentres map[string]id.DataCentre
	// endAt is when rows that are missing since the store's return from an older copy count as removed.
	endAt map[string]time.Time
	eras  eraTracker
	odd   oddRows
}

func newOperatorRows() operatorRows {
	return operatorRows{dataCentres: make(map[string]id.DataCentre), endAt: make(map[string]time.Time), odd: newOddRows()}
}

// nextEnd returns when the next missing evacuation counts as removed, or zero if none is missing.
func (o *operatorRows) nextEnd() time.Time { return earliest(o.endAt) }

// earliest returns the earliest of the times, or zero if there is none.
func earliest(times map[string]time.Time) time.Time {
	var first time.Time
	for _, at := range times {
		if first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return first
}

// eraTracker notices the returns of the store from an older copy by the versions of a table's view.
type eraTracker struct {
	era    uint64
	isRead bool
}

// isRestored reports whether the changes that led to a version are the first ones since the store has returned from an
// older copy. They tell how the copy differs from what was read before, and are no news by themselves.
func (t *eraTracker) isRestored(version uint64) bool {
	era := store.EraOf(version)
	isRestored := t.isRead && era > t.era
	t.era, t.isRead = max(t.era, era), true
	return isRestored
}

// operatorReadInterval is the longest time between two answers about the operator's rows; changes are reported at once. A
// read that waits on a connection that has fallen silent is given up store.CallTimeout later, and the rows are read again on
// a new one and relayed, all within maxRecoveryDelay.
const operatorReadInterval = maxRecoveryDelay - store.CallTimeout - retryDelay - rereadTime

// operatorWait returns how long a read of the operator's rows waits for a change.
func (f *follower) operatorWait() time.Duration {
	if f.relaySource() != "" {
		// The coordinator waits for changes.
		return 0
	}
	until := f.tables[f.config.Tables.Operator].freshAt.Add(operatorReadInterval)
	if end := f.operatorRows.nextEnd(); !end.IsZero() && end.Before(until) {
		until = end
	}
	return max(time.Until(until), 0)
}

// readOperator waits for changes of the operator's rows and posts them as events.
func (f *follower) readOperator(ctx context.Context) ([]store.Change, error) {
	rows := f.tables[f.config.Tables.Operator].mirror
	isFirst := len(rows.Rows()) == 0
	changes, err := rows.Refresh(ctx, f.operatorWait())
	if err != nil {
		return nil, err
	}
	if isFirst && len(changes) == 0 {
		// A first read returns at once even if the table is empty.
		time.Sleep(retryDelay)
	}
	return f.applyOperatorChanges(changes), nil
}

// applyOperatorChanges posts changes of the operator's rows as events. All are relevant.
func (f *follower) applyOperatorChanges(changes []store.Change) []store.Change {
	hasChanged, isRestored := false, f.operatorRows.eras.isRestored(f.tables[f.config.Tables.Operator].mirror.Version())
	for _, change := range changes {
		if change.Deleted {
			f.operatorRows.odd.forget(change.Name)
			_, isEvacuation := f.operatorRows.dataCentres[change.Name]
			if isEvacuation && isRestored {
				// The operator writes again what was written after the copy.
				f.operatorRows.endAt[change.Name] = time.Now().Add(recoveryGrace)
				continue
			}
			hasChanged = hasChanged || isEvacuation
			f.operatorRows.remove(change.Name)
			continue
		}
		row, err := f.config.RowDecoder.DecodeOperatorRow(change.Name, change.Value)
		if cause := (*DocumentError)(nil); errors.As(err, &cause) {
			f.rejectDocument(change, cause)
			continue
		}
		if err != nil {
			f.operatorRows.odd.report(f.log, log.ErrorLevel, "operator: a row can't be read; the last valid one remains in force", change.Name, err)
			continue
		}
		f.operatorRows.odd.forget(change.Name)
		switch row := row.(type) {
		case Document:
			f.applyDocument(change, row)
		case Evacuation:
			delete(f.operatorRows.endAt, change.Name)
			f.operatorRows.dataCentres[change.Name] = row.DataCentre
			hasChanged = true
		}
	}
	if hasChanged {
		f.postEvacuations()
	}
	return changes
}

func (o *operatorRows) remove(name string) {
	delete(o.dataCentres, name)
	delete(o.endAt, name)
}

// endDueEvacuations ends the evacuations whose rows have not come back in time.
func (f *follower) endDueEvacuations() {
	hasChanged := false
	for name, at := range f.operatorRows.endAt {
		if !time.Now().Before(at) {
			f.operatorRows.remove(name)
			hasChanged = true
		}
	}
	if hasChanged {
		f.postEvacuations()
	}
}

func (f *follower) postEvacuations() {
	list := make([]id.DataCentre, 0, len(f.operatorRows.dataCentres))
	for _, d := range f.operatorRows.dataCentres {
		list = append(list, d)
	}
	f.Post(entry.EvacuationsChanged{DataCentres: list})
	f.log.Info("operator: evacuations", "datacentres", list)
}
