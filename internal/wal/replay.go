package wal

import (
	"encoding/binary"

	"github.com/amaranthweir/amaranthweir/internal/consensus"
)

// replay reads the segments in order and opens the last one for appending.
func (l *Log) replay(numbers []uint64) (Contents, error) {
	p := replayer{}
	torn := 0
	for i, number := range numbers {
		size, length, err := l.replaySegment(&p, number)
		if err != nil {
			return Contents{}, err
		}
		torn = length - size
		l.size = size
		l.segments[i].size = size
		l.bytesSinceSnapshot += size
		if torn > 0 && i < len(numbers)-1 {
			return Contents{}, corrupt(segmentName(number), size, "a record is incomplete, but the segment is not the last one")
		}
	}
	c, snapshotBytes, err := p.contents(l.fs)
	if err != nil {
		return Contents{}, err
	}
	c.TornBytes = torn
	l.snapshotBytes = snapshotBytes
	l.hardState = p.hardState
	l.snapshot = p.snapshot
	l.lastIndex = p.snapshot.Index + uint64(len(c.Entries))
	return c, l.openLastSegment(torn)
}

// openLastSegment opens the last segment for appending, after it has cut off
// a torn write of torn bytes.
func (l *Log) openLastSegment(torn int) error {
	name := segmentName(l.segments[len(l.segments)-1].number)
	if torn > 0 {
		if err := l.fs.Truncate(name, int64(l.size)); err != nil {
			return err
		}
	}
	if l.opts.RewriteLast {
		if err := l.rewriteSegment(name); err != nil {
			return err
		}
	}
	file, err := l.fs.Append(name)
	if err != nil {
		return err
	}
	l.file = file
	// Complete records may still be unsynced if only the process was restarted.
	// They must be durable before replay returns them.
	return file.Sync()
}

// rewriteSegment replaces the last segment by a new file with its valid records.
func (l *Log) rewriteSegment(name string) error {
	b, err := l.fs.ReadFile(name)
	if err != nil {
		return err
	}
	return writeFile(l.fs, name, b[:l.size])
}

// replaySegment applies the records of a segment to p. It returns the size of
// the valid records and the length of the file.
func (l *Log) replaySegment(p *replayer, number uint64) (size, length int, err error) {
	name := segmentName(number)
	b, err := l.fs.ReadFile(name)
	if err != nil {
		return 0, 0, err
	}
	records, size, err := scan(name, b)
	if err != nil {
		return 0, 0, err
	}
	if err := checkSegmentHeader(name, records, number); err != nil {
		return 0, 0, err
	}
	l.segments = append(l.segments, segment{number: number})
	for _, r := range records[1:] {
		if err := p.apply(name, r); err != nil {
			return 0, 0, err
		}
		if r.kind == recordEntry {
			l.updateSegmentLastIndex(p.lastIndex())
		}
	}
	return size, len(b), nil
}

// checkSegmentHeader checks the first records of a segment. They were synced
// before the file was renamed to its final name, so they must be complete.
func checkSegmentHeader(name string, records []record, number uint64) error {
	if len(records) < 2 || records[0].kind != recordSegment {
		return corrupt(name, 0, "the first records of the segment are missing")
	}
	version, n := binary.Uvarint(records[0].payload)
	if n <= 0 || version != formatVersion {
		return corrupt(name, 0, "unknown format version %d", version)
	}
	if stored, n := binary.Uvarint(records[0].payload[n:]); n <= 0 || stored != number {
		return corrupt(name, 0, "the segment number in the file is %d", stored)
	}
	return nil
}

// replayer rebuilds the log from its records.
type replayer struct {
	hardState consensus.HardState
	snapshot  consensus.Snapshot
	entries   []consensus.Entry
	// missingIndex is the index before the first entry in the segments. It is
	// zero if the latest snapshot record before that entry includes that index.
	// Otherwise a later snapshot record must include it, because segments are
	// removed only after a snapshot. If none does, contents returns missingErr.
	missingIndex uint64
	missingErr   *CorruptError
}

func (p *replayer) lastIndex() uint64 {
	if n := len(p.entries); n > 0 {
		return p.entries[n-1].Index
	}
	return p.snapshot.Index
}

func (p *replayer) apply(name string, r record) error {
	var err error
	switch r.kind {
	case recordEntry:
		var e consensus.Entry
		if err = e.UnmarshalBinary(r.payload); err == nil {
			return p.addEntry(name, r, e)
		}
	case recordHardState:
		err = p.hardState.UnmarshalBinary(r.payload)
	case recordSnapshot, recordReset:
		var s consensus.Snapshot
		if err = s.UnmarshalBinary(r.payload); err == nil {
			p.addSnapshot(r.kind, s)
		}
	default:
		return corrupt(name, r.offset, "unexpected record type %d", r.kind)
	}
	if err != nil {
		return corrupt(name, r.offset, "a record of type %d cannot be decoded", r.kind)
	}
	return nil
}

// addEntry adds an entry. It replaces earlier entries from the same index on.
func (p *replayer) addEntry(name string, r record, e consensus.Entry) error {
	if len(p.entries) == 0 || e.Index <= p.entries[0].Index {
		p.missingIndex = 0
		if e.Index > p.snapshot.Index+1 {
			p.missingIndex = e.Index - 1
			p.missingErr = corrupt(name, r.offset, "the entries before %d are missing", e.Index)
		}
		p.entries = append(p.entries[:0], e)
		return nil
	}
	if e.Index > p.lastIndex()+1 {
		return corrupt(name, r.offset, "entry %d follows entry %d", e.Index, p.lastIndex())
	}
	p.entries = append(p.entries[:e.Index-p.entries[0].Index], e)
	return nil
}

func (p *replayer) addSnapshot(kind recordType, s consensus.Snapshot) {
	p.snapshot = s
	if kind == recordReset {
		p.entries = nil
		p.missingIndex = 0
		return
	}
	for len(p.entries) > 0 && p.entries[0].Index <= s.Index {
		p.entries = p.entries[1:]
	}
}

// contents returns the log after the last record, with the data of the snapshot,
// and the size of the snapshot file.
func (p *replayer) contents(fs FS) (c Contents, snapshotBytes int, err error) {
	if p.missingIndex > p.snapshot.Index {
		return Contents{}, 0, p.missingErr
	}
	c = Contents{HardState: p.hardState, Entries: p.entries}
	if p.snapshot.IsZero() {
		return c, 0, nil
	}
	name := snapshotName(p.snapshot.Index, p.snapshot.Term)
	payload, err := readRecordFile(fs, name)
	if err != nil {
		return Contents{}, 0, err
	}
	if err := c.Snapshot.UnmarshalBinary(payload); err != nil {
		return Contents{}, 0, corrupt(name, 0, "the snapshot cannot be read")
	}
	if c.Snapshot.Index != p.snapshot.Index || c.Snapshot.Term != p.snapshot.Term {
		return Contents{}, 0, corrupt(name, 0, "the snapshot in the file has index %d and term %d", c.Snapshot.Index, c.Snapshot.Term)
	}
	return c, headerBytes + len(payload) + trailerBytes, nil
}

// readRecordFile returns the payload of a file that consists of one record. Such
// a file is synced before it is renamed to its final name, so it must be
// complete.
func readRecordFile(fs FS, name string) ([]byte, error) {
	b, err := fs.ReadFile(name)
	if err != nil {
		return nil, corrupt(name, 0, "the file cannot be read: %v", err)
	}
	r, next, reason := parseRecord(b, 0)
	if reason == "" && (next != len(b) || r.kind != recordData) {
		reason = "the file does not consist of one data record"
	}
	if reason != "" {
		return nil, corrupt(name, 0, "%s", reason)
	}
	return r.payload, nil
}
