package main

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// invalidCall is a call about an instance that no instance sends.
type invalidCall struct {
	what, path, body string
}

// strayHeartbeat is the heartbeat of an instance that does not exist, at an address
// where nobody listens. Each invalid call differs from it in one respect.
const strayHeartbeat = `{"service":"g1","address":"127.0.3.200:4999","zone":"a","version":"v1","capacity":4,"state":"ready","warmup_remaining_ms":0,"db_role":"replica","sequence":1,"born":1700000000001}`

// invalidCalls returns calls of which each is unusable for one reason. Those with
// the id i-1 name an instance that exists.
func invalidCalls() []invalidCall {
	const heartbeats, deregistrations = "/v1/Instances.Heartbeat/", "/v1/Instances.Deregister/"
	const id = "stray-1"
	var entries []invalidCall
	add := func(what, path, body string) { entries = append(entries, invalidCall{what, path, body}) }
	replace := func(what, path, old, changed string) {
		body := strings.Replace(strayHeartbeat, old, changed, 1)
		if body == strayHeartbeat {
			panic(what + ": nothing was replaced")
		}
		add(what, path, body)
	}
	deep := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	replace("nested too deeply to be read", heartbeats+id, `"v1"`, deep(20_000))
	replace("nested deeply", heartbeats+id, `"v1"`, deep(9_000))
	add("nothing but nesting", heartbeats+id, strings.Repeat(`{"service":`, 5_000))
	for _, address := range []string{
		"127.0.3.200:99999", "127.0.3.200:65536", "127.0.3.200:0", "127.0.3.200:-1", "127.0.3.200", "localhost:4999",
		"0.0.0.0:4999", "224.0.0.1:4999", "[fe80::1%lo]:4999", "127.0.3.200:04999", "127.0.3.200:4999\\nSTATUS",
	} {
		replace("address "+address, heartbeats+id, "127.0.3.200:4999", address)
	}
	for _, number := range []string{"1e400", "1e18", "9000000000000000000", "18446744073709551616", "10001", "-1", "1.5", `"4"`, "null"} {
		replace("capacity "+number, heartbeats+id, `"capacity":4`, `"capacity":`+number)
	}
	for _, number := range []string{"1e400", "18446744073709551616", "18446744073709551615", "9007199254740991", "-1"} {
		replace("sequence "+number, heartbeats+id, `"sequence":1`, `"sequence":`+number)
		replace("born "+number, heartbeats+id, `1700000000001`, number)
		replace("the sequence of another instance "+number, heartbeats+"i-1", `"sequence":1,"born":1700000000001`, `"sequence":`+number+`,"born":1700000000000`)
		replace("the start of another instance "+number, heartbeats+"i-1", `1700000000001`, number)
		add("the end of another instance with the start "+number, deregistrations+"i-1", `{"born":`+number+`}`)
	}
	for what, escaped := range map[string]string{"blank": "stray%201", "line feed": "stray%0A1", "NUL": "stray%001", "no ASCII": "stray%C3%BF", "a kilobyte": strings.Repeat("stray-1", 200)} {
		add("id with "+what, heartbeats+escaped, strayHeartbeat)
	}
	for _, field := range []string{"service", "address", "zone", "version", "capacity", "state", "warmup_remaining_ms", "db_role", "sequence"} {
		replace("without "+field, heartbeats+id, `"`+field+`"`, `"x"`)
		replace(field+" twice", heartbeats+id, `{`, `{"`+field+`":null,`)
	}
	replace("another service", heartbeats+id, `"g1"`, `"g2"`)
	replace("a service of two lines", heartbeats+id, `"g1"`, `"g1\n"`)
	replace("unknown state", heartbeats+id, `"ready"`, `"sleepy"`)
	replace("unknown role", heartbeats+id, `"replica"`, `"witness"`)
	replace("bytes that are not UTF-8", heartbeats+id, `"v1"`, "\"\xff\"")
	add("an unfinished entry", heartbeats+id, strayHeartbeat[:40])
	add("two entries", heartbeats+id, strayHeartbeat+strayHeartbeat)
	return entries
}

// isRunning reports whether the process of a host has not ended.
func (p *hostProcess) isRunning() bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	return err == nil && !regexp.MustCompile(`\) Z `).Match(stat)
}

func (d *deployment) checkAllRun(when string) {
	d.t.Helper()
	for name, p := range d.hosts {
		assert.Check(d.t, p.isRunning(), "%s: %s ended\n%s", when, name, d.logs())
	}
}

// changePrimary ends the primary and waits until another one serves writes.
func (d *deployment) changePrimary(when string) {
	d.t.Helper()
	old := d.group.Primary()
	old.Kill()
	d.waitFor(when+": another primary serves", func() bool {
		c, err := connect(d.entryAddress(1), "payments")
		if err != nil {
			return false
		}
		defer c.close()
		r, err := c.exec(fmt.Sprint("k", time.Now().UnixNano()), "WRITE pay 3")
		return err == nil && r.ok()
	})
	assert.Assert(d.t, d.group.Primary() != old)
	assert.NilError(d.t, old.Start())
}

// TestInvalidAnnouncementsNameNoInstance guards against one call of an unknown sender (very
// deeply nested, with a number too large or a port out of range) that ends processes
// again and again, or keeps a group from ever getting a new primary, also after a
// restart of all control hosts.
func TestInvalidAnnouncementsNameNoInstance(t *testing.T) {
	d := startDeployment(t)
	for _, e := range invalidCalls() {
		for n := range zones {
			status, err := d.post(n, e.path, e.body)
			assert.Check(t, err, "%s: no answer", e.what)
			assert.Check(t, cmp.Equal(status, http.StatusBadRequest), "%s", e.what)
		}
	}
	for n := range zones { // these have no numbers, so that their senders are not known
		_, err := d.post(n, "/v1/Instances.Deregister/i-1", `{}`)
		assert.NilError(t, err)
		_, err = d.post(n, "/v1/Instances.Deregister/i-2", ``)
		assert.NilError(t, err)
	}
	d.checkAllRun("after the invalid calls")
	underLoad(t, d, func() { time.Sleep(time.Second) })
	d.changePrimary("after the invalid calls")
	d.checkAllRun("after the change of primary")

	before := d.fetchConfiguration()
	for n := range zones {
		_ = d.stopHost("core-"+zones[n], syscall.SIGKILL) // Wait reports the signal as an error
	}
	for n := range zones {
		d.startProcess(d.hosts["core-"+zones[n]])
	}
	assert.Equal(t, d.fetchConfiguration(), before)
	underLoad(t, d, func() { time.Sleep(time.Second) })
	d.changePrimary("after the restart of all control hosts")
	d.checkAllRun("at the end")
	for name, p := range d.hosts {
		for line := range strings.Lines(p.log.String()) {
			used := strings.Contains(line, `"instance announced"`) || strings.Contains(line, `"place"`) || strings.Contains(line, `"instance left"`)
			stray := strings.Contains(line, `stray`) || strings.Contains(line, "127.0.3.200") || strings.Contains(line, `"instance left"`)
			assert.Check(t, !used || !stray, "%s: %s", name, line)
		}
	}
}

// TestNumbersAheadOfInstance guards against an announcement of an unknown sender that has numbers
// ahead of those of a true instance and leaves its group without that instance for ever,
// and then without a primary.
func TestNumbersAheadOfInstance(t *testing.T) {
	d := startDeployment(t)
	for n, id := range []string{"i-1", "i-2", "i-3"} {
		body := strings.Replace(strayHeartbeat, `1700000000001`, `1900000000000`, 1)
		if n == 1 {
			body = strings.Replace(strayHeartbeat, `"sequence":1,"born":1700000000001`, `"sequence":4294967295,"born":1700000000000`, 1)
		}
		status, err := d.post(n, "/v1/Instances.Heartbeat/"+id, body)
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	d.changePrimary("after the entries")
	underLoad(t, d, func() { time.Sleep(time.Second) })
	d.changePrimary("once more")
	d.checkAllRun("at the end")
}
