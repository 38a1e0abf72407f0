package bluebellhold

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"slices"
	"time"

	"bluebellhold/fleet"
	"bluebellhold/id"
	"bluebellhold/internal/operator"
	"bluebellhold/internal/steering"
	"bluebellhold/note"
)

// historyLimit is the maximum number of accepted notes that the history contains.
const historyLimit = 100

// backend implements operator.Backend for an instance.
type backend struct {
	*Instance
}

// Lookup returns the look-up response that a caller of the organisation with the address client would get.
func (b backend) Lookup(
	_ context.Context, _ id.Service, organisation id.Organisation, client netip.Addr,
) (any, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.LookupFor(time.Now(), organisation, client), nil
}

// Propose posts a release note to the reducer and waits for its reply.
func (b backend) Propose(ctx context.Context, n note.Note) (operator.Acceptance, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(operator.DefaultTimeout)
	}
	proposalID := steering.ProposalID(b.lastProposalID.Add(1))
	replies := make(chan steering.Reply, 1)
	b.mu.Lock()
	b.proposers[proposalID] = replies
	b.mu.Unlock()
	b.Post(steering.NoteProposed{ID: proposalID, Note: n, Deadline: deadline})
	select {
	case reply := <-replies:
		return operator.Acceptance{Epoch: reply.Epoch}, operatorError(reply.Err)
	case <-ctx.Done():
		b.mu.Lock()
		delete(b.proposers, proposalID)
		b.mu.Unlock()
		return operator.Acceptance{}, &operator.UnavailableError{Outcome: operator.OutcomeUnknown, Cause: ctx.Err()}
	}
}

// operatorError converts a StoreError of the reducer to an UnavailableError of the operators' API.
func operatorError(err error) error {
	var storeErr *steering.StoreError
	if !errors.As(err, &storeErr) {
		return err
	}
	outcome := operator.OutcomeNotRun
	if storeErr.OutcomeUnknown {
		outcome = operator.OutcomeUnknown
	}
	return &operator.UnavailableError{Outcome: outcome, RetryAfter: time.Second, Cause: storeErr}
}

// Plan returns the changes that a note would make and checks whether they are feasible.
func (b backend) Plan(_ context.Context, n note.Note) (note.Changes, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Plan(time.Now(), n)
}

// History returns the last accepted notes, newest first.
func (b backend) History(ctx context.Context) ([]operator.Release, error) {
	b.mu.Lock()
	currentEpoch := b.state.Configuration().Epoch
	b.mu.Unlock()
	after := steering.ReleasePrefix
	if currentEpoch > historyLimit {
		after = steering.ReleaseRow(currentEpoch - historyLimit)
	}
	rows, err := b.config.Table.Scan(ctx, steering.ReleasePrefix, after, 2*historyLimit)
	if err != nil {
		return nil, &operator.UnavailableError{Outcome: operator.OutcomeNotRun, RetryAfter: time.Second, Cause: err}
	}
	releases := make([]operator.Release, 0, len(rows))
	for _, row := range rows {
		var head steering.Head
		if err := json.Unmarshal(row.Value, &head); err != nil {
			b.log.Warn("note: a release's row can't be read", "row", row.Name)
			continue
		}
		releases = append(releases, operator.Release{
			Epoch: head.Epoch, Note: head.Note, Digest: head.Digest, Time: head.Time,
		})
	}
	slices.Reverse(releases)
	return releases, nil
}

// Dump returns the state of the instance and its sessions as JSON, without secrets.
func (b backend) Dump(_ context.Context) (json.RawMessage, error) {
	b.mu.Lock()
	dump := b.state.Dump(time.Now())
	b.mu.Unlock()
	return json.Marshal(struct {
		steering.Dump
		Peers any `json:"peers"`
	}{dump, b.transport.Status()})
}

// Configuration returns the configuration in force.
func (b backend) Configuration(_ context.Context) (note.Configuration, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state.Configuration(), nil
}

// Lookup returns the instances that a caller should use.
func (i *Instance) Lookup(q steering.LookupQuery) (steering.LookupResult, *steering.Refusal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state.Lookup(time.Now(), q)
}

// Status returns the fleet as this instance sees it.
func (b backend) Status(_ context.Context) (operator.Status, error) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	configuration := b.state.Configuration()
	down, since := b.state.StoreDown()
	status := operator.Status{
		Instance:   b.config.Self.Instance,
		Region:     b.config.Self.Region,
		DataCentre: b.config.Self.DataCentre,
		Epoch:      configuration.Epoch,
		Freshness:  operator.Freshness{Fresh: now.Before(b.state.FreshUntil()), Until: b.state.FreshUntil()},
		Store:      operator.Store{Reachable: !down, Since: since},
	}
	for _, m := range b.state.Members() {
		status.Instances = append(status.Instances, b.memberStatus(m, configuration.Epoch))
	}
	for _, load := range b.state.RegionLoads(now) {
		status.Regions = append(status.Regions, operator.Region{
			Region: load.Region, Service: load.Service, Slots: load.Slots, Running: load.InFlight,
			Headroom: load.Spare, Known: load.Known,
		})
	}
	b.addTrafficStatus(&status, configuration)
	return status, nil
}

func (b backend) memberStatus(m fleet.Member, currentEpoch id.Epoch) operator.Instance {
	epoch := b.state.PeerEpoch(m.Instance)
	if m.Instance == b.config.Self.Instance {
		epoch = currentEpoch
	}
	return operator.Instance{
		Instance: m.Instance, Region: m.Region, DataCentre: m.DataCentre,
		Status: operator.InstanceStatus(m.Status), Epoch: epoch,
	}
}

// addTrafficStatus adds the drains, the shifts and the rate-limited organisations to the status.
func (b backend) addTrafficStatus(status *operator.Status, configuration note.Configuration) {
	for upstream, drain := range configuration.Drains {
		status.Drains = append(status.Drains, operator.Drain{
			Upstream: upstream, Service: drain.Service, Running: b.state.InFlight(drain.Service, upstream),
		})
	}
	for name, shift := range configuration.Shifts {
		status.Shifts = append(status.Shifts, operator.Shift{
			Shift: name, Service: shift.Service, From: shift.From, To: shift.To, Percent: shift.Percent, Cap: shift.Rate,
		})
	}
	for _, o := range b.state.RateLimitedOrganisations() {
		status.Organisations = append(status.Organisations, operator.Organisation{
			Organisation: o.Organisation, Rate: configuration.Organisations[o.Organisation].Rate, Refused: int64(o.RateLimited),
		})
	}
}

// Stop starts a planned stop.
func (b backend) Stop(_ context.Context) error {
	b.Shutdown()
	return nil
}
