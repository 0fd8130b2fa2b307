// Package e2e drives hosts as processes of their own against stand-in
// upstreams, through ordinary drivers.
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

// settingsVariable makes the test binary run one host instead of the tests.
const settingsVariable = "AMARANTHWEIR_E2E_SETTINGS"

// patience bounds every wait; nothing is measured by it.
const patience = 20 * time.Second

func TestMain(m *testing.M) {
	if file := os.Getenv(settingsVariable); file != "" {
		os.Exit(runHost(file))
	}
	os.Exit(m.Run())
}

func runHost(file string) int {
	go func() { // the pipe ends with the tests, also when they panic
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

// process is one host.
type process struct {
	name     string
	domain   table.Domain
	caller   string
	peer     string
	http     string
	settings string
	cmd      *exec.Cmd
	log      string
}

// cluster is a deployment of hosts and one group of stand-ins.
type cluster struct {
	t     testing.TB
	hosts []*process
	group []*standin.Instance
}

// start runs hosts, the first three of them control hosts, and a group with
// the given replication lag, and waits until the group is served.
func start(t testing.TB, hosts int, lag time.Duration) *cluster {
	t.Helper()
	c := &cluster{t: t}
	ports := porttest.Free(t, 3*hosts)
	for i := range hosts {
		c.hosts = append(c.hosts, &process{
			name: fmt.Sprintf("h%d", i+1), domain: domains[i%len(domains)],
			caller: ports[3*i], peer: ports[3*i+1], http: ports[3*i+2],
		})
	}
	for i, p := range c.hosts {
		c.writeSettings(p, i < 3)
		c.run(p)
	}
	var configs []standin.Config
	for i, d := range domains {
		cfg := standin.DefaultConfig("ledger-1", table.InstanceID(fmt.Sprintf("ledger-1-%d", i+1)))
		cfg.Domain, cfg.Primary, cfg.Lag = d, i == 0, lag
		// Not ports that the system hands out: hosts go on probing a killed
		// instance, and must not meet the instance of another test there.
		cfg.Address = porttest.Free(t, 1)[0]
		cfg.Work = time.Millisecond
		for _, p := range c.hosts {
			cfg.Entries = append(cfg.Entries, p.http)
		}
		configs = append(configs, cfg)
	}
	group, err := standin.StartGroup(configs...)
	assert.NilError(t, err)
	c.group = group
	t.Cleanup(func() { _ = standin.CloseGroup(group) })
	c.apply(document)
	c.wait("served", func(s api.Status) bool {
		return len(s.Groups) == 1 && s.Groups[0].Phase == "stable" && len(s.Instances) == 3 && allOwned(s) && inForce(s) == hosts
	})
	return c
}

// inForce counts the hosts that have the latest document.
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

func allOwned(s api.Status) bool {
	for _, in := range s.Instances {
		if in.Owner == "" {
			return false
		}
	}
	return true
}

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

func (c *cluster) writeSettings(p *process, control bool) {
	type voter struct {
		Host string `json:"host"`
		Peer string `json:"peer_address"`
	}
	dir := c.t.TempDir()
	var voters []voter
	var join []string
	for _, v := range c.hosts[:3] {
		voters = append(voters, voter{v.name, v.peer})
		if v != p {
			join = append(join, v.peer)
		}
	}
	s := map[string]any{
		"host": p.name, "failure_domain": p.domain, "caller_address": p.caller, "peer_address": p.peer,
		"http_address": p.http, "join": join, "log_level": "info",
	}
	if control {
		s["control"] = map[string]any{"data_folder": filepath.Join(dir, "data"), "voters": voters}
	}
	src, err := json.Marshal(s)
	assert.NilError(c.t, err)
	p.settings = filepath.Join(dir, "settings.json")
	p.log = filepath.Join(dir, "log")
	assert.NilError(c.t, os.WriteFile(p.settings, src, 0o600))
}

// run starts a host; it is killed at the end of the test.
func (c *cluster) run(p *process) {
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(c.t, err)
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), settingsVariable+"="+p.settings)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	_, err = p.cmd.StdinPipe() // held open as long as this process runs
	assert.NilError(c.t, err)
	assert.NilError(c.t, p.cmd.Start())
	cmd := p.cmd
	c.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = out.Close()
		if c.t.Failed() {
			tail, _ := os.ReadFile(p.log)
			c.t.Logf("%s:\n%s", p.name, tail[max(0, len(tail)-20000):])
		}
	})
}

func (c *cluster) apply(doc string) {
	client := api.NewClient(c.hosts[len(c.hosts)-1].http, patience)
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if _, err := client.Apply(c.t.Context(), []byte(doc)); err != nil {
			return poll.Continue("apply: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(patience), poll.WithDelay(50*time.Millisecond))
}

// wait polls the status at the last host.
func (c *cluster) wait(what string, ok func(api.Status) bool) {
	c.t.Helper()
	client := api.NewClient(c.hosts[len(c.hosts)-1].http, patience)
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		s, err := client.Status(c.t.Context())
		if err != nil || !ok(s) {
			return poll.Continue("%s: %v %+v %+v", what, err, s.Groups, s.Instances)
		}
		return poll.Success()
	}, poll.WithTimeout(patience), poll.WithDelay(30*time.Millisecond))
}

func (c *cluster) status() api.Status {
	s, err := api.NewClient(c.hosts[len(c.hosts)-1].http, patience).Status(c.t.Context())
	assert.NilError(c.t, err)
	return s
}

// primary returns the agreed primary and the host that owns it.
func (c *cluster) primary() (*standin.Instance, *process) {
	s := c.status()
	for _, in := range s.Instances {
		if in.Instance != s.Groups[0].Primary {
			continue
		}
		return c.instance(in.Instance), c.host(in.Owner)
	}
	c.t.Fatal("no primary")
	return nil, nil
}

func (c *cluster) instance(id table.InstanceID) *standin.Instance {
	for _, in := range c.group {
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

// connect opens a caller connection with start-up parameters as name, value.
func (c *cluster) connect(p *process, params ...string) *pgx.Conn {
	c.t.Helper()
	cfg, err := pgx.ParseConfig("postgres://clerk@" + p.caller + "/ledger?sslmode=disable")
	assert.NilError(c.t, err)
	for i := 0; i < len(params); i += 2 {
		cfg.RuntimeParams[params[i]] = params[i+1]
	}
	conn, err := pgx.ConnectConfig(c.t.Context(), cfg)
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

// ready reports whether a host's readiness path answers 200.
func ready(p *process) bool {
	resp, err := http.Get("http://" + p.http + api.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the readiness of a host is as wanted.
func (c *cluster) awaitReady(p *process, wanted bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if ready(p) != wanted {
			return poll.Continue("%s: ready is not %t", p.name, wanted)
		}
		return poll.Success()
	}, poll.WithTimeout(patience), poll.WithDelay(5*time.Millisecond))
}

// awaitExit waits until a host that was asked to stop has done so in order.
func (p *process) awaitExit(t *testing.T) {
	t.Helper()
	state, err := p.cmd.Process.Wait()
	assert.NilError(t, err)
	assert.Assert(t, state.Success(), "%s: %s", p.name, state)
}
