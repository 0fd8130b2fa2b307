package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/cli"
	"github.com/amaranthweir/amaranthweir/internal/config"
)

// trace runs "amaranthweir trace" on the logs of all hosts until its output
// contains all parts in order.
func (d *deployment) trace(t *testing.T, id string, parts ...string) {
	t.Helper()
	var out string
	defer func() {
		if t.Failed() {
			t.Logf("trace of %s:\n%s", id, out)
		}
	}()
	d.waitFor(fmt.Sprintf("the logs explain %s", id), func() bool {
		args := []string{"trace", "--request", id}
		dir := t.TempDir()
		for name, p := range d.hosts {
			file := filepath.Join(dir, name)
			assert.NilError(t, os.WriteFile(file, []byte(p.log.String()), 0o600))
			args = append(args, file)
		}
		var stdout, stderr bytes.Buffer
		serve := func(context.Context, *config.Settings) error { return nil }
		cli.Run(t.Context(), args, &stdout, &stderr, serve, nil)
		out = stdout.String() + stderr.String()
		return containsInOrder(out, parts)
	})
}

// containsInOrder reports whether text contains all parts in order, without
// overlap.
func containsInOrder(text string, parts []string) bool {
	for _, part := range parts {
		_, after, found := strings.Cut(text, part)
		if !found {
			return false
		}
		text = after
	}
	return true
}

// testExplainBusy checks that the logs contain what the section "Refused as busy
// although instances seem idle" of docs/OPERATIONS.md refers to.
func testExplainBusy(t *testing.T, d *deployment) {
	primary := d.group.Primary()
	primary.RefuseBusy(1 << 30)
	defer primary.RefuseBusy(0)
	c, err := connect(d.entryAddress(1), "payments")
	assert.NilError(t, err)
	defer c.close()
	r, err := c.exec("busy-1", "READ apron")
	assert.NilError(t, err)
	assert.Equal(t, r.code, "BUSY")
	d.trace(
		t, "busy-1",
		`"msg":"route"`,
		`"kind":"upstream_busy"`, `"msg":"attempt refused"`,
		`"effect":"not run"`, `"kind":"upstream_busy"`, `"msg":"request failed"`,
	)
}

// quickRoute is a route with a staleness of 400 ms and a timeout of 300 ms.
const quickRoute = `,
{"name":"r9","host":"quick","path_prefix":"/","kind":"bounded_stale","timeout_ms":300,"target_latency_ms":100,"priority":1,"service":"g1","max_staleness_ms":400}`

// testExplainDoubtAndStaleness checks that the logs contain what the sections
// "Outcome unknown at a change of primary" and "A read refused as stale" of
// docs/OPERATIONS.md refer to. A primary stops answering, and the promotion of
// its successor takes longer than the staleness of a read.
func testExplainDoubtAndStaleness(t *testing.T, d *deployment) {
	d.replaceConfiguration(40, quickRoute)
	var reader *caller
	d.waitFor("the route is known", func() bool {
		var err error
		reader, err = connect(d.entryAddress(1), "quick")
		return err == nil
	})
	defer reader.close()
	writer, err := connect(d.entryAddress(0), "payments")
	assert.NilError(t, err)
	defer writer.close()

	old := d.group.Primary()
	d.group.SetPromoteTime(slowPromotionTime)
	old.Silence(true)
	written := make(chan string, 1)
	go func() {
		r, err := writer.exec("doubt-1", "WRITE pay 4")
		written <- fmt.Sprint(r.code, err)
	}()
	n := 0
	d.waitFor("a read is refused", func() bool {
		n++
		r, err := reader.exec(fmt.Sprint("stale-", n), "READ apron")
		assert.NilError(t, err)
		return r.code == "BUSY"
	})
	assert.Equal(t, <-written, "INDOUBT<nil>")

	d.trace(t, "doubt-1", `"instance":"`+string(old.ID)+`"`, `"msg":"route"`, `"effect":"unknown"`, `"msg":"request failed"`)
	d.trace(t, fmt.Sprint("stale-", n), `"kind":"staleness_unprovable"`, `"msg":"request failed"`)
	assert.Assert(t, containsInOrder(d.controlLogs(), []string{`"msg":"change of primary"`, `"msg":"promote"`}), d.logs())
	d.waitFor("another primary serves", func() bool { return d.group.Primary() != old })
	d.group.SetPromoteTime(promotionTime)
	old.Silence(false)
	underLoad(t, d, func() {})
}

// controlLogs returns the logs of all control hosts.
func (d *deployment) controlLogs() string {
	var out strings.Builder
	for _, p := range d.hosts {
		if p.control {
			out.WriteString(p.log.String())
		}
	}
	return out.String()
}
