// Package wal is the durable log of a control host: log entries, the hard
// state and snapshots in plain files under one data folder.
//
// Every change is appended, synced and only then reported as done; files
// appear by rename after their content is synced. A write that a crash tore is
// cut off at the next start. Anything else that is not what was written stops
// the start with a CorruptError.
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

	// DefaultSegmentBytes is the size at which a new segment begins.
	DefaultSegmentBytes = 16 << 20
)

// Options are what a log is opened with.
type Options struct {
	// SegmentBytes is the size at which a new segment begins; zero means
	// DefaultSegmentBytes.
	SegmentBytes int
}

// Contents is what a log held when it was opened.
type Contents struct {
	HardState consensus.HardState
	Snapshot  consensus.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []consensus.Entry
	// TornBytes is how much of an unfinished write was cut off.
	TornBytes int
}

// Log is an open log. It is not safe for concurrent use. After an error of
// Save or SaveSnapshot the log is unusable: what reached the disk is unknown.
type Log struct {
	fs       FS
	opts     Options
	segments []segment
	file     File
	size     int
	buffer   []byte
	hard     consensus.HardState
	snapshot consensus.Snapshot // without data
	last     uint64
	failed   error
}

// segment is one file of the log.
type segment struct {
	number uint64
	last   uint64 // highest index of an entry in it
}

func segmentName(number uint64) string { return fmt.Sprintf("%016x%s", number, segmentSuffix) }

func snapshotName(index, term uint64) string {
	return fmt.Sprintf("%016x-%016x%s", index, term, snapshotSuffix)
}

// Open reads the log in fs, or begins one, and returns what it holds.
func Open(fs FS, opts Options) (*Log, Contents, error) {
	if opts.SegmentBytes == 0 {
		opts.SegmentBytes = DefaultSegmentBytes
	}
	l := &Log{fs: fs, opts: opts}
	names, err := l.tidy()
	if err != nil {
		return nil, Contents{}, err
	}
	numbers, err := segmentNumbers(names)
	if err != nil {
		return nil, Contents{}, err
	}
	if len(numbers) == 0 {
		return l.begin(names)
	}
	c, err := l.replay(numbers)
	if err != nil {
		return nil, Contents{}, err
	}
	return l, c, l.dropOldFiles()
}

// tidy removes files whose making was interrupted and lists the others.
func (l *Log) tidy() ([]string, error) {
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

func segmentNumbers(names []string) ([]uint64, error) {
	var numbers []uint64
	for _, name := range names {
		base, ok := strings.CutSuffix(name, segmentSuffix)
		if !ok {
			continue
		}
		var number uint64
		if _, err := fmt.Sscanf(base, "%016x", &number); err != nil || segmentName(number) != name {
			return nil, corrupt(name, 0, "not the name of a segment")
		}
		if n := len(numbers); n > 0 && numbers[n-1]+1 != number {
			return nil, corrupt(segmentName(numbers[n-1]+1), 0, "the segment is missing")
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

// begin starts an empty log. A folder with other files of a log has lost its
// segments.
func (l *Log) begin(names []string) (*Log, Contents, error) {
	for _, name := range names {
		if name == identityFile || name == foundingFile || strings.HasSuffix(name, snapshotSuffix) {
			return nil, Contents{}, corrupt(segmentName(1), 0, "the segment is missing, but %s is there", name)
		}
	}
	if err := l.addSegment(1); err != nil {
		return nil, Contents{}, err
	}
	return l, Contents{}, nil
}

// Save appends entries and, if it is not nil, the hard state. With sync it
// returns after both are durable; without, they become so with a later Save.
// An entry at or below the last index replaces all from there on.
func (l *Log) Save(hard *consensus.HardState, entries []consensus.Entry, sync bool) error {
	if l.failed != nil {
		return l.failed
	}
	for _, e := range entries {
		if e.Index > l.last+1 || e.Index <= l.snapshot.Index {
			return fmt.Errorf("wal: entry %d does not follow %d (snapshot %d)", e.Index, l.last, l.snapshot.Index)
		}
		l.put(recordEntry, e)
		l.last = e.Index
		l.noteEntry(e.Index)
	}
	if hard != nil {
		l.hard = *hard
		l.put(recordHardState, *hard)
	}
	if err := l.flush(sync); err != nil {
		return l.fail(err)
	}
	if l.size >= l.opts.SegmentBytes {
		return l.fail(l.cut())
	}
	return nil
}

// noteEntry keeps, for each segment, the highest index that it holds.
func (l *Log) noteEntry(index uint64) {
	s := &l.segments[len(l.segments)-1]
	s.last = max(s.last, index)
}

func (l *Log) fail(err error) error {
	if err != nil {
		l.failed = fmt.Errorf("wal: an earlier write failed: %w", err)
	}
	return err
}

// SaveSnapshot makes s durable and drops the files that it stands for. The
// log must hold the entry at s; the entries after it stay.
func (l *Log) SaveSnapshot(s consensus.Snapshot) error {
	return l.saveSnapshot(recordSnapshot, s)
}

// ResetTo makes s durable in place of the whole log, also of entries after s.
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
	if err := writeFile(l.fs, name, appendRecord(nil, recordData, data)); err != nil {
		return l.fail(err)
	}
	l.snapshot = consensus.Snapshot{Index: s.Index, Term: s.Term}
	l.put(kind, l.snapshot)
	if kind == recordReset {
		l.last = s.Index
	}
	if err := l.flush(true); err != nil {
		return l.fail(err)
	}
	if err := l.cut(); err != nil {
		return l.fail(err)
	}
	return l.fail(l.dropOldFiles())
}

// writeFile makes a whole file appear at once.
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
		return err
	}
	if err := fs.Rename(name+tempSuffix, name); err != nil {
		return err
	}
	return fs.SyncFolder()
}

type binaryAppender interface {
	AppendBinary(b []byte) ([]byte, error)
}

func (l *Log) put(kind recordType, v binaryAppender) {
	payload, err := v.AppendBinary(nil)
	if err != nil {
		panic(fmt.Sprintf("wal: encoding: %v", err))
	}
	l.buffer = appendRecord(l.buffer, kind, payload)
}

// flush writes what is buffered and makes it durable. Without sync it stays in
// memory: between two syncs there is at most one write, so a power loss can
// only tear the end of the file.
func (l *Log) flush(sync bool) error {
	if !sync {
		return nil
	}
	if len(l.buffer) > 0 {
		n, err := l.file.Write(l.buffer)
		l.size += n
		l.buffer = l.buffer[:0]
		if err != nil {
			return err
		}
	}
	return l.file.Sync()
}

// cut ends the open segment and begins the next one with the hard state.
func (l *Log) cut() error {
	if err := errors.Join(l.flush(true), l.file.Close()); err != nil {
		return err
	}
	return l.addSegment(l.segments[len(l.segments)-1].number + 1)
}

// addSegment makes a segment that carries, besides its number, the snapshot
// marker and the hard state in force, so that older ones can be dropped.
func (l *Log) addSegment(number uint64) error {
	opening := binary.AppendUvarint(nil, formatVersion)
	opening = binary.AppendUvarint(opening, number)
	b := appendRecord(nil, recordSegment, opening)
	if !l.snapshot.IsZero() {
		payload, _ := l.snapshot.AppendBinary(nil)
		b = appendRecord(b, recordSnapshot, payload)
	}
	payload, _ := l.hard.AppendBinary(nil)
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

// dropOldFiles removes segments that hold nothing after the snapshot, and
// other snapshots.
func (l *Log) dropOldFiles() error {
	for len(l.segments) > 1 && l.segments[0].last <= l.snapshot.Index {
		if err := l.fs.Remove(segmentName(l.segments[0].number)); err != nil {
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

// Close closes the log, and the data folder if that can be closed, without
// writing anything.
func (l *Log) Close() error {
	err := l.file.Close()
	if c, ok := l.fs.(io.Closer); ok {
		err = errors.Join(err, c.Close())
	}
	return err
}
