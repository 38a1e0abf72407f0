package ingress

import (
	"context"
	"encoding/json"
	"time"

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
		})
		if err != nil {
			return err
		}
		name := string(row.Group)
		writeErr = f.config.Feed.Put(ctx, f.config.Tables.Groups, name, value, f.groupRows.RowVersion(name))
	}
	if _, err := f.groupRows.Refresh(ctx, 0); err != nil {
		return err
	}
	f.Post(entry.GroupsRead{Groups: f.decodeGroupRows(f.groupRows.Rows())})
	return writeErr
}

// decodeGroupRows returns the rows that can be read; a group whose row cannot holds no shares.
func (f *follower) decodeGroupRows(rows map[string]store.Change) []entry.GroupRow {
	groups := make([]entry.GroupRow, 0, len(rows))
	for name, change := range rows {
		var row groupRow
		if err := json.Unmarshal(change.Value, &row); err != nil {
			f.log.Warn("groups: invalid row", "row", name, "error", err)
			continue
		}
		groups = append(groups, entry.GroupRow{
			Group: id.Group(name), Version: change.Version, Writer: row.Writer, StartTime: row.StartTime, Size: row.Size,
			Demand: row.Demand, Shares: row.Shares,
		})
	}
	return groups
}
