package ingress

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/internal/peer"
	"bluebellhold/internal/tcp"
	"bluebellhold/internal/wire"
	"bluebellhold/store"
)

const (
	// secretRow is the row that holds the secret with which instances prove that they belong to the fleet.
	secretRow = "sessions"
	// secretBytes is the length of a new secret.
	secretBytes = 32
	// maxCreationDelay spreads the attempts of instances that start together to create the secret.
	maxCreationDelay = 300 * time.Millisecond
)

// sessions are the sessions with other instances of the group. There are none until the fleet's secret has been read
// from the store; messages are lost until then.
type sessions struct {
	mu        sync.Mutex
	transport transport
	contacts  []store.Member
}

// transport keeps the sessions; a peer.Transport is one.
type transport interface {
	Send(to id.Instance, m *wire.Envelope)
	SetPeers(contacts []store.Member)
	OpenTunnel(ctx context.Context, via id.Instance, address string, target peer.TunnelTarget) (tcp.Conn, error)
	ServedTunnels() int
	Close()
}

// send sends a message unless there is no session with the instance. It never blocks.
func (s *sessions) send(to id.Instance, m *wire.Envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.transport != nil {
		s.transport.Send(to, m)
	}
}

// setContacts replaces the instances to keep sessions with.
func (s *sessions) setContacts(contacts []entry.Contact) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contacts = s.contacts[:0]
	for _, c := range contacts {
		s.contacts = append(s.contacts, store.Member{Instance: c.Instance, Peer: c.Address})
	}
	if s.transport != nil {
		s.transport.SetPeers(s.contacts)
	}
}

// openTunnel connects to an upstream through another instance.
func (s *sessions) openTunnel(ctx context.Context, d entry.Dispatch) (tcp.Conn, error) {
	s.mu.Lock()
	t := s.transport
	s.mu.Unlock()
	if t == nil {
		return nil, &peer.ClosedError{}
	}
	return t.OpenTunnel(ctx, d.Via.Instance, d.Via.Address, peer.TunnelTarget{
		Upstream: d.Upstream, Incarnation: d.Incarnation,
	})
}

// servedTunnels returns the number of connections of other instances to upstreams that lead through this one.
func (s *sessions) servedTunnels() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.transport == nil {
		return 0
	}
	return s.transport.ServedTunnels()
}

func (s *sessions) open(t transport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transport = t
	t.SetPeers(s.contacts)
}

// close closes the sessions after the queued messages have been sent.
func (s *sessions) close() {
	s.mu.Lock()
	t := s.transport
	s.transport = nil
	s.mu.Unlock()
	if t != nil {
		t.Close()
	}
}

// openSessions reads the fleet's secret and then accepts and opens sessions. It tries until it succeeds; meanwhile the
// instance serves as a group of its own. Afterwards it keeps the secret in the store.
func (f *follower) openSessions(ctx context.Context) {
	isLogged := false
	for ctx.Err() == nil {
		secret, err := f.readSecret(ctx)
		if err == nil {
			err = f.startTransport(secret)
		}
		if err == nil {
			f.keepSecret(ctx, secret)
			return
		}
		if !isLogged && !errors.As(err, new(*store.ConflictError)) {
			f.log.Error("sessions: none with other instances yet", "address", f.config.PeerAddress, "error", err)
			isLogged = true
		}
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
		}
	}
}

// keepSecret writes the fleet's secret again when the store has returned from an older copy without it, or in which another
// instance has created a new one since. Members leave that to their coordinator.
func (f *follower) keepSecret(ctx context.Context, secret []byte) {
	for {
		select {
		case <-f.storeRestored:
		case <-ctx.Done():
			return
		}
		for f.relaySource() == "" && ctx.Err() == nil {
			err := f.writeSecret(ctx, secret)
			if err == nil {
				break
			}
			f.log.Warn("sessions: the secret can't be checked", "error", err)
			select {
			case <-time.After(retryDelay):
			case <-ctx.Done():
			}
		}
	}
}

// writeSecret makes sure that the store holds the secret.
func (f *follower) writeSecret(ctx context.Context, secret []byte) error {
	row, err := f.findSecret(ctx)
	if err != nil || bytes.Equal(row.Value, secret) {
		return err
	}
	f.log.Info("sessions: secret written again", "version", row.Version)
	return f.config.Feed.Put(ctx, f.config.Tables.Secrets, secretRow, secret, row.Version)
}

// readSecret returns the fleet's secret. The first instance of a fleet creates it.
func (f *follower) readSecret(ctx context.Context) ([]byte, error) {
	row, err := f.findSecret(ctx)
	if row.Value != nil || err != nil {
		return row.Value, err
	}
	select {
	case <-time.After(mathrand.N(maxCreationDelay)):
	case <-ctx.Done():
	}
	if row, err := f.findSecret(ctx); row.Value != nil || err != nil {
		return row.Value, err
	}
	secret := make([]byte, secretBytes)
	rand.Read(secret) // Read never returns an error; it crashes the process instead.
	// If the response is lost or another instance was faster, the next attempt reads the row.
	return secret, f.config.Feed.Put(ctx, f.config.Tables.Secrets, secretRow, secret, 0)
}

// findSecret returns the row of the fleet's secret, or an empty one if there is none.
func (f *follower) findSecret(ctx context.Context) (store.Change, error) {
	rows, err := f.config.Feed.Snapshot(ctx, f.config.Tables.Secrets)
	if err != nil {
		return store.Change{}, err
	}
	for _, row := range rows.Rows {
		if row.Name == secretRow && !row.Deleted {
			return row, nil
		}
	}
	return store.Change{}, nil
}

func (f *follower) startTransport(secret []byte) error {
	transport, err := peer.New(peer.Config{
		Self: f.config.Instance, Incarnation: id.Incarnation(f.startTime), Listen: f.config.PeerAddress, Secret: secret,
		Log: f.log, Registry: f.registry, Clients: f.clients, OnMessage: f.handleEnvelope, OnTunnel: f.connectTunnel,
		OnOpened: func(name id.Instance) { f.Post(entry.SessionOpened{Instance: name}) },
		OnClosed: func(name id.Instance) { f.Post(entry.SessionClosed{Instance: name}) },
	})
	if err != nil {
		return err
	}
	f.sessions.open(transport)
	return nil
}

// handleEnvelope handles a message of another instance.
func (f *follower) handleEnvelope(from id.Instance, m *wire.Envelope) {
	switch payload := m.GetPayload().(type) {
	case *wire.Envelope_RowsRequest:
		f.handleRowsRequest(from, payload.RowsRequest)
	case *wire.Envelope_RowsUpdate:
		f.handleRowsUpdate(from, payload.RowsUpdate)
	case *wire.Envelope_RowsPart:
		f.handleRowsPart(from, payload.RowsPart)
	default:
		if message := decodeMessage(m); message != nil {
			f.Post(entry.MessageReceived{From: from, Message: message})
		}
	}
}
