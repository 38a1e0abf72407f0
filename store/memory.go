package store

import (
	"bytes"
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
)

// Memory implements Table, Objects and Directory in memory.
//
// The zero value is empty and ready to use. It is safe for concurrent use.
type Memory struct {
	mu          sync.Mutex
	rows        map[string]Row
	lastVersion uint64
	objects     map[string][]byte
	members     []Member
}

// Transact applies t atomically.
func (s *Memory) Transact(_ context.Context, t Transaction) (Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.conditionsMet(t.Conditions) {
		rows := make([]Row, 0, len(t.Conditions))
		for _, c := range t.Conditions {
			rows = append(rows, s.row(c.Name))
		}
		return Result{Rows: rows}, nil
	}
	rows := make([]Row, 0, len(t.Writes))
	for _, w := range t.Writes {
		rows = append(rows, s.write(w))
	}
	return Result{Committed: true, Rows: rows}, nil
}

func (s *Memory) conditionsMet(conditions []Condition) bool {
	for _, c := range conditions {
		if s.rows[c.Name].Version != c.Version {
			return false
		}
	}
	return true
}

func (s *Memory) row(name string) Row {
	r := s.rows[name]
	r.Name = name
	r.Value = bytes.Clone(r.Value)
	return r
}

func (s *Memory) write(w Write) Row {
	if w.Delete {
		delete(s.rows, w.Name)
		return Row{Name: w.Name}
	}
	if s.rows == nil {
		s.rows = make(map[string]Row)
	}
	s.lastVersion++
	s.rows[w.Name] = Row{Name: w.Name, Version: s.lastVersion, Value: bytes.Clone(w.Value)}
	return s.row(w.Name)
}

// Read returns one row for each name, in order.
func (s *Memory) Read(_ context.Context, names []string) ([]Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make([]Row, 0, len(names))
	for _, name := range names {
		rows = append(rows, s.row(name))
	}
	return rows, nil
}

// Scan returns up to limit rows whose names start with prefix and sort after the name after, ordered by name.
func (s *Memory) Scan(_ context.Context, prefix, after string, limit int) ([]Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.rows {
		if strings.HasPrefix(name, prefix) && name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	names = names[:max(0, min(limit, len(names)))]
	rows := make([]Row, 0, len(names))
	for _, name := range names {
		rows = append(rows, s.row(name))
	}
	return rows, nil
}

// Put stores a copy of body under name.
func (s *Memory) Put(_ context.Context, name string, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects == nil {
		s.objects = make(map[string][]byte)
	}
	s.objects[name] = bytes.Clone(body)
	return nil
}

// Get returns a copy of the object or a NotFoundError.
func (s *Memory) Get(_ context.Context, name string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[name]
	if !ok {
		return nil, &NotFoundError{Name: name}
	}
	return bytes.Clone(body), nil
}

// Delete removes the object if it exists.
func (s *Memory) Delete(_ context.Context, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, name)
	return nil
}

// SetMembers replaces the instances in the directory.
func (s *Memory) SetMembers(members []Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = slices.Clone(members)
}

// List returns the instances in the directory.
func (s *Memory) List(_ context.Context) ([]Member, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.members), nil
}
