package wal_test

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"

	"github.com/amaranthweir/amaranthweir/internal/consensus"
	"github.com/amaranthweir/amaranthweir/internal/wal"
	"github.com/amaranthweir/amaranthweir/internal/wal/waltest"
	"gotest.tools/v3/assert"
)

// loseUnsynced is an argument of Folder.Crash: no unsynced byte survives.
var loseUnsynced = func(int) int { return 0 }

func openLog(t *testing.T, fs wal.FS) (*wal.Log, wal.Contents) {
	t.Helper()
	l, c, err := wal.Open(fs, wal.Options{SegmentBytes: 512})
	assert.NilError(t, err)
	return l, c
}

func entry(index, term uint64) consensus.Entry {
	return consensus.Entry{Index: index, Term: term, Data: fmt.Appendf(nil, "entry %d of term %d", index, term)}
}

func hardState(term uint64) *consensus.HardState {
	return &consensus.HardState{Term: term, Vote: consensus.NodeID{Host: "b", Incarnation: 9}, Commit: term}
}

func snapshot(index, term uint64) consensus.Snapshot {
	return consensus.Snapshot{Index: index, Term: term, Data: []byte("state")}
}

// newFilledFolder returns a folder with a synced log of n entries. Entry i has
// term i. The log has several segments if n is at least 20.
func newFilledFolder(t *testing.T, n uint64) *waltest.Folder {
	t.Helper()
	fs := waltest.NewFolder()
	l, _ := openLog(t, fs)
	for i := uint64(1); i <= n; i++ {
		assert.NilError(t, l.Save(hardState(i), []consensus.Entry{entry(i, i)}, true))
	}
	return fs
}

func lastSegment(t *testing.T, fs *waltest.Folder) string {
	t.Helper()
	names, err := fs.List()
	assert.NilError(t, err)
	for i := len(names) - 1; i >= 0; i-- {
		if strings.HasSuffix(names[i], ".log") {
			return names[i]
		}
	}
	t.Fatal("no segment")
	return ""
}

// checkPrefix checks that the entries of c are a prefix of those that
// newFilledFolder writes, of atLeast to atMost entries.
func checkPrefix(t *testing.T, c wal.Contents, atLeast, atMost uint64) {
	t.Helper()
	n := uint64(len(c.Entries))
	assert.Assert(t, n >= atLeast && n <= atMost, "%d entries", n)
	for i, e := range c.Entries {
		assert.DeepEqual(t, e, entry(uint64(i)+1, uint64(i)+1))
	}
	assert.Assert(t, c.HardState.Term == n || c.HardState.Term+1 == n, "term %d with %d entries", c.HardState.Term, n)
}

func TestSavedEntriesSurviveCrash(t *testing.T) {
	fs := newFilledFolder(t, 20)
	l, c := openLog(t, fs.Crash(loseUnsynced))
	checkPrefix(t, c, 20, 20)
	assert.DeepEqual(t, c.HardState, *hardState(20))
	assert.NilError(t, l.Save(nil, []consensus.Entry{entry(21, 20)}, true))
}

func TestEntriesAreReplaced(t *testing.T) {
	fs := newFilledFolder(t, 20)
	l, _ := openLog(t, fs)
	assert.NilError(t, l.Save(nil, []consensus.Entry{entry(5, 30), entry(6, 30)}, true))
	_, c := openLog(t, fs.Crash(loseUnsynced))
	assert.Equal(t, len(c.Entries), 6)
	assert.DeepEqual(t, c.Entries[4:], []consensus.Entry{entry(5, 30), entry(6, 30)})
}

func TestSnapshots(t *testing.T) {
	cases := map[string]struct {
		do    func(l *wal.Log) error
		index uint64
		first uint64
		last  uint64
	}{
		"compaction keeps the tail":  {func(l *wal.Log) error { return l.SaveSnapshot(snapshot(17, 17)) }, 17, 18, 20},
		"compaction of all":          {func(l *wal.Log) error { return l.SaveSnapshot(snapshot(20, 20)) }, 20, 0, 0},
		"reset drops the tail":       {func(l *wal.Log) error { return l.ResetTo(snapshot(17, 40)) }, 17, 0, 0},
		"reset beyond the log":       {func(l *wal.Log) error { return l.ResetTo(snapshot(99, 40)) }, 99, 0, 0},
		"lower snapshot is ignored":  {twoSnapshots(15, 3), 15, 16, 20},
		"two snapshots in a segment": {twoSnapshots(15, 16), 16, 17, 20},
		"snapshot, then a new tail":  {replaceTail, 15, 16, 17},
		"reset, then more entries":   {appendAfterReset, 50, 51, 51},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			fs := newFilledFolder(t, 20)
			l, _ := openLog(t, fs)
			assert.NilError(t, c.do(l))
			for range 2 {
				fs = fs.Crash(loseUnsynced)
				_, got := openLog(t, fs)
				assert.Equal(t, got.Snapshot.Index, c.index)
				assert.Equal(t, string(got.Snapshot.Data), "state")
				assert.Equal(t, got.HardState.Term, uint64(20))
				if c.first == 0 {
					assert.Equal(t, len(got.Entries), 0)
					continue
				}
				assert.Equal(t, got.Entries[0].Index, c.first)
				assert.Equal(t, got.Entries[len(got.Entries)-1].Index, c.last)
			}
		})
	}
}

func twoSnapshots(a, b uint64) func(l *wal.Log) error {
	return func(l *wal.Log) error {
		return errors.Join(l.SaveSnapshot(snapshot(a, a)), l.SaveSnapshot(snapshot(b, b)))
	}
}

func replaceTail(l *wal.Log) error {
	return errors.Join(l.SaveSnapshot(snapshot(15, 15)), l.Save(nil, []consensus.Entry{entry(17, 40)}, true))
}

func appendAfterReset(l *wal.Log) error {
	return errors.Join(l.ResetTo(snapshot(50, 40)), l.Save(nil, []consensus.Entry{entry(51, 40)}, true))
}

// A power loss can tear the last write at any byte. The log must open again with
// all earlier entries and accept new ones.
func TestCrashAtEveryByte(t *testing.T) {
	for kept := 0; ; kept++ {
		fs := newFilledFolder(t, 20)
		l, _ := openLog(t, fs)
		fs.IgnoreSync = true // the power loss comes before the sync completes
		assert.NilError(t, l.Save(hardState(21), []consensus.Entry{entry(21, 21)}, true))
		complete := false
		crashed := fs.Crash(func(unsynced int) int {
			complete = complete || unsynced > 0 && kept >= unsynced
			return min(kept, unsynced)
		})
		l, c := openLog(t, crashed)
		checkPrefix(t, c, 20, 21)
		if complete {
			checkPrefix(t, c, 21, 21)
			return
		}
		next := uint64(len(c.Entries)) + 1
		assert.NilError(t, l.Save(hardState(next), []consensus.Entry{entry(next, next)}, true))
		_, c = openLog(t, crashed.Crash(loseUnsynced))
		checkPrefix(t, c, next, next)
	}
}

// A last segment that is truncated within its first records is corrupt and not
// torn, because those were synced before the file got its final name. Truncated
// anywhere later, it must open.
func TestTruncateAtEveryByte(t *testing.T) {
	content, _ := newFilledFolder(t, 20).ReadFile(lastSegment(t, newFilledFolder(t, 20)))
	failed, opened := 0, 0
	for size := range content {
		fs := newFilledFolder(t, 20)
		fs.Edit(lastSegment(t, fs), func(b []byte) []byte { return b[:size] })
		_, c, err := wal.Open(fs, wal.Options{})
		var damaged *wal.CorruptError
		if errors.As(err, &damaged) {
			failed++
			assert.Equal(t, opened, 0, "Open failed with %d bytes but succeeded with fewer", size)
			continue
		}
		assert.NilError(t, err)
		opened++
		checkPrefix(t, c, 1, 20)
	}
	assert.Assert(t, failed > 0 && opened > failed)
}

// After a power loss a file may have grown by the size of the last write but
// hold zeros where the data did not reach the disk. The log must open without
// that write.
func TestZerosAtTheEnd(t *testing.T) {
	for kept := range 40 {
		fs := newFilledFolder(t, 20)
		l, _ := openLog(t, fs)
		name := lastSegment(t, fs)
		synced, _ := fs.ReadFile(name)
		assert.NilError(t, l.Save(nil, []consensus.Entry{entry(21, 21)}, true))
		fs.Edit(name, func(b []byte) []byte {
			clear(b[min(len(synced)+kept, len(b)-1):])
			return b
		})
		_, c := openLog(t, fs)
		checkPrefix(t, c, 20, 20)
	}
}

// TestFlipEveryByte flips bits in each byte of every file. All bytes were synced,
// so Open must fail and name the damaged file.
func TestFlipEveryByte(t *testing.T) {
	build := func() *waltest.Folder {
		fs := newFilledFolder(t, 20)
		l, _ := openLog(t, fs)
		_, err := l.Identity("a", 7)
		assert.Assert(t, err != nil, "an identity can be created only before the first entry")
		assert.NilError(t, l.SaveSnapshot(snapshot(8, 8)))
		assert.NilError(t, l.Save(hardState(21), []consensus.Entry{entry(21, 21)}, true))
		return fs
	}
	names, _ := build().List()
	flips := 0
	for _, name := range names {
		content, _ := build().ReadFile(name)
		for i := range content {
			fs := build()
			fs.Edit(name, func(b []byte) []byte { b[i] ^= 0x11; return b })
			_, _, err := wal.Open(fs, wal.Options{})
			var damaged *wal.CorruptError
			assert.Assert(t, errors.As(err, &damaged), "%s byte %d: %v", name, i, err)
			assert.Equal(t, damaged.File, name)
			assert.Assert(t, damaged.Offset <= int64(i))
			flips++
		}
	}
	t.Logf("%d bytes flipped", flips)
}

func TestOpenFailsOnMissingFile(t *testing.T) {
	fs := newFilledFolder(t, 40)
	l, _ := openLog(t, fs)
	assert.NilError(t, l.SaveSnapshot(snapshot(4, 4)))
	names, _ := fs.List()
	assert.Assert(t, len(names) > 4)
	for _, name := range names[:len(names)-1] {
		damaged := fs.Crash(loseUnsynced)
		assert.NilError(t, damaged.Remove(name))
		_, _, err := wal.Open(damaged, wal.Options{})
		var corrupt *wal.CorruptError
		assert.Assert(t, errors.As(err, &corrupt), "without %s: %v", name, err)
	}
}

func TestIdentity(t *testing.T) {
	fs := waltest.NewFolder()
	l, _ := openLog(t, fs)
	first, err := l.Identity("a", 7)
	assert.NilError(t, err)
	assert.NilError(t, l.Save(hardState(1), []consensus.Entry{entry(1, 1)}, true))
	fs = fs.Crash(loseUnsynced)
	l, _ = openLog(t, fs)
	again, err := l.Identity("a", 8)
	assert.NilError(t, err)
	assert.Equal(t, again, first)
	_, err = l.Identity("b", 8)
	assert.ErrorContains(t, err, "belongs to host")
	assert.NilError(t, fs.Remove("identity"))
	_, err = l.Identity("a", 8)
	assert.ErrorContains(t, err, "identity is missing")
}

// A host that has pinned a founding membership must not get a new identity when
// it loses a file: it could count twice towards a quorum.
func TestPinnedFoundingRequiresIdentity(t *testing.T) {
	for _, name := range []string{"identity", "0000000000000001.log"} {
		fs := waltest.NewFolder()
		l, _ := openLog(t, fs)
		id, err := l.Identity("a", 7)
		assert.NilError(t, err)
		assert.NilError(t, l.SaveFounding(consensus.NewMembers(id)))
		fs = fs.Crash(loseUnsynced)
		l, _ = openLog(t, fs)
		pinned, err := l.Founding()
		assert.NilError(t, err)
		assert.Assert(t, pinned.IsVoter(id))
		assert.NilError(t, fs.Remove(name))
		l, _, err = wal.Open(fs, wal.Options{})
		if err == nil {
			_, err = l.Identity("a", 8)
		}
		var damaged *wal.CorruptError
		assert.Assert(t, errors.As(err, &damaged), name)
		assert.Equal(t, damaged.File, name)
	}
}

func TestFailedWriteDisablesLog(t *testing.T) {
	fs := newFilledFolder(t, 3)
	l, _ := openLog(t, fs)
	fs.FailWrites = true
	assert.Assert(t, l.Save(nil, []consensus.Entry{entry(4, 4)}, true) != nil)
	fs.FailWrites = false
	assert.ErrorContains(t, l.Save(nil, []consensus.Entry{entry(4, 4)}, true), "an earlier write failed")
	_, c := openLog(t, fs.Crash(func(unsynced int) int { return unsynced }))
	checkPrefix(t, c, 3, 3)
}

// TestFolderOnDisk saves, compacts and reopens a log on the real file system.
func TestFolderOnDisk(t *testing.T) {
	path := t.TempDir() + "/data"
	for round := range uint64(3) {
		fs, err := wal.OpenFolder(path)
		assert.NilError(t, err)
		_, err = wal.OpenFolder(path)
		assert.Assert(t, errors.Is(err, wal.ErrInUse))
		l, c := openLog(t, fs)
		id, err := l.Identity("a", round+1)
		assert.NilError(t, err)
		assert.Equal(t, id.Incarnation, uint64(1))
		assert.Equal(t, uint64(len(c.Entries))+c.Snapshot.Index, round*20)
		for i := round*20 + 1; i <= round*20+20; i++ {
			assert.NilError(t, l.Save(hardState(i), []consensus.Entry{entry(i, i)}, true))
		}
		assert.NilError(t, l.SaveSnapshot(snapshot(round*20+10, round*20+10)))
		assert.NilError(t, l.Close())
	}
}

func BenchmarkSave(b *testing.B) {
	fs, err := wal.OpenFolder(b.TempDir())
	assert.NilError(b, err)
	l, _, err := wal.Open(fs, wal.Options{})
	assert.NilError(b, err)
	for i := range uint64(b.N) {
		assert.NilError(b, l.Save(nil, []consensus.Entry{entry(i+1, 1)}, true))
	}
}

// Records saved without sync are written together with the next synced write.
// After a power loss each unsynced write may be complete, missing or torn,
// independently of the others. With several of them, a torn write before a
// complete one would look like a damaged file.
func TestUnsyncedSaveIsBuffered(t *testing.T) {
	fs := waltest.NewFolder()
	l, _ := openLog(t, fs)
	assert.NilError(t, l.Save(hardState(1), []consensus.Entry{entry(1, 1)}, true))
	name := lastSegment(t, fs)
	before, err := fs.ReadFile(name)
	assert.NilError(t, err)
	for commit := uint64(2); commit < 5; commit++ {
		assert.NilError(t, l.Save(hardState(commit), nil, false))
	}
	after, err := fs.ReadFile(name)
	assert.NilError(t, err)
	assert.Equal(t, len(after), len(before))
	assert.NilError(t, l.Save(nil, []consensus.Entry{entry(2, 4)}, true))
	_, c := openLog(t, fs.Crash(loseUnsynced))
	assert.Equal(t, c.HardState.Commit, uint64(4), "the hard state is written with the next synced write")
	assert.Equal(t, len(c.Entries), 2)
}

// After a failed sync the operating system still returns the data, but later
// syncs do not write it. A log that is opened again without a restart of the
// process must write what it read, so that a power loss cannot take it away.
func TestReopenAfterFailedSync(t *testing.T) {
	fs := newFilledFolder(t, 3)
	l, _ := openLog(t, fs)
	fs.FailNextSync()
	err := l.Save(hardState(4), []consensus.Entry{entry(4, 4)}, true)
	var storage *wal.StorageError
	assert.Assert(t, errors.As(err, &storage), "%v", err)
	assert.NilError(t, l.CloseFile())
	l, c, err := wal.Open(fs, wal.Options{RewriteLast: true})
	assert.NilError(t, err)
	checkPrefix(t, c, 4, 4)
	assert.NilError(t, l.Save(hardState(5), []consensus.Entry{entry(5, 5)}, true))
	_, c = openLog(t, fs.Crash(func(int) int { return 0 }))
	checkPrefix(t, c, 5, 5)
}

// A log on a disk that fills up at any single write can be opened again with
// everything that was saved before, once the disk has room.
func TestReopenAfterFullDisk(t *testing.T) {
	for write := range 30 {
		fs := newFilledFolder(t, 3)
		l, _ := openLog(t, fs)
		remaining := write
		fs.SetFull(func() bool { remaining--; return remaining < 0 })
		saved := uint64(3)
		var err error
		for i := saved + 1; err == nil && i < 20; i++ {
			if err = l.Save(hardState(i), []consensus.Entry{entry(i, i)}, true); err == nil {
				saved = i
			}
			if err == nil && i%5 == 0 {
				err = l.SaveSnapshot(snapshot(i, i))
			}
		}
		assert.NilError(t, l.CloseFile())
		if err != nil {
			_, _, full := wal.Open(fs, wal.Options{RewriteLast: true})
			var storage *wal.StorageError
			assert.Assert(t, errors.As(full, &storage), "a full disk is found when the log is opened: %v", full)
		}
		fs.SetFull(nil)
		l, c, err := wal.Open(fs, wal.Options{RewriteLast: true})
		assert.NilError(t, err)
		last := c.Snapshot.Index + uint64(len(c.Entries))
		assert.Assert(t, last >= saved, "write %d: %d of %d entries", write, last, saved)
		assert.NilError(t, l.Save(hardState(last+1), []consensus.Entry{entry(last+1, last+1)}, true))
	}
}

// Guards against a host that never starts again after a power loss while obsolete
// segments were removed. Each removal that is not synced may be kept or lost
// independently, so a later segment could be gone while an earlier one was still
// there, which counts as damage.
func TestPowerLossBetweenRemovals(t *testing.T) {
	for operation := range 60 {
		for kept := range 1 << 7 {
			fs := newFilledFolder(t, 60)
			l, _ := openLog(t, fs)
			remaining := operation
			fs.SetAllowOperation(func() bool { remaining--; return remaining >= 0 })
			err := l.SaveSnapshot(snapshot(55, 55))
			if err == nil {
				return
			}
			removals := 0
			crashed := fs.CrashWithRemovals(func(string) bool {
				removals++
				return kept>>(removals-1)&1 == 1
			}, loseUnsynced)
			_, c, err := wal.Open(crashed, wal.Options{SegmentBytes: 512})
			assert.NilError(t, err, "after %d operations, removals kept: %b", operation, kept)
			assert.Equal(t, c.Snapshot.Index+uint64(len(c.Entries)), uint64(60))
			if removals == 0 {
				break
			}
		}
	}
	t.Fatal("the snapshot takes more operations")
}

// Guards against a host that stays suspended because the write that did not fit fills
// the disk: it must be cut off, at once or else before the last segment is written
// anew, which needs room for a copy.
func TestReopenCutsOffBeforeItRewrites(t *testing.T) {
	fs := newFilledFolder(t, 20)
	l, _ := openLog(t, fs)
	used := fs.UsedBytes()
	fs.SetQuota(used + 2_000)
	large := consensus.Entry{Index: 21, Term: 21, Data: make([]byte, 5_000)}
	var storage *wal.StorageError
	assert.Assert(t, errors.As(l.Save(nil, []consensus.Entry{large}, true), &storage))
	assert.Equal(t, fs.PeakBytes(), used+2_000, "the disk was full")
	assert.Equal(t, fs.UsedBytes(), used)
	assert.NilError(t, l.CheckRoom())
	assert.Equal(t, fs.UsedBytes(), used)
	assert.NilError(t, l.CloseFile())
	fs.Edit(lastSegment(t, fs), func(b []byte) []byte { return append(b, make([]byte, 2_000)...) })
	assert.Assert(t, errors.As(l.CheckRoom(), &storage))
	l, c, err := wal.Open(fs, wal.Options{SegmentBytes: 512, RewriteLast: true})
	assert.NilError(t, err)
	checkPrefix(t, c, 20, 20)
	assert.NilError(t, l.Save(hardState(21), []consensus.Entry{entry(21, 21)}, true))
}

// Guards against a host that takes no part for good because the part of a snapshot that
// it could not finish fills its disk.
func TestUnfinishedSnapshotLeavesRoom(t *testing.T) {
	fs := waltest.NewFolder()
	l, _, err := wal.Open(fs, wal.Options{})
	assert.NilError(t, err)
	assert.NilError(t, l.Save(hardState(1), []consensus.Entry{{Index: 1, Term: 1, Data: make([]byte, 1000)}}, true))
	fs.SetQuota(fs.UsedBytes() + 5000)
	err = l.SaveSnapshot(consensus.Snapshot{Index: 1, Term: 1, Data: make([]byte, 10_000)})
	assert.ErrorIs(t, err, syscall.ENOSPC)
	assert.NilError(t, l.CheckRoom(), "the host opens its log again only if there is room")
}
