package allotment_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bluebellhold/allotment"
)

// fault is one disturbance of a schedule.
type fault struct {
	Kind    string
	Target  int
	Millis  int
	Quiet   int
	Replace int
}

func drawFaults(kinds ...string) *rapid.Generator[[]fault] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Kind:    rapid.SampledFrom(kinds).Draw(t, "kind"),
			Target:  rapid.IntRange(0, 9).Draw(t, "target"),
			Millis:  rapid.IntRange(100, 20_000).Draw(t, "millis"),
			Quiet:   rapid.IntRange(0, 4_000).Draw(t, "quiet"),
			Replace: rapid.IntRange(0, 8_000).Draw(t, "replace"),
		}
	}), 1, 6)
}

// inflict starts a fault; faults overlap when their duration exceeds the quiet time after them.
func (w *world) inflict(f fault) {
	p := w.processes[f.Target%len(w.processes)]
	d := time.Duration(f.Millis) * time.Millisecond
	switch f.Kind {
	case "outage":
		w.outage = w.now.Add(d)
	case "partition":
		p.cut = true
		w.after(d, func() { p.cut = false })
	case "pause":
		w.pause(p, d)
	case "stop":
		w.post(p, allotment.StopRequested{})
	default:
		w.replace(p, f)
	}
}

// replace kills a process and starts another one under the same name and address, the same name or a new name.
func (w *world) replace(p *process, f fault) {
	if p.dead {
		return
	}
	w.kill(p)
	name, address := string(p.member.Instance), p.member.Address
	switch f.Kind {
	case "move":
		address = fmt.Sprint("127.0.1.1:", len(w.processes))
	case "rename":
		name = fmt.Sprint("instance-", len(w.processes)%10)
		address = fmt.Sprint("127.0.1.1:", len(w.processes))
	}
	w.after(time.Duration(f.Replace)*time.Millisecond, func() {
		if w.running(name) {
			return
		}
		w.start(name, address)
	})
}

func (w *world) running(name string) bool {
	for _, p := range w.processes {
		if string(p.member.Instance) == name && !p.dead {
			return true
		}
	}
	return false
}

// load lets callers ask every process at seeded times, more than the limits allow.
func (w *world) load() {
	w.after(time.Duration(w.random.ExpFloat64()*8)*time.Millisecond, func() {
		p := w.processes[min(w.random.IntN(len(w.processes)), w.random.IntN(len(w.processes)))]
		limit := w.limits[w.random.IntN(len(w.limits))]
		n := 1 + w.random.IntN(2)
		if w.take(p, limit, n) {
			w.settleLater(p, limit, n)
		}
		w.load()
	})
}

func (w *world) settleLater(p *process, limit allotment.Limit, n int) {
	_, slots := limit.Amount.(allotment.Concurrent)
	if slots || w.chance(0.05) {
		w.after(time.Duration(w.random.ExpFloat64()*700)*time.Millisecond, func() { w.finish(p, limit, n) })
	}
}

func checkSchedules(t *testing.T, kinds ...string) {
	t.Parallel()
	config := allotment.Config{LongTerm: 20 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), config, small, large, slots, region)
		w.loss = float64(rapid.IntRange(0, 15).Draw(t, "loss")) / 100
		for i := range rapid.IntRange(2, 4).Draw(t, "instances") {
			w.start(fmt.Sprint("instance-", i), fmt.Sprint("127.0.0.1:", i))
		}
		faults := drawFaults(kinds...).Draw(t, "faults")
		w.run(2 * time.Second)
		w.load()
		w.run(time.Second)
		for _, f := range faults {
			w.inflict(f)
			w.run(time.Duration(f.Quiet) * time.Millisecond)
		}
		w.run(7 * time.Second)
	})
}

// Guards against spending beyond the limits when holders die, pause and are replaced.
func TestProcessFaultsKeepLimits(t *testing.T) {
	checkSchedules(t, "pause", "restart", "move", "rename", "stop")
}

// Guards against spending beyond the limits when the table is unreachable for some or all.
func TestTableFaultsKeepLimits(t *testing.T) {
	checkSchedules(t, "outage", "partition", "restart", "pause")
}

// Guards against spending beyond the limits when all kinds of faults coincide.
func TestMixedFaultsKeepLimits(t *testing.T) {
	checkSchedules(t, "outage", "partition", "pause", "restart", "move", "rename", "stop")
}
