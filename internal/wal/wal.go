// Package wal implements the durable write-ahead log of a control host. It keeps
// log entries, the hard state and snapshots in files in one data folder.
//
// Log.Save with sync set, Log.SaveSnapshot and Log.ResetTo return only after the
// change is appended and synced. A new file gets its final name by a rename after
// its content is synced. Open cuts off a torn write at the end of the log and
// returns a CorruptError for any other damage.
package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/amaranthweir/amaranthweir/internal/consensus"
)

const (
	segmentSuffix  = ".log"
	snapshotSuffix = ".snapshot"
	tempSuffix     = ".tmp"
	identityFile   = "identity"
	foundingFile   = "founding"
	formatVersion  = 1

	// DefaultSegmentBytes is the default of Options.SegmentBytes.
	DefaultSegmentBytes = 16 << 20
)

// Options configures a Log.
type Options struct {
	// SegmentBytes is the size at which a new segment begins; zero means
	// DefaultSegmentBytes.
	SegmentBytes int
	// RewriteLast writes the last segment anew. It must be set if this process
	// had the log open and got a StorageError: after a failed sync, the operating
	// system may return data that never reached the disk, and report later syncs
	// of that data as successful.
	RewriteLast bool
}

// Contents is the content of a log when it was opened.
type Contents struct {
	HardState consensus.HardState
	Snapshot  consensus.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []consensus.Entry
	// TornBytes is the size of the torn write that was cut off.
	TornBytes int
}

// Log is an open log. It is not safe for concurrent use. After a failed write it
// is unknown what reached the disk, so every later call of Save, SaveSnapshot
// and ResetTo fails too.
type Log struct {
	fs        FS
	opts      Options
	segments  []segment
	file      File
	size      int
	buffer    []byte
	hardState consensus.HardState
	snapshot  consensus.Snapshot // without data
	lastIndex uint64
	failed    error
	// snapshotBytes is the size of the snapshot file, and bytesSinceSnapshot that of
	// the records written after the snapshot.
	snapshotBytes      int
	bytesSinceSnapshot int
}

// segment is one file of the log. The size of the last one is Log.size.
type segment struct {
	number    uint64
	lastIndex uint64 // highest index of an entry in it
	size      int    // in bytes
}

func segmentName(number uint64) string { return fmt.Sprintf("%016x%s", number, segmentSuffix) }

func snapshotName(index, term uint64) string {
	return fmt.Sprintf("%016x-%016x%s", index, term, snapshotSuffix)
}

// Open opens the log in fs and returns its contents. It creates an empty log if
// there is none. Errors of fs are of type *StorageError.
func Open(fs FS, opts Options) (*Log, Contents, error) {
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = DefaultSegmentBytes
	}
	l := &Log{fs: reportingFS{fs}, opts: opts}
	names, err := l.removeTempFiles()
	if err != nil {
		return nil, Contents{}, err
	}
	numbers, err := segmentNumbers(names)
	if err != nil {
		return nil, Contents{}, err
	}
	if len(numbers) == 0 {
		return l.initialize(names)
	}
	c, err := l.replay(numbers)
	if err != nil {
		return nil, Contents{}, err
	}
	return l, c, l.removeObsoleteFiles()
}

// removeTempFiles removes temporary files, whose creation was interrupted, and
// returns the sorted names of the others.
func (l *Log) removeTempFiles() ([]string, error) {
	names, err := l.fs.List()
	if err != nil {
		return nil, err
	}
	var kept []string
	for _, name := range names {
		if !strings.HasSuffix(name, tempSuffix) {
			kept = append(kept, name)
			continue
		}
		if err := l.fs.Remove(name); err != nil {
			return nil, err
		}
	}
	slices.Sort(kept)
	return kept, nil
}

// segmentNumbers returns the numbers of the segments among the sorted names. It
// returns a CorruptError for a bad name or a gap.
func segmentNumbers(names []string) ([]uint64, error) {
	var numbers []uint64
	for _, name := range names {
		base, ok := strings.CutSuffix(name, segmentSuffix)
		if !ok {
			continue
		}
		var number uint64
		if _, err := fmt.Sscanf(base, "%016x", &number); err != nil || segmentName(number) != name {
			return nil, corrupt(name, 0, "the file name is not a valid segment name")
		}
		if n := len(numbers); n > 0 && numbers[n-1]+1 != number {
			return nil, corrupt(segmentName(numbers[n-1]+1), 0, "the segment is missing")
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

// initialize creates an empty log. If the folder holds other files of a log, its
// segments were lost and initialize returns a CorruptError.
func (l *Log) initialize(names []string) (*Log, Contents, error) {
	for _, name := range names {
		if name == identityFile || name == foundingFile || strings.HasSuffix(name, snapshotSuffix) {
			return nil, Contents{}, corrupt(segmentName(1), 0, "the segment is missing, but %s exists", name)
		}
	}
	if err := l.addSegment(1); err != nil {
		return nil, Contents{}, err
	}
	return l, Contents{}, nil
}

// Save appends entries and, if it is not nil, hardState. If sync is set, both are
// durable when Save returns; otherwise they become durable with a later synced
// write. An entry at or below the last index replaces all entries from that
// index on.
func (l *Log) Save(hardState *consensus.HardState, entries []consensus.Entry, sync bool) error {
	if l.failed != nil {
		return l.failed
	}
	for _, e := range entries {
		if e.Index > l.lastIndex+1 || e.Index <= l.snapshot.Index {
			return fmt.Errorf("wal: entry %d does not follow %d (snapshot %d)", e.Index, l.lastIndex, l.snapshot.Index)
		}
		l.bufferRecord(recordEntry, e)
		l.lastIndex = e.Index
		l.updateSegmentLastIndex(e.Index)
	}
	if hardState != nil {
		l.hardState = *hardState
		l.bufferRecord(recordHardState, *hardState)
	}
	if err := l.flush(sync); err != nil {
		return l.fail(err)
	}
	if l.size >= l.opts.SegmentBytes {
		return l.fail(l.rotateSegment())
	}
	return nil
}

// updateSegmentLastIndex updates the highest index in the current segment.
func (l *Log) updateSegmentLastIndex(index uint64) {
	s := &l.segments[len(l.segments)-1]
	s.lastIndex = max(s.lastIndex, index)
}

// fail makes the log unusable if err is not nil, and returns err.
func (l *Log) fail(err error) error {
	if err != nil {
		l.failed = fmt.Errorf("wal: an earlier write failed: %w", err)
	}
	return err
}

// SaveSnapshot makes s durable and removes segments with no later entries. The
// log must hold the entry at s.Index. Entries after it stay. A snapshot that is
// not newer than the current one is ignored.
func (l *Log) SaveSnapshot(s consensus.Snapshot) error {
	return l.saveSnapshot(recordSnapshot, s)
}

// ResetTo makes s durable and replaces the whole log by it, including entries
// after s.Index.
func (l *Log) ResetTo(s consensus.Snapshot) error {
	return l.saveSnapshot(recordReset, s)
}

func (l *Log) saveSnapshot(kind recordType, s consensus.Snapshot) error {
	if l.failed != nil {
		return l.failed
	}
	if s.Index <= l.snapshot.Index {
		return nil
	}
	data, err := s.AppendBinary(nil)
	if err != nil {
		return err
	}
	name := snapshotName(s.Index, s.Term)
	content := appendRecord(nil, recordData, data)
	if err := writeFile(l.fs, name, content); err != nil {
		return l.fail(err)
	}
	l.snapshot = consensus.Snapshot{Index: s.Index, Term: s.Term}
	l.snapshotBytes = len(content)
	l.bufferRecord(kind, l.snapshot)
	if kind == recordReset {
		l.lastIndex = s.Index
	}
	if err := l.flush(true); err != nil {
		return l.fail(err)
	}
	if err := l.rotateSegment(); err != nil {
		return l.fail(err)
	}
	l.bytesSinceSnapshot = 0
	return l.fail(l.removeObsoleteFiles())
}

// writeFile creates a file atomically: it writes and syncs a temporary file and
// renames it.
func writeFile(fs FS, name string, content []byte) error {
	file, err := fs.Create(name + tempSuffix)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		// The part that was written would fill a full disk.
		return errors.Join(err, fs.Remove(name+tempSuffix))
	}
	if err := fs.Rename(name+tempSuffix, name); err != nil {
		return err
	}
	return fs.SyncFolder()
}

type binaryAppender interface {
	AppendBinary(b []byte) ([]byte, error)
}

// bufferRecord appends a record to the buffer that flush writes.
func (l *Log) bufferRecord(kind recordType, v binaryAppender) {
	payload, err := v.AppendBinary(nil)
	if err != nil {
		panic(fmt.Sprintf("wal: encoding: %v", err))
	}
	l.buffer = appendRecord(l.buffer, kind, payload)
}

// flush writes and syncs the buffered records if sync is set. Otherwise they stay
// in memory, so that there is at most one write between two syncs and a power
// loss can tear only the end of the file.
func (l *Log) flush(sync bool) error {
	if !sync {
		return nil
	}
	if len(l.buffer) > 0 {
		n, err := l.file.Write(l.buffer)
		l.buffer = l.buffer[:0]
		if err != nil {
			return l.cutOff(n, err)
		}
		l.size += n
		l.bytesSinceSnapshot += n
	}
	return l.file.Sync()
}

// cutOff removes the n bytes of a write that failed with err, and returns err. On a
// full disk they would take the room that the next Open needs. Open does the same if
// this fails.
func (l *Log) cutOff(n int, err error) error {
	name := segmentName(l.segments[len(l.segments)-1].number)
	if l.fs.Truncate(name, int64(l.size)) != nil {
		l.size += n
		l.bytesSinceSnapshot += n
	}
	return err
}

// rotateSegment closes the current segment and starts the next one.
func (l *Log) rotateSegment() error {
	if err := errors.Join(l.flush(true), l.file.Close()); err != nil {
		return err
	}
	last := &l.segments[len(l.segments)-1]
	last.size = l.size
	return l.addSegment(last.number + 1)
}

// addSegment creates a segment and opens it for appending. The segment starts
// with the current snapshot record and hard state, so that older segments can be
// removed.
func (l *Log) addSegment(number uint64) error {
	header := binary.AppendUvarint(nil, formatVersion)
	header = binary.AppendUvarint(header, number)
	b := appendRecord(nil, recordSegment, header)
	if !l.snapshot.IsZero() {
		payload, _ := l.snapshot.AppendBinary(nil)
		b = appendRecord(b, recordSnapshot, payload)
	}
	payload, _ := l.hardState.AppendBinary(nil)
	b = appendRecord(b, recordHardState, payload)
	if err := writeFile(l.fs, segmentName(number), b); err != nil {
		return err
	}
	file, err := l.fs.Append(segmentName(number))
	if err != nil {
		return err
	}
	l.file = file
	l.size = len(b)
	l.segments = append(l.segments, segment{number: number})
	return nil
}

// removeObsoleteFiles removes all snapshots but the current one, and the oldest
// segments that have no entry after it. It syncs each removal of a segment before
// the next one: a power loss may keep or lose unsynced removals independently, and
// the segments that are left must have no gap.
func (l *Log) removeObsoleteFiles() error {
	for len(l.segments) > 1 && l.segments[0].lastIndex <= l.snapshot.Index {
		err := l.fs.Remove(segmentName(l.segments[0].number))
		if err == nil {
			err = l.fs.SyncFolder()
		}
		if err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	names, err := l.fs.List()
	if err != nil {
		return err
	}
	current := snapshotName(l.snapshot.Index, l.snapshot.Term)
	for _, name := range names {
		if strings.HasSuffix(name, snapshotSuffix) && name != current {
			if err := l.fs.Remove(name); err != nil {
				return err
			}
		}
	}
	return l.fs.SyncFolder()
}

// CloseFile closes the log but not the data folder, so that the log can be opened
// again. It does not write buffered records.
func (l *Log) CloseFile() error { return l.file.Close() }

// Close closes the log and, if fs is an io.Closer, the data folder. It does not
// write buffered records.
func (l *Log) Close() error {
	err := l.CloseFile()
	if c, ok := l.fs.(io.Closer); ok {
		err = errors.Join(err, c.Close())
	}
	return err
}
