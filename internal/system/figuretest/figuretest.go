// Package figuretest prints the figures of benchmarks as JSON lines and fails a
// benchmark whose figure exceeds its bound.
package figuretest

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"testing"
)

// figure is one measured value with its bound.
type figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	Bound float64 `json:"bound"`
	Pass  bool    `json:"pass"`
}

// Report prints one figure. It fails tb if value exceeds bound.
func Report(tb testing.TB, name string, value float64, unit string, bound float64) {
	tb.Helper()
	line, err := json.Marshal(figure{name, value, unit, bound, value <= bound})
	if err != nil {
		tb.Fatal(err)
	}
	_, _ = fmt.Fprintln(os.Stdout, string(line))
	if value > bound {
		tb.Errorf("%s: %g %s, bound %g", name, value, unit, bound)
	}
}

// PerLoop reports the mean time of one iteration of b in nanoseconds.
func PerLoop(b *testing.B, name string, bound float64) {
	b.Helper()
	Report(b, name, float64(b.Elapsed().Nanoseconds())/float64(b.N), "ns", bound)
}

// Heap reports the heap memory, in MiB, that the result of build retains after
// garbage collection.
func Heap[T any](b *testing.B, name string, bound float64, build func() T) {
	b.Helper()
	var before, after runtime.MemStats
	var retained float64
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		built := build()
		runtime.GC()
		runtime.ReadMemStats(&after)
		retained = (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / (1 << 20)
		runtime.KeepAlive(built)
	}
	Report(b, name, retained, "MiB", bound)
}
