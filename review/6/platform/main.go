// Command platform plays a planned replacement of a control host, after which another
// control host loses its disk. It starts the programs of the project with the commands of
// the deploy file, on loopback addresses, and plays the operator.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
// not run. With TROUBLE=0 in its environment no disk is lost.
package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	// timeLimit ends a run that hangs.
	timeLimit = 115 * time.Second
	// catchUp is catch_up_s, with a margin for this machine.
	catchUp = 6 * time.Second
	// gracePeriod is grace_period_s.
	gracePeriod = 6 * time.Second
	// downTime is how long the machine that loses its disk is down.
	downTime = time.Second
	// lossDelay is the time from the exit of the replaced host to the loss of a disk.
	lossDelay = 500 * time.Millisecond
	// recoveryTime is twice recovery_time_s.
	recoveryTime = 24 * time.Second
)

// Ports, counted from deployment.base. They are the same on all hosts, each of which has a
// loopback address of its own.
const (
	portInternal = iota
	portInternalHTTP
	portCalls
	portCallers
	portReady
	portCloud
	portCount
)

// The range in which free ports are looked for.
const (
	firstBase = 15000
	lastBase  = 30000
)

var zones = []string{"coventry", "leicester", "derby"}

// host is one machine with its process.
type host struct {
	name, ip, zone string
	control        bool
	cmd            *exec.Cmd
	done           chan struct{} // closed when the process has exited
}

// deployment is a small deployment without instances and callers.
type deployment struct {
	folder, prefix string
	base           int // the first port
	control, entry []*host
	client         *http.Client

	mu      sync.Mutex
	record  *os.File
	started time.Time
}

// say writes a line to the record and to standard output.
func (d *deployment) say(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
	_, _ = d.record.WriteString(line)
	fmt.Print(line)
}

func (d *deployment) callsURL(h *host, path string) string {
	return fmt.Sprintf("http://%s:%d%s", h.ip, d.base+portCalls, path)
}

// choosePorts sets base so that all ports are free on the first host's address.
func (d *deployment) choosePorts() error {
	for d.base = firstBase; d.base < lastBase; d.base += portCount {
		if d.arePortsFree() {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (d *deployment) arePortsFree() bool {
	for n := range portCount {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1.1:%d", d.prefix, d.base+n))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// seeds returns the value of seed_nodes: the control hosts of the first start.
func (d *deployment) seeds() string {
	var out []string
	for n := range zones {
		out = append(out, fmt.Sprintf("%s.1.%d:%d", d.prefix, n+1, d.base+portCalls))
	}
	return strings.Join(out, ",")
}

func (d *deployment) dataFolder(h *host) string { return filepath.Join(d.folder, h.name) }

// writeSettings writes the settings file of a host and returns its path.
func (d *deployment) writeSettings(h *host, bootstrap bool) (string, error) {
	var s strings.Builder
	fmt.Fprintf(&s, "node_name=%s\nip=%s\nzone=%s\nregion=midlands\n", h.name, h.ip, h.zone)
	if h.control {
		fmt.Fprintf(&s, "role=control\nmachine_class=core\nserves=control\nin_tolerance=true\nlisten_addrs.control_plane=%s:%d\n", h.ip, d.base+portCalls)
		fmt.Fprintf(&s, "data_directory=%s\nlimits.memory_mb=280\nlimits.disk_mb=128\n", d.dataFolder(h))
	} else {
		fmt.Fprintf(&s, "role=entry\nmachine_class=edge\nserves=edge\nin_tolerance=false\nlisten_addrs.frontend=%s:%d\n", h.ip, d.base+portCallers)
		fmt.Fprintf(&s, "listen_addrs.readiness=%s:%d\nlimits.memory_mb=284\nlimits.disk_mb=0\n", h.ip, d.base+portReady)
	}
	fmt.Fprintf(&s, "internal_port_range=%d,%d\nseed_nodes=%s\nbootstrap=%t\n", d.base+portInternal, d.base+portInternalHTTP, d.seeds(), bootstrap)
	fmt.Fprintf(&s, "heartbeat_interval_ms=1200\ncloud_api.address=%s.4.1:%d\n", d.prefix, d.base+portCloud)
	s.WriteString("fault_tolerance.machines=1\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n")
	s.WriteString("bounds.seed_lag_s=3\nbounds.connectivity_window_ms=4000\nbounds.catch_up_s=4\nbounds.grace_period_s=6\nbounds.recovery_time_s=12\n")
	path := filepath.Join(d.folder, h.name+".conf")
	return path, os.WriteFile(path, []byte(s.String()), 0o600)
}

// start starts the process of a host. It must be called on the main thread, whose end
// kills the process.
func (d *deployment) start(h *host, bootstrap bool) error {
	settings, err := d.writeSettings(h, bootstrap)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/amaranthweir", "platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AMARANTHWEIR_CONFIG=" + settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(h.done)
	return nil
}

// stop sends a signal to a host and waits until it has exited, at most gracePeriod.
func (h *host) stop(signal syscall.Signal) error {
	if err := h.cmd.Process.Signal(signal); err != nil {
		return err
	}
	select {
	case <-h.done:
		return nil
	case <-time.After(gracePeriod):
		return h.cmd.Process.Kill()
	}
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, h := range append(append([]*host{}, d.control...), d.entry...) {
		if h.cmd != nil {
			_ = h.cmd.Process.Kill()
			<-h.done
		}
	}
	_ = os.RemoveAll(d.folder)
}

// configuration returns a valid configuration.
func configuration(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":"lepu270","path_prefix":"/","kind":"primary","timeout_ms":800,"target_latency_ms":150,"priority":0,"service":"huvo11a","max_attempts":2}],"services":[{"name":"huvo11a","health_check_path":"/healthz","max_connections":46,"protocol":"h1","tls_enabled":false,"sync_replicas":1}],"limits":{"txn_idle_ms":3000}}`, version)
}

// replace sends a configuration to the hosts in turn until one acknowledges it, and
// returns that host.
func (d *deployment) replace(hosts []*host, version int) (*host, error) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, h := range hosts {
			resp, err := d.client.Post(d.callsURL(h, "/v1/Config.Replace"), "application/json", strings.NewReader(configuration(version)))
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				d.say("version %d is acknowledged by %s", version, h.name)
				return h, nil
			}
		}
	}
	return nil, fmt.Errorf("version %d is not acknowledged", version)
}

// fetch reads the configuration back at the hosts in turn until one returns it.
func (d *deployment) fetch(hosts []*host, limit time.Duration) (string, error) {
	last := errors.New("no answer")
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
		for _, h := range hosts {
			resp, err := d.client.Get(d.callsURL(h, "/v1/Config.Fetch"))
			if err != nil {
				last = err
				continue
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err == nil && resp.StatusCode == http.StatusOK {
				d.say("%s returns the configuration", h.name)
				return string(body), nil
			}
			last = fmt.Errorf("%s: status %d %s", h.name, resp.StatusCode, body)
		}
	}
	return "", last
}

// readyHosts returns how many entry hosts are ready.
func (d *deployment) readyHosts() int {
	ready := 0
	for _, h := range d.entry {
		resp, err := d.client.Get(fmt.Sprintf("http://%s:%d/v1/readyz", h.ip, d.base+portReady))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			ready++
		}
	}
	return ready
}

// startAll starts three control hosts and three entry hosts, and puts a first version in
// force.
func (d *deployment) startAll() error {
	for n, zone := range zones {
		core := &host{name: "core-" + zone + "-1", ip: fmt.Sprintf("%s.1.%d", d.prefix, n+1), zone: zone, control: true}
		edge := &host{name: "edge-" + zone + "-1", ip: fmt.Sprintf("%s.2.%d", d.prefix, n+1), zone: zone}
		d.control, d.entry = append(d.control, core), append(d.entry, edge)
		if err := errors.Join(d.start(core, true), d.start(edge, true)); err != nil {
			return err
		}
	}
	if _, err := d.replace(d.control, 7); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // the deployment is at rest
	d.say("%d of 3 entry hosts are ready", d.readyHosts())
	return nil
}

// replaceHost replaces the control host of the last zone: the successor starts first and
// has its time to catch up, then the old one is asked to stop.
func (d *deployment) replaceHost() error {
	old := d.control[2]
	successor := &host{name: "core-derby-2", ip: d.prefix + ".1.4", zone: "derby", control: true}
	if err := d.start(successor, false); err != nil {
		return err
	}
	d.say("%s starts, to replace %s", successor.name, old.name)
	time.Sleep(catchUp)
	d.control = append(d.control, successor)
	d.say("%s gets SIGTERM", old.name)
	if err := old.stop(syscall.SIGTERM); err != nil {
		return err
	}
	<-old.done
	d.say("%s has exited", old.name)
	return nil
}

// loseDisk kills a host and starts it again with an empty data folder.
func (d *deployment) loseDisk(h *host) error {
	if err := h.stop(syscall.SIGKILL); err != nil {
		return err
	}
	<-h.done
	if err := os.RemoveAll(d.dataFolder(h)); err != nil {
		return err
	}
	d.say("%s loses power and its disk", h.name)
	time.Sleep(downTime)
	d.say("%s starts again at its address, with an empty disk", h.name)
	return d.start(h, false)
}

// play plays the case. It returns what broke the rule, or an empty text.
func (d *deployment) play(trouble bool) (string, error) {
	if err := errors.Join(d.startAll(), d.replaceHost()); err != nil {
		return "", err
	}
	running := []*host{d.control[0], d.control[1], d.control[3]}
	time.Sleep(lossDelay)
	if trouble {
		// One of the two that remain of the first start; either may lead.
		if err := d.loseDisk(d.control[1]); err != nil {
			return "", err
		}
	}
	body, err := d.fetch(running, recoveryTime)
	time.Sleep(time.Second)
	d.say("%d of 3 entry hosts are ready", d.readyHosts())
	switch {
	case err != nil:
		return fmt.Sprintf("CONFIG: the configuration does not come, %v after the last event: %v", recoveryTime, err), nil
	case body != configuration(7):
		return "CONFIG: what is read back is not what was acknowledged", nil
	}
	return "", nil
}

// The processes are started on the main thread, so that their parent-death signal comes
// with the end of this process.
func init() { runtime.LockOSThread() }

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: review-replacement FOLDER")
		return exitNotRun
	}
	record, err := os.Create(filepath.Join(os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	d := &deployment{
		folder: folder, prefix: fmt.Sprintf("127.%d", 20+os.Getpid()%200), record: record, started: time.Now(),
		client: &http.Client{Timeout: time.Second},
	}
	defer d.close()
	time.AfterFunc(timeLimit, func() {
		d.say("not run: the case takes too long")
		os.Exit(exitNotRun) // the parent-death signal ends the processes
	})
	trouble := os.Getenv("TROUBLE") != "0"
	d.say("trouble=%t", trouble)
	broken, err := "", d.choosePorts()
	if err == nil {
		broken, err = d.play(trouble)
	}
	switch {
	case err != nil:
		d.say("not run: %v", err)
		return exitNotRun
	case broken != "":
		d.say("broken: %s", broken)
		return exitBroken
	}
	d.say("the rule held")
	return exitHeld
}
