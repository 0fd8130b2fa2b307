package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/bench/ledger"
	"github.com/amaranthweir/amaranthweir/internal/waittest"
)

// shortSeed is the seed of the short run. Its schedule has a killed and a stopped host,
// paused processes, cut and silent links, changes of the document and of a primary.
const shortSeed = 1

// groupCutsSeed is the seed of the short run of group cuts. It kills all hosts.
const groupCutsSeed = 2

// buildBinaries builds the programs that a run starts.
func buildBinaries(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	const module = "github.com/amaranthweir/amaranthweir"
	build := exec.Command("go", "build", "-o", folder, module+"/cmd/amaranthweir", module+"/standin/cmd/standin", module+"/standin/cmd/soak")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, "%s", out)
	return folder
}

// TestShortRun runs one seed against real processes. It does not wait until documents
// must be in force everywhere; runs by hand do.
func TestShortRun(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for several seconds")
	}
	cfg := Config{
		Seed: shortSeed, Duration: 8 * time.Second, Hosts: 3, ControlHosts: 3, Groups: 2, Callers: 8,
		Bin: buildBinaries(t), Out: t.TempDir(), Settle: time.Second,
	}
	report, err := Run(t.Context(), cfg)
	assert.NilError(t, err)
	t.Log(report.Text())
	assert.NilError(t, report.Verdict())
	assert.Equal(t, len(report.Connections), 5, "%v", report.Connections)
	for kind, n := range report.Connections {
		assert.Assert(t, n > 0, "no connection went through the links of kind %q", kind)
	}
	for _, v := range report.Verdicts[:3] {
		assert.Equal(t, v.Result, ledger.Kept, "%+v", v)
	}
	left, err := filepath.Glob(filepath.Join(cfg.Out, "*"))
	assert.NilError(t, err)
	assert.Equal(t, len(left), 0, "a run without a finding leaves no files")
}

// TestShortRunOfGroupCuts guards against lost writes and lasting outages where all replicas
// of a group are cut off beside a primary that is back, and all hosts are killed meanwhile.
func TestShortRunOfGroupCuts(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for several seconds")
	}
	cfg := Config{
		Seed: groupCutsSeed, Duration: 10 * time.Second, Hosts: 3, ControlHosts: 3, Groups: 2, Callers: 8, GroupCuts: true,
		Bin: buildBinaries(t), Out: t.TempDir(), Settle: time.Second,
	}
	report, err := Run(t.Context(), cfg)
	assert.NilError(t, err)
	t.Log(report.Text())
	assert.NilError(t, report.Verdict())
}

// TestNoProcessIsLeftBehind interrupts a run in the ways in which it can end early. A
// killed run stands for a panic as well: in both cases the run cannot stop its
// processes, and the system kills them.
func TestNoProcessIsLeftBehind(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes for several seconds")
	}
	bin := buildBinaries(t)
	for _, s := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(s.String(), func(t *testing.T) {
			out := t.TempDir()
			cmd := exec.Command(filepath.Join(bin, "soak"), "--seed", fmt.Sprint(shortSeed), "--hosts", "3", "--groups", "1", "--out", out)
			assert.NilError(t, cmd.Start())
			ids := map[string]int{}
			waittest.Until(t, "the run has started its processes", func() bool {
				files, err := filepath.Glob(filepath.Join(out, "*", processesFile))
				if err != nil || len(files) == 0 {
					return false
				}
				text, err := os.ReadFile(files[0])
				return err == nil && json.Unmarshal(text, &ids) == nil
			})
			assert.Equal(t, len(ids), 6, "%v", ids)
			assert.NilError(t, cmd.Process.Signal(s))
			err := cmd.Wait()
			assert.Assert(t, err != nil, "an interrupted run does not succeed")
			for name, id := range ids {
				waittest.Until(t, name+" has ended", func() bool { return !runs(id, bin) })
			}
		})
	}
}

// runs reports whether a process with the id runs a program of the folder.
func runs(id int, folder string) bool {
	program, err := os.Readlink(fmt.Sprintf("/proc/%d/exe", id))
	return err == nil && strings.HasPrefix(program, folder)
}
