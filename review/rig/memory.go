package rig

import (
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// memoryInterval is how often the platform looks at the memory of a process.
const memoryInterval = 10 * time.Millisecond

// restartDelay is the time after which the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// residentMb returns the resident memory of the machine's process, or zero if it has ended.
func (m *Machine) residentMb() float64 {
	body, err := os.ReadFile("/proc/" + strconv.Itoa(m.Pid()) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(body))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return float64(pages*os.Getpagesize()) / (1 << 20)
}

// KeepMemory does what the platform does: it kills the process when it exceeds MemoryMb and starts it again, until stop is
// closed. It returns the times of the kills and the highest memory seen.
func (m *Machine) KeepMemory(stop <-chan struct{}, onKill func(at time.Time)) (peak float64) {
	for {
		select {
		case <-stop:
			return peak
		case <-time.After(memoryInterval):
		}
		used := m.residentMb()
		peak = max(peak, used)
		if used <= MemoryMb {
			continue
		}
		m.rig.Say("machine %s: the process uses %.0f MiB of %d and is killed", m.Name, used, MemoryMb)
		onKill(time.Now())
		exited := m.Exited()
		m.Signal(syscall.SIGKILL)
		<-exited
		time.Sleep(restartDelay)
		if err := m.Start(); err != nil {
			m.rig.Say("machine %s: not started again: %v", m.Name, err)
			return peak
		}
	}
}
