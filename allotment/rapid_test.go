package allotment_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bluebellhold/allotment"
)

// fault is one disturbance of a schedule.
type fault struct {
	Kind               string
	Target             int
	DurationMillis     int
	DelayMillis        int
	RestartDelayMillis int
}

func faultSchedules(kinds ...string) *rapid.Generator[[]fault] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Kind:               rapid.SampledFrom(kinds).Draw(t, "kind"),
			Target:             rapid.IntRange(0, 9).Draw(t, "target"),
			DurationMillis:     rapid.IntRange(100, 20_000).Draw(t, "millis"),
			DelayMillis:        rapid.IntRange(0, 4_000).Draw(t, "quiet"),
			RestartDelayMillis: rapid.IntRange(0, 8_000).Draw(t, "replace"),
		}
	}), 1, 6)
}

// inflict starts a fault; faults overlap when their duration exceeds the quiet time after them.
func (w *simulation) injectFault(f fault) {
	p := w.processes[f.Target%len(w.processes)]
	d := time.Duration(f.DurationMillis) * time.Millisecond
	switch f.Kind {
	case "outage":
		w.outageUntil = w.now.Add(d)
	case "partition":
		p.partitioned = true
		w.schedule(d, func() { p.partitioned = false })
	case "pause":
		w.pause(p, d)
	case "stop":
		p.stopped = true
		w.post(p, allotment.StopRequested{})
		w.announceMembers()
	default:
		w.replaceProcess(p, f)
	}
}

// replace kills a process and starts another one under the same name and address, the same name or a new name.
func (w *simulation) replaceProcess(p *process, f fault) {
	if p.killed {
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
	w.schedule(time.Duration(f.RestartDelayMillis)*time.Millisecond, func() {
		if !w.isRunning(name) {
			w.startProcess(name, address)
		}
	})
}

func (w *simulation) isRunning(name string) bool {
	return slices.ContainsFunc(w.processes, func(p *process) bool {
		return string(p.member.Instance) == name && !p.killed
	})
}

// load lets callers ask every process at seeded times, in turns far more and far less than the limits allow.
func (w *simulation) generateLoad() {
	mean := 8 * time.Millisecond
	if w.loadStopped {
		return
	}
	if w.now.Sub(epoch)/(2*time.Second)%2 == 1 {
		mean = 400 * time.Millisecond
	}
	w.schedule(time.Duration(w.random.ExpFloat64()*float64(mean)), func() {
		p := w.processes[min(w.random.IntN(len(w.processes)), w.random.IntN(len(w.processes)))]
		limit := w.limits[w.random.IntN(len(w.limits))]
		n := 1 + w.random.IntN(2)
		if w.take(p, limit, n) {
			w.returnLater(p, limit, n)
		}
		w.generateLoad()
	})
}

func (w *simulation) returnLater(p *process, limit allotment.Limit, n int) {
	_, slots := limit.Amount.(allotment.Concurrency)
	if slots || w.chance(0.05) {
		w.schedule(time.Duration(w.random.ExpFloat64()*700)*time.Millisecond, func() { w.returnAmount(p, limit, n) })
	}
}

func checkSchedules(t *testing.T, kinds ...string) {
	t.Parallel()
	config := allotment.Config{MaxLeaseTerm: 20 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, rapid.Uint64().Draw(t, "seed"), config, smallRate, largeRate, slotLimit, regionalSlots)
		w.lossProbability = float64(rapid.IntRange(0, 15).Draw(t, "loss")) / 100
		for i := range rapid.IntRange(2, 4).Draw(t, "instances") {
			w.startProcess(fmt.Sprint("instance-", i), fmt.Sprint("127.0.0.1:", i))
		}
		faults := faultSchedules(kinds...).Draw(t, "faults")
		w.run(2 * time.Second)
		w.generateLoad()
		w.run(time.Second)
		for _, f := range faults {
			w.injectFault(f)
			w.run(time.Duration(f.DelayMillis) * time.Millisecond)
		}
		w.run(7 * time.Second)
		w.requireRecovery()
	})
}

// requireRecovery lets all faults end and demands that live instances hold everything after the long term.
func (w *simulation) requireRecovery() {
	w.outageUntil, w.lossProbability, w.loadStopped = w.now, 0, true
	running := slices.ContainsFunc(w.processes, func(p *process) bool { return !p.killed && !p.stopped })
	for _, p := range w.processes {
		p.partitioned = false
	}
	w.run(45 * time.Second)
	for _, limit := range w.limits {
		if running {
			w.requireFullyHeld(limit)
		}
	}
}

// Guards against spending beyond the limits, and against shares that stay lost, when processes, the table and
// messages fail alone and together.
func TestFaultsKeepLimits(t *testing.T) {
	process := []string{"pause", "restart", "move", "rename", "stop"}
	table := []string{"outage", "partition", "restart", "pause"}
	t.Run("process", func(t *testing.T) { checkSchedules(t, process...) })
	t.Run("table", func(t *testing.T) { checkSchedules(t, table...) })
	t.Run("mixed", func(t *testing.T) { checkSchedules(t, append(table, process...)...) })
}
