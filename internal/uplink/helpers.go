package uplink

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhold/id"
)

const (
	// maxHelpers bounds the instances of a region through which upstreams are reached.
	maxHelpers = 8
	// helperBackoff is how long an instance is not used after it failed to reach an upstream for this one.
	helperBackoff = time.Second
)

// Helper is an instance through which another one reaches upstreams. It connects to the upstreams itself, never through
// others, so requests can't run in circles.
type Helper struct {
	Instance id.Instance
	Region   id.Region
	// Address accepts connections of other instances.
	Address string
}

// Helpers chooses the instances through which a severed one reaches the upstreams. It is not safe for concurrent use.
type Helpers struct {
	self id.Instance
	// candidates are those of each region, in this instance's own order, so that severed instances spread over them.
	candidates map[id.Region][]Helper
	states     map[id.Instance]*helperState
}

type helperState struct {
	inFlight int
	// retryAt is when it may be used again after a failure, and answeredAt when a response last came through it.
	retryAt, answeredAt time.Time
}

// NewHelpers returns a Helpers without candidates for the instance self.
func NewHelpers(self id.Instance) *Helpers {
	return &Helpers{self: self, states: make(map[id.Instance]*helperState)}
}

// SetCandidates replaces the instances that may be chosen.
func (h *Helpers) SetCandidates(list []Helper) {
	rank := func(name id.Instance) uint64 { return xxhash.Sum64String(string(h.self) + "/" + string(name)) }
	list = slices.SortedFunc(slices.Values(list), func(a, b Helper) int {
		return cmp.Or(cmp.Compare(rank(a.Instance), rank(b.Instance)), cmp.Compare(a.Instance, b.Instance))
	})
	h.candidates = make(map[id.Region][]Helper)
	isCandidate := make(map[id.Instance]bool)
	for _, c := range list {
		if c.Instance != h.self && len(h.candidates[c.Region]) < maxHelpers {
			h.candidates[c.Region] = append(h.candidates[c.Region], c)
			isCandidate[c.Instance] = true
		}
	}
	maps.DeleteFunc(h.states, func(name id.Instance, s *helperState) bool { return !isCandidate[name] && s.inFlight == 0 })
}

// Regions returns the regions with candidates, sorted.
func (h *Helpers) Regions() []id.Region { return slices.Sorted(maps.Keys(h.candidates)) }

// CanChoose reports whether Choose would return a candidate of the region.
func (h *Helpers) CanChoose(now time.Time, region id.Region) bool {
	return slices.ContainsFunc(h.candidates[region], func(c Helper) bool { return !now.Before(h.state(c.Instance).retryAt) })
}

// Choose returns the least used candidate of the first of the regions that has a usable one, and counts an attempt in
// flight, until RecordOutcome.
func (h *Helpers) Choose(now time.Time, regions []id.Region) (Helper, bool) {
	for _, region := range regions {
		var chosen Helper
		for _, c := range h.candidates[region] {
			state := h.state(c.Instance)
			if !now.Before(state.retryAt) && (chosen.Instance == "" || state.inFlight < h.state(chosen.Instance).inFlight) {
				chosen = c
			}
		}
		if chosen.Instance != "" {
			h.state(chosen.Instance).inFlight++
			return chosen, true
		}
	}
	return Helper{}, false
}

// Outcome is what the end of an attempt says about the helper.
type Outcome int

const (
	// HelperUnknown means that the attempt says nothing.
	HelperUnknown Outcome = iota
	// HelperAnswered means that a response came through it.
	HelperAnswered
	// HelperFailed means that it could not be reached or refused.
	HelperFailed
	// HelperSilent means that no response came, which may be the fault of the upstream.
	HelperSilent
)

// RecordOutcome records the end of an attempt that was sent at the given time.
func (h *Helpers) RecordOutcome(now time.Time, helper id.Instance, sentAt time.Time, o Outcome) {
	state := h.state(helper)
	state.inFlight = max(state.inFlight-1, 0)
	switch o {
	case HelperAnswered:
		state.answeredAt = now
	case HelperFailed:
		state.retryAt = now.Add(helperBackoff)
	case HelperSilent:
		if state.answeredAt.Before(sentAt) {
			state.retryAt = now.Add(helperBackoff)
		}
	}
}

func (h *Helpers) state(name id.Instance) *helperState {
	state := h.states[name]
	if state == nil {
		state = &helperState{}
		h.states[name] = state
	}
	return state
}
