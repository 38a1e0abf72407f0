package standin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"bluebellhold/id"
)

// Server is a running stand-in; it is safe for concurrent use.
type Server struct {
	control  endpoint
	platform endpoint
	store    *tableStore
	members  *members
	tally    *tally
	cancel   context.CancelFunc
	watch    sync.WaitGroup

	m         sync.Mutex
	upstreams map[id.Upstream]*upstream
}

// Start checks the settings and starts the platform, the upstreams and the control address.
func Start(config Config) (*Server, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{members: &members{}, tally: newTally(), cancel: cancel, upstreams: make(map[id.Upstream]*upstream)}
	s.store = newStore(s.members)
	s.platform = endpoint{handler: s.store, address: config.Platform}
	s.control = endpoint{handler: s.routes(), address: config.Control}
	// The first list has been visible for long: only changes lag.
	lag := config.Members.Lag
	config.Members.Lag = 0
	s.members.set(time.Now(), config.Members)
	s.members.config.Lag = lag
	if err := s.up(config.Services); err != nil {
		_ = s.Close()
		return nil, err
	}
	s.watch.Go(func() { s.members.watch(ctx) })
	return s, nil
}

func (s *Server) up(services map[id.Service][]Upstream) error {
	for service, upstreams := range services {
		for _, u := range upstreams {
			u.Service = service
			if err := s.add(u); err != nil {
				return err
			}
		}
	}
	if err := s.platform.up(); err != nil {
		return err
	}
	return s.control.up()
}

func (s *Server) add(config Upstream) error {
	if err := config.check(); err != nil {
		return err
	}
	s.m.Lock()
	if s.upstreams[config.Name] != nil {
		s.m.Unlock()
		return &ConfigError{Field: "name", Found: config.Name, Allowed: "each name once"}
	}
	u := newUpstream(config, s.tally)
	s.upstreams[config.Name] = u
	s.m.Unlock()
	return u.revive()
}

// Close drops all connections and stops listening.
func (s *Server) Close() error {
	s.cancel()
	s.watch.Wait()
	s.control.close()
	s.platform.close()
	for _, u := range s.each() {
		u.close()
	}
	return nil
}

// ControlAddress returns the address of the control API.
func (s *Server) ControlAddress() string {
	return s.control.where()
}

// PlatformAddress returns the address of the simulated platform.
func (s *Server) PlatformAddress() string {
	return s.platform.where()
}

// Upstreams returns the upstreams with their services and addresses, in the order of their names.
func (s *Server) Upstreams() []Upstream {
	var list []Upstream
	for _, u := range s.each() {
		config := u.settings()
		config.Address = u.where()
		list = append(list, config)
	}
	return list
}

// each returns the upstreams in the order of their names.
func (s *Server) each() []*upstream {
	s.m.Lock()
	defer s.m.Unlock()
	var list []*upstream
	for _, name := range slices.Sorted(maps.Keys(s.upstreams)) {
		list = append(list, s.upstreams[name])
	}
	return list
}

// SetFaults replaces the faults of the platform; the zero value ends all of them.
func (s *Server) SetFaults(faults Faults) error {
	return s.updateFaults(func(f *Faults) { *f = faults })
}

func (s *Server) updateFaults(change func(*Faults)) error {
	faults, err := s.store.update(change)
	if err != nil {
		return err
	}
	if faults.Down == DownModeRefuse {
		s.platform.down()
		return nil
	}
	return s.platform.up()
}

// SetMembers replaces the list of instances; the change becomes visible after the lag.
func (s *Server) SetMembers(config Members) error {
	if err := config.check(); err != nil {
		return err
	}
	s.members.set(time.Now(), config)
	return nil
}

// Counts is what happened since the start.
//
// Keys holds the runs of each idempotency key, Places the requests that run at the same time in each region and in
// each region/service.
type Counts struct {
	Platform    PlatformCounts                 `json:"platform"`
	Upstreams   map[id.Upstream]UpstreamCounts `json:"upstreams"`
	RunsByKey   map[string]int64               `json:"keys"`
	Concurrency map[string]Concurrency         `json:"places"`
}

// Counts returns a copy of all counts.
func (s *Server) Counts() Counts {
	counts := Counts{
		Platform:    s.store.counted(),
		Upstreams:   make(map[id.Upstream]UpstreamCounts),
		Concurrency: make(map[string]Concurrency),
	}
	for _, u := range s.each() {
		counts.Upstreams[u.config.Name] = u.counted()
	}
	s.tally.m.Lock()
	defer s.tally.m.Unlock()
	counts.RunsByKey = maps.Clone(s.tally.keys)
	for name, place := range s.tally.places {
		counts.Concurrency[name] = *place
	}
	return counts
}
