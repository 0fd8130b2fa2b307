package wal_test

import (
	"testing"

	"github.com/amaranthweir/amaranthweir/internal/consensus"
	"github.com/amaranthweir/amaranthweir/internal/wal"
	"github.com/amaranthweir/amaranthweir/internal/wal/waltest"
	"gotest.tools/v3/assert"
)

// folderBytes returns the size of all files.
func folderBytes(t *testing.T, fs *waltest.Folder) int {
	t.Helper()
	names, err := fs.List()
	assert.NilError(t, err)
	total := 0
	for _, name := range names {
		b, err := fs.ReadFile(name)
		assert.NilError(t, err)
		total += len(b)
	}
	return total
}

// The usage that operators see is the size of the files: after entries, after a
// snapshot, after a reset and after the log was opened again.
func TestUsageIsTheSizeOfTheFiles(t *testing.T) {
	fs := newFilledFolder(t, 20)
	l, _ := openLog(t, fs)
	check := func(when string) {
		t.Helper()
		assert.Equal(t, l.Usage().TotalBytes(), folderBytes(t, fs), when)
	}
	check("opened")
	assert.Equal(t, l.Usage().BytesSinceSnapshot, l.Usage().SegmentBytes)
	for i := uint64(21); i < 60; i++ {
		assert.NilError(t, l.Save(hardState(i), []consensus.Entry{entry(i, i)}, true))
		check("saved")
	}
	assert.NilError(t, l.SaveSnapshot(snapshot(50, 50)))
	check("compacted")
	assert.Equal(t, l.Usage().BytesSinceSnapshot, 0)
	assert.NilError(t, l.Save(nil, []consensus.Entry{entry(60, 60)}, true))
	check("saved again")
	assert.Assert(t, l.Usage().BytesSinceSnapshot > 0)
	assert.NilError(t, l.ResetTo(snapshot(99, 70)))
	check("reset")
	for _, rewrite := range []bool{false, true} {
		var err error
		l, _, err = wal.Open(fs, wal.Options{SegmentBytes: 512, RewriteLast: rewrite})
		assert.NilError(t, err)
		check("opened again")
	}
}
