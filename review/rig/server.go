package rig

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	ID, Service, Zone string
	Slots, Queue      int
	// Work returns how long a request takes.
	Work func(s *Server, r *Request) time.Duration
	// BeforeReply is called on a connection before the reply to a request is awaited; nil does nothing.
	BeforeReply func(c *Conn, r *Request)
	// Reply writes the reply to a request that has run in place of the usual one and reports whether the connection
	// stays open; nil writes the usual one.
	Reply func(c *Conn, r *Request) bool
	// OnArrival is called for each request that is meant for the server, and OnRun when one begins to run.
	OnArrival func(s *Server, r *Request)
	OnRun     func(s *Server, r *Request)
	// NoShedID leaves out the attempt's id in the replies that turn a request away.
	NoShedID bool
	// ColdUntil is when the server is no longer cold.
	ColdUntil time.Time
}

// Request is a request as a server has read it.
type Request struct {
	*http.Request
	AttemptID string
	Body      []byte
	At        time.Time
}

// Server stands in for a server of the platform.
type Server struct {
	ServerConfig
	Address string

	rig      *Rig
	listener net.Listener
	slots    chan struct{}
	stop     chan struct{}
	stopOnce sync.Once

	mu        sync.Mutex
	born      int64
	state     string
	sequence  int
	waiting   int
	coldUntil time.Time
	conns     map[net.Conn]bool
}

// Conn is a connection to a server.
type Conn struct {
	net.Conn
	Server *Server
	// Last is the last reply that the server wrote on the connection.
	Last []byte
}

// AddServer starts a server and its heartbeats.
func (r *Rig) AddServer(config ServerConfig) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		ServerConfig: config, Address: listener.Addr().String(), rig: r, listener: listener,
		slots: make(chan struct{}, config.Slots), stop: make(chan struct{}), born: time.Now().UnixMilli(), state: "ready",
		coldUntil: config.ColdUntil, conns: make(map[net.Conn]bool),
	}
	r.servers = append(r.servers, s)
	s.WriteRow()
	go s.accept()
	go s.beat()
	return s, nil
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(&Conn{Conn: conn, Server: s})
	}
}

func (s *Server) beat() {
	for {
		select {
		case <-time.After(Heartbeat):
			s.WriteRow()
		case <-s.stop:
			return
		}
	}
}

// WriteRow writes the server's row to the store and returns when the store accepted it.
func (s *Server) WriteRow() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return s.rig.Store.Put("servers", s.ID, map[string]any{
		"address": s.Address, "born": s.born,
		"info": map[string]any{"service": s.Service, "version": "v1", "zone": s.Zone, "slots": s.Slots},
		"status": map[string]any{
			"state": s.state, "sequence": s.sequence,
			"coldLeft": strconv.FormatInt(max(time.Until(s.coldUntil), 0).Milliseconds(), 10) + "ms",
		},
	})
}

// SetDraining reports that the server is draining, and returns when the store accepted it.
func (s *Server) SetDraining() time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	return s.WriteRow()
}

// BecomeCold makes the server cold until a time, and reports it.
func (s *Server) BecomeCold(until time.Time) time.Time {
	s.mu.Lock()
	s.coldUntil = until
	s.mu.Unlock()
	return s.WriteRow()
}

// IsCold reports whether the server is cold.
func (s *Server) IsCold(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.coldUntil)
}

// Close ends the server at once; its row stays.
func (s *Server) Close() {
	s.stopOnce.Do(func() {
		close(s.stop)
		_ = s.listener.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for conn := range s.conns {
			_ = conn.Close()
		}
	})
}

func (s *Server) serve(c *Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c.Conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		parsed, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(parsed.Body)
		if err != nil {
			return
		}
		r := &Request{Request: parsed, AttemptID: parsed.Header.Get("X-Bluebellhold-Attempt-Id"), Body: body, At: time.Now()}
		if s.BeforeReply != nil {
			s.BeforeReply(c, r)
		}
		if !s.handle(c, r) {
			return
		}
	}
}

// handle handles a request and reports whether the connection stays open.
func (s *Server) handle(c *Conn, r *Request) bool {
	if expected := r.Header.Get("X-Bluebellhold-Expect-Instance"); expected != "" && expected != s.ID {
		return c.write("HTTP/1.1 421 Misdirected Request\r\nX-Bluebellhold-Instance-Id: "+s.ID+
			"\r\nX-Bluebellhold-Attempt-Id: "+r.AttemptID+"\r\nContent-Length: 0\r\n\r\n", nil)
	}
	if s.OnArrival != nil {
		s.OnArrival(s, r)
	}
	if !s.enter() {
		s.rig.Record("server %s: %s turned away, full", s.ID, r.AttemptID)
		head := "HTTP/1.1 503 Service Unavailable\r\nX-Bluebellhold-Not-Executed: 1\r\n"
		if !s.NoShedID {
			head += "X-Bluebellhold-Attempt-Id: " + r.AttemptID + "\r\n"
		}
		return c.write(head+s.loadHeader()+"Content-Length: 0\r\n\r\n", nil)
	}
	select {
	case s.slots <- struct{}{}:
	case <-s.stop:
		return false
	}
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	if s.OnRun != nil {
		s.OnRun(s, r)
	}
	s.rig.Record("server %s: %s runs, %s %s, %d bytes, tenant %s", s.ID, r.AttemptID, r.Method, r.RequestURI, len(r.Body),
		r.Header.Get("X-Bluebellhold-Tenant"))
	select {
	case <-time.After(s.Work(s, r)):
	case <-s.stop:
	}
	<-s.slots
	if s.Reply != nil {
		return s.Reply(c, r)
	}
	return c.WriteReply(r, BodyOf(r.AttemptID))
}

// enter takes a place at the server and reports whether there is one.
func (s *Server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.slots)+s.waiting >= s.Slots+s.Queue {
		return false
	}
	s.waiting++
	return true
}

func (s *Server) loadHeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("X-Bluebellhold-Server-Load: %d,%d,%d\r\nKeep-Alive: timeout=10\r\n", len(s.slots), s.waiting, s.Slots)
}

// WriteReply writes a signed reply.
func (c *Conn) WriteReply(r *Request, body []byte) bool {
	return c.write("HTTP/1.1 200 OK\r\nX-Bluebellhold-Attempt-Id: "+r.AttemptID+"\r\nX-Bluebellhold-Response-Seal: "+
		SealOf(body)+"\r\n"+c.Server.loadHeader()+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n", body)
}

func (c *Conn) write(head string, body []byte) bool {
	c.Last = append([]byte(head), body...)
	_, err := c.Write(c.Last)
	return err == nil
}

// BodyOf returns the body of the reply to a request.
func BodyOf(attemptID string) []byte { return []byte("reply to " + attemptID + "\n") }

// SealOf returns the signature of a body.
func SealOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}
