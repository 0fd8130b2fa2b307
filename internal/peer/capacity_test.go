package peer

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/capacity"
	"github.com/amaranthweir/amaranthweir/internal/capacity/capacitytest"
	"github.com/amaranthweir/amaranthweir/internal/request"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// echoOwner answers each request with the messages of the request.
type echoOwner struct{ request.Executor }

func (echoOwner) Execute(_ context.Context, r *request.Request, s request.Sink) (request.Result, error) {
	return request.Result{TxStatus: request.TxIdle}, s.Answer(r.Messages)
}

func (echoOwner) Position(context.Context, table.InstanceID) (request.PositionSample, error) {
	return request.PositionSample{Mark: table.Mark{Term: 1, Position: 123456789}}, nil
}

func (echoOwner) EndSession(request.SessionID) {}

// startCountingServer starts a Server behind a listener that counts bytes.
func startCountingServer(b *testing.B) *capacitytest.Listener {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	l := &capacitytest.Listener{Listener: socket}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &Server{Owner: echoOwner{}, Log: log, Methods: map[string]Method{
		"heartbeat": func(context.Context, []byte) (any, error) { return struct{}{}, nil },
	}}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	b.Cleanup(func() {
		stop()
		<-done
	})
	return l
}

// bytesPerRun returns the average number of bytes that one run of f sends and
// receives on l, over n runs.
func bytesPerRun(l *capacitytest.Listener, n int, f func()) float64 {
	before := l.Sent.Load() + l.Received.Load()
	for range n {
		f()
	}
	return float64(l.Sent.Load()+l.Received.Load()-before) / float64(n)
}

// BenchmarkCapacityLinks measures the memory, CPU time and traffic of idle links
// between hosts, with both ends in one process.
func BenchmarkCapacityLinks(b *testing.B) {
	const links = 400
	const seconds = 4
	l := startCountingServer(b)
	before := capacitytest.MemoryInUse()
	var remotes []*Remote
	for range links {
		r := NewRemote(l.Addr().String(), DefaultTiming(), nil)
		_, err := r.Position(b.Context(), "instance")
		assert.NilError(b, err)
		remotes = append(remotes, r)
	}
	capacitytest.Report(b, "link_memory_both_ends", (capacitytest.MemoryInUse()-before)/links, capacity.Bytes)
	begin, bytes := capacitytest.CPUTime(), l.Sent.Load()+l.Received.Load()
	time.Sleep(seconds * time.Second)
	used := (capacitytest.CPUTime() - begin).Seconds() * 1e6
	capacitytest.Report(b, "link_idle_cpu_both_ends", used/links/seconds, capacity.Microsecond)
	bytes = l.Sent.Load() + l.Received.Load() - bytes
	capacitytest.Report(b, "link_idle_bytes", float64(bytes)/links/seconds, capacity.Bytes)
	for _, r := range remotes {
		r.Close()
	}
}

// BenchmarkCapacityCalls measures the bytes and CPU time of a forwarded request,
// of a position query and of a control call without its body.
func BenchmarkCapacityCalls(b *testing.B) {
	const calls = 5000
	l := startCountingServer(b)
	r := NewRemote(l.Addr().String(), DefaultTiming(), nil)
	defer r.Close()
	req := &request.Request{
		ID: "host-0001-1", Session: request.SessionID{Host: "host-0001", Incarnation: 1 << 60, Number: 7},
		Service: "service-001", Class: "class-1", Caller: "clerk", Instance: "group-0001-1", Group: "group-0001",
		Messages: make([]byte, 100), Deadline: time.Now().Add(time.Hour),
	}
	var sink discardSink
	execute := func() {
		_, err := r.Execute(b.Context(), req, &sink)
		assert.NilError(b, err)
	}
	execute()
	capacitytest.Report(b, "forward_bytes", bytesPerRun(l, 100, execute), capacity.Bytes)
	capacitytest.Report(b, "forward_cpu_both_ends", capacitytest.CPUPerRun(calls, func(int) { execute() }), capacity.Microsecond)
	position := func() {
		_, err := r.Position(b.Context(), "group-0001-1")
		assert.NilError(b, err)
	}
	capacitytest.Report(b, "position_bytes", bytesPerRun(l, 100, position), capacity.Bytes)
	capacitytest.Report(b, "position_cpu_both_ends", capacitytest.CPUPerRun(calls, func(int) { position() }), capacity.Microsecond)
	var c ControlClient
	defer c.Close()
	call := func() {
		assert.NilError(b, c.Call(b.Context(), l.Addr().String(), "heartbeat", struct{}{}, &struct{}{}))
	}
	call()
	capacitytest.Report(b, "call_bytes", bytesPerRun(l, 100, call)-2*float64(len("{}")), capacity.Bytes)
	capacitytest.Report(b, "call_cpu_both_ends", capacitytest.CPUPerRun(calls, func(int) { call() }), capacity.Microsecond)
}

type discardSink struct{}

func (*discardSink) Answer([]byte) error { return nil }
