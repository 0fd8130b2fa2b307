// Package deploy runs a complete deployment on the local machine for the demo and
// the measurements: each host and each stand-in upstream is a process with loopback
// addresses.
package deploy

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/api"
)

const (
	// readyTimeout bounds each wait for a state of the deployment.
	readyTimeout = 30 * time.Second
	// pollInterval is the pause between two checks of that state.
	pollInterval = 50 * time.Millisecond
	// apiTimeout bounds one HTTP request to a host or a stand-in.
	apiTimeout = 3 * time.Second
)

// Config describes a deployment.
type Config struct {
	Bin      string // folder of the binaries
	Work     string // folder for settings and data
	Logs     string // folder for the output of the processes
	Document string // file of the service document
	Service  string // the service that the document describes
	Domains  []string
	// Groups are the groups to run. Each has Instances instances in different
	// failure domains.
	Groups    []string
	Instances int
	Hosts     int
	// ControlHosts is the number of control hosts. They are the first hosts.
	ControlHosts int
	// Slots, Connections, Lag and StatementTime configure each instance.
	// StatementTime is how long a statement holds its slot.
	Slots, Connections int
	Lag, StatementTime time.Duration
	// Progress receives a line for each step of the start, unless it is nil.
	Progress io.Writer
	// PortBase is the first port to use, or 0 to find free ports.
	PortBase int
	// PeerAddress returns the address under which the settings of one host list the
	// peer address of another. If it is nil, that is the address on which the other
	// host listens.
	PeerAddress func(from, to Host) string
	// AnnounceAddresses are the addresses to which the instances announce themselves.
	// If empty, these are the HTTP addresses of the hosts.
	AnnounceAddresses []string
}

func (c *Config) validate() error {
	switch {
	case c.Hosts < 1 || c.ControlHosts < 1 || c.ControlHosts > c.Hosts:
		return fmt.Errorf("%d control hosts among %d hosts", c.ControlHosts, c.Hosts)
	case len(c.Domains) == 0 || len(c.Groups) == 0:
		return errors.New("no failure domain or no group")
	case c.Instances < 1 || c.Instances > len(c.Domains):
		return fmt.Errorf("%d instances of a group in %d failure domains", c.Instances, len(c.Domains))
	}
	return nil
}

// Host is a host of the deployment and the addresses on which it listens.
type Host struct {
	Name, Domain                            string
	CallerAddress, PeerAddress, HTTPAddress string
	API                                     *api.Client
}

// Upstream is a stand-in instance and the addresses on which it listens.
type Upstream struct {
	Group, Name, Domain     string
	Address, ControlAddress string
	Primary                 bool // whether it starts as the primary of its group
}

// Cluster is a deployment and its processes.
type Cluster struct {
	Config
	Hosts     []Host
	Upstreams []Upstream
	key       string

	mu        sync.Mutex // guards processes
	processes map[string]*process
}

// New assigns names, failure domains and addresses. Start starts the processes.
func New(cfg Config) (*Cluster, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	count := 3*cfg.Hosts + 2*len(cfg.Groups)*cfg.Instances
	addresses, err := freeAddresses(count, cfg.PortBase)
	if err != nil {
		return nil, err
	}
	next := func() string {
		a := addresses[0]
		addresses = addresses[1:]
		return a
	}
	key := make([]byte, 32)
	_, _ = rand.Read(key) // rand.Read never fails
	c := &Cluster{Config: cfg, key: hex.EncodeToString(key), processes: map[string]*process{}}
	for i := range cfg.Hosts {
		domain := cfg.Domains[i%len(cfg.Domains)]
		h := Host{
			Name: fmt.Sprintf("%s-%d", domain, 1+i/len(cfg.Domains)), Domain: domain,
			CallerAddress: next(), PeerAddress: next(), HTTPAddress: next(),
		}
		h.API = api.NewClient(h.HTTPAddress, apiTimeout)
		c.Hosts = append(c.Hosts, h)
	}
	for g, group := range cfg.Groups {
		for n := range cfg.Instances {
			domain := cfg.Domains[(g+n)%len(cfg.Domains)]
			c.Upstreams = append(c.Upstreams, Upstream{
				Group: group, Name: group + "-" + domain, Domain: domain,
				Address: next(), ControlAddress: next(), Primary: n == 0,
			})
		}
	}
	return c, nil
}

// settings returns the content of the settings file of host i.
func (c *Cluster) settings(i int) ([]byte, error) {
	type peer struct {
		Host        string `json:"host"`
		PeerAddress string `json:"peer_address"`
	}
	type control struct {
		DataFolder string `json:"data_folder"`
		Voters     []peer `json:"voters"`
	}
	h := c.Hosts[i]
	s := struct {
		Host          string   `json:"host"`
		Domain        string   `json:"failure_domain"`
		CallerAddress string   `json:"caller_address"`
		PeerAddress   string   `json:"peer_address"`
		HTTPAddress   string   `json:"http_address"`
		Join          []string `json:"join"`
		Control       *control `json:"control,omitempty"`
		SessionKeys   []string `json:"session_keys"`
		LogLevel      string   `json:"log_level"`
	}{h.Name, h.Domain, h.CallerAddress, h.PeerAddress, h.HTTPAddress, nil, nil, []string{c.key}, "info"}
	var voters []peer
	for _, v := range c.Hosts[:c.ControlHosts] {
		if v.Name == h.Name {
			voters = append(voters, peer{v.Name, v.PeerAddress})
			continue
		}
		address := v.PeerAddress
		if c.PeerAddress != nil {
			address = c.PeerAddress(h, v)
		}
		voters = append(voters, peer{v.Name, address})
		s.Join = append(s.Join, address)
	}
	if i < c.ControlHosts {
		s.Control = &control{c.DataFolder(h.Name), voters}
	}
	return json.MarshalIndent(s, "", "  ")
}

// Start starts all processes, applies the document and waits until the deployment
// is ready.
func (c *Cluster) Start(ctx context.Context) error {
	c.progress("starting %d hosts and %d stand-ins in %d failure domains\n", len(c.Hosts), len(c.Upstreams), len(c.Domains))
	for i := range c.Hosts {
		if err := c.startHost(i); err != nil {
			return err
		}
	}
	for _, u := range c.Upstreams {
		if err := c.startUpstream(u); err != nil {
			return err
		}
	}
	if err := c.Apply(ctx); err != nil {
		return err
	}
	begin := time.Now()
	if err := c.WaitReady(ctx); err != nil {
		return err
	}
	c.progress("ready %v after the document was applied\n", time.Since(begin).Round(time.Millisecond))
	return nil
}

func (c *Cluster) progress(format string, args ...any) {
	if c.Progress != nil {
		fmt.Fprintf(c.Progress, format, args...)
	}
}

func (c *Cluster) startHost(i int) error {
	h := c.Hosts[i]
	settings, err := c.settings(i)
	if err != nil {
		return err
	}
	file := filepath.Join(c.Work, h.Name+".jsonc")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	if i < c.ControlHosts {
		if err := os.MkdirAll(c.DataFolder(h.Name), 0o700); err != nil {
			return err
		}
	}
	return c.spawn(h.Name, "amaranthweir", "serve", "--settings", file)
}

// DataFolder returns the data folder of a control host.
func (c *Cluster) DataFolder(host string) string { return filepath.Join(c.Work, host) }

func (c *Cluster) startUpstream(u Upstream) error {
	args := []string{
		"--group", u.Group, "--instance", u.Name, "--domain", u.Domain,
		"--address", u.Address, "--control-address", u.ControlAddress, "--lag", c.Lag.String(), "--work", c.StatementTime.String(),
		"--slots", strconv.Itoa(c.Slots), "--connections", strconv.Itoa(c.Connections),
	}
	if u.Primary {
		args = append(args, "--primary")
	}
	for _, other := range c.Upstreams {
		if other.Group == u.Group && other.Name != u.Name {
			args = append(args, "--peers", other.ControlAddress)
		}
	}
	entries := c.AnnounceAddresses
	if len(entries) == 0 {
		entries = c.HTTPAddresses()
	}
	for _, address := range entries {
		args = append(args, "--entries", address)
	}
	return c.spawn(u.Name, "standin", args...)
}

func (c *Cluster) spawn(name, program string, args ...string) error {
	p, err := startProcess(c.Logs, name, filepath.Join(c.Bin, program), args...)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[name] = p
	return nil
}

// process returns the process of a host or an instance, or nil if none was started
// or it was killed.
func (c *Cluster) process(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// remove removes a process, so that it counts as stopped by the deployment. It
// returns nil if there is none.
func (c *Cluster) remove(name string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.processes[name]
	delete(c.processes, name)
	return p
}

// ProcessIDs returns the process ids of the running hosts and instances by name.
func (c *Cluster) ProcessIDs() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := map[string]int{}
	for name, p := range c.processes {
		if !p.ended() {
			ids[name] = p.cmd.Process.Pid
		}
	}
	return ids
}

// Ended returns an error that names a host or an instance whose process has exited
// although the deployment did not stop it.
func (c *Cluster) Ended() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, p := range c.processes {
		if p.ended() {
			return fmt.Errorf("%s exited unexpectedly: %w", name, p.err)
		}
	}
	return nil
}

// Apply applies the document with amaranthweir apply, as operators do. It retries
// until a host accepts the document.
func (c *Cluster) Apply(ctx context.Context) error {
	return c.retry(ctx, "the document is applied", func(context.Context) error {
		return c.RunCommand("apply", "--host", c.Hosts[len(c.Hosts)-1].HTTPAddress, c.Document)
	})
}

// RunCommand runs an amaranthweir command that terminates, and waits for it. The
// output goes to the log file of the command.
func (c *Cluster) RunCommand(args ...string) error {
	p, err := startProcess(c.Logs, args[0], filepath.Join(c.Bin, "amaranthweir"), args...)
	if err != nil {
		return err
	}
	<-p.done
	return errors.Join(p.err, p.log.Close())
}

// retry calls attempt until it succeeds, a process of the deployment ends, or
// readyTimeout passes. The error names the process that ended, or else the
// condition that was not met.
func (c *Cluster) retry(ctx context.Context, condition string, attempt func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := attempt(ctx)
		if err == nil {
			return nil
		}
		if err := c.Ended(); err != nil {
			return err
		}
		if Sleep(ctx, pollInterval) != nil {
			return fmt.Errorf("gave up waiting until %s: %w", condition, err)
		}
	}
}

// Kill kills the process of a host or an instance.
func (c *Cluster) Kill(name string) error {
	p := c.remove(name)
	if p == nil {
		return fmt.Errorf("no process runs %q", name)
	}
	return errors.Join(p.kill(), p.log.Close())
}

// Terminate sends SIGTERM to the process of a host or an instance and waits until it
// has exited.
func (c *Cluster) Terminate(name string) error {
	p := c.remove(name)
	if p == nil {
		return fmt.Errorf("no process runs %q", name)
	}
	return p.stop()
}

// Restart starts a stopped host with its settings, or a stopped instance as a
// replica.
func (c *Cluster) Restart(name string) error {
	for i, h := range c.Hosts {
		if h.Name == name {
			return c.startHost(i)
		}
	}
	for _, u := range c.Upstreams {
		if u.Name == name {
			u.Primary = false
			return c.startUpstream(u)
		}
	}
	return fmt.Errorf("no host and no stand-in is called %q", name)
}

// ExpectFailure starts a stopped host, which must end with an error within d.
func (c *Cluster) ExpectFailure(name string, d time.Duration) error {
	if err := c.Restart(name); err != nil {
		return err
	}
	p := c.remove(name)
	defer p.log.Close()
	select {
	case <-p.done:
		if p.err == nil {
			return fmt.Errorf("%s ended without an error", name)
		}
		return nil
	case <-time.After(d):
		return errors.Join(fmt.Errorf("%s started although it must not", name), p.kill())
	}
}

// Signal sends a signal to the process of a host or an instance.
func (c *Cluster) Signal(name string, s os.Signal) error {
	p := c.process(name)
	if p == nil {
		return fmt.Errorf("no process runs %q", name)
	}
	return p.signal(s)
}

// SetFaults sets fault switches of an instance. The switches have the form of a
// URL query.
func (c *Cluster) SetFaults(ctx context.Context, name, switches string) error {
	for _, u := range c.Upstreams {
		if u.Name != name {
			continue
		}
		body, err := request(ctx, http.MethodPost, "http://"+u.ControlAddress+"/fault?"+switches)
		if err != nil {
			return err
		}
		return body.Close()
	}
	return fmt.Errorf("no stand-in is called %q", name)
}

// Stop stops all processes in three stages: hosts that are not control hosts,
// control hosts, stand-ins. The processes of a stage stop concurrently.
func (c *Cluster) Stop() error {
	var stages [3][]string
	for i, h := range c.Hosts {
		if i < c.ControlHosts {
			stages[1] = append(stages[1], h.Name)
		} else {
			stages[0] = append(stages[0], h.Name)
		}
	}
	for _, u := range c.Upstreams {
		stages[2] = append(stages[2], u.Name)
	}
	var err error
	for _, names := range stages {
		err = errors.Join(err, c.stopAll(names))
	}
	return err
}

func (c *Cluster) stopAll(names []string) error {
	errs := make([]error, len(names))
	var wait sync.WaitGroup
	for i, name := range names {
		if p := c.process(name); p != nil {
			wait.Go(func() { errs[i] = p.stop() })
		}
	}
	wait.Wait()
	return errors.Join(errs...)
}
