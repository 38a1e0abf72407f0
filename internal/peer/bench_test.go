package peer_test

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"bluebellhold/id"
	"bluebellhold/internal/peer"
	"bluebellhold/internal/wire"
)

// cpuTime returns the user and system CPU time of the process.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkHeartbeatExchange measures the CPU time and bytes of one heartbeat and its reply, for both ends together.
func BenchmarkHeartbeatExchange(b *testing.B) {
	replied := make(chan struct{}, 1)
	heartbeat := &wire.Envelope{Payload: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{
		Sequence: 1 << 40, Incarnation: 1 << 40, Epoch: 1 << 20,
	}}}
	reply := &wire.Envelope{Payload: &wire.Envelope_HeartbeatReply{HeartbeatReply: &wire.HeartbeatReply{
		Sequence: 1 << 40, Incarnation: 1 << 40, Epoch: 1 << 20, Age: int64(time.Second),
	}}}
	sender := startInstance(b, "a", func(c *peer.Config) {
		c.OnMessage = func(id.Instance, *wire.Envelope) { replied <- struct{}{} }
	})
	var responder *testInstance
	responder = startInstance(b, "b", func(c *peer.Config) {
		c.OnMessage = func(id.Instance, *wire.Envelope) { responder.Send("a", reply) }
	})
	sender.SetPeers(members(responder))
	waitForSession(b, sender, responder)
	startBytes := sender.count("written") + responder.count("written")
	startCPUTime := cpuTime(b)
	exchanges := 0
	for b.Loop() {
		sender.Send("b", heartbeat)
		<-replied
		exchanges++
	}
	b.ReportMetric(float64(cpuTime(b)-startCPUTime)/float64(exchanges), "cpu-ns/op")
	b.ReportMetric(float64(sender.count("written")+responder.count("written")-startBytes)/float64(exchanges), "wire-B/op")
}

// BenchmarkIdleSession measures the memory and goroutines of one end of an idle session.
func BenchmarkIdleSession(b *testing.B) {
	const sessions = 100
	memoryInUse := func() uint64 {
		runtime.GC()
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc + stats.StackInuse
	}
	for b.Loop() {
		hub := startInstance(b, "hub", nil)
		var spokes []*testInstance
		for i := range sessions {
			spokes = append(spokes, startInstance(b, id.Instance(fmt.Sprintf("spoke-%d", i)), nil))
		}
		startMemory, startGoroutines := memoryInUse(), runtime.NumGoroutine()
		for _, s := range spokes {
			s.SetPeers(members(hub))
		}
		eventually(b, func() bool { return hub.count("sessions") == sessions && hub.count("handshakes") == 0 }, "sessions")
		b.ReportMetric(float64(memoryInUse()-startMemory)/(2*sessions), "B/session-end")
		b.ReportMetric(float64(runtime.NumGoroutine()-startGoroutines)/(2*sessions), "goroutines/session-end")
		for _, s := range spokes {
			s.Close()
		}
		hub.Close()
	}
}

// BenchmarkMessageSize measures the encoded sizes of the messages that the capacity plan counts, without length prefix
// and yamux header.
func BenchmarkMessageSize(b *testing.B) {
	const limitName = "organisation/organisation-0000"
	for _, message := range []struct {
		name     string
		envelope *wire.Envelope
	}{
		{"loanrequest", &wire.Envelope{Payload: &wire.Envelope_LoanRequest{LoanRequest: &wire.LoanRequest{
			Id: 1 << 60, Incarnation: 1 << 60, Limit: limitName, Amount: 12.5,
		}}}},
		{"loanreply", &wire.Envelope{Payload: &wire.Envelope_LoanReply{LoanReply: &wire.LoanReply{
			Id: 1 << 60, Limit: limitName, Amount: 12.5, Term: int64(time.Second),
		}}}},
		{"epochannounced", &wire.Envelope{Payload: &wire.Envelope_EpochAnnounced{EpochAnnounced: &wire.EpochAnnounced{
			Epoch: 1 << 20, Digest: make([]byte, 32),
		}}}},
	} {
		b.Run(message.name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				body, err := proto.Marshal(message.envelope)
				require.NoError(b, err)
				size = len(body)
			}
			b.ReportMetric(float64(size), "encoded-B")
		})
	}
}
