package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Client sends one request at a time to a machine and keeps its connection.
type Client struct {
	Machine *Machine
	rig     *Rig
	conn    net.Conn
	reader  *bufio.Reader
	// WasReused is set if the last request used a connection that had carried another one.
	WasReused bool
	isUsed    bool
}

// NewClient returns a client of a machine.
func (r *Rig) NewClient(m *Machine) *Client { return &Client{Machine: m, rig: r} }

// Call is a request of a client.
type Call struct {
	AttemptID, Method, Path, Key string
	Body                         []byte
	Deadline                     time.Duration
}

// Result is the answer to a call. Status is zero if there is none.
type Result struct {
	Status         int
	IsSigned       bool
	Body           []byte
	SentAt, EndsAt time.Time
	Err            error
}

// chunkBytes is the size of the parts in which a client writes a body.
const chunkBytes = 256 << 10

// link is the link of a machine, which carries a bounded number of bytes in a second.
type link struct {
	mu     sync.Mutex
	freeAt time.Time
}

// linkBytesPerSecond is what a link of 1000 Mbit/s carries.
const linkBytesPerSecond = 125e6

// wait waits until the link has carried a number of bytes.
func (l *link) wait(bytes int) {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / linkBytesPerSecond * float64(time.Second)))
	at := l.freeAt
	l.mu.Unlock()
	time.Sleep(time.Until(at))
}

// Host is the host of all routes.
const Host = "jepu9.example"

// Do sends a request and reads its answer.
func (c *Client) Do(call Call) Result {
	result := c.do(call)
	result.EndsAt = time.Now()
	c.rig.Record("client of %s: %s %s %s, %d bytes, key %s, sent %.3f s ago: status %d, signed %t, %v", c.Machine.Name,
		call.AttemptID, call.Method, call.Path, len(call.Body), call.Key, result.EndsAt.Sub(result.SentAt).Seconds(),
		result.Status, result.IsSigned, result.Err)
	if result.Err != nil {
		c.Close()
	}
	return result
}

func (c *Client) do(call Call) Result {
	result := Result{SentAt: time.Now()}
	c.WasReused = c.conn != nil && c.isUsed
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.Machine.Client, time.Second)
		if err != nil {
			result.Err = err
			return result
		}
		c.conn, c.reader, c.isUsed = conn, bufio.NewReader(conn), false
	}
	result.SentAt = time.Now()
	_ = c.conn.SetDeadline(result.SentAt.Add(call.Deadline))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Bluebellhold-Attempt-Id: %s\r\nX-Bluebellhold-Deadline-Ms: %d\r\n"+
		"Authorization: Bearer %s\r\n", call.Method, call.Path, Host, call.AttemptID, call.Deadline.Milliseconds(), call.Key)
	if call.Method == http.MethodPost {
		head += "Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n"
	}
	if _, result.Err = io.WriteString(c.conn, head+"\r\n"); result.Err != nil {
		return result
	}
	for rest := call.Body; len(rest) > 0; {
		chunk := rest[:min(len(rest), chunkBytes)]
		c.Machine.link.wait(len(chunk))
		if _, err := c.conn.Write(chunk); err != nil {
			// The machine may have answered without reading the rest.
			break
		}
		rest = rest[len(chunk):]
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: call.Method})
	if err != nil {
		result.Err = err
		return result
	}
	c.isUsed = true
	result.Body, result.Err = io.ReadAll(response.Body)
	result.Status, result.IsSigned = response.StatusCode, response.Header.Get("X-Bluebellhold-Response-Seal") != ""
	if response.Close {
		c.Close()
	}
	return result
}

// Close closes the client's connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func get(address, path string, timeout time.Duration) (int, []byte, error) {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}
