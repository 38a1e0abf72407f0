package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"
)

// client is a group of callers in one zone. It follows the pages: it asks the directory of the nearest instances first, keeps
// the answer for its ttl, and picks one of the addresses at random.
type client struct {
	zone, region string
	// directories are the addresses to ask, the nearest first.
	directories []string
	host, path  string
	method, key string
	perSecond   atomic.Int64
	http        *http.Client
	record      *record

	mu        sync.Mutex
	addresses []string
	failed    map[string]bool
	expiresAt time.Time
	nextID    int
}

func newClient(rec *record, zone, region string, directories []string) *client {
	return &client{
		zone: zone, region: region, directories: directories, record: rec, failed: make(map[string]bool),
		http: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 200, IdleConnTimeout: 8 * time.Second, DisableCompression: true,
		}},
	}
}

// resolve returns the addresses that a directory names, or an error. It allows one second.
func resolve(ctx context.Context, h *http.Client, directory, host, region, zone string) (addresses []string, ttl time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	query := url.Values{"name": {host}, "region": {region}, "zone": {zone}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+"/api/resolve?"+query.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	response, err := h.Do(r)
	if err != nil {
		return nil, 0, err
	}
	defer response.Body.Close()
	var body struct {
		Addresses []string `json:"addresses"`
		TTL       string   `json:"ttl"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil {
		return nil, 0, err
	}
	ttl, err = time.ParseDuration(body.TTL)
	if err != nil || len(body.Addresses) == 0 || response.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("directory %s: status %d, ttl %q", directory, response.StatusCode, body.TTL)
	}
	return body.Addresses, ttl, nil
}

// pick returns an address for the next request.
func (c *client) pick(ctx context.Context) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().After(c.expiresAt) {
		for _, directory := range c.directories {
			addresses, ttl, err := resolve(ctx, c.http, directory, c.host, c.region, c.zone)
			if err == nil {
				c.addresses, c.expiresAt = addresses, time.Now().Add(ttl)
				clear(c.failed)
				break
			}
		}
	}
	var usable []string
	for _, a := range c.addresses {
		if !c.failed[a] {
			usable = append(usable, a)
		}
	}
	if len(usable) == 0 {
		usable = c.addresses
	}
	if len(usable) == 0 {
		return ""
	}
	return usable[rand.IntN(len(usable))]
}

func (c *client) id() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	return fmt.Sprintf("%s-%06d", c.zone, c.nextID)
}

// run sends requests at the client's rate until ctx ends.
func (c *client) run(ctx context.Context) {
	var pending sync.WaitGroup
	next := time.Now()
	for ctx.Err() == nil {
		rate := c.perSecond.Load()
		if rate == 0 {
			time.Sleep(10 * time.Millisecond)
			next = time.Now()
			continue
		}
		next = next.Add(time.Duration(rand.ExpFloat64() / float64(rate) * float64(time.Second)))
		time.Sleep(time.Until(next))
		pending.Go(func() { c.send(ctx) })
	}
	pending.Wait()
}

// deadline is how long a client waits for an answer.
const deadline = 2 * time.Second

func (c *client) send(ctx context.Context) {
	address := c.pick(ctx)
	if address == "" {
		return
	}
	id := c.id()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+address+c.path+id, nil)
	if err != nil {
		return
	}
	r.Host = c.host
	r.Header.Set("X-Bluebellhold-Attempt-Id", id)
	r.Header.Set("X-Bluebellhold-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	r.Header.Set("Authorization", "Bearer "+c.key)
	c.record.add(event{kind: "sent", id: id, at: time.Now(), where: address})
	response, err := c.http.Do(r)
	if err != nil {
		c.mu.Lock()
		c.failed[address] = true
		c.mu.Unlock()
		c.record.add(event{kind: "failed", id: id, at: time.Now(), where: address})
		return
	}
	_, err = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	status := fmt.Sprint(response.StatusCode)
	if err != nil {
		status = "cut"
	}
	c.record.add(event{kind: "answered", id: id, at: time.Now(), where: address, status: status})
}
