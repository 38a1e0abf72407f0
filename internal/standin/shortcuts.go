package standin

import (
	"bluebellhold/id"
)

// ClearFaults clears all faults of the platform.
func (s *Server) ClearFaults() error {
	return s.SetFaults(Faults{})
}

// SetDown takes the platform down in the given mode, or up with DownModeNone.
func (s *Server) SetDown(mode DownMode) error {
	return s.updateFaults(func(f *Faults) { f.Down = mode })
}

// SetDelay delays each request to the platform before it takes effect.
func (s *Server) SetDelay(delay Milliseconds) error {
	return s.updateFaults(func(f *Faults) { f.Delay = delay })
}

// LoseResponses drops the responses of the next n committed transactions, or of all with AllResponses.
func (s *Server) LoseResponses(n int) error {
	return s.updateFaults(func(f *Faults) { f.LostResponses = n })
}

// Partition drops the platform requests of these instances and of no others.
func (s *Server) Partition(instances ...id.Instance) error {
	return s.updateFaults(func(f *Faults) { f.Partitioned = instances })
}

// Kill drops all connections of an upstream and keeps it down until Revive.
func (s *Server) Kill(name id.Upstream) error {
	return s.changeByName(name, Change{Action: ActionKill})
}

// Revive restarts an upstream, with a cold cache, after Kill or a crash.
func (s *Server) Revive(name id.Upstream) error {
	return s.changeByName(name, Change{Action: ActionRevive})
}

// MarkDrain sets the drain mark of an upstream: runs that start from now on are counted in RunsAfterDrain.
func (s *Server) MarkDrain(name id.Upstream) error {
	return s.changeByName(name, Change{Action: ActionDrain})
}

// SetSlots changes the number of requests that an upstream runs concurrently.
func (s *Server) SetSlots(name id.Upstream, slots id.Slots) error {
	return s.changeByName(name, Change{Slots: &slots})
}

// SetServiceTime changes the service time of an upstream for requests that start from now on.
func (s *Server) SetServiceTime(name id.Upstream, serviceTime Milliseconds) error {
	return s.changeByName(name, Change{ServiceTime: &serviceTime})
}

// DelayLoadReports delays the load reports of an upstream.
func (s *Server) DelayLoadReports(name id.Upstream, delay Milliseconds) error {
	return s.changeByName(name, Change{LoadReportDelay: &delay})
}

// OverrideLoadReports makes an upstream report this number of running requests, or the true number if it is negative.
func (s *Server) OverrideLoadReports(name id.Upstream, running int) error {
	return s.changeByName(name, Change{ReportedRunning: &running})
}

// FailLoadReports makes the load reports of an upstream fail or, with false, succeed again.
func (s *Server) FailLoadReports(name id.Upstream, fail bool) error {
	return s.changeByName(name, Change{FailLoadReports: &fail})
}

func (s *Server) changeByName(name id.Upstream, c Change) error {
	if name == "" {
		return &ConfigError{Field: "name", Found: name, Allowed: "an upstream that exists"}
	}
	c.Name = name
	return s.Change(c)
}

// Runs returns how many runs with the idempotency key were started.
func (s *Server) Runs(key string) int64 {
	return s.Counts().RunsByKey[key]
}

// UpstreamCounts returns the counts of an upstream, which are zero if it does not exist.
func (s *Server) UpstreamCounts(name id.Upstream) UpstreamCounts {
	return s.Counts().Upstreams[name]
}

// PeakConcurrency returns the maximum number of concurrent requests in a scope, which is a region or, for one service
// of a region, region/service.
func (s *Server) PeakConcurrency(scope string) int {
	return s.Counts().Concurrency[scope].Peak
}
