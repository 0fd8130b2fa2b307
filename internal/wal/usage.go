package wal

import "errors"

const (
	probeFile = "probe" + tempSuffix
	// probeBytes is the size of one write to probeFile.
	probeBytes = 64 << 10
)

// CheckRoom returns an error unless the disk has room for a copy of the last segment,
// which Open writes if Options.RewriteLast is set. It reads nothing, unlike Open,
// which reads the whole log first.
func (l *Log) CheckRoom() error {
	if err := l.writeProbe(); err != nil {
		return errors.Join(err, l.fs.Remove(probeFile))
	}
	return l.fs.Remove(probeFile)
}

// writeProbe writes and syncs a file of the size of the last segment.
func (l *Log) writeProbe() error {
	file, err := l.fs.Create(probeFile)
	if err != nil {
		return err
	}
	for rest := l.size; rest > 0 && err == nil; rest -= probeBytes {
		_, err = file.Write(make([]byte, min(rest, probeBytes)))
	}
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// Usage is the size of the files of a log.
type Usage struct {
	Segments      int // number of segment files
	SegmentBytes  int // total size of the segment files
	SnapshotBytes int // size of the current snapshot
	// BytesSinceSnapshot is the size of the records written after the current
	// snapshot, and after Open that of all segments.
	BytesSinceSnapshot int
}

// TotalBytes returns the size of all files.
func (u Usage) TotalBytes() int { return u.SegmentBytes + u.SnapshotBytes }

// RemovableBytes returns the size of the segments that a snapshot at index allows to
// remove.
func (l *Log) RemovableBytes(index uint64) int {
	removable := 0
	for i, s := range l.segments {
		if s.lastIndex > index {
			break
		}
		if i == len(l.segments)-1 {
			s.size = l.size
		}
		removable += s.size
	}
	return removable
}

// Usage returns the size of the files. After a failed write it includes what may
// have reached the disk.
func (l *Log) Usage() Usage {
	u := Usage{Segments: len(l.segments), SegmentBytes: l.size, SnapshotBytes: l.snapshotBytes, BytesSinceSnapshot: l.bytesSinceSnapshot}
	for _, s := range l.segments[:len(l.segments)-1] {
		u.SegmentBytes += s.size
	}
	return u
}
