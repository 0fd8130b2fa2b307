package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// The roles of the deploy file run this command.
const command = "target/amaranthweir"

// ports are the ports of the deployment, the same on all machines.
type ports struct{ calls, callers, ready, peers, cloud, instances int }

// host is a machine with one process of the system.
type host struct {
	name, ip, zone string
	control        bool
	dir            string
	cmd            *exec.Cmd
	starts         int
}

// deployment is a small deployment: a control machine and an entry machine in each of
// three zones, and one service.
type deployment struct {
	work   string
	ports  ports
	hosts  []*host
	group  *group
	rec    *record
	relays []*relay // from the cut instance to each control machine
}

var zones = []string{"a", "b", "c"}

func (d *deployment) controlAddress(n int) string {
	return fmt.Sprintf("127.0.1.%d:%d", n+1, d.ports.calls)
}

func (d *deployment) entryAddress(n int) string {
	return fmt.Sprintf("127.0.2.%d:%d", n+1, d.ports.callers)
}

// freePorts returns ports that are free now.
func freePorts() (ports, error) {
	var found []int
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	for len(found) < 7 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return ports{}, err
		}
		listeners = append(listeners, l)
		found = append(found, l.Addr().(*net.TCPAddr).Port)
	}
	return ports{found[0], found[1], found[2], found[3], found[4], found[5]}, nil
}

func (d *deployment) startHosts() error {
	for n, zone := range zones {
		d.hosts = append(d.hosts,
			&host{name: "core-" + zone, ip: fmt.Sprintf("127.0.1.%d", n+1), zone: zone, control: true},
			&host{name: "edge-" + zone, ip: fmt.Sprintf("127.0.2.%d", n+1), zone: zone})
	}
	for _, h := range d.hosts {
		h.dir = filepath.Join(d.work, h.name)
		if err := os.MkdirAll(filepath.Join(h.dir, "data"), 0o755); err != nil {
			return err
		}
		if err := d.startHost(h); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) settings(h *host) string {
	var seeds []string
	for n := range zones {
		seeds = append(seeds, d.controlAddress(n))
	}
	lines := []string{
		"node_name=" + h.name, "ip=" + h.ip, "zone=" + h.zone, "region=r",
		fmt.Sprintf("internal_port_range=%d,%d", d.ports.peers, d.ports.peers+1),
		"seed_nodes=" + strings.Join(seeds, ","), fmt.Sprintf("bootstrap=%t", h.starts == 0),
		"heartbeat_interval_ms=1200", fmt.Sprintf("cloud_api.address=127.0.0.1:%d", d.ports.cloud),
		"fault_tolerance.machines=1", "bounds.grace_period_s=6", "bounds.drain_timeout_ms=7000",
	}
	if h.control {
		lines = append(lines, fmt.Sprintf("listen_addrs.control_plane=%s:%d", h.ip, d.ports.calls),
			"data_directory="+filepath.Join(h.dir, "data"), "limits.memory_mb=280", "limits.disk_mb=128")
	} else {
		lines = append(lines, fmt.Sprintf("listen_addrs.frontend=%s:%d", h.ip, d.ports.callers),
			fmt.Sprintf("listen_addrs.readiness=%s:%d", h.ip, d.ports.ready), "limits.memory_mb=284")
	}
	return strings.Join(lines, "\n") + "\n"
}

// startHost starts the process of a machine. Its log goes to a file in its folder.
func (d *deployment) startHost(h *host) error {
	file := filepath.Join(h.dir, "boot.conf")
	if err := os.WriteFile(file, []byte(d.settings(h)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(h.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	h.cmd = exec.Command(command, "platform")
	h.cmd.Env = append(os.Environ(), "AMARANTHWEIR_CONFIG="+file)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.starts++
	return h.cmd.Start()
}

// stopAll ends every process that this program started.
func (d *deployment) stopAll() {
	for _, h := range d.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Kill()
		}
	}
	for _, h := range d.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Wait()
		}
	}
	for _, in := range d.group.instances {
		in.stop(false)
	}
}

// waitFor polls until condition holds.
func waitFor(what string, limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("%s: not within %v", what, limit)
}
