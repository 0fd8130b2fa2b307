// Package capacitytest helps benchmarks measure the figures that package capacity
// needs: CPU time, memory, and bytes on connections. The released binary does not
// contain it.
package capacitytest

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/capacity"
)

// Report prints one figure to standard output as a line of JSON.
func Report(tb testing.TB, name string, value float64, unit capacity.Unit) {
	tb.Helper()
	line, err := json.Marshal(capacity.Figure{Name: name, Value: value, Unit: unit})
	if err != nil {
		tb.Fatal(err)
	}
	_, _ = fmt.Fprintf(os.Stdout, "\n%s\n", line)
}

// CPUTime returns the user and system time that this process has used.
func CPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// CPUPerRun calls f n times and returns the CPU time of one call in microseconds.
// The time includes the garbage collections that the calls cause.
func CPUPerRun(n int, f func(i int)) float64 {
	runtime.GC()
	begin := CPUTime()
	for i := range n {
		f(i)
	}
	return (CPUTime() - begin).Seconds() * 1e6 / float64(n)
}

// MemoryInUse returns the bytes of heap and stacks that are in use after a
// garbage collection.
func MemoryInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // frees what finalizers and sync.Pool retained
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// Listener counts the bytes received and sent on the connections it accepts.
type Listener struct {
	net.Listener
	Received, Sent atomic.Int64
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, listener: l}, nil
}

type countingConn struct {
	net.Conn
	listener *Listener
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.Sent.Add(int64(n))
	return n, err
}

// Unwrap implements peer.Unwrapper.
func (c *countingConn) Unwrap() net.Conn { return c.Conn }
