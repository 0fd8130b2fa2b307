// Package e2e tests hosts that run as separate processes, with stand-in upstreams
// and standard PostgreSQL drivers.
package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/amaranthweir/amaranthweir/internal/api"
	"github.com/amaranthweir/amaranthweir/internal/config"
	"github.com/amaranthweir/amaranthweir/internal/host"
	"github.com/amaranthweir/amaranthweir/internal/porttest"
	"github.com/amaranthweir/amaranthweir/internal/table"
	"github.com/amaranthweir/amaranthweir/standin"
)

// settingsVariable names the environment variable with the path of a settings
// file. If it is set, the test binary runs one host instead of the tests.
const settingsVariable = "AMARANTHWEIR_E2E_SETTINGS"

// waitTimeout limits every wait of the tests.
const waitTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	if file := os.Getenv(settingsVariable); file != "" {
		os.Exit(runHost(file))
	}
	os.Exit(m.Run())
}

// runHost runs a host with the settings in file until SIGTERM and returns the exit
// code.
func runHost(file string) int {
	// Standard input is a pipe from the test process. It closes when that process
	// ends, even after a panic.
	go func() {
		_, _ = io.Copy(io.Discard, os.Stdin)
		os.Exit(1)
	}()
	src, err := os.ReadFile(file)
	if err == nil {
		var s *config.Settings
		if s, err = config.ParseSettings(file, src); err == nil {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
			defer stop()
			var h *host.Host
			if h, err = host.New(s); err == nil {
				err = h.Run(ctx)
			}
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

var domains = []table.Domain{"coventry", "leicester", "derby"}

// process is a host and the operating system process that runs it.
type process struct {
	name          string
	domain        table.Domain
	callerAddress string
	peerAddress   string
	httpAddress   string
	settingsFile  string
	cmd           *exec.Cmd
	logFile       string
}

// cluster is a deployment of hosts and one group of stand-in instances.
type cluster struct {
	t         testing.TB
	hosts     []*process
	instances []*standin.Instance
}

// startCluster starts hosts, the first three of which are control hosts, and a
// group of three instances with the given replication lag. It returns once the
// group is served.
func startCluster(t testing.TB, hosts int, lag time.Duration) *cluster {
	t.Helper()
	c := &cluster{t: t}
	ports := porttest.Free(t, 3*hosts)
	for i := range hosts {
		c.hosts = append(c.hosts, &process{
			name: fmt.Sprintf("h%d", i+1), domain: domains[i%len(domains)],
			callerAddress: ports[3*i], peerAddress: ports[3*i+1], httpAddress: ports[3*i+2],
		})
	}
	for i, p := range c.hosts {
		c.writeSettings(p, i < 3)
		c.startProcess(p)
	}
	var configs []standin.Config
	for i, d := range domains {
		cfg := standin.DefaultConfig("ledger-1", table.InstanceID(fmt.Sprintf("ledger-1-%d", i+1)))
		cfg.Domain, cfg.Primary, cfg.Lag = d, i == 0, lag
		// Hosts continue to probe the address of a killed instance. A port that the
		// system assigns could later belong to an instance of another test.
		cfg.Address = porttest.Free(t, 1)[0]
		cfg.StatementTime = time.Millisecond
		for _, p := range c.hosts {
			cfg.Hosts = append(cfg.Hosts, p.httpAddress)
		}
		configs = append(configs, cfg)
	}
	group, err := standin.StartGroup(configs...)
	assert.NilError(t, err)
	c.instances = group
	t.Cleanup(func() { _ = standin.CloseGroup(group) })
	c.apply(document)
	c.waitForStatus("the group is served", func(s api.Status) bool {
		return len(s.Groups) == 1 && s.Groups[0].Phase == "stable" && len(s.Instances) == 3 && allOwned(s) && inForce(s) == hosts
	})
	return c
}

// inForce returns the number of hosts on which the latest document is in force.
func inForce(s api.Status) int {
	n := 0
	for _, d := range s.Documents {
		for _, h := range d.InForce {
			if h.Version == d.Version {
				n++
			}
		}
	}
	return n
}

// allOwned reports whether every instance has an owner.
func allOwned(s api.Status) bool {
	for _, in := range s.Instances {
		if in.Owner == "" {
			return false
		}
	}
	return true
}

// document is the service document that startCluster applies.
const document = `{
  "service": "ledger", "version": 1,
  "groups": [{"name": "ledger-1", "instances": 3}],
  "classes": [
    {"name": "ticket", "rank": "urgent", "access": "write", "group": "ledger-1", "deadline": "8s", "worth": 10, "repeatable": true},
    {"name": "settlement", "rank": "normal", "access": "write", "group": "ledger-1", "deadline": "8s", "worth": 10, "repeatable": false},
    {"name": "lookup", "rank": "normal", "access": "read", "group": "ledger-1", "staleness": "0s", "deadline": "8s", "worth": 1},
    {"name": "report", "rank": "background", "access": "read", "group": "ledger-1", "staleness": "2s", "deadline": "8s", "worth": 1},
    {"name": "quick-ticket", "rank": "urgent", "access": "write", "group": "ledger-1", "deadline": "1s", "worth": 1, "repeatable": true},
    {"name": "quick-report", "rank": "background", "access": "read", "group": "ledger-1", "staleness": "2s", "deadline": "1s", "worth": 1},
  ],
  "default_class": "ticket",
}`

// writeSettings writes the settings file of a host and chooses its log file.
func (c *cluster) writeSettings(p *process, control bool) {
	type voter struct {
		Host        string `json:"host"`
		PeerAddress string `json:"peer_address"`
	}
	dir := c.t.TempDir()
	var voters []voter
	var join []string
	for _, v := range c.hosts[:3] {
		voters = append(voters, voter{v.name, v.peerAddress})
		if v != p {
			join = append(join, v.peerAddress)
		}
	}
	s := map[string]any{
		"host": p.name, "failure_domain": p.domain, "caller_address": p.callerAddress, "peer_address": p.peerAddress,
		"http_address": p.httpAddress, "join": join, "log_level": "info",
	}
	if control {
		s["control"] = map[string]any{"data_folder": filepath.Join(dir, "data"), "voters": voters}
	}
	src, err := json.Marshal(s)
	assert.NilError(c.t, err)
	p.settingsFile = filepath.Join(dir, "settings.json")
	p.logFile = filepath.Join(dir, "log")
	assert.NilError(c.t, os.WriteFile(p.settingsFile, src, 0o600))
}

// startProcess starts a host that is killed at the end of the test. It appends to
// the log of an earlier process of the host.
func (c *cluster) startProcess(p *process) {
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(c.t, err)
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), settingsVariable+"="+p.settingsFile)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	_, err = p.cmd.StdinPipe() // stays open until this process ends
	assert.NilError(c.t, err)
	assert.NilError(c.t, p.cmd.Start())
	cmd := p.cmd
	c.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = out.Close()
		if c.t.Failed() {
			tail, _ := os.ReadFile(p.logFile)
			c.t.Logf("%s:\n%s", p.name, tail[max(0, len(tail)-20000):])
		}
	})
}

// apply applies a document through the last host, with retries.
func (c *cluster) apply(doc string) {
	client := api.NewClient(c.hosts[len(c.hosts)-1].httpAddress, waitTimeout)
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if _, err := client.Apply(c.t.Context(), []byte(doc)); err != nil {
			return poll.Continue("apply: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(50*time.Millisecond))
}

// waitForStatus polls the status of the last host until condition holds.
func (c *cluster) waitForStatus(what string, condition func(api.Status) bool) {
	c.t.Helper()
	client := api.NewClient(c.hosts[len(c.hosts)-1].httpAddress, waitTimeout)
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		s, err := client.Status(c.t.Context())
		if err != nil || !condition(s) {
			return poll.Continue("%s: %v %+v %+v", what, err, s.Groups, s.Instances)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(30*time.Millisecond))
}

// status returns the status as the last host reports it.
func (c *cluster) status() api.Status {
	s, err := api.NewClient(c.hosts[len(c.hosts)-1].httpAddress, waitTimeout).Status(c.t.Context())
	assert.NilError(c.t, err)
	return s
}

// primaryAndOwner returns the primary of the group and the host that owns it.
func (c *cluster) primaryAndOwner() (*standin.Instance, *process) {
	s := c.status()
	for _, in := range s.Instances {
		if in.Instance != s.Groups[0].Primary {
			continue
		}
		return c.instance(in.Instance), c.host(in.Owner)
	}
	c.t.Fatal("the group has no primary")
	return nil, nil
}

func (c *cluster) instance(id table.InstanceID) *standin.Instance {
	for _, in := range c.instances {
		if in.ID() == id {
			return in
		}
	}
	c.t.Fatalf("no instance %s", id)
	return nil
}

func (c *cluster) host(id table.HostID) *process {
	for _, p := range c.hosts {
		if p.name == string(id) {
			return p
		}
	}
	c.t.Fatalf("no host %s", id)
	return nil
}

// connect opens a caller connection to a host. The params are names and values of
// startup parameters, in turn.
func (c *cluster) connect(p *process, params ...string) *pgx.Conn {
	c.t.Helper()
	cfg, err := pgx.ParseConfig("postgres://clerk@" + p.callerAddress + "/ledger?sslmode=disable")
	assert.NilError(c.t, err)
	for i := 0; i < len(params); i += 2 {
		cfg.RuntimeParams[params[i]] = params[i+1]
	}
	conn, err := pgx.ConnectConfig(c.t.Context(), cfg)
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// isReady reports whether the readiness check of a host returns 200.
func isReady(p *process) bool {
	resp, err := http.Get("http://" + p.httpAddress + api.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the readiness of a host equals want.
func (c *cluster) awaitReady(p *process, want bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if isReady(p) != want {
			return poll.Continue("%s: ready is not %t", p.name, want)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(5*time.Millisecond))
}

// awaitExit waits until a host exits and checks that its exit code is 0.
func (p *process) awaitExit(t *testing.T) {
	t.Helper()
	state, err := p.cmd.Process.Wait()
	assert.NilError(t, err)
	assert.Assert(t, state.Success(), "%s: %s", p.name, state)
}
