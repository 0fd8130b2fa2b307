package wal

import (
	"encoding/binary"

	"github.com/amaranthweir/amaranthweir/internal/consensus"
)

// replay reads the segments in order and leaves the last one open.
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
		if torn > 0 && i < len(numbers)-1 {
			return Contents{}, corrupt(segmentName(number), size, "a record is cut short before the last segment")
		}
	}
	c, err := p.contents(l.fs)
	if err != nil {
		return Contents{}, err
	}
	c.TornBytes = torn
	l.hard = p.hard
	l.snapshot = p.snapshot
	l.last = p.snapshot.Index + uint64(len(c.Entries))
	return c, l.openLast(torn)
}

func (l *Log) openLast(torn int) error {
	name := segmentName(l.segments[len(l.segments)-1].number)
	if torn > 0 {
		if err := l.fs.Truncate(name, int64(l.size)); err != nil {
			return err
		}
	}
	file, err := l.fs.Append(name)
	if err != nil {
		return err
	}
	l.file = file
	// What is whole here may still be unsynced from before a restart of the
	// process; from now on it counts as durable.
	return file.Sync()
}

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
	if err := checkOpening(name, records, number); err != nil {
		return 0, 0, err
	}
	l.segments = append(l.segments, segment{number: number})
	for _, r := range records[1:] {
		if err := p.apply(name, r); err != nil {
			return 0, 0, err
		}
		if r.kind == recordEntry {
			l.noteEntry(p.lastIndex())
		}
	}
	return size, len(b), nil
}

// checkOpening checks what was synced before the segment got its name.
func checkOpening(name string, records []record, number uint64) error {
	if len(records) < 2 || records[0].kind != recordSegment {
		return corrupt(name, 0, "the opening of the segment is missing")
	}
	version, n := binary.Uvarint(records[0].payload)
	if n <= 0 || version != formatVersion {
		return corrupt(name, 0, "format %d is not known", version)
	}
	if own, n := binary.Uvarint(records[0].payload[n:]); n <= 0 || own != number {
		return corrupt(name, 0, "the segment says that its number is %d", own)
	}
	return nil
}

// replayer rebuilds the log from its records.
type replayer struct {
	hard     consensus.HardState
	snapshot consensus.Snapshot
	entries  []consensus.Entry
	// missing is the highest index whose entry was in a segment dropped
	// since; the snapshot must reach it.
	missing uint64
	place   *CorruptError
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
		err = p.hard.UnmarshalBinary(r.payload)
	case recordSnapshot, recordReset:
		var s consensus.Snapshot
		if err = s.UnmarshalBinary(r.payload); err == nil {
			p.addSnapshot(r.kind, s)
		}
	default:
		return corrupt(name, r.offset, "record type %d is not known here", r.kind)
	}
	if err != nil {
		return corrupt(name, r.offset, "a record of type %d cannot be read", r.kind)
	}
	return nil
}

func (p *replayer) addEntry(name string, r record, e consensus.Entry) error {
	if len(p.entries) == 0 || e.Index <= p.entries[0].Index {
		p.missing = 0
		if e.Index > p.snapshot.Index+1 {
			p.missing = e.Index - 1
			p.place = corrupt(name, r.offset, "the entries before %d are missing", e.Index)
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
		p.missing = 0
		return
	}
	for len(p.entries) > 0 && p.entries[0].Index <= s.Index {
		p.entries = p.entries[1:]
	}
}

func (p *replayer) contents(fs FS) (Contents, error) {
	if p.missing > p.snapshot.Index {
		return Contents{}, p.place
	}
	c := Contents{HardState: p.hard, Entries: p.entries}
	if p.snapshot.IsZero() {
		return c, nil
	}
	name := snapshotName(p.snapshot.Index, p.snapshot.Term)
	payload, err := readSingle(fs, name)
	if err != nil {
		return Contents{}, err
	}
	if err := c.Snapshot.UnmarshalBinary(payload); err != nil {
		return Contents{}, corrupt(name, 0, "the snapshot cannot be read")
	}
	if c.Snapshot.Index != p.snapshot.Index || c.Snapshot.Term != p.snapshot.Term {
		return Contents{}, corrupt(name, 0, "the snapshot is of another index")
	}
	return c, nil
}

// readSingle returns the payload of a file that was synced before it got its
// name, so that it must be whole.
func readSingle(fs FS, name string) ([]byte, error) {
	b, err := fs.ReadFile(name)
	if err != nil {
		return nil, corrupt(name, 0, "the file cannot be read: %v", err)
	}
	r, next, reason := parseRecord(b, 0)
	if reason == "" && (next != len(b) || r.kind != recordData) {
		reason = "the file holds something else"
	}
	if reason != "" {
		return nil, corrupt(name, 0, "%s", reason)
	}
	return r.payload, nil
}
