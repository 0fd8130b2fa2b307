package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// catchUpTime is how long a control host with an empty disk may take until it
	// counts as a full member again.
	catchUpTime = 6 * time.Second
	// recoveryTime is how long the control hosts may take after a power loss of
	// all of them.
	recoveryTime = 15 * time.Second
	// toleratedDisks is the number of disks of six control hosts that may be lost.
	toleratedDisks = 2
)

// controlHosts returns the names of the control hosts in use, sorted.
func (d *deployment) controlHosts() (names []string) {
	for name, p := range d.hosts {
		if p.control {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

var leaderLine = regexp.MustCompile(`"leader":"([0-9.]+)".*"msg":"control leader changed"`)

// controlLeader waits until all control hosts in use name the same host in use as
// the leader, and returns its name.
func (d *deployment) controlLeader() string {
	d.t.Helper()
	leader := ""
	d.waitFor("a control leader", func() bool {
		named := map[string]bool{}
		for _, name := range d.controlHosts() {
			if lines := leaderLine.FindAllStringSubmatch(d.hosts[name].log.String(), -1); len(lines) > 0 {
				named[lines[len(lines)-1][1]] = true
			}
		}
		for _, name := range d.controlHosts() {
			if named[d.hosts[name].ip] && len(named) == 1 {
				leader = name
				return true
			}
		}
		return false
	})
	return leader
}

// controlFollowers returns the control hosts in use that do not lead.
func (d *deployment) controlFollowers() []string {
	leader := d.controlLeader()
	return slices.DeleteFunc(d.controlHosts(), func(name string) bool { return name == leader })
}

// seedsOf returns the value of seed_nodes that lists the first three of the
// given control hosts.
func (d *deployment) seedsOf(names []string) string {
	var seeds []string
	for _, name := range names[:3] {
		seeds = append(seeds, d.hosts[name].ip+":"+d.ports["calls"])
	}
	return strings.Join(seeds, ",")
}

// replaceControlHost kills a control host for good and starts one without a log
// at another address, whose settings list only hosts that do not lead.
func (d *deployment) replaceControlHost(name string, next *hostProcess) {
	d.t.Helper()
	_ = d.stopHost(name, syscall.SIGKILL) // reports that the process was killed
	delete(d.hosts, name)
	next.control, next.seeds = true, d.seedsOf(d.controlFollowers())
	d.startHost(next, zones[0])
	time.Sleep(catchUpTime)
}

// fetchWithin asks all control hosts in use for the configuration until one of
// them confirms it as the latest, at most for the given time. It returns the last
// status if none does.
func (d *deployment) fetchWithin(limit time.Duration) (body string, lastStatus string) {
	d.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for _, name := range d.controlHosts() {
			resp, err := client.Get("http://" + d.hosts[name].ip + ":" + d.ports["calls"] + "/v1/Config.Fetch")
			if err != nil {
				lastStatus = err.Error()
				continue
			}
			read, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err == nil && resp.StatusCode == http.StatusOK {
				return string(read), ""
			}
			lastStatus = resp.Status
		}
	}
	return "", lastStatus
}

// Of six control hosts two are replaced by empty ones, one after the other. Then
// all hosts lose power at once and two of them their disks: the configuration
// must come back. The replaced hosts had never become members, for the leader was
// not in their settings, and with the lost disks no majority was left.
func TestDisksLostAfterControlHostsWereReplaced(t *testing.T) {
	d := startDeployment(t)
	for n := 3; n < 6; n++ {
		d.startHost(&hostProcess{name: fmt.Sprint("core-", n), ip: fmt.Sprintf("127.0.1.%d", n+1), control: true}, zones[n-3])
	}
	time.Sleep(catchUpTime)
	for n := range 2 {
		next := &hostProcess{name: fmt.Sprint("new-", n), ip: fmt.Sprintf("127.0.1.%d", n+11)}
		d.replaceControlHost(d.controlFollowers()[0], next)
	}
	d.replaceConfiguration(2, "")
	kept := d.controlHosts()
	for _, p := range d.hosts {
		assert.NilError(t, p.cmd.Process.Signal(syscall.SIGKILL))
	}
	for _, p := range d.hosts {
		_ = p.cmd.Wait() // reports that the process was killed
	}
	for _, name := range kept[:toleratedDisks] { // hosts of the founding
		p := d.hosts[name]
		p.seeds = d.seedsOf(kept)
		d.writeSettings(p, zones[0])
		assert.NilError(t, os.RemoveAll(p.data))
	}
	for _, p := range d.hosts {
		d.startProcess(p)
	}
	body, status := d.fetchWithin(recoveryTime)
	assert.Assert(t, strings.Contains(body, `"version":2`), "%q, last status %q\n%s", body, status, d.logs())
}

// A new control host, all of whose listed hosts are gone, joins once its settings
// file lists others, without a restart. The file was read again for heartbeats
// only, so that such a host looked like one that runs but never became a member.
func TestNewControlHostReadsItsSettingsAgain(t *testing.T) {
	d := startDeployment(t)
	next := &hostProcess{name: "new", ip: "127.0.1.11", control: true, seeds: "127.0.1.21:1,127.0.1.22:1,127.0.1.23:1"}
	d.startHost(next, zones[0])
	time.Sleep(time.Second)
	next.seeds = d.seedNodes()
	d.writeSettings(next, zones[0])
	d.waitFor("the new control host knows the leader", func() bool {
		return len(leaderLine.FindStringSubmatch(next.log.String())) > 0
	})
}

// Guards against a control host that keeps its vote when it has stopped as planned,
// although its successor could take it: another control host loses its disk right after
// that, and no leader is left, for good.
func TestDiskLostRightAfterAPlannedReplacement(t *testing.T) {
	for _, leads := range []bool{false, true} {
		t.Run(fmt.Sprintf("the replaced host leads: %t", leads), func(t *testing.T) {
			d := startDeploymentWith(t, "fault_tolerance.machines=1\n")
			old, lost := d.controlFollowers()[0], d.controlLeader()
			if leads {
				old, lost = lost, old
			}
			successor := &hostProcess{name: "new", ip: "127.0.1.11", control: true, seeds: d.seedNodes()}
			d.startHost(successor, zones[0])
			time.Sleep(catchUpTime)
			d.replaceConfiguration(2, "")
			assert.NilError(t, d.stopHost(old, syscall.SIGTERM))
			delete(d.hosts, old)

			p := d.hosts[lost]
			_ = d.stopHost(lost, syscall.SIGKILL) // reports that the process was killed
			p.seeds = d.seedNodes()
			d.writeSettings(p, zones[0])
			assert.NilError(t, os.RemoveAll(p.data))
			d.startProcess(p)
			body, status := d.fetchWithin(recoveryTime)
			assert.Assert(t, strings.Contains(body, `"version":2`), "%q, last status %q\n%s", body, status, d.logs())
		})
	}
}
