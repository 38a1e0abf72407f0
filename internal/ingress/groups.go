package ingress

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/charmbracelet/log"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/store"
)

// groupRow is the JSON of a group's row in the store.
type groupRow struct {
	Writer id.Instance `json:"writer"`
	// StartTime distinguishes processes of the same name, in Unix nanoseconds of the writer's clock.
	StartTime int64 `json:"started"`
	Size      int   `json:"size"`
	// Demand is the rate of callers' requests per second by organisation.
	Demand map[id.Organisation]float64 `json:"demand,omitempty"`
	// Shares is the share of each organisation's limit that the group holds or claims.
	Shares map[id.Organisation]float64 `json:"held,omitempty"`
	// Era is that of the store as the writer knew it; zero if the writer knows none.
	Era uint64 `json:"era,omitempty"`
}

// isRestored reports whether a row that was written in an era comes from an older copy of the store.
func isRestored(writtenIn uint64, change store.Change) bool {
	return writtenIn != 0 && writtenIn < store.EraOf(change.Version)
}

// groupRows are the rows of all groups.
type groupRows struct {
	mirror *store.Mirror
	eras   eraTracker
	// missing are the last rows of groups that are missing since the store has returned from an older copy.
	missing map[string]store.Change
	odd     oddRows
}

func newGroupRows(feed store.ChangeFeed, table string) groupRows {
	return groupRows{mirror: store.NewMirror(feed, table), missing: make(map[string]store.Change), odd: newOddRows()}
}

// refresh reads the changed rows.
func (g *groupRows) refresh(ctx context.Context) error {
	before := maps.Clone(g.mirror.Rows())
	changes, err := g.mirror.Refresh(ctx, 0)
	if err != nil {
		return err
	}
	isRestored := g.eras.isRestored(g.mirror.Version())
	for _, change := range changes {
		delete(g.missing, change.Name)
		if change.Deleted && isRestored {
			row := before[change.Name]
			// It counts as a row of the copy from now on.
			row.Version = change.Version
			g.missing[change.Name] = row
		}
	}
	return nil
}

// all returns the rows by name, those that are missing included.
func (g *groupRows) all() map[string]store.Change {
	rows := maps.Clone(g.mirror.Rows())
	maps.Copy(rows, g.missing)
	return rows
}

const (
	// coordinatorPollInterval is how often an instance checks whether it has become the coordinator.
	coordinatorPollInterval = 100 * time.Millisecond
	// groupInterval is the time between two rows of a group whose shares suffice, and claimInterval that between the
	// rows of one that claims more.
	groupInterval = 4 * time.Second
	claimInterval = time.Second
)

// coordinateGroup writes the row of the group and reads those of all groups while this instance is the coordinator.
func (f *follower) coordinateGroup(ctx context.Context) {
	isLost := false
	for ctx.Err() == nil {
		pause := coordinatorPollInterval
		f.mu.Lock()
		isCoordinator := f.state.IsCoordinator()
		f.mu.Unlock()
		if isCoordinator {
			err := f.syncGroups(ctx)
			f.mu.Lock()
			lacksShares, wantsShares := f.state.LacksShares(), f.state.WantsShares()
			f.mu.Unlock()
			switch {
			case err != nil:
				if !isLost {
					f.log.Warn("store: lost", "part", "groups", "error", err)
				}
				pause = retryDelay
			case lacksShares:
				pause = minHeartbeatInterval
			case wantsShares:
				pause = claimInterval
			default:
				pause = groupInterval
			}
			if isLost && err == nil {
				f.log.Info("store: recovered", "part", "groups")
			}
			isLost = err != nil
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// syncGroups writes the row of this instance's group, once the rows have been read, and reads the rows of all groups.
// After a conflict, the row of another coordinator is read and taken over.
func (f *follower) syncGroups(ctx context.Context) error {
	f.mu.Lock()
	row, ok := f.state.GroupRow(time.Now())
	f.mu.Unlock()
	var writeErr error
	if ok {
		value, err := json.Marshal(groupRow{
			Writer: row.Writer, StartTime: row.StartTime, Size: row.Size, Demand: row.Demand, Shares: row.Shares,
			Era: store.EraOf(f.groupRows.mirror.Version()),
		})
		if err != nil {
			return err
		}
		name := string(row.Group)
		writeErr = f.config.Feed.Put(ctx, f.config.Tables.Groups, name, value, f.groupRows.mirror.RowVersion(name))
	}
	if err := f.groupRows.refresh(ctx); err != nil {
		return err
	}
	f.Post(entry.GroupsRead{Groups: f.decodeGroupRows(f.groupRows.all())})
	return writeErr
}

// decodeGroupRows returns the rows that can be read; a group whose row cannot holds no shares.
func (f *follower) decodeGroupRows(rows map[string]store.Change) []entry.GroupRow {
	groups := make([]entry.GroupRow, 0, len(rows))
	for name, change := range rows {
		group, err := decodeGroupRow(name, change)
		if err != nil {
			f.groupRows.odd.report(f.log, log.WarnLevel, "groups: invalid row", name, err)
			continue
		}
		f.groupRows.odd.forget(name)
		groups = append(groups, group)
	}
	return groups
}

// decodeGroupRow decodes the row of a group.
func decodeGroupRow(name string, change store.Change) (entry.GroupRow, error) {
	var row groupRow
	if err := json.Unmarshal(change.Value, &row); err != nil {
		return entry.GroupRow{}, err
	}
	if err := row.check(); err != nil {
		return entry.GroupRow{}, err
	}
	return entry.GroupRow{
		Group: id.Group(name), Version: change.Version, Writer: row.Writer, StartTime: row.StartTime, Size: row.Size,
		Demand: row.Demand, Shares: row.Shares, IsRestored: isRestored(row.Era, change),
	}, nil
}
