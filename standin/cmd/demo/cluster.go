package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/amaranthweir/amaranthweir/internal/api"
)

var (
	domains = []string{"coventry", "leicester", "derby"}
	groups  = []string{"ledger-1", "ledger-2"}
)

const (
	service      = "ledger"
	hostCount    = 6
	controlCount = 3 // the first hosts
	// readyTimeout bounds the wait for the whole system.
	readyTimeout = 30 * time.Second
	// askInterval is the pause between two looks at the system.
	askInterval = 50 * time.Millisecond
	// apiTimeout bounds one question to a host.
	apiTimeout = 3 * time.Second
)

// host is one host of the system and where it listens.
type host struct {
	name, domain       string
	caller, peer, http string
	api                *api.Client
}

// upstream is one stand-in and where it listens.
type upstream struct {
	group, name, domain string
	address, control    string
	primary             bool
}

// cluster is the whole system.
type cluster struct {
	flags     flags
	work      string
	key       string
	hosts     []host
	upstreams []upstream
	processes map[string]*process
}

// newCluster lays the system out. Nothing runs yet.
func newCluster(f flags, work string) (*cluster, error) {
	count := 3*hostCount + 2*len(groups)*len(domains)
	addresses, err := freeAddresses(count, f.PortBase)
	if err != nil {
		return nil, err
	}
	next := func() string {
		a := addresses[0]
		addresses = addresses[1:]
		return a
	}
	key := make([]byte, 32)
	_, _ = rand.Read(key) // never fails
	c := &cluster{flags: f, work: work, key: hex.EncodeToString(key), processes: map[string]*process{}}
	for i := range hostCount {
		domain := domains[i%len(domains)]
		h := host{
			name: fmt.Sprintf("%s-%d", domain, 1+i/len(domains)), domain: domain,
			caller: next(), peer: next(), http: next(),
		}
		h.api = api.NewClient(h.http, apiTimeout)
		c.hosts = append(c.hosts, h)
	}
	for g, group := range groups {
		for d, domain := range domains {
			c.upstreams = append(c.upstreams, upstream{
				group: group, name: group + "-" + domain, domain: domain,
				address: next(), control: next(), primary: d == g%len(domains),
			})
		}
	}
	return c, nil
}

// settings returns the settings file of a host.
func (c *cluster) settings(i int) ([]byte, error) {
	type peer struct {
		Host        string `json:"host"`
		PeerAddress string `json:"peer_address"`
	}
	type control struct {
		DataFolder string `json:"data_folder"`
		Voters     []peer `json:"voters"`
	}
	h := c.hosts[i]
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
	}{h.name, h.domain, h.caller, h.peer, h.http, nil, nil, []string{c.key}, "info"}
	var voters []peer
	for _, v := range c.hosts[:controlCount] {
		voters = append(voters, peer{v.name, v.peer})
		if v.name != h.name {
			s.Join = append(s.Join, v.peer)
		}
	}
	if i < controlCount {
		s.Control = &control{filepath.Join(c.work, h.name), voters}
	}
	return json.MarshalIndent(s, "", "  ")
}

// start starts all processes, applies the document, and returns once the
// system is ready.
func (c *cluster) start(ctx context.Context) error {
	fmt.Printf("starting %d hosts and %d stand-ins in %d failure domains\n", len(c.hosts), len(c.upstreams), len(domains))
	for i := range c.hosts {
		if err := c.startHost(i); err != nil {
			return err
		}
	}
	for _, u := range c.upstreams {
		if err := c.startUpstream(u); err != nil {
			return err
		}
	}
	if err := c.apply(ctx); err != nil {
		return err
	}
	begin := time.Now()
	if err := c.settled(ctx); err != nil {
		return err
	}
	fmt.Printf("ready %v after the document was applied\n", time.Since(begin).Round(time.Millisecond))
	return nil
}

func (c *cluster) startHost(i int) error {
	h := c.hosts[i]
	settings, err := c.settings(i)
	if err != nil {
		return err
	}
	file := filepath.Join(c.work, h.name+".jsonc")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	if i < controlCount {
		if err := os.Mkdir(filepath.Join(c.work, h.name), 0o700); err != nil {
			return err
		}
	}
	return c.spawn(h.name, "amaranthweir", "serve", "--settings", file)
}

func (c *cluster) startUpstream(u upstream) error {
	args := []string{
		"--group", u.group, "--instance", u.name, "--domain", u.domain,
		"--address", u.address, "--control-address", u.control, "--lag", c.flags.Lag.String(),
	}
	if u.primary {
		args = append(args, "--primary")
	}
	for _, o := range c.upstreams {
		if o.group == u.group && o.name != u.name {
			args = append(args, "--peers", o.control)
		}
	}
	for _, h := range c.hosts {
		args = append(args, "--entries", h.http)
	}
	return c.spawn(u.name, "standin", args...)
}

func (c *cluster) spawn(name, program string, args ...string) error {
	p, err := startProcess(c.flags.Logs, name, filepath.Join(c.flags.Bin, program), args...)
	if err != nil {
		return err
	}
	c.processes[name] = p
	return nil
}

// apply applies the document with the command that operators use.
func (c *cluster) apply(ctx context.Context) error {
	return c.until(ctx, "the document is applied", func(context.Context) error {
		p, err := startProcess(c.flags.Logs, "apply", filepath.Join(c.flags.Bin, "amaranthweir"),
			"apply", "--host", c.hosts[hostCount-1].http, c.flags.Document)
		if err != nil {
			return err
		}
		<-p.done
		return errors.Join(p.err, p.log.Close())
	})
}

// until tries until the attempt succeeds, a process that should run has ended,
// or time is up.
func (c *cluster) until(ctx context.Context, what string, attempt func(context.Context) error) error {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	for {
		err := attempt(ctx)
		if err == nil {
			return nil
		}
		for name, p := range c.processes {
			if p.ended() {
				return fmt.Errorf("%s ended by itself: %w", name, p.err)
			}
		}
		if pause(ctx, askInterval) != nil {
			return fmt.Errorf("waited for: %s: %w", what, err)
		}
	}
}

// kill kills the process of an instance.
func (c *cluster) kill(name string) error {
	p := c.processes[name]
	if p == nil {
		return fmt.Errorf("no process runs %q", name)
	}
	delete(c.processes, name)
	return errors.Join(p.kill(), p.log.Close())
}

// switchFault sets fault switches of an instance.
func (c *cluster) switchFault(ctx context.Context, name, switches string) error {
	for _, u := range c.upstreams {
		if u.name != name {
			continue
		}
		body, err := request(ctx, http.MethodPost, "http://"+u.control+"/fault?"+switches)
		if err != nil {
			return err
		}
		return body.Close()
	}
	return fmt.Errorf("no stand-in is called %q", name)
}

// stop stops all processes: the hosts that are no control hosts, the control
// hosts, then the stand-ins. The members of each of the three stop at once.
func (c *cluster) stop() error {
	var names [3][]string
	for i, h := range c.hosts {
		if i < controlCount {
			names[1] = append(names[1], h.name)
		} else {
			names[0] = append(names[0], h.name)
		}
	}
	for _, u := range c.upstreams {
		names[2] = append(names[2], u.name)
	}
	var err error
	for _, n := range names {
		err = errors.Join(err, c.stopAll(n))
	}
	return err
}

func (c *cluster) stopAll(names []string) error {
	errs := make([]error, len(names))
	var wait sync.WaitGroup
	for i, name := range names {
		if p := c.processes[name]; p != nil {
			wait.Go(func() { errs[i] = p.stop() })
		}
	}
	wait.Wait()
	return errors.Join(errs...)
}
