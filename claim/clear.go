package claim

import "time"

// scan asks for the next batch of rows to examine for expiry, at most once a minute.
//
// The first scan comes after a random part of the interval, so that instances started together scan one by one.
func (b *Tracker) scan(now time.Time) {
	if b.scanAt.IsZero() {
		b.scanAt = now.Add(time.Duration(b.random.Int64N(int64(scanInterval))))
	}
	if now.Before(b.scanAt) || b.scanID != 0 {
		return
	}
	b.scanAt = now.Add(scanInterval)
	b.scanID = b.nextID()
	b.emit(ScanRows{ID: b.scanID, Prefix: rowPrefix, After: b.scanned, Limit: b.config.ScanLimit})
}

// rowsScanned queues the deletion of the expired rows that no local request is concerned with.
func (b *Tracker) rowsScanned(now time.Time, e RowsScanned) {
	if e.ID != b.scanID || e.ID == 0 {
		return
	}
	b.scanID = 0
	if e.Err != nil {
		return
	}
	b.scanned = ""
	if len(e.Rows) == b.config.ScanLimit {
		b.scanned = e.Rows[len(e.Rows)-1].Name
	}
	for _, row := range e.Rows {
		r := decode(row.Value)
		if b.cells[row.Name] != nil || !r.expired(now) {
			continue
		}
		c := &cell{name: row.Name, stage: stageClearing, version: row.Version, found: r}
		b.cells[row.Name] = c
		c.queued = true
		b.clears = append(b.clears, c)
	}
}
