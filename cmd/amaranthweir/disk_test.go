package main

import (
	"encoding/base64"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// largestConfiguration is the largest body that the platform sends, in bytes.
	largestConfiguration = 262_144
	// diskMegabytes is the size of each control host's disk in the tests. That of
	// the platform, 128 MB, takes eight times as many changes.
	diskMegabytes = 16
	// changeInterval is the time between two configurations.
	changeInterval = 50 * time.Millisecond
)

// largeConfiguration returns a valid configuration of largestConfiguration bytes
// that hardly compresses. It has one route more than configuration, for the
// database "d" followed by the version.
func largeConfiguration(version int) string {
	route := fmt.Sprintf(`,{"name":"x","host":"d%d","path_prefix":"/","kind":"primary","timeout_ms":3000,"target_latency_ms":100,"priority":0,"service":"g1"}`, version)
	body := configuration(version, route)
	const field = `"note":"",`
	noise := make([]byte, largestConfiguration)
	_, _ = rand.NewChaCha8([32]byte{byte(version), byte(version >> 8)}).Read(noise) // never returns an error
	text := base64.StdEncoding.EncodeToString(noise)[:largestConfiguration-len(body)-len(field)]
	return strings.Replace(body, "{", `{"note":"`+text+`",`, 1)
}

// folderBytes returns the size of the files in a folder that is in use.
func folderBytes(t *testing.T, path string) int64 {
	t.Helper()
	entries, err := os.ReadDir(path)
	assert.NilError(t, err)
	var total int64
	for _, e := range entries {
		info, err := e.Info()
		if errors.Is(err, fs.ErrNotExist) {
			continue // removed meanwhile
		}
		assert.NilError(t, err)
		total += info.Size()
	}
	return total
}

// Guards against control hosts that fill their disks by themselves: their log was
// compacted every 1000 entries, however large these are. All held the same log, so
// all stopped at once, and no change was acknowledged any more.
func TestLargeConfigurationsFitOnTheDisk(t *testing.T) {
	const changes = 75 // of 350 kB each in the log, 26 MB in total
	d := startDeploymentWith(t, fmt.Sprintf("limits.disk_mb=%d\n", diskMegabytes))
	peak := map[string]int64{}
	for version := 2; version < 2+changes; version++ {
		body := largeConfiguration(version)
		n := 0
		d.waitFor(fmt.Sprintf("configuration %d is acknowledged", version), func() bool {
			n++
			status, err := d.post(n%len(zones), "/v1/Config.Replace", body)
			return err == nil && status == http.StatusOK
		})
		for _, zone := range zones {
			name := "core-" + zone
			peak[name] = max(peak[name], folderBytes(t, d.hosts[name].data))
		}
		time.Sleep(changeInterval)
	}
	t.Logf("largest data folders in bytes: %v", peak)
	for name, bytes := range peak {
		assert.Assert(t, bytes <= diskMegabytes*1_000_000, "%s needed %d bytes", name, bytes)
	}
	last := fmt.Sprint("d", 1+changes)
	d.waitFor("the last configuration is in force", func() bool {
		c, err := connect(d.entryAddress(1), last)
		if err != nil {
			return false
		}
		c.close()
		return true
	})
	for _, zone := range zones {
		log := d.hosts["core-"+zone].log.String()
		assert.Assert(t, !strings.Contains(log, "the disk refuses writes"), log)
	}
}
