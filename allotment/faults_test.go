package allotment_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bluebellhold/allotment"
)

// fault is one injected fault of a schedule.
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

// injectFault starts a fault; faults overlap when the duration of one exceeds the delay after it.
func (sim *simulation) injectFault(f fault) {
	p := sim.processes[f.Target%len(sim.processes)]
	d := time.Duration(f.DurationMillis) * time.Millisecond
	switch f.Kind {
	case "outage":
		sim.outageUntil = sim.now.Add(d)
	case "partition":
		p.partitioned = true
		sim.schedule(d, func() { p.partitioned = false })
	case "pause":
		sim.pause(p, d)
	case "stop":
		p.stopped = true
		sim.post(p, allotment.StopRequested{})
		sim.announceMembers()
	default:
		sim.replaceProcess(p, f)
	}
}

// replaceProcess kills a process and starts another one: under the same name and address, under the same name at a new
// address ("move"), or under a new name and address ("rename").
func (sim *simulation) replaceProcess(p *process, f fault) {
	if p.killed {
		return
	}
	sim.kill(p)
	name, address := string(p.member.Instance), p.member.Address
	switch f.Kind {
	case "move":
		address = fmt.Sprint("127.0.1.1:", len(sim.processes))
	case "rename":
		name = fmt.Sprint("instance-", len(sim.processes)%10)
		address = fmt.Sprint("127.0.1.1:", len(sim.processes))
	}
	sim.schedule(time.Duration(f.RestartDelayMillis)*time.Millisecond, func() {
		if !sim.isRunning(name) {
			sim.startProcess(name, address)
		}
	})
}

func (sim *simulation) isRunning(name string) bool {
	return slices.ContainsFunc(sim.processes, func(p *process) bool {
		return string(p.member.Instance) == name && !p.killed
	})
}

// generateLoad sends requests to all processes at seeded times, alternately far above and far below the limits.
func (sim *simulation) generateLoad() {
	meanInterval := 8 * time.Millisecond
	if sim.loadStopped {
		return
	}
	if sim.now.Sub(epoch)/(2*time.Second)%2 == 1 {
		meanInterval = 400 * time.Millisecond
	}
	sim.schedule(time.Duration(sim.random.ExpFloat64()*float64(meanInterval)), func() {
		p := sim.processes[min(sim.random.IntN(len(sim.processes)), sim.random.IntN(len(sim.processes)))]
		limit := sim.limits[sim.random.IntN(len(sim.limits))]
		n := 1 + sim.random.IntN(2)
		if sim.take(p, limit, n) {
			sim.returnLater(p, limit, n)
		}
		sim.generateLoad()
	})
}

func (sim *simulation) returnLater(p *process, limit allotment.Limit, n int) {
	_, concurrent := limit.Amount.(allotment.Concurrency)
	if concurrent || sim.chance(0.05) {
		sim.schedule(time.Duration(sim.random.ExpFloat64()*700)*time.Millisecond, func() { sim.returnAmount(p, limit, n) })
	}
}

func checkSchedules(t *testing.T, kinds ...string) {
	t.Parallel()
	config := allotment.Config{MaxLeaseTerm: 20 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.Uint64().Draw(t, "seed"), config, smallRate, largeRate, slotLimit, regionalSlots)
		sim.lossProbability = float64(rapid.IntRange(0, 15).Draw(t, "loss")) / 100
		for i := range rapid.IntRange(2, 4).Draw(t, "instances") {
			sim.startProcess(fmt.Sprint("instance-", i), fmt.Sprint("127.0.0.1:", i))
		}
		faults := faultSchedules(kinds...).Draw(t, "faults")
		sim.run(2 * time.Second)
		sim.generateLoad()
		sim.run(time.Second)
		for _, f := range faults {
			sim.injectFault(f)
			sim.run(time.Duration(f.DelayMillis) * time.Millisecond)
		}
		sim.run(7 * time.Second)
		sim.requireRecovery()
	})
}

// requireRecovery ends all faults and requires that live instances hold all limits after the maximum lease term.
func (sim *simulation) requireRecovery() {
	sim.outageUntil, sim.lossProbability, sim.loadStopped = sim.now, 0, true
	anyRunning := slices.ContainsFunc(sim.processes, func(p *process) bool { return !p.killed && !p.stopped })
	for _, p := range sim.processes {
		p.partitioned = false
	}
	sim.run(45 * time.Second)
	for _, limit := range sim.limits {
		if anyRunning {
			sim.requireFullyHeld(limit)
		}
	}
}

// Guards against spending above the limits, and against shares that are never reclaimed, under single and combined
// faults of processes, the table and messages.
func TestFaultsKeepLimits(t *testing.T) {
	processFaults := []string{"pause", "restart", "move", "rename", "stop"}
	tableFaults := []string{"outage", "partition", "restart", "pause"}
	t.Run("process", func(t *testing.T) { checkSchedules(t, processFaults...) })
	t.Run("table", func(t *testing.T) { checkSchedules(t, tableFaults...) })
	t.Run("mixed", func(t *testing.T) { checkSchedules(t, append(tableFaults, processFaults...)...) })
}
