package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/logtest"
	"github.com/amaranthweir/amaranthweir/internal/porttest"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/platform"
	"github.com/amaranthweir/amaranthweir/standin/typed"
)

const (
	// patience bounds waits; nothing is measured by it.
	patience = 30 * time.Second
	// promoteTime is how long a promotion usually takes, slowPromoteTime one that
	// outlasts what quickRoute allows.
	promoteTime     = 100 * time.Millisecond
	slowPromoteTime = 2 * time.Second
)

// deployment is the platform with three control hosts and three entry hosts as
// processes, each on a loopback address of its own, and one group of instances.
type deployment struct {
	t       *testing.T
	binary  string
	group   *typed.Group
	ports   map[string]string // by purpose, the same on all machines
	hosts   map[string]*machine
	cloud   *http.Server
	beats   context.CancelFunc
	leaving map[table.InstanceID]bool

	mu         sync.Mutex
	promotions []string // fencing tokens in the order of arrival
	sequence   uint64
}

// machine is one process.
type machine struct {
	name, ip string
	control  bool
	cmd      *exec.Cmd
	log      *logtest.Buffer
	settings string
}

var zones = []string{"a", "b", "c"}

func (d *deployment) seeds() string {
	var seeds []string
	for n := range zones {
		seeds = append(seeds, d.control(n))
	}
	return strings.Join(seeds, ",")
}

// control and entry return addresses of the n-th host.
func (d *deployment) control(n int) string {
	return fmt.Sprintf("127.0.1.%d:%s", n+1, d.ports["calls"])
}

func (d *deployment) entry(n int) string {
	return fmt.Sprintf("127.0.2.%d:%s", n+1, d.ports["callers"])
}

func (d *deployment) ready(n int) string {
	return fmt.Sprintf("http://127.0.2.%d:%s/v1/readyz", n+1, d.ports["ready"])
}

// startDeployment starts everything and waits until callers are served.
func startDeployment(t *testing.T) *deployment {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "amaranthweir")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	d := &deployment{
		t: t, binary: binary, ports: map[string]string{}, hosts: map[string]*machine{},
		leaving: map[table.InstanceID]bool{},
	}
	free := porttest.Free(t, 7)
	for n, purpose := range []string{"calls", "callers", "ready", "peers", "own", "cloud", "instances"} {
		_, d.ports[purpose], _ = net.SplitHostPort(free[n])
	}
	d.startCloud()
	d.startInstances()
	for n, zone := range zones {
		d.startHost(&machine{name: "core-" + zone, ip: fmt.Sprintf("127.0.1.%d", n+1), control: true}, zone)
		d.startHost(&machine{name: "edge-" + zone, ip: fmt.Sprintf("127.0.2.%d", n+1)}, zone)
	}
	t.Cleanup(d.stop)
	d.replace(1, "")
	d.until("callers are served", func() bool {
		c, err := connect(d.entry(0), "orders")
		if err != nil {
			return false
		}
		defer c.close()
		r, err := c.ask("first", "READ apron")
		return err == nil && r.ok()
	})
	return d
}

func (d *deployment) until(what string, holds func() bool) {
	d.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	d.t.Fatalf("%s: not within %v\n%s", what, patience, d.logs())
}

// logs returns the ends of the logs of all hosts.
func (d *deployment) logs() string {
	var out strings.Builder
	for name, m := range d.hosts {
		lines := strings.Split(m.log.String(), "\n")
		fmt.Fprintf(&out, "%s:\n%s\n", name, strings.Join(lines[max(0, len(lines)-25):], "\n"))
	}
	return out.String()
}

func (d *deployment) startHost(m *machine, zone string) {
	d.t.Helper()
	dir := d.t.TempDir()
	var s strings.Builder
	fmt.Fprintf(&s, "node_name=%s\nip=%s\nzone=%s\ninternal_port_range=%s,%s\n", m.name, m.ip, zone, d.ports["peers"], d.ports["peers"])
	fmt.Fprintf(&s, "seed_nodes=%s\nbootstrap=true\nheartbeat_interval_ms=200\nlimits.memory_mb=280\n", d.seeds())
	fmt.Fprintf(&s, "cloud_api.address=127.0.0.1:%s\nbounds.grace_period_s=6\n", d.ports["cloud"])
	if m.control {
		fmt.Fprintf(&s, "listen_addrs.control_plane=%s:%s\ndata_directory=%s\n", m.ip, d.ports["calls"], filepath.Join(dir, "data"))
	} else {
		fmt.Fprintf(&s, "listen_addrs.frontend=%s:%s\nlisten_addrs.readiness=%s:%s\n", m.ip, d.ports["callers"], m.ip, d.ports["ready"])
	}
	m.settings = filepath.Join(dir, "settings")
	assert.NilError(d.t, os.WriteFile(m.settings, []byte(s.String()), 0o600))
	m.log = &logtest.Buffer{}
	d.hosts[m.name] = m
	d.run(m)
}

// run starts the process of a machine.
func (d *deployment) run(m *machine) {
	d.t.Helper()
	m.cmd = exec.Command(d.binary, "platform")
	m.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+m.settings)
	m.cmd.Stdout, m.cmd.Stderr = m.log, m.log
	assert.NilError(d.t, m.cmd.Start())
}

// end sends a signal and waits for the end of the process.
func (d *deployment) end(name string, signal syscall.Signal) error {
	m := d.hosts[name]
	assert.NilError(d.t, m.cmd.Process.Signal(signal))
	return m.cmd.Wait()
}

func (d *deployment) stop() {
	for _, m := range d.hosts {
		_ = m.cmd.Process.Kill() // it may have ended
	}
	for _, m := range d.hosts {
		_ = m.cmd.Wait()
	}
	d.beats()
	_ = d.cloud.Close()
	d.group.Close()
}

// startCloud serves promotions.
func (d *deployment) startCloud() {
	l, err := net.Listen("tcp", "127.0.0.1:"+d.ports["cloud"])
	assert.NilError(d.t, err)
	d.cloud = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			Instance table.InstanceID `json:"instance_id"`
		}
		body, _ := io.ReadAll(r.Body)
		if json.Unmarshal(body, &in) != nil || r.Header.Get("Lease-Holder") == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		d.mu.Lock()
		d.promotions = append(d.promotions, r.Header.Get("Fencing-Token"))
		d.mu.Unlock()
		if d.group.Promote(in.Instance) != nil {
			w.WriteHeader(http.StatusConflict)
		}
	})}
	go func() { _ = d.cloud.Serve(l) }()
}

// startInstances starts the group and its heartbeats.
func (d *deployment) startInstances() {
	d.group = typed.NewGroup("g1", instanceLines{})
	d.group.SetPromoteTime(promoteTime)
	var all []*typed.Instance
	for n := range zones {
		in, err := d.group.Add(table.InstanceID(fmt.Sprint("i-", n+1)), fmt.Sprintf("127.0.3.%d:%s", n+1, d.ports["instances"]))
		assert.NilError(d.t, err)
		all = append(all, in)
	}
	ctx, stop := context.WithCancel(context.Background())
	d.beats = stop
	go func() {
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for {
			for n, in := range all {
				d.beat(n, in)
			}
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	}()
}

// beat sends one heartbeat of an instance to the control hosts in turn.
func (d *deployment) beat(n int, in *typed.Instance) {
	if !in.IsRunning() {
		return
	}
	d.mu.Lock()
	d.sequence++
	state := "ready"
	if d.leaving[in.ID] {
		state = "draining"
	}
	body := fmt.Sprintf(`{"service":"g1","address":%q,"zone":%q,"version":"v1","capacity":4,"state":%q,"warmup_remaining_ms":0,"db_role":%q,"sequence":%d,"born":1700000000000}`,
		in.Address, zones[n], state, in.Role(), d.sequence)
	at := int(d.sequence) % len(zones)
	d.mu.Unlock()
	_, _ = d.post(at, "/v1/Instances.Heartbeat/"+string(in.ID), body) // the next one follows
}

var client = &http.Client{Timeout: time.Second}

func (d *deployment) post(n int, path, body string) (int, error) {
	resp, err := client.Post("http://"+d.control(n)+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// configuration is a valid one; extra is added to the routes.
func configuration(version int, extra string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r1","host":"orders","path_prefix":"/","kind":"read_your_writes","timeout_ms":3000,"target_latency_ms":250,"priority":1,"service":"g1","max_staleness_ms":2500},
{"name":"r2","host":"payments","path_prefix":"/","kind":"primary","timeout_ms":3000,"target_latency_ms":100,"priority":0,"service":"g1"}%s],
"services":[{"name":"g1","max_connections":16,"sync_replicas":1}],"limits":{"txn_idle_ms":3000}}`, version, extra)
}

// replace sends a configuration until a host acknowledges it.
func (d *deployment) replace(version int, extra string) {
	d.t.Helper()
	n := 0
	d.until(fmt.Sprintf("configuration %d is acknowledged", version), func() bool {
		n++
		status, err := d.post(n%len(zones), "/v1/Config.Replace", configuration(version, extra))
		return err == nil && status == http.StatusOK
	})
}

// fetch reads the configuration back from a host that is sure of it.
func (d *deployment) fetch() string {
	d.t.Helper()
	var body []byte
	n := 0
	d.until("the configuration is read back", func() bool {
		n++
		resp, err := client.Get("http://" + d.control(n%len(zones)) + "/v1/Config.Fetch")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		body, err = io.ReadAll(resp.Body)
		return err == nil && resp.StatusCode == http.StatusOK
	})
	return string(body)
}
