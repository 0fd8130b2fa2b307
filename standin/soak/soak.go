// Package soak runs a deployment of real processes on loopback addresses, injects
// faults from outside the processes, and checks the promises of the service from what
// callers and upstreams see. One seed determines the whole schedule of faults,
// planned changes and changes of the service document.
package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
	"github.com/amaranthweir/amaranthweir/standin/deploy"
)

// The domains and the number of instances of each group.
var domains = []string{"a", "b", "c"}

const (
	instancesPerGroup = 3
	// replicationLag, statementTime, slots and connections configure the instances.
	replicationLag = 20 * time.Millisecond
	statementTime  = 2 * time.Millisecond
	slots          = 4
	connections    = 60
)

// Config describes a run.
type Config struct {
	Seed     uint64
	Duration time.Duration // how long faults are injected
	// Hosts, ControlHosts, Groups and Callers are the size of the deployment.
	Hosts, ControlHosts, Groups, Callers int
	GroupCuts                            bool   // plays NewGroupCuts instead of NewSchedule
	Bin                                  string // folder of the binaries
	// Out is the folder in which the folder of the run is created. The folder holds
	// the schedule, the logs and the report, and is kept if the run fails.
	Out string
	// Keep keeps the folder of the run also if no promise was broken.
	Keep bool
	// Settle is how long the load goes on after the deployment is whole again. Changes
	// of the document are checked after the last fault only if it is above the time
	// within which they must be in force.
	Settle time.Duration
	// Progress receives a line for each step and each event, unless it is nil.
	Progress io.Writer
}

// DefaultSettle lets each accepted change be checked.
const DefaultSettle = inForceBound + 2*observeInterval

func (c Config) size() Size {
	s := Size{Duration: c.Duration, ControlHosts: c.ControlHosts}
	for i := range c.Hosts {
		s.Hosts = append(s.Hosts, fmt.Sprintf("%s-%d", domains[i%len(domains)], 1+i/len(domains)))
	}
	for g := range c.Groups {
		group := fmt.Sprintf("group-%d", g+1)
		s.Groups = append(s.Groups, group)
		for n := range instancesPerGroup {
			s.Instances = append(s.Instances, Instance{group + "-" + domains[(g+n)%len(domains)], group})
		}
	}
	return s
}

// run is the state of a run.
type run struct {
	cfg      Config
	size     Size
	folder   string
	events   []Event
	cluster  *deploy.Cluster
	network  *network
	recorder *recorder
	injector *injector
}

// Run runs the schedule of the seed and returns the report. It ends the processes
// that it started before it returns. An error means that the run could not be
// carried out; broken promises are part of the report.
func Run(ctx context.Context, cfg Config) (rep *Report, err error) {
	if err := os.MkdirAll(cfg.Out, 0o700); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp(cfg.Out, fmt.Sprintf("seed-%d-", cfg.Seed))
	if err != nil {
		return nil, err
	}
	size := cfg.size()
	r := &run{cfg: cfg, size: size, folder: folder, events: cfg.events(), recorder: newRecorder()}
	if err := os.WriteFile(filepath.Join(folder, "schedule.txt"), []byte(FormatSchedule(cfg.Seed, r.events)), 0o600); err != nil {
		return nil, err
	}
	defer func() {
		if err == nil && rep.Verdict() == nil && !cfg.Keep {
			err = os.RemoveAll(folder)
		}
	}()
	if err := r.prepare(); err != nil {
		return nil, err
	}
	defer r.network.close()
	defer func() { err = errors.Join(err, r.stop()) }()
	rep, err = r.play(ctx)
	if err != nil {
		return nil, fmt.Errorf("seed %d, logs in %s: %w", cfg.Seed, folder, err)
	}
	return rep, r.writeReport(rep)
}

// prepare writes the document and creates the deployment and the network between
// its processes.
func (r *run) prepare() error {
	document := filepath.Join(r.folder, "document.json")
	if err := os.WriteFile(document, r.document(1, ""), 0o600); err != nil {
		return err
	}
	r.network = newNetwork()
	cfg := deploy.Config{
		Bin: r.cfg.Bin, Work: r.folder, Logs: r.folder, Document: document, Service: service,
		Domains: domains, Groups: r.size.Groups, Instances: instancesPerGroup,
		Hosts: r.cfg.Hosts, ControlHosts: r.cfg.ControlHosts, Slots: slots, Connections: connections,
		Lag: replicationLag, StatementTime: statementTime, PeerAddress: r.network.peerAddress,
	}
	cluster, err := newCluster(cfg)
	if err != nil {
		return err
	}
	r.cluster = cluster
	r.injector = newInjector(cluster, r.network)
	return r.network.connect(cluster, r.size)
}

// The ports of the processes lie below the range from which the system assigns ports to
// outgoing connections, so that none is taken while a process is started again.
const (
	firstPort    = 12000
	portCount    = 8000
	portAttempts = 50
)

// newCluster creates the deployment on consecutive ports that are free.
func newCluster(cfg deploy.Config) (c *deploy.Cluster, err error) {
	for range portAttempts {
		cfg.PortBase = firstPort + rand.IntN(portCount)
		if c, err = deploy.New(cfg); err == nil {
			return c, nil
		}
	}
	return nil, err
}

// stop resumes suspended processes, so that they can stop, and stops all.
func (r *run) stop() error {
	r.injector.resumeAll()
	r.network.heal()
	return r.cluster.Stop()
}

// play starts the deployment, runs the schedule beside the load and checks the
// history.
func (r *run) play(ctx context.Context) (*Report, error) {
	if err := r.cluster.Start(ctx); err != nil {
		return nil, err
	}
	if err := r.writeProcesses(); err != nil {
		return nil, err
	}
	keys, err := r.cluster.RoutingKeys(ctx, classOnce, "key-", keysPerGroup)
	if err != nil {
		return nil, err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	r.recorder.start()
	l := startLoad(loadCtx, r, keys)
	o := startObservers(loadCtx, r)
	scheduleErr := r.inject(ctx)
	healed := r.recorder.now()
	recoverErr := r.recover(ctx, healed)
	stopLoad()
	l.wait()
	o.wait()
	if err := errors.Join(ctx.Err(), scheduleErr, r.cluster.Ended()); err != nil {
		return nil, err
	}
	if recoverErr != nil {
		r.recorder.problem("the deployment did not recover: %v", recoverErr)
	}
	rows, err := r.rows(ctx)
	if err != nil {
		return nil, err
	}
	return newReport(r, r.recorder.history(rows, healed)), nil
}

// rows reads the rows of the primaries. A group may be without a primary for
// recoverBound.
func (r *run) rows(ctx context.Context) (rows map[ledger.Row]int, err error) {
	for end := r.recorder.now() + recoverBound; r.recorder.now() < end; {
		if rows, err = r.cluster.Rows(ctx, tables...); err == nil {
			return rows, nil
		}
		if err := deploy.Sleep(ctx, observeInterval); err != nil {
			return nil, err
		}
	}
	return nil, fmt.Errorf("the rows cannot be read %v after the load: %w", recoverBound, err)
}

// recover waits until the deployment is whole again and every group has acknowledged a
// write since the last fault, or recoverBound has passed, and lets the load go on.
func (r *run) recover(ctx context.Context, healed time.Duration) error {
	if err := r.cluster.WaitReady(ctx); err != nil {
		return err
	}
	r.progress("whole again after %v", (r.recorder.now() - healed).Round(time.Millisecond))
	for r.recorder.now() < healed+recoverBound && !r.recorder.servedSince(healed, r.size.Groups) {
		if err := deploy.Sleep(ctx, observeInterval); err != nil {
			return err
		}
	}
	return deploy.Sleep(ctx, r.cfg.Settle)
}

// writeProcesses writes the process ids by name into the folder of the run.
func (r *run) writeProcesses() error {
	ids, err := json.Marshal(r.cluster.ProcessIDs())
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(r.folder, processesFile), ids, 0o600)
}

// processesFile holds the ids of the processes that a run started first.
const processesFile = "processes.json"

func (r *run) progress(format string, args ...any) {
	if r.cfg.Progress != nil {
		fmt.Fprintf(r.cfg.Progress, "%8s  %s\n", r.recorder.now().Round(time.Millisecond), fmt.Sprintf(format, args...))
	}
}

// Schedule returns the text of the schedule of the run.
func (c Config) Schedule() string { return FormatSchedule(c.Seed, c.events()) }

// events returns the schedule of the run.
func (c Config) events() []Event {
	if c.GroupCuts {
		return NewGroupCuts(c.Seed, c.size())
	}
	return NewSchedule(c.Seed, c.size())
}
