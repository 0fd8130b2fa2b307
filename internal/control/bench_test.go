package control

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/system/figuretest"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
)

// discardTransport drops all messages.
type discardTransport struct{}

func (discardTransport) Send(table.HostID, []byte) {}

// diskConfig configures a deployment of one host on the real file system.
func diskConfig(folder string, snapshotEvery uint64) ServerConfig {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return ServerConfig{
		Host: "h1", DataFolder: folder, Voters: []table.HostID{"h1"}, Transport: discardTransport{},
		Log: log, SnapshotEvery: snapshotEvery,
	}
}

// applyDocuments applies the given number of document changes on a new host and
// closes its log. The documents are of eight services and have 2 KiB each. 50
// changes share a sync.
func applyDocuments(b *testing.B, cfg ServerConfig, changes int) {
	b.Helper()
	s, err := NewServer(cfg)
	assert.NilError(b, err)
	r := s.replica
	for len(r.node.Members().Voters) == 0 || !r.node.CaughtUp() {
		assert.NilError(b, r.tick())
		assert.NilError(b, r.flush())
	}
	body := make([]byte, 2<<10)
	for i := range changes {
		data, err := put(fmt.Sprint("s", i%8), uint64(i/8)+1, string(body)).encode()
		assert.NilError(b, err)
		done := func(res Result, err error) { assert.NilError(b, err); assert.NilError(b, res.Err()) }
		r.propose(proposal{data: data, done: done})
		if i%50 == 49 || i == changes-1 {
			assert.NilError(b, r.flush())
			r.deliverAnswers()
		}
	}
	assert.NilError(b, r.wal.Close())
}

// BenchmarkRecovery measures the time in which a control host restores its state
// after a restart, by the number of changes in its history.
func BenchmarkRecovery(b *testing.B) {
	const bound = 1000 // ms
	for _, snapshotEvery := range []uint64{0, 1 << 40} {
		for _, changes := range []int{500, 2000, 8000} {
			name := fmt.Sprintf("control_recovery_%d_changes", changes)
			if snapshotEvery != 0 {
				name += "_without_snapshots"
			}
			b.Run(name, func(b *testing.B) {
				cfg := diskConfig(b.TempDir(), snapshotEvery)
				applyDocuments(b, cfg, changes)
				b.ResetTimer()
				for range b.N {
					s, err := NewServer(cfg)
					assert.NilError(b, err)
					assert.Equal(b, s.Revision(), uint64(changes))
					assert.NilError(b, s.replica.wal.Close())
				}
				figuretest.Report(b, name, float64(b.Elapsed().Microseconds())/1000/float64(b.N), "ms", bound)
			})
		}
	}
}

// runLeader runs a one-host deployment on the real file system until the end of
// the benchmark. It returns once that host is the leader.
func runLeader(b *testing.B) *Server {
	s, err := NewServer(diskConfig(b.TempDir(), 0))
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(context.WithoutCancel(b.Context()))
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	b.Cleanup(func() {
		cancel()
		assert.Check(b, <-done)
	})
	for _, _, leased := s.Leader(); !leased; _, _, leased = s.Leader() {
		<-s.Changed()
	}
	return s
}

// BenchmarkPropose measures one change at a time on one host with a disk.
func BenchmarkPropose(b *testing.B) {
	s := runLeader(b)
	b.ResetTimer()
	for i := range b.N {
		r, err := s.Propose(b.Context(), put("s", uint64(i)+1, "body"))
		assert.NilError(b, err)
		assert.NilError(b, r.Err())
	}
	figuretest.Report(b, "control_propose", float64(b.Elapsed().Microseconds())/1000/float64(b.N), "ms", 50)
}

// BenchmarkIdleSecond measures the CPU time of an idle leader per second, with
// one batch per tick.
func BenchmarkIdleSecond(b *testing.B) {
	var now time.Duration
	cfg := diskConfig(b.TempDir(), 0)
	cfg.Now = func() time.Duration { return now }
	s, err := NewServer(cfg)
	assert.NilError(b, err)
	second := func() {
		for range time.Second / DefaultTickInterval {
			now += DefaultTickInterval
			assert.NilError(b, s.processBatch(nil))
		}
	}
	second()
	_, _, leased := s.Leader()
	assert.Assert(b, leased)
	b.ResetTimer()
	for range b.N {
		second()
	}
	figuretest.Report(b, "control_idle_cpu", float64(b.Elapsed().Microseconds())/1000/float64(b.N), "ms/s", 5)
}

// BenchmarkView measures taking a snapshot of the state, and a change after it.
func BenchmarkView(b *testing.B) {
	s := NewState()
	for i := range 8800 {
		s.Apply(Command{BeginTerm: &BeginTerm{Group: table.GroupName(fmt.Sprint(i)), Term: 1, Candidate: "i"}})
	}
	b.Run("view", func(b *testing.B) {
		for range b.N {
			_ = s.View()
		}
	})
	b.Run("view_and_change_of_8800_groups", func(b *testing.B) {
		for i := range b.N {
			_ = s.View()
			s.Apply(Command{BeginTerm: &BeginTerm{Group: "0", Term: table.Term(i) + 2, Candidate: "i"}})
		}
	})
}

// TestIdleTraffic counts the messages and bytes between control hosts when
// nothing changes. It runs in virtual time, so every run has the same counts.
func TestIdleTraffic(t *testing.T) {
	const seconds = 60
	for _, hosts := range []int{3, 5, 13} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(hosts)
			n.startAll(t)
			defer n.crashAll(t)
			leader := n.leader(t).cfg.Host
			time.Sleep(time.Second)
			n.mu.Lock()
			n.sent = map[table.HostID]traffic{}
			n.mu.Unlock()
			time.Sleep(seconds * time.Second)
			n.mu.Lock()
			defer n.mu.Unlock()
			name := fmt.Sprintf("control_idle_leader_%d_hosts", hosts)
			figuretest.Report(t, name+"_messages", float64(n.sent[leader].messages)/seconds, "1/s", float64(21*(hosts-1)))
			figuretest.Report(t, name+"_bytes", float64(n.sent[leader].bytes)/seconds, "B/s", float64(1000*(hosts-1)))
			for host, sent := range n.sent {
				if host != leader {
					assert.Assert(t, sent.bytes/seconds <= 1000, "%s sends %d B/s", host, sent.bytes/seconds)
				}
			}
		})
	}
}

// TestLeaderGap stops the leader 60 times, by a crash or gracefully, and
// measures in virtual time how long no host holds a lease.
func TestLeaderGap(t *testing.T) {
	const kills = 60
	cases := []struct {
		election int
		graceful bool
		median   float64 // bound in ms
		longest  float64 // bound in ms
	}{
		{15, false, 300, 450},
		{DefaultElectionTicks, false, 600, 900},
		{60, false, 1200, 1800},
		{DefaultElectionTicks, true, 50, 50},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(3)
			n.configure = func(cfg *ServerConfig) { cfg.ElectionTicks = c.election }
			n.startAll(t)
			defer n.crashAll(t)
			var gaps []time.Duration
			for range kills {
				host := n.leader(t).cfg.Host
				n.stopServer(t, host, c.graceful)
				stopped := time.Now()
				n.leader(t)
				gaps = append(gaps, time.Since(stopped))
				n.start(t, host)
				time.Sleep(5 * time.Second)
			}
			slices.Sort(gaps)
			name := fmt.Sprintf("control_leader_gap_election_%d_ms_graceful_%t", c.election*10, c.graceful)
			figuretest.Report(t, name+"_p50", float64(gaps[kills/2].Milliseconds()), "ms", c.median)
			figuretest.Report(t, name+"_max", float64(gaps[kills-1].Milliseconds()), "ms", c.longest)
		})
	}
}

// TestProposeTime measures the time of one change on three hosts whose disks
// need 10 ms per sync, in virtual time.
func TestProposeTime(t *testing.T) {
	withLeader(t, func(t *testing.T, n *network, _ *Server) {
		const sync = 10 * time.Millisecond
		for _, host := range n.voters {
			n.folders[host].SetSyncTime(sync)
		}
		n.proposeUntilAnswered(t, put("s", 1, "a"))
		begin := time.Now()
		for version := uint64(2); version <= 21; version++ {
			assert.NilError(t, n.proposeUntilAnswered(t, put("s", version, "a")).Err())
		}
		figuretest.Report(t, "control_propose_3_hosts_sync_10_ms", float64(time.Since(begin).Milliseconds())/20, "ms", 15)
	})
}

// BenchmarkDelta measures a delta after one change of 100 documents of 2 KiB,
// compared with the complete state.
func BenchmarkDelta(b *testing.B) {
	s := NewState()
	for i := range 100 {
		s.Apply(put(fmt.Sprint("s", i), 1, string(make([]byte, 2<<10))))
	}
	follower := s.View()
	s.Apply(put("s1", 2, string(make([]byte, 2<<10))))
	for _, since := range []uint64{0, follower.Revision} {
		b.Run(fmt.Sprint("since ", since), func(b *testing.B) {
			for range b.N {
				delta, err := s.View().EncodeDelta(since)
				assert.NilError(b, err)
				_, err = follower.ApplyDelta(delta)
				assert.NilError(b, err)
				b.ReportMetric(float64(len(delta)), "B/delta")
			}
		})
	}
}

// BenchmarkProposeTogether is BenchmarkPropose with 64 concurrent operators.
func BenchmarkProposeTogether(b *testing.B) {
	s := runLeader(b)
	var services atomic.Uint64
	b.SetParallelism(64 / runtime.GOMAXPROCS(0))
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		service := fmt.Sprint(services.Add(1))
		for version := uint64(1); pb.Next(); version++ {
			_, err := s.Propose(b.Context(), put(service, version, "body"))
			assert.Check(b, err)
		}
	})
}
