package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(ctx context.Context, d *deployment, trouble bool) (bool, error){
	"restart": playRestart,
	"lookup":  playLookup,
	"cut":     playCut,
	"cold":    playCold,
}

// The route of all cases.
const (
	host    = "jepu9.example"
	prefix  = "/lepu270/"
	service = "huvo11a"
	tenant  = "sese880"
	key     = "9anu6wsjnbanfqasnmgk"
)

// document is the operator's configuration with one route and one tenant.
func document(routeType string, ratePerS, burst float64) map[string]any {
	return map[string]any{"version": 7, "resources": []map[string]any{
		{
			"resourceKind": "routes", "metadata": map[string]any{"name": "r-e9itfrz"},
			"spec": map[string]any{
				"host": host, "prefix": prefix, "type": routeType, "timeout": "2000ms", "targetLatency": "400ms", "priority": 2,
				"service": service, "maxAttempts": 2, "public": false, "sticky": false, "allowedRegions": []string{},
			},
		},
		{
			"resourceKind": "services", "metadata": map[string]any{"name": service},
			"spec": map[string]any{
				"healthPath": "/healthz", "maxConns": 330, "protocol": "h1", "tls": false, "coldStart": "3s", "coldPerS": 9.6,
			},
		},
		{
			"resourceKind": "tenants", "metadata": map[string]any{"name": tenant},
			"spec": map[string]any{
				"apiKeys": []string{key}, "priority": 1, "ratePerS": ratePerS, "burst": burst, "allowedRegions": []string{},
			},
		},
		{
			"resourceKind": "limits", "metadata": map[string]any{},
			"spec": map[string]any{
				"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeout": "3000ms", "idleTimeout": "15000ms",
			},
		},
	}}
}

// startServers starts servers of the service in each zone.
func (d *deployment) startServers(ctx context.Context, perZone, slots int, work time.Duration) error {
	for zone := range d.regions {
		for n := range perZone {
			s, err := newServer(d.record, fmt.Sprintf("i-%s-%d", zone, n), service, zone, slots, work)
			if err != nil {
				return err
			}
			go s.register(ctx, d.table)
		}
	}
	return nil
}

// startAll starts all instances and waits until they are ready.
func (d *deployment) startAll() error {
	for _, i := range d.instances {
		if err := i.start(); err != nil {
			return err
		}
	}
	return d.waitReady(15 * time.Second)
}

// newClient returns a client in the zone of an instance, which asks the instance first and the others after it.
func (i *instance) newClient() *client {
	directories := []string{i.ports["directory"]}
	for _, other := range i.instances {
		if other != i && len(directories) < 3 {
			directories = append(directories, other.ports["directory"])
		}
	}
	c := newClient(i.record, i.zone, i.region, directories)
	c.host, c.path, c.method, c.key = host, prefix, http.MethodGet, key
	return c
}

// quotaBound is what the rule QUOTA allows within quotaWindow.
func quotaBound(ratePerS, burst float64) (bound float64, window time.Duration) {
	return (ratePerS*5+burst)*(1+0.1) + 20, 5 * time.Second
}

// checkQuota reports whether more requests ran within quotaWindow than the rule allows.
func (d *deployment) checkQuota(ratePerS, burst float64) bool {
	bound, window := quotaBound(ratePerS, burst)
	count, at := busiest(d.record.spans(func(e event) bool { return e.kind == "run" && e.tenant == tenant }), window)
	d.record.note("QUOTA: at most %d requests ran within %v, from %.3f s on; the rule allows %.0f",
		count, window, at.Sub(d.record.started).Seconds(), bound)
	return float64(count) > bound
}

// waitForRead waits until an instance reads a table.
func (d *deployment) waitForRead(instance, name string) {
	read := make(chan struct{}, 1)
	d.table.mu.Lock()
	d.table.onRead = func(by, of string) {
		if by == instance && of == name {
			select {
			case read <- struct{}{}:
			default:
			}
		}
	}
	d.table.mu.Unlock()
	<-read
	d.record.note("%s has read the %s", instance, name)
}

// playRestart stops one of two instances as planned and starts it again, some times over, while a tenant sends several times
// what its limit allows. Rule: QUOTA.
func playRestart(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	const (
		ratePerS, burst = 179, 179
		demand          = ratePerS * 7.5 / 1.6 // a hot tenant: 7.5 times its usual, which is its rate divided by 1.6
		restarts        = 6
		downtime        = 2500 * time.Millisecond
		pause           = 5 * time.Second
	)
	d.regions = map[string]string{"maribor-a": "stajerska", "maribor-b": "stajerska"}
	first, err := d.newInstance("front-maribor-a-1", "maribor-a", 2000)
	if err != nil {
		return false, err
	}
	second, err := d.newInstance("front-maribor-b-1", "maribor-b", 1000)
	if err != nil {
		return false, err
	}
	d.table.put("op", "config", document("safe", ratePerS, burst))
	if err := d.startServers(ctx, 4, 6, 25*time.Millisecond); err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	for i, fraction := range []float64{0.8, 0.2} {
		c := d.instances[i].newClient()
		c.perSecond.Store(int64(fraction * demand))
		go c.run(ctx)
	}
	time.Sleep(10 * time.Second)
	for n := 0; n < restarts; n++ {
		if trouble {
			first.signal(syscall.SIGTERM)
			<-first.exited
			d.record.note("%s has ended", first.name)
			time.Sleep(downtime)
			d.waitForRead(second.name, "members")
			if err := first.start(); err != nil {
				return false, err
			}
		}
		time.Sleep(pause)
		if err := d.checkRunning(); err != nil {
			return false, err
		}
	}
	return d.checkQuota(ratePerS, burst), nil
}

// playLookup kills one instance for good, and another one later, which is started again at once. Rule: DRAIN, answers of the
// directory that name a machine which was killed.
func playLookup(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	const (
		contact = 4 * time.Second
		margin  = contact + 3*time.Second
		allowed = 3
		// interval is that of thirty clients of a zone, each of which asks every 2 s.
		interval = 66 * time.Millisecond
	)
	d.regions = map[string]string{"ljubljana-a": "osrednja", "ljubljana-b": "osrednja"}
	for _, at := range [][2]string{
		{"front-ljubljana-a-1", "ljubljana-a"}, {"front-ljubljana-a-2", "ljubljana-a"}, {"front-ljubljana-b-1", "ljubljana-b"},
	} {
		if _, err := d.newInstance(at[0], at[1], 1000); err != nil {
			return false, err
		}
	}
	removed, restarted := d.instances[1], d.instances[2]
	d.table.put("op", "config", document("safe", 0, 0))
	if err := d.startServers(ctx, 2, 6, 25*time.Millisecond); err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	for _, i := range []*instance{d.instances[0], restarted} {
		c := i.newClient()
		c.perSecond.Store(50)
		go c.run(ctx)
	}
	time.Sleep(10 * time.Second)
	removedAt := time.Now()
	if trouble {
		removed.signal(syscall.SIGKILL)
	}
	time.Sleep(15 * time.Second)
	if trouble {
		restarted.signal(syscall.SIGKILL)
		<-restarted.exited
		time.Sleep(500 * time.Millisecond)
		if err := restarted.start(); err != nil {
			return false, err
		}
	}
	startedAt := time.Now()
	wrong := 0
	for h := (&http.Client{}); time.Since(startedAt) < 15*time.Second; time.Sleep(interval) {
		addresses, _, err := resolve(ctx, h, restarted.ports["directory"], host, restarted.region, restarted.zone)
		if err != nil {
			continue
		}
		now := time.Now()
		answer := fmt.Sprintf("names %d", len(addresses))
		if trouble && slices.Contains(addresses, removed.ports["front"]) {
			answer += ", among them " + removed.name
			// The restarted instance is in touch from contact after its start on.
			if now.Sub(removedAt) > margin && now.Sub(startedAt) > contact {
				answer += " (counts)"
				wrong++
			}
		}
		d.record.add(event{kind: "directory", id: restarted.name, where: answer, at: now})
	}
	if err := d.checkRunning(); err != nil {
		return false, err
	}
	d.record.note("DRAIN: %d answers of %s named %s later than %v after its end; the rule allows %d",
		wrong, restarted.name, removed.name, margin, allowed)
	return wrong > allowed, nil
}

// playCut cuts one instance off from the store and the other instances, and adds an instance in its region meanwhile, while a
// tenant sends several times what its limit allows. Rule: QUOTA.
func playCut(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	const (
		ratePerS, burst = 179, 179
		demand          = ratePerS * 7.5 / 1.6 // a hot tenant: 7.5 times its usual, which is its rate divided by 1.6
		cutTime         = 12 * time.Second
	)
	d.regions = map[string]string{"ljubljana-a": "osrednja", "ljubljana-b": "osrednja", "maribor-a": "stajerska"}
	for _, at := range [][2]string{{"front-ljubljana-a-1", "ljubljana-a"}, {"front-ljubljana-b-1", "ljubljana-b"}, {"front-maribor-a-1", "maribor-a"}} {
		if _, err := d.newInstance(at[0], at[1], 1000); err != nil {
			return false, err
		}
	}
	cut, added, other := d.instances[0], d.instances[1], d.instances[2]
	d.table.put("op", "config", document("safe", ratePerS, burst))
	if err := d.startServers(ctx, 4, 6, 25*time.Millisecond); err != nil {
		return false, err
	}
	for _, i := range []*instance{cut, other} {
		if err := i.start(); err != nil {
			return false, err
		}
	}
	if err := d.waitReady(15 * time.Second); err != nil {
		return false, err
	}
	for i, fraction := range []float64{0.35, 0.35, 0.3} {
		c := d.instances[i].newClient()
		c.perSecond.Store(int64(fraction * demand))
		go c.run(ctx)
	}
	time.Sleep(20 * time.Second)
	if trouble {
		cut.cutOff()
	}
	if err := added.start(); err != nil {
		return false, err
	}
	time.Sleep(cutTime)
	if trouble {
		cut.reconnect()
	}
	time.Sleep(8 * time.Second)
	if err := d.checkRunning(); err != nil {
		return false, err
	}
	return d.checkQuota(ratePerS, burst), nil
}

// playCold adds a server, which is cold after its start, and makes it cold again before that has passed. Rule: FAILBACK.
func playCold(ctx context.Context, d *deployment, trouble bool) (bool, error) {
	const (
		coldStart = 3 * time.Second
		again     = 2 * time.Second
		perZone   = 100
		bound     = 9.6*1.5 + 5
		work      = 60 * time.Millisecond
	)
	d.regions = map[string]string{"ljubljana-a": "osrednja", "ljubljana-b": "osrednja", "maribor-a": "stajerska"}
	for _, at := range [][2]string{
		{"front-ljubljana-a-1", "ljubljana-a"}, {"front-ljubljana-b-1", "ljubljana-b"}, {"front-maribor-a-1", "maribor-a"},
	} {
		if _, err := d.newInstance(at[0], at[1], 1000); err != nil {
			return false, err
		}
	}
	d.table.put("op", "config", document("unsafe", 0, 0))
	if err := d.startServers(ctx, 1, 6, work); err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	for _, i := range d.instances {
		c := i.newClient()
		c.method = http.MethodPost
		c.perSecond.Store(perZone)
		go c.run(ctx)
	}
	time.Sleep(10 * time.Second)
	const name = "i-added"
	added, err := newServer(d.record, name, service, "ljubljana-a", 6, work)
	if err != nil {
		return false, err
	}
	added.makeCold(d.table, coldStart)
	go added.register(ctx, d.table)
	time.Sleep(again)
	if trouble {
		added.makeCold(d.table, coldStart)
	}
	time.Sleep(10 * time.Second)
	if err := d.checkRunning(); err != nil {
		return false, err
	}
	d.record.note("%d requests were answered 502", d.record.count("answered", "502"))
	count, at := busiest(d.record.spans(func(e event) bool { return e.kind == "cold" && e.where == name }), time.Second)
	d.record.note("FAILBACK: at most %d requests reached the cold server within 1 s, from %.3f s on; the rule allows %.1f",
		count, at.Sub(d.record.started).Seconds(), bound)
	return float64(count) > bound, nil
}
