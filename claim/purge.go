package claim

import "time"

// startScan scans the next rows for expiry, at most once a minute.
//
// The first scan comes after a random fraction of the interval, so that instances started together do not scan at once.
func (t *Tracker) startScan(now time.Time) {
	if t.nextScan.IsZero() {
		t.nextScan = now.Add(time.Duration(t.random.Int64N(int64(scanInterval))))
	}
	if now.Before(t.nextScan) || t.scanID != 0 {
		return
	}
	t.nextScan = now.Add(scanInterval)
	t.scanID = t.nextID()
	t.emit(ScanRows{ID: t.scanID, Prefix: rowPrefix, After: t.scanAfter, Limit: t.config.ScanLimit})
}

// handleRowsScanned queues the deletion of expired rows that have no local state.
func (t *Tracker) handleRowsScanned(now time.Time, e RowsScanned) {
	if e.ID != t.scanID || e.ID == 0 {
		return
	}
	t.scanID = 0
	if e.Err != nil {
		return
	}
	t.scanAfter = ""
	if len(e.Rows) == t.config.ScanLimit {
		t.scanAfter = e.Rows[len(e.Rows)-1].Name
	}
	for _, row := range e.Rows {
		r := decode(row.Value)
		if t.claims[row.Name] != nil || !r.expired(now) {
			continue
		}
		c := &claimState{name: row.Name, stage: stagePurging, version: row.Version, stored: r}
		t.claims[row.Name] = c
		c.queued = true
		t.purges = append(t.purges, c)
	}
}
