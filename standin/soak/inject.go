package soak

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/amaranthweir/amaranthweir/standin/deploy"
)

const (
	// linkDelay is the delay of each chunk on a delayed link.
	linkDelay = 150 * time.Millisecond
	// tornBytes is the length of an unfinished record: shorter than the header of a
	// record.
	tornBytes = 5
	// corruptTimeout is how long a host with a changed log may take to end.
	corruptTimeout = 5 * time.Second
)

// injector applies events to the processes and links of a deployment.
type injector struct {
	cluster *deploy.Cluster
	network *network

	mu     sync.Mutex
	busy   map[string]*sync.Mutex // by target: events on one target come one after another
	starts map[string]int         // restarts by host
}

func newInjector(c *deploy.Cluster, n *network) *injector {
	return &injector{cluster: c, network: n, busy: map[string]*sync.Mutex{}, starts: map[string]int{}}
}

// inject runs the schedule and returns when the last event is over.
func (r *run) inject(ctx context.Context) error {
	var wait sync.WaitGroup
	errs := make([]error, len(r.events))
	op := newOperator(r)
	for i, e := range r.events {
		wait.Go(func() {
			if deploy.Sleep(ctx, e.At-r.recorder.now()) != nil {
				return
			}
			if err := r.runEvent(ctx, op, i, e); err != nil && ctx.Err() == nil {
				errs[i] = fmt.Errorf("%s of %s: %w", e.Kind, e.Target, err)
			}
		})
	}
	wait.Wait()
	return errors.Join(errs...)
}

// runEvent runs one event to its end.
func (r *run) runEvent(ctx context.Context, op *operator, number int, e Event) error {
	r.progress("%s %s, for %v", e.Kind, e.Target, e.For.Round(time.Millisecond))
	span := Span{Event: e, Begin: r.recorder.now()}
	defer func() {
		span.End = r.recorder.now()
		r.recorder.add(func(h *History) { h.Faults = append(h.Faults, span) })
	}()
	if !e.Kind.isFault() {
		return op.run(ctx, number, e)
	}
	lock := r.injector.targetLock(e.Target)
	lock.Lock()
	defer lock.Unlock()
	if err := r.injector.begin(ctx, e); err != nil {
		return err
	}
	sleepErr := deploy.Sleep(ctx, e.For)
	return errors.Join(sleepErr, r.injector.end(ctx, e))
}

func (j *injector) targetLock(target string) *sync.Mutex {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.busy[target] == nil {
		j.busy[target] = &sync.Mutex{}
	}
	return j.busy[target]
}

// begin begins a fault.
func (j *injector) begin(ctx context.Context, e Event) error {
	switch e.Kind {
	case HostPause, InstPause:
		return j.cluster.Signal(e.Target, syscall.SIGSTOP)
	case HostAbort:
		return j.cluster.Signal(e.Target, syscall.SIGTERM)
	case HostStop:
		return j.cluster.Terminate(e.Target)
	case HostKill, HostEmpty, HostTorn, HostCorrupt, InstKill:
		return j.cluster.Kill(e.Target)
	case InstLeave:
		return j.cluster.SetFaults(ctx, e.Target, "leaving=true")
	default:
		j.beginLink(e.Kind, j.network.links[e.Target])
		return nil
	}
}

func (j *injector) beginLink(k Kind, l *link) {
	switch k {
	case LinkDelay:
		l.update(func() { l.delay = linkDelay })
	case LinkReset:
		l.reset()
	case LinkCutTo:
		l.update(func() { l.cutTo = true })
	case LinkCutFrom:
		l.update(func() { l.cutFrom = true })
	case LinkSilence:
		l.silence()
	}
}

// end ends a fault.
func (j *injector) end(ctx context.Context, e Event) error {
	switch e.Kind {
	case HostPause, InstPause:
		return j.cluster.Signal(e.Target, syscall.SIGCONT)
	case HostTorn:
		if err := appendTorn(j.cluster.DataFolder(e.Target)); err != nil {
			return err
		}
		return j.restart(e.Target)
	case HostCorrupt:
		return errors.Join(j.startCorrupt(e.Target), j.restart(e.Target))
	case HostEmpty:
		if err := os.RemoveAll(j.cluster.DataFolder(e.Target)); err != nil {
			return err
		}
		return j.restart(e.Target)
	case HostAbort:
		return errors.Join(j.cluster.Kill(e.Target), j.restart(e.Target))
	case HostKill, HostStop, InstKill:
		return j.restart(e.Target)
	case InstLeave:
		return j.cluster.SetFaults(ctx, e.Target, "leaving=false")
	default:
		j.network.links[e.Target].heal()
		return nil
	}
}

// resumeAll resumes the processes that may be paused.
func (j *injector) resumeAll() {
	for name := range j.cluster.ProcessIDs() {
		_ = j.cluster.Signal(name, syscall.SIGCONT) // it may have ended
	}
}

func (j *injector) restart(name string) error {
	j.mu.Lock()
	j.starts[name]++
	j.mu.Unlock()
	return j.cluster.Restart(name)
}

// startsOf returns how often a process was started again.
func (j *injector) startsOf(name string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.starts[name]
}

// startCorrupt starts a stopped control host with a changed log and expects it to end
// with an error. It then removes the data folder.
func (j *injector) startCorrupt(name string) error {
	folder := j.cluster.DataFolder(name)
	if err := corrupt(folder); err != nil {
		return err
	}
	if err := j.cluster.ExpectFailure(name, corruptTimeout); err != nil {
		return err
	}
	return os.RemoveAll(folder)
}

// corrupt changes a byte in the first third of the last segment of a log, where further
// records follow.
func corrupt(folder string) error {
	segment, err := lastSegment(folder)
	if err != nil {
		return err
	}
	data, err := os.ReadFile(segment)
	if err != nil {
		return err
	}
	data[len(data)/3] ^= 0xff
	return os.WriteFile(segment, data, 0o600)
}

func lastSegment(folder string) (string, error) {
	segments, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil || len(segments) == 0 {
		return "", errors.Join(err, fmt.Errorf("no log in %s", folder))
	}
	return slices.Max(segments), nil
}

// appendTorn appends the beginning of a record to the last segment of a log, as a
// crash in the middle of a write leaves it.
func appendTorn(folder string) error {
	segment, err := lastSegment(folder)
	if err != nil {
		return err
	}
	file, err := os.OpenFile(segment, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	torn := make([]byte, tornBytes)
	_, _ = rand.Read(torn) // rand.Read never fails
	_, err = file.Write(torn)
	return errors.Join(err, file.Close())
}
