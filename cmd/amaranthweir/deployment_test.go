package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
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
	// waitTimeout limits every wait of the tests.
	waitTimeout = 30 * time.Second
	// promotionTime is the usual duration of a promotion. slowPromotionTime is
	// longer than the staleness and the timeout that quickRoute allows.
	promotionTime     = 100 * time.Millisecond
	slowPromotionTime = 2 * time.Second
	// revokeTimeout is how long a withdrawn key may stay in use.
	revokeTimeout = 3 * time.Second
)

// deployment simulates the platform: three control hosts and three entry hosts
// that run as processes, each on its own loopback address, one group of
// stand-in instances and the promotion call of the platform.
type deployment struct {
	t              *testing.T
	binary         string
	group          *typed.Group // the first one of groups
	groups         []*typed.Group
	ports          map[string]string // by purpose, the same on all hosts
	hosts          map[string]*hostProcess
	cloud          *http.Server // serves the promotion call
	stopHeartbeats context.CancelFunc
	leaving        map[table.InstanceID]bool
	// controlSettings are further lines of the settings of each control host.
	controlSettings string

	instances []*typed.Instance

	mu         sync.Mutex
	promotions []string           // the fencing tokens of the promotions, in order of arrival
	promoted   []table.InstanceID // the instances that they name
	sequence   uint64
}

// hostProcess is a host and the operating system process that runs it.
type hostProcess struct {
	name, ip string
	control  bool
	cmd      *exec.Cmd
	log      *logtest.Buffer
	settings string
	data     string // the data directory of a control host
	// seeds is the value of the setting seed_nodes if the host joins a deployment
	// that exists already. If it is empty, the host takes part in the founding.
	seeds string
}

var zones = []string{"a", "b", "c"}

// seedNodes returns the value of the setting seed_nodes.
func (d *deployment) seedNodes() string {
	var seeds []string
	for n := range zones {
		seeds = append(seeds, d.controlAddress(n))
	}
	return strings.Join(seeds, ",")
}

// controlAddress returns the address of the HTTP calls of control host n.
func (d *deployment) controlAddress(n int) string {
	return fmt.Sprintf("127.0.1.%d:%s", n+1, d.ports["calls"])
}

// entryAddress returns the address of entry host n for callers.
func (d *deployment) entryAddress(n int) string {
	return fmt.Sprintf("127.0.2.%d:%s", n+1, d.ports["callers"])
}

// readyURL returns the readiness URL of entry host n.
func (d *deployment) readyURL(n int) string {
	return fmt.Sprintf("http://127.0.2.%d:%s/v1/readyz", n+1, d.ports["ready"])
}

// startDeployment starts a deployment, installs configuration 1 and waits until
// callers are served.
func startDeployment(t *testing.T) *deployment {
	t.Helper()
	return startDeploymentWith(t, "")
}

// startDeploymentWith is like startDeployment, with further settings of each
// control host.
func startDeploymentWith(t *testing.T, controlSettings string) *deployment {
	t.Helper()
	return startDeploymentOf(t, controlSettings, "g1")
}

// startDeploymentOf is like startDeploymentWith, with the given groups.
func startDeploymentOf(t *testing.T, controlSettings string, groups ...table.GroupName) *deployment {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "amaranthweir")
	out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
	assert.NilError(t, err, string(out))
	d := &deployment{
		t: t, binary: binary, ports: map[string]string{}, hosts: map[string]*hostProcess{},
		leaving: map[table.InstanceID]bool{}, controlSettings: controlSettings,
	}
	free := porttest.Free(t, 7)
	for n, purpose := range []string{"calls", "callers", "ready", "peers", "http", "cloud", "instances"} {
		_, d.ports[purpose], _ = net.SplitHostPort(free[n])
	}
	d.startCloud()
	d.startInstances(groups)
	for n, zone := range zones {
		d.startHost(&hostProcess{name: "core-" + zone, ip: fmt.Sprintf("127.0.1.%d", n+1), control: true}, zone)
		d.startHost(&hostProcess{name: "edge-" + zone, ip: fmt.Sprintf("127.0.2.%d", n+1)}, zone)
	}
	t.Cleanup(d.stopAll)
	d.replaceConfiguration(1, "")
	d.waitFor("callers are served", func() bool {
		c, err := connect(d.entryAddress(0), "orders")
		if err != nil {
			return false
		}
		defer c.close()
		r, err := c.exec("first", "READ apron")
		return err == nil && r.ok()
	})
	return d
}

// waitFor polls until condition returns true. It fails the test after
// waitTimeout.
func (d *deployment) waitFor(what string, condition func() bool) {
	d.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	d.t.Fatalf("%s: not within %v\n%s", what, waitTimeout, d.logs())
}

// logs returns the last lines of the logs of all hosts.
func (d *deployment) logs() string {
	var out strings.Builder
	for name, p := range d.hosts {
		lines := strings.Split(p.log.String(), "\n")
		fmt.Fprintf(&out, "%s:\n%s\n", name, strings.Join(lines[max(0, len(lines)-25):], "\n"))
	}
	return out.String()
}

// startHost writes the settings file of a host and starts its process.
func (d *deployment) startHost(p *hostProcess, zone string) {
	d.t.Helper()
	dir := d.t.TempDir()
	p.settings, p.data = filepath.Join(dir, "settings"), filepath.Join(dir, "data")
	d.writeSettings(p, zone)
	p.log = &logtest.Buffer{}
	d.hosts[p.name] = p
	d.startProcess(p)
}

// writeSettings writes the settings file of a host.
func (d *deployment) writeSettings(p *hostProcess, zone string) {
	d.t.Helper()
	var s strings.Builder
	fmt.Fprintf(&s, "node_name=%s\nip=%s\nzone=%s\ninternal_port_range=%s,%s\n", p.name, p.ip, zone, d.ports["peers"], d.ports["peers"])
	fmt.Fprintf(&s, "seed_nodes=%s\nbootstrap=%t\n", cmp.Or(p.seeds, d.seedNodes()), p.seeds == "")
	s.WriteString("heartbeat_interval_ms=200\nlimits.memory_mb=280\n")
	fmt.Fprintf(&s, "cloud_api.address=127.0.0.1:%s\nbounds.grace_period_s=6\n", d.ports["cloud"])
	fmt.Fprintf(&s, "fault_tolerance.machines=%d\n", toleratedDisks)
	fmt.Fprintf(&s, "bounds.revoke_timeout_ms=%d\n", revokeTimeout.Milliseconds())
	if p.control {
		fmt.Fprintf(&s, "listen_addrs.control_plane=%s:%s\ndata_directory=%s\n%s", p.ip, d.ports["calls"], p.data, d.controlSettings)
	} else {
		fmt.Fprintf(&s, "listen_addrs.frontend=%s:%s\nlisten_addrs.readiness=%s:%s\n", p.ip, d.ports["callers"], p.ip, d.ports["ready"])
	}
	assert.NilError(d.t, os.WriteFile(p.settings, []byte(s.String()), 0o600))
}

// startProcess starts the process of a host, or restarts it with the same
// settings and log.
func (d *deployment) startProcess(p *hostProcess) {
	d.t.Helper()
	p.cmd = exec.Command(d.binary, "platform")
	p.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	assert.NilError(d.t, p.cmd.Start())
}

// stopHost sends a signal to the process of a host and waits until it exits.
func (d *deployment) stopHost(name string, signal syscall.Signal) error {
	p := d.hosts[name]
	assert.NilError(d.t, p.cmd.Process.Signal(signal))
	return p.cmd.Wait()
}

// stopAll kills all hosts, and stops the instances and the server of the promotion
// call.
func (d *deployment) stopAll() {
	for _, p := range d.hosts {
		_ = p.cmd.Process.Kill() // fails if the process has exited
	}
	for _, p := range d.hosts {
		_ = p.cmd.Wait()
	}
	d.stopHeartbeats()
	_ = d.cloud.Close()
	for _, g := range d.groups {
		g.Close()
	}
}

// startCloud serves the promotion call of the platform. It promotes the instance
// in the group and records the fencing token.
func (d *deployment) startCloud() {
	l, err := net.Listen("tcp", "127.0.0.1:"+d.ports["cloud"])
	assert.NilError(d.t, err)
	d.cloud = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			Group    table.GroupName  `json:"service"`
			Instance table.InstanceID `json:"instance_id"`
		}
		body, _ := io.ReadAll(r.Body)
		if json.Unmarshal(body, &in) != nil || r.Header.Get("Lease-Holder") == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		d.mu.Lock()
		d.promotions = append(d.promotions, r.Header.Get("Fencing-Token"))
		d.promoted = append(d.promoted, in.Instance)
		d.mu.Unlock()
		at := slices.IndexFunc(d.groups, func(g *typed.Group) bool { return g.Name == in.Group })
		if at < 0 || d.groups[at].Promote(in.Instance) != nil {
			w.WriteHeader(http.StatusConflict)
		}
	})}
	go func() { _ = d.cloud.Serve(l) }()
}

// startInstances starts the groups and sends the heartbeats of their instances.
func (d *deployment) startInstances(names []table.GroupName) {
	for at, name := range names {
		g := typed.NewGroup(name, instanceLines{})
		g.SetPromoteTime(promotionTime)
		d.groups = append(d.groups, g)
		for range zones {
			n := len(d.instances)
			address := fmt.Sprintf("127.0.%d.%d:%s", 3+at, n%len(zones)+1, d.ports["instances"])
			in, err := g.Add(table.InstanceID(fmt.Sprint("i-", n+1)), address)
			assert.NilError(d.t, err)
			d.instances = append(d.instances, in)
		}
	}
	d.group = d.groups[0]
	ctx, stop := context.WithCancel(context.Background())
	d.stopHeartbeats = stop
	go func() {
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for {
			for n, in := range d.instances {
				d.sendHeartbeat(n, in)
			}
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	}()
}

// sendHeartbeat sends one heartbeat of an instance that is up. Consecutive
// heartbeats go to different control hosts.
func (d *deployment) sendHeartbeat(n int, in *typed.Instance) {
	if !in.IsRunning() || in.IsCutFromHosts() {
		return
	}
	d.mu.Lock()
	d.sequence++
	state := "ready"
	if d.leaving[in.ID] {
		state = "draining"
	}
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","capacity":4,"state":%q,"warmup_remaining_ms":0,"db_role":%q,"sequence":%d,"born":1700000000000}`,
		in.Group(), in.Address, zones[n%len(zones)], state, in.Role(), d.sequence)
	at := int(d.sequence) % len(zones)
	d.mu.Unlock()
	_, _ = d.post(at, "/v1/Instances.Heartbeat/"+string(in.ID), body) // the next heartbeat replaces a lost one
}

var client = &http.Client{Timeout: time.Second}

// post sends a request to control host n and returns the status of the response.
func (d *deployment) post(n int, path, body string) (int, error) {
	resp, err := client.Post("http://"+d.controlAddress(n)+path, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// configuration returns a valid configuration of the group g1 with the version. The JSON
// in extra is added to its routes.
func configuration(version int, extra string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r1","host":"orders","path_prefix":"/","kind":"read_your_writes","timeout_ms":3000,"target_latency_ms":250,"priority":1,"service":"g1","max_staleness_ms":2500},
{"name":"r2","host":"payments","path_prefix":"/","kind":"primary","timeout_ms":3000,"target_latency_ms":100,"priority":0,"service":"g1"}%s],
"services":[{"name":"g1","max_connections":16,"sync_replicas":1}],"limits":{"txn_idle_ms":3000}}`, version, extra)
}

// configuration returns a valid configuration of all groups with the version. Each group
// but the first has a database of its name. The JSON in extra is added to the routes.
func (d *deployment) configuration(version int, extra string) string {
	body := configuration(version, extra)
	for _, g := range d.groups[1:] {
		route := fmt.Sprintf(`"routes":[{"name":"r-%s","host":%q,"path_prefix":"/","kind":"primary","timeout_ms":3000,"target_latency_ms":100,"priority":0,"service":%q},`, g.Name, g.Name, g.Name)
		body = strings.Replace(body, `"routes":[`, route, 1)
		body = strings.Replace(body, `"services":[`, fmt.Sprintf(`"services":[{"name":%q,"max_connections":16,"sync_replicas":1},`, g.Name), 1)
	}
	return body
}

// replaceConfiguration sends a configuration to the control hosts in turn until
// one of them acknowledges it.
func (d *deployment) replaceConfiguration(version int, extra string) {
	d.t.Helper()
	n := 0
	d.waitFor(fmt.Sprintf("configuration %d is acknowledged", version), func() bool {
		n++
		status, err := d.post(n%len(zones), "/v1/Config.Replace", d.configuration(version, extra))
		return err == nil && status == http.StatusOK
	})
}

// fetchConfiguration returns the configuration from the first control host that
// can confirm it as the latest.
func (d *deployment) fetchConfiguration() string {
	d.t.Helper()
	var body []byte
	n := 0
	d.waitFor("the configuration is read back", func() bool {
		n++
		resp, err := client.Get("http://" + d.controlAddress(n%len(zones)) + "/v1/Config.Fetch")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		body, err = io.ReadAll(resp.Body)
		return err == nil && resp.StatusCode == http.StatusOK
	})
	return string(body)
}
